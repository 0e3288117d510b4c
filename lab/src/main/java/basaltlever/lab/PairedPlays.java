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
final class PairedPlays {
  private static final int MISUSED = 2;
  private static final int BROKEN = 1;

  @Parameter(names = "--bench", required = true, description = "the bench's program")
  private String bench;

  @Parameter(names = "--site", required = true, description = "the site file that it takes first")
  private String site;

  @Parameter(names = "--days", required = true, description = "names of days, with commas")
  private List<String> days = new ArrayList<>();

  @Parameter(names = "--seeds", description = "one play of both for each, with commas")
  private List<Long> seeds = List.of(1L, 2L, 3L);

  @Parameter(names = "--figure", description = "of the day's row")
  private String figure = "score";

  @Parameter(names = "--why", description = "the note that the bench keeps")
  private String why = "Two texts by turns";

  @Parameter(names = "--with", description = "further arguments of the bench, with blanks")
  private String with = "";

  @Parameter(names = "--limit-s", description = "seconds that one play may take")
  private int limitSeconds = 1_800;

  @Parameter(names = "--json", description = "file for the result")
  private String json;

  @Parameter(description = "CHECKOUT-A CHECKOUT-B", required = true)
  private List<String> checkouts = new ArrayList<>();

  /** A play that could not be carried out tells nothing of the text. */
  private static final class Unplayed extends Exception {
    private static final long serialVersionUID = 1;

    Unplayed(String what) {
      super(what);
    }
  }

  int run() throws IOException, InterruptedException {
    String wrong = wrong();
    if (wrong != null) {
      System.err.println("basaltlever-lab: " + wrong);
      return MISUSED;
    }
    Map<String, Object> told = new LinkedHashMap<>();
    Pairs all = new Pairs();
    int broken = 0;
    try {
      System.out.printf("%-24s %6s %9s %9s %9s %9s%n", "day", "plays", "A", "B", "B - A", "noise");
      for (String day : days) {
        Pairs pairs = new Pairs();
        for (int i = 0; i < seeds.size(); i++) {
          // Who goes first changes, so that what a first play leaves warm favours neither.
          boolean swapped = i % 2 == 1;
          Map<?, ?> first = play(checkouts.get(swapped ? 1 : 0), day, seeds.get(i));
          Map<?, ?> second = play(checkouts.get(swapped ? 0 : 1), day, seeds.get(i));
          Map<?, ?> a = swapped ? second : first;
          Map<?, ?> b = swapped ? first : second;
          broken += breaks(a, checkouts.get(0), day) + breaks(b, checkouts.get(1), day);
          pairs.add(value(a, day), value(b, day));
          all.add(value(a, day), value(b, day));
        }
        tell(day, pairs);
        told.put(day, pairs.figures());
      }
    } catch (Unplayed fault) {
      System.err.println("basaltlever-lab: " + fault.getMessage());
      return MISUSED;
    }
    tell("all", all);
    told.put("all", all.figures());
    told.put("broken", broken);
    Figures.tell(told, json);
    return broken > 0 ? BROKEN : 0;
  }

  private String wrong() {
    if (checkouts.size() != 2) {
      return "paired-plays takes two checkouts";
    }
    for (String checkout : checkouts) {
      if (!Files.isDirectory(Path.of(checkout))) {
        return checkout + " is no folder";
      }
    }
    return !Files.isExecutable(Path.of(bench))
        ? "--bench: " + bench + " can't be run"
        : !Files.isReadable(Path.of(site))
            ? "--site: " + site + " can't be read"
            : limitSeconds < 1 ? "--limit-s takes a number from 1, not " + limitSeconds : null;
  }

  private Map<?, ?> play(String checkout, String day, long seed)
      throws IOException, InterruptedException, Unplayed {
    Path row = Files.createTempFile("play", ".json");
    Path said = Files.createTempFile("play", ".out");
    String what = checkout + ", " + day + ", seed " + seed;
    try {
      List<String> command =
          new ArrayList<>(
              List.of(
                  absolute(bench),
                  absolute(site),
                  "--rough",
                  day,
                  "--seed",
                  "" + seed,
                  "--json",
                  row.toString(),
                  "--why",
                  why));
      if (!with.isBlank()) {
        command.addAll(List.of(with.trim().split(" +")));
      }
      Process process =
          new ProcessBuilder(command)
              .directory(Path.of(checkout).toFile())
              .redirectErrorStream(true)
              .redirectOutput(said.toFile())
              .start();
      if (!process.waitFor(limitSeconds, TimeUnit.SECONDS)) {
        process.descendants().forEach(ProcessHandle::destroy);
        process.destroy();
        throw new Unplayed(what + " took longer than " + limitSeconds + " s");
      }
      if (Files.size(row) > 0
          && Json.parse(Files.readString(row)) instanceof Map<?, ?> whole
          && whole.get("row") instanceof Map<?, ?> told) {
        return told;
      }
      throw new Unplayed(what + " left no row:\n" + Files.readString(said));
    } catch (InvalidJsonException fault) {
      throw new Unplayed(what + " left a row that can't be read: " + fault.getMessage());
    } finally {
      Files.delete(row);
      Files.delete(said);
    }
  }

  private static String absolute(String path) {
    return Path.of(path).toAbsolutePath().normalize().toString();
  }

  private double value(Map<?, ?> row, String day) throws Unplayed {
    if (row.get(figure) instanceof BigDecimal number) {
      return number.doubleValue();
    }
    throw new Unplayed("the row of " + day + " has no number named " + figure);
  }

  private static int breaks(Map<?, ?> row, String checkout, String day) {
    boolean rules =
        row.get("rules") instanceof Map<?, ?> counts
            && counts.values().stream()
                .anyMatch(count -> count instanceof BigDecimal n && n.signum() > 0);
    boolean fault = row.get("fault") != null;
    if (rules || fault) {
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
    return rules || fault ? 1 : 0;
  }

  private static void tell(String name, Pairs pairs) {
    System.out.printf(
        Locale.ROOT,
        "%-24s %6d %9.3f %9.3f %+9.3f %9.3f%n",
        name,
        pairs.count(),
        pairs.meanA(),
        pairs.meanB(),
        pairs.difference(),
        pairs.noise());
  }
}
