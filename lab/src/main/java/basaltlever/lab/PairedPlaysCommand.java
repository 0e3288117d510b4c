package basaltlever.lab;

import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Compares two checkouts of the program on the same scenarios of an external benchmark. Both are
 * measured alternately, so that changes in the load of the machine affect both alike and the mean
 * difference, compared with its standard error, is due to the code. The benchmark is a program that
 * takes a site file and {@code --rough DAY --seed N --json FILE --why TEXT}, and writes the
 * scenario's row into the file.
 */
@Parameters(
    commandDescription =
        "Measures two checkouts alternately on scenarios of a benchmark, and compares them")
final class PairedPlaysCommand {
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_RULES_BROKEN = 1;

  @Parameter(names = "--bench", required = true, description = "the benchmark program")
  private String benchProgram;

  @Parameter(
      names = "--site",
      required = true,
      description = "site file, passed as the first argument")
  private String siteFile;

  @Parameter(names = "--days", required = true, description = "comma-separated names of scenarios")
  private List<String> scenarios = new ArrayList<>();

  @Parameter(names = "--seeds", description = "comma-separated; one play of each checkout per seed")
  private List<Long> seeds = List.of(1L, 2L, 3L);

  @Parameter(names = "--figure", description = "name of the compared figure in a scenario's row")
  private String figureName = "score";

  @Parameter(names = "--why", description = "note that the benchmark records")
  private String note = "Two texts by turns";

  @Parameter(
      names = "--with",
      description = "further arguments of the benchmark, separated by blanks")
  private String benchArguments = "";

  @Parameter(names = "--limit-s", description = "time limit of one play in seconds")
  private int playTimeoutSeconds = 1_800;

  @Parameter(names = "--json", description = "output file for the result")
  private String resultFile;

  @Parameter(description = "CHECKOUT-A CHECKOUT-B", required = true)
  private List<String> checkouts = new ArrayList<>();

  /** A play that failed to run, so that it has no result to compare. */
  private static final class PlayFailedException extends Exception {
    private static final long serialVersionUID = 1;

    PlayFailedException(String message) {
      super(message);
    }
  }

  int run() throws IOException, InterruptedException {
    String optionError = findOptionError();
    if (optionError != null) {
      System.err.println("basaltlever-lab: " + optionError);
      return EXIT_USAGE;
    }
    Map<String, Object> results = new LinkedHashMap<>();
    PairedSamples allSamples = new PairedSamples();
    int brokenPlays = 0;
    try {
      System.out.printf("%-24s %6s %9s %9s %9s %9s%n", "day", "plays", "A", "B", "B - A", "noise");
      for (String scenario : scenarios) {
        PairedSamples samples = new PairedSamples();
        for (int i = 0; i < seeds.size(); i++) {
          // The order alternates, so that caches warmed by the first play favor neither checkout.
          boolean swapped = i % 2 == 1;
          Map<?, ?> first = play(checkouts.get(swapped ? 1 : 0), scenario, seeds.get(i));
          Map<?, ?> second = play(checkouts.get(swapped ? 0 : 1), scenario, seeds.get(i));
          Map<?, ?> a = swapped ? second : first;
          Map<?, ?> b = swapped ? first : second;
          brokenPlays +=
              reportBrokenRules(a, checkouts.get(0), scenario)
                  + reportBrokenRules(b, checkouts.get(1), scenario);
          samples.add(figureValue(a, scenario), figureValue(b, scenario));
          allSamples.add(figureValue(a, scenario), figureValue(b, scenario));
        }
        printSummary(scenario, samples);
        results.put(scenario, samples.toFigures());
      }
    } catch (PlayFailedException e) {
      System.err.println("basaltlever-lab: " + e.getMessage());
      return EXIT_USAGE;
    }
    printSummary("all", allSamples);
    results.put("all", allSamples.toFigures());
    results.put("broken", brokenPlays);
    FiguresWriter.publish(results, resultFile);
    return brokenPlays > 0 ? EXIT_RULES_BROKEN : 0;
  }

