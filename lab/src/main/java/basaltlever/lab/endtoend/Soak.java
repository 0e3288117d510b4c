package basaltlever.lab.endtoend;

import basaltlever.lab.fleet.VersionSoak;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Command for soak runs with seeded faults. Exits with 0 if no run had a violation, 1 if one had,
 * and 2 for invalid input.
 */
@Parameters(
    commandDescription =
        "Runs routers under seeded faults of clocks, system calls, folders, servers and clients")
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

  @Parameter(names = "--seed", description = "random seed of the first run")
  private long seed = 1;

  @Parameter(names = "--seeds", description = "number of runs, each with the next seed")
  private int seeds = 1;

  @Parameter(names = "--minutes", description = "length of each run")
  private double minutes = 1;

  @Parameter(names = "--router-jar", description = "router build; default: the own class path")
  private Path routerJar;

  @Parameter(
      names = "--follow",
      description = "milliseconds: routers log the stages of each statement that takes longer")
  private long traceMillis;

  @Parameter(
      names = "--versions",
      description = "runs fleets that prepare versions of the reads' requirements instead")
  private boolean versions;

  @Parameter(names = "--logs", description = "folder for the router logs of failed runs")
  private Path logFolder;

  /**
   * Runs all seeds, passes the figures of each run to the writer and prints a summary table to
   * standard error.
   *
   * @return the exit status
   */
  public int run(FiguresSink writer) throws Exception {
    String fault = findBadInput();
    if (!fault.isEmpty()) {
      System.err.println("basaltlever-lab: " + fault);
      return EXIT_BAD_INPUT;
    }
    return versions ? runVersions(writer) : runSeeds(writer);
  }

  private String findBadInput() {
    if (!(minutes > 0 && minutes <= 600)) {
      return "--minutes is " + minutes + "; it takes a number above 0 up to 600";
    }
    if (seeds < 1 || seeds > 10_000) {
      return "--seeds is " + seeds + "; it takes a number from 1 to 10000";
    }
    if (routerJar != null && !Files.exists(routerJar)) {
      return "--router-jar is " + routerJar + ", which does not exist";
    }
    return "";
  }

  private int runSeeds(FiguresSink writer) throws Exception {
    Path buildFolder = Files.createTempDirectory("shim");
    Path library = FaultShim.build(buildFolder);
    if (library == null) {
      System.err.println(
          "basaltlever-lab: skipped: no C compiler (cc) found, so clocks are not stepped and system"
              + " calls and writes do not fail; all other faults are injected");
    }
    List<String> table = new ArrayList<>();
    boolean passed = true;
    for (int i = 0; i < seeds; i++) {
      passed &= runSeed(seed + i, library, writer, table);
    }
    System.err.println(String.join("\n", table));
    return passed ? 0 : 1;
  }

  private int runVersions(FiguresSink writer) throws Exception {
    boolean passed = true;
    for (long runSeed = seed; runSeed < seed + seeds; runSeed++) {
      Map<String, Object> figures = VersionSoak.run(runSeed, minutes * 60, routerJar);
      writer.write(figures);
      List<?> broken = (List<?>) figures.get("broken");
      System.err.println(
          "seed "
              + runSeed
              + " | "
              + figures.get("versions")
              + " versions, "
              + figures.get("reads_judged")
              + " reads judged, "
              + figures.get("stops")
              + " stops, "
              + figures.get("cuts")
              + " cuts | "
              + (broken.isEmpty() ? "kept" : broken));
      passed &= broken.isEmpty();
    }
    return passed ? 0 : 1;
  }

  /** Receives the figures of one run. */
  public interface FiguresSink {
    void write(Map<String, Object> figures) throws Exception;
  }

  private boolean runSeed(long runSeed, Path library, FiguresSink writer, List<String> table)
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
            "to reproduce: java -jar target/basaltlever-lab.jar soak --seed "
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
