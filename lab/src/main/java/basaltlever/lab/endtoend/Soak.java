package basaltlever.lab.endtoend;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Plays seeded days of faults and judges them: exit 0 where no rule broke, 1 where one did, 2 for
 * bad input.
 */
@Parameters(
    commandDescription =
        "Router processes among seeded faults of clocks, system calls, folders, servers and clients")
public final class Soak {
  private static final int MISUSED = 2;
  private static final List<String> RULES =
      List.of(
          "lost",
          "lost_resting",
          "overdue",
          "drain_late",
          "doubled",
          "cold_toppled",
          "deadline",
          "crashed");

  @Parameter(names = "--seed", description = "of all chance; the first of several")
  private long seed = 1;

  @Parameter(names = "--seeds", description = "how many days, each with the next seed")
  private int seeds = 1;

  @Parameter(names = "--minutes", description = "how long each of them takes")
  private double minutes = 1;

  @Parameter(names = "--router-jar", description = "a build of the router; else this program's own")
  private Path jar;

  @Parameter(
      names = "--follow",
      description = "milliseconds: the life of each statement that takes longer is logged")
  private long follow;

  @Parameter(names = "--logs", description = "folder for the routers' logs of days that failed")
  private Path logs;

  /** Plays them, one line of JSON each on standard output, and a table at the end. */
  public int run(Teller teller) throws Exception {
    if (!(minutes > 0 && minutes <= 600)) {
      return refuse("--minutes is " + minutes + "; it takes a number above 0 up to 600");
    }
    if (seeds < 1 || seeds > 10_000) {
      return refuse("--seeds is " + seeds + "; it takes a number from 1 to 10000");
    }
    if (jar != null && !Files.exists(jar)) {
      return refuse("--router-jar is " + jar + ", which is not there");
    }
    Path built = Files.createTempDirectory("shim");
    Path library = FaultShim.build(built);
    if (library == null) {
      System.err.println(
          "basaltlever-lab: skipped: no compiler (cc) here, so no clock is stepped and no system call"
              + " or write fails; all other faults are played");
    }
    List<String> table = new ArrayList<>();
    boolean held = true;
    for (int i = 0; i < seeds; i++) {
      held &= play(seed + i, library, teller, table);
    }
    System.err.println(String.join("\n", table));
    return held ? 0 : 1;
  }

  private static int refuse(String why) {
    System.err.println("basaltlever-lab: " + why);
    return MISUSED;
  }

  /** Tells what one day came to. */
  public interface Teller {
    void tell(Map<String, Object> figures) throws Exception;
  }

  private boolean play(long one, Path library, Teller teller, List<String> table) throws Exception {
    try (SoakDay day = new SoakDay(one, minutes * 60, jar, library)) {
      if (follow > 0) {
        day.follow(follow);
      }
      Map<String, Object> figures = day.play();
      figures.put("seed", one);
      List<String> broken = broken(figures);
      figures.put("broken", broken);
      teller.tell(figures);
      table.add(
          "seed "
              + one
              + " | "
              + figures.get("faults")
              + " | "
              + figures.get("statements")
              + " statements, "
              + Math.round(100 * (double) figures.get("served_share"))
              + " % served | "
              + (broken.isEmpty() ? "kept" : String.join(", ", broken)));
      if (!broken.isEmpty()) {
        System.err.println(
            "again: java -jar target/basaltlever-lab.jar soak --seed "
                + one
                + " --minutes "
                + minutes);
        ((List<?>) figures.get("failures")).forEach(System.err::println);
        if (logs != null) {
          day.copyLogs(Files.createDirectories(logs.resolve("seed-" + one)));
        }
      }
      return broken.isEmpty();
    }
  }

  private static List<String> broken(Map<String, Object> figures) {
    return RULES.stream()
        .filter(rule -> ((Number) figures.get(rule)).intValue() > 0)
        .map(rule -> rule + " " + figures.get(rule))
        .toList();
  }
}
