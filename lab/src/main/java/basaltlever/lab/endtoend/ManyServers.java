package basaltlever.lab.endtoend;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares a run with many servers to a baseline run with few, and limits how much the resource use
 * of a router may grow.
 */
public final class ManyServers {
  /** Number of servers in the baseline run. */
  static final int BASELINE_SERVERS = 120;

  /**
   * Upper limit of a figure: a multiple of the baseline, a constant, and growth with the servers.
   */
  private record Limit(double factor, double constant, double perThousandServers) {}

  private static final Map<String, Limit> LIMITS = limits();

  private ManyServers() {}

  private static Map<String, Limit> limits() {
    Map<String, Limit> limits = new LinkedHashMap<>();
    limits.put("cpu_s", new Limit(1.4, 0.02, 0.12));
    limits.put("memory_mb", new Limit(1.5, 8, 4));
    limits.put("descriptors_max", new Limit(2, 40, 0));
    limits.put("connections", new Limit(2.5, 40, 0));
    limits.put("list_bytes", new Limit(2, 64_000, 500_000));
    return limits;
  }

  private static final double MIN_SERVED_RATIO = 0.85;
  private static final List<String> VIOLATION_FIGURES =
      List.of("lost", "drain_late", "doubled", "cold_toppled", "crashed");

  /**
   * Runs the baseline and the given options, and returns the figures of both with the violations.
   *
   * @param logFolder folder for the router logs, or null to keep none
   */
  public static Map<String, Object> compareWithBaseline(
      RunOptions options, long seed, Path routerJar, Path logFolder) throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    // Fewer servers mean smaller groups or fewer groups, depending on the group size.
    RunOptions baseline =
        options.withServers(
            Math.min(BASELINE_SERVERS, options.servers()),
            Math.min(
                options.groupSize(),
                Math.max(
                    1,
                    options.groupSize()
                        * BASELINE_SERVERS
                        / Math.max(BASELINE_SERVERS, options.servers())
                        * (options.groupSize() > MAX_FIXED_GROUP_SIZE
                            ? 1
                            : options.servers() / BASELINE_SERVERS + 1))));
    Map<String, Object> baselineFigures =
        options.servers() > BASELINE_SERVERS ? run(baseline, seed, routerJar, logFolder) : Map.of();
    Map<String, Object> measured = run(options, seed, routerJar, logFolder);
    figures.put("day", measured);
    figures.put("usual_day", baselineFigures);
    figures.put("broken", violations(options, baselineFigures, measured));
    return figures;
  }

  /**
   * Above this group size the baseline has smaller groups; up to it the baseline has fewer groups.
   */
  private static final int MAX_FIXED_GROUP_SIZE = 8;

  private static Map<String, Object> run(
      RunOptions options, long seed, Path routerJar, Path logFolder) throws Exception {
    try (ManyServersRun run = new ManyServersRun(options, seed, routerJar)) {
      Map<String, Object> figures = run.run();
      if (logFolder != null) {
        run.copyLogs(Files.createDirectories(logFolder.resolve(options.servers() + "-servers")));
      }
      return figures;
    }
  }

  static List<String> violations(
      RunOptions options, Map<String, Object> baseline, Map<String, Object> measured) {
    List<String> violations = new ArrayList<>();
    for (String figure : VIOLATION_FIGURES) {
      if (number(measured, figure) > 0) {
        violations.add(figure + " " + (int) number(measured, figure));
      }
    }
    if (number(measured, "descriptors_most") > options.sockets()) {
      violations.add(
          "descriptors_most "
              + (int) number(measured, "descriptors_most")
              + " of "
              + options.sockets());
    }
    if (baseline.isEmpty()) {
      return violations;
    }
    LIMITS.forEach(
        (key, limit) -> {
          double max =
              limit.factor * number(baseline, key)
                  + limit.constant
                  + limit.perThousandServers * options.servers() / 1_000;
          if (number(measured, key) > max) {
            violations.add(
                String.format(
                    java.util.Locale.ROOT, "%s %.2f of %.2f", key, number(measured, key), max));
          }
        });
    if (number(measured, "served_share") < MIN_SERVED_RATIO * number(baseline, "served_share")) {
      violations.add(
          "served_share "
              + measured.get("served_share")
              + " beside "
              + baseline.get("served_share"));
    }
    return violations;
  }

  private static double number(Map<String, Object> figures, String key) {
    return figures.get(key) instanceof Number value ? value.doubleValue() : 0;
  }
}
