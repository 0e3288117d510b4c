package basaltlever.lab.endtoend;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A day with many servers beside the same day with few, and what the need of a router may grow to.
 */
public final class ManyServers {
  /** The size that the need of a router is held against. */
  static final int USUAL_SERVERS = 120;

  /** What one figure may be: a multiple of that of the usual day, and so much more. */
  private record Limit(double times, double plus, double plusEachThousand) {}

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

  private static final double LEAST_SERVED = 0.85;
  private static final List<String> RULES =
      List.of("lost", "drain_late", "doubled", "cold_toppled", "crashed");

  /**
   * Plays the usual day, and the one with many servers; what is broken is named under its key. No
   * logs where null.
   */
  public static Map<String, Object> compare(DayOptions day, long seed, Path jar, Path logs)
      throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    // The same groups with more members, or more groups: what the day's group size says.
    DayOptions usual =
        day.withServers(
            Math.min(USUAL_SERVERS, day.servers()),
            Math.min(
                day.members(),
                Math.max(
                    1,
                    day.members()
                        * USUAL_SERVERS
                        / Math.max(USUAL_SERVERS, day.servers())
                        * (day.members() > LARGE_GROUP ? 1 : day.servers() / USUAL_SERVERS + 1))));
    Map<String, Object> before =
        day.servers() > USUAL_SERVERS ? play(usual, seed, jar, logs) : Map.of();
    Map<String, Object> told = play(day, seed, jar, logs);
    figures.put("day", told);
    figures.put("usual_day", before);
    figures.put("broken", broken(day, before, told));
    return figures;
  }

  /**
   * Groups of more members than this are taken to have grown with the list; else the number of
   * groups has.
   */
  private static final int LARGE_GROUP = 8;

  private static Map<String, Object> play(DayOptions day, long seed, Path jar, Path logs)
      throws Exception {
    try (ManyServersDay played = new ManyServersDay(day, seed, jar)) {
      Map<String, Object> figures = played.play();
      if (logs != null) {
        played.copyLogs(Files.createDirectories(logs.resolve(day.servers() + "-servers")));
      }
      return figures;
    }
  }

  static List<String> broken(DayOptions day, Map<String, Object> usual, Map<String, Object> told) {
    List<String> broken = new ArrayList<>();
    for (String rule : RULES) {
      if (number(told, rule) > 0) {
        broken.add(rule + " " + (int) number(told, rule));
      }
    }
    if (number(told, "descriptors_most") > day.sockets()) {
      broken.add(
          "descriptors_most " + (int) number(told, "descriptors_most") + " of " + day.sockets());
    }
    if (usual.isEmpty()) {
      return broken;
    }
    LIMITS.forEach(
        (key, limit) -> {
          double most =
              limit.times * number(usual, key)
                  + limit.plus
                  + limit.plusEachThousand * day.servers() / 1_000;
          if (number(told, key) > most) {
            broken.add(
                String.format(
                    java.util.Locale.ROOT, "%s %.2f of %.2f", key, number(told, key), most));
          }
        });
    if (number(told, "served_share") < LEAST_SERVED * number(usual, "served_share")) {
      broken.add(
          "served_share " + told.get("served_share") + " beside " + usual.get("served_share"));
    }
    return broken;
  }

  private static double number(Map<String, Object> figures, String key) {
    return figures.get(key) instanceof Number value ? value.doubleValue() : 0;
  }
}