  private String findOptionError() {
    if (checkouts.size() != 2) {
      return "paired-plays expects exactly two checkouts";
    }
    for (String checkout : checkouts) {
      if (!Files.isDirectory(Path.of(checkout))) {
        return checkout + " is not a folder";
      }
    }
    return !Files.isExecutable(Path.of(benchProgram))
        ? "--bench: " + benchProgram + " is not executable"
        : !Files.isReadable(Path.of(siteFile))
            ? "--site: " + siteFile + " is not readable"
            : playTimeoutSeconds < 1
                ? "--limit-s must be at least 1, not " + playTimeoutSeconds
                : null;
  }

  private Map<?, ?> play(String checkout, String scenario, long seed)
      throws IOException, InterruptedException, PlayFailedException {
    Path rowFile = Files.createTempFile("play", ".json");
    Path outputFile = Files.createTempFile("play", ".out");
    String play = checkout + ", " + scenario + ", seed " + seed;
    try {
      List<String> command =
          new ArrayList<>(
              List.of(
                  toAbsolutePath(benchProgram),
                  toAbsolutePath(siteFile),
                  "--rough",
                  scenario,
                  "--seed",
                  "" + seed,
                  "--json",
                  rowFile.toString(),
                  "--why",
                  note));
      if (!benchArguments.isBlank()) {
        command.addAll(List.of(benchArguments.trim().split(" +")));
      }
      Process process =
          new ProcessBuilder(command)
              .directory(Path.of(checkout).toFile())
              .redirectErrorStream(true)
              .redirectOutput(outputFile.toFile())
              .start();
      if (!process.waitFor(playTimeoutSeconds, TimeUnit.SECONDS)) {
        process.descendants().forEach(ProcessHandle::destroy);
        process.destroy();
        throw new PlayFailedException(play + " took longer than " + playTimeoutSeconds + " s");
      }
      if (Files.size(rowFile) > 0
          && Json.parse(Files.readString(rowFile)) instanceof Map<?, ?> content
          && content.get("row") instanceof Map<?, ?> row) {
        return row;
      }
      throw new PlayFailedException(play + " left no row:\n" + Files.readString(outputFile));
    } catch (InvalidJsonException e) {
      throw new PlayFailedException(play + " left an invalid row: " + e.getMessage());
    } finally {
      Files.delete(rowFile);
      Files.delete(outputFile);
    }
  }

  private static String toAbsolutePath(String path) {
    return Path.of(path).toAbsolutePath().normalize().toString();
  }

  private double figureValue(Map<?, ?> row, String scenario) throws PlayFailedException {
    if (row.get(figureName) instanceof BigDecimal number) {
      return number.doubleValue();
    }
    throw new PlayFailedException("the row of " + scenario + " has no number named " + figureName);
  }

  private static int reportBrokenRules(Map<?, ?> row, String checkout, String scenario) {
    boolean hasBrokenRule =
        row.get("rules") instanceof Map<?, ?> counts
            && counts.values().stream()
                .anyMatch(count -> count instanceof BigDecimal number && number.signum() > 0);
    boolean hasFault = row.get("fault") != null;
    if (hasBrokenRule || hasFault) {
      System.out.println(
          "BROKEN: "
              + checkout
              + ", "
              + scenario
              + ", seed "
              + row.get("seed")
              + ": "
              + row.get("rules")
              + (hasFault ? " " + row.get("fault") : ""));
    }
    return hasBrokenRule || hasFault ? 1 : 0;
  }

  private static void printSummary(String name, PairedSamples samples) {
    System.out.printf(
        Locale.ROOT,
        "%-24s %6d %9.3f %9.3f %+9.3f %9.3f%n",
        name,
        samples.count(),
        samples.meanA(),
        samples.meanB(),
        samples.meanDifference(),
        samples.standardError());
  }
}
