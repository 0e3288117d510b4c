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
  private static final int EXIT_BAD_INPUT = 2;
  private static final List<String> VIOLATION_FIGURES =
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
  private Path routerJar;

  @Parameter(
      names = "--follow",
      description = "milliseconds: the life of each statement that takes longer is logged")
  private long traceMillis;

  @Parameter(names = "--logs", description = "folder for the routers' logs of days that failed")
  private Path logFolder;

  /** Plays them, one line of JSON each on standard output, and a table at the end. */
  public int run(FiguresWriter writer) throws Exception {
    if (!(minutes > 0 && minutes <= 600)) {
      return reportBadInput("--minutes is " + minutes + "; it takes a number above 0 up to 600");
    }
    if (seeds < 1 || seeds > 10_000) {
      return reportBadInput("--seeds is " + seeds + "; it takes a number from 1 to 10000");
    }
    if (routerJar != null && !Files.exists(routerJar)) {
      return reportBadInput("--router-jar is " + routerJar + ", which is not there");
    }
    Path buildFolder = Files.createTempDirectory("shim");
    Path library = FaultShim.build(buildFolder);
    if (library == null) {
      System.err.println(
          "basaltlever-lab: skipped: no compiler (cc) here, so no clock is stepped and no system call"
              + " or write fails; all other faults are played");
    }
    List<String> table = new ArrayList<>();
    boolean passed = true;
    for (int i = 0; i < seeds; i++) {
      passed &= runSeed(seed + i, library, writer, table);
    }
    System.err.println(String.join("\n", table));
    return passed ? 0 : 1;
  }

  private static int reportBadInput(String message) {
    System.err.println("basaltlever-lab: " + message);
    return EXIT_BAD_INPUT;
  }

  /** Tells what one day came to. */
  public interface FiguresWriter {
    void write(Map<String, Object> figures) throws Exception;
  }

  private boolean runSeed(long runSeed, Path library, FiguresWriter writer, List<String> table)
      throws Exception {
    try (SoakRun run = new SoakRun(runSeed, minutes * 60, routerJar, library)) {
      if (traceMillis > 0) {
        run.traceStatementsLongerThan(traceMillis);
      }
      Map<String, Object> figures = run.run();
      figures.put("seed", runSeed);
      List<String> violations = violations(figures);
      figures.put("broken", violations);
      writer.write(figures);
      table.add(
          "seed "
              + runSeed
              + " | "
              + figures.get("faults")
              + " | "
              + figures.get("statements")
              + " statements, "
              + Math.round(100 * (double) figures.get("served_share"))
              + " % served | "
              + (violations.isEmpty() ? "kept" : String.join(", ", violations)));
      if (!violations.isEmpty()) {
        System.err.println(
            "again: java -jar target/basaltlever-lab.jar soak --seed "
                + runSeed
                + " --minutes "
                + minutes);
        ((List<?>) figures.get("failures")).forEach(System.err::println);
        if (logFolder != null) {
          run.copyLogs(Files.createDirectories(logFolder.resolve("seed-" + runSeed)));
        }
      }
      return violations.isEmpty();
    }
  }

  private static List<String> violations(Map<String, Object> figures) {
    return VIOLATION_FIGURES.stream()
        .filter(figure -> ((Number) figures.get(figure)).intValue() > 0)
        .map(figure -> figure + " " + figures.get(figure))
        .toList();
  }
}
