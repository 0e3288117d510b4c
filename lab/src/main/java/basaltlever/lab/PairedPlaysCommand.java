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
 * Two checkouts of the program on the same days of an outside bench, by turns: the machine's hour
 * moves both alike, so what is left of the difference beside its noise is the text's. The bench is
 * a program that takes a site, {@code --rough DAY --seed N --json FILE --why TEXT}, and writes the
 * day's row into the file.
 */
@Parameters(
    commandDescription =
        "Plays two checkouts by turns on days of a bench, and tells the difference")
final class PairedPlaysCommand {
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_RULES_BROKEN = 1;

  @Parameter(names = "--bench", required = true, description = "the bench's program")
  private String benchProgram;

  @Parameter(names = "--site", required = true, description = "the site file that it takes first")
  private String siteFile;

  @Parameter(names = "--days", required = true, description = "names of days, with commas")
  private List<String> days = new ArrayList<>();

  @Parameter(names = "--seeds", description = "one play of both for each, with commas")
  private List<Long> seeds = List.of(1L, 2L, 3L);

  @Parameter(names = "--figure", description = "of the day's row")
  private String figureName = "score";

  @Parameter(names = "--why", description = "the note that the bench keeps")
  private String note = "Two texts by turns";

  @Parameter(names = "--with", description = "further arguments of the bench, with blanks")
  private String benchArguments = "";

  @Parameter(names = "--limit-s", description = "seconds that one play may take")
  private int playTimeoutSeconds = 1_800;

  @Parameter(names = "--json", description = "file for the result")
  private String resultFile;

  @Parameter(description = "CHECKOUT-A CHECKOUT-B", required = true)
  private List<String> checkouts = new ArrayList<>();

  /** A play that could not be carried out tells nothing of the text. */
  private static final class PlayFailedException extends Exception {
    private static final long serialVersionUID = 1;

    PlayFailedException(String what) {
      super(what);
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
      for (String day : days) {
        PairedSamples samples = new PairedSamples();
        for (int i = 0; i < seeds.size(); i++) {
          // Who goes first changes, so that what a first play leaves warm favours neither.
          boolean swapped = i % 2 == 1;
          Map<?, ?> first = play(checkouts.get(swapped ? 1 : 0), day, seeds.get(i));
          Map<?, ?> second = play(checkouts.get(swapped ? 0 : 1), day, seeds.get(i));
          Map<?, ?> a = swapped ? second : first;
          Map<?, ?> b = swapped ? first : second;
          brokenPlays +=
              reportBrokenRules(a, checkouts.get(0), day)
                  + reportBrokenRules(b, checkouts.get(1), day);
          samples.add(figureValue(a, day), figureValue(b, day));
          allSamples.add(figureValue(a, day), figureValue(b, day));
        }
        printSummary(day, samples);
        results.put(day, samples.toFigures());
      }
    } catch (PlayFailedException fault) {
      System.err.println("basaltlever-lab: " + fault.getMessage());
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
      return "paired-plays takes two checkouts";
    }
    for (String checkout : checkouts) {
      if (!Files.isDirectory(Path.of(checkout))) {
        return checkout + " is no folder";
      }
    }
    return !Files.isExecutable(Path.of(benchProgram))
        ? "--bench: " + benchProgram + " can't be run"
        : !Files.isReadable(Path.of(siteFile))
            ? "--site: " + siteFile + " can't be read"
            : playTimeoutSeconds < 1
                ? "--limit-s takes a number from 1, not " + playTimeoutSeconds
                : null;
  }

  private Map<?, ?> play(String checkout, String day, long seed)
      throws IOException, InterruptedException, PlayFailedException {
    Path row = Files.createTempFile("play", ".json");
    Path outputFile = Files.createTempFile("play", ".out");
    String what = checkout + ", " + day + ", seed " + seed;
    try {
      List<String> command =
          new ArrayList<>(
              List.of(
                  toAbsolutePath(benchProgram),
                  toAbsolutePath(siteFile),
                  "--rough",
                  day,
                  "--seed",
                  "" + seed,
                  "--json",
                  row.toString(),
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
        throw new PlayFailedException(what + " took longer than " + playTimeoutSeconds + " s");
      }
      if (Files.size(row) > 0
          && Json.parse(Files.readString(row)) instanceof Map<?, ?> whole
          && whole.get("row") instanceof Map<?, ?> results) {
        return results;
      }
      throw new PlayFailedException(what + " left no row:\n" + Files.readString(outputFile));
    } catch (InvalidJsonException fault) {
      throw new PlayFailedException(what + " left a row that can't be read: " + fault.getMessage());
    } finally {
      Files.delete(row);
      Files.delete(outputFile);
    }
  }

  private static String toAbsolutePath(String path) {
    return Path.of(path).toAbsolutePath().normalize().toString();
  }

  private double figureValue(Map<?, ?> row, String day) throws PlayFailedException {
    if (row.get(figureName) instanceof BigDecimal number) {
      return number.doubleValue();
    }
    throw new PlayFailedException("the row of " + day + " has no number named " + figureName);
  }

  private static int reportBrokenRules(Map<?, ?> row, String checkout, String day) {
    boolean hasBrokenRule =
        row.get("rules") instanceof Map<?, ?> counts
            && counts.values().stream()
                .anyMatch(count -> count instanceof BigDecimal n && n.signum() > 0);
    boolean fault = row.get("fault") != null;
    if (hasBrokenRule || fault) {
      System.out.println(
          "BROKEN: "
              + checkout
              + ", "
              + day
              + ", seed "
              + row.get("seed")
              + ": "
              + row.get("rules")
              + (fault ? " " + row.get("fault") : ""));
    }
    return hasBrokenRule || fault ? 1 : 0;
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
