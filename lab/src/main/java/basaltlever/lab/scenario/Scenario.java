package basaltlever.lab.scenario;

import basaltlever.lab.world.Faults;
import basaltlever.lab.world.Kind;
import basaltlever.time.Span;
import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * One experiment, from an INI file and what the command line sets in it; checked whole before
 * anything starts.
 */
public final class Scenario {
  /** What is wrong with it, a line each. */
  public static final class Fault extends Exception {
    private static final long serialVersionUID = 1L;

    Fault(List<String> faults) {
      super(String.join("\n", faults));
    }
  }

  /** Every key of [run] with its default and its bounds. */
  private static final Map<String, double[]> RUN = new LinkedHashMap<>();

  static {
    RUN.put("seconds", new double[] {20, 1, 7_200});
    RUN.put("routers", new double[] {2, 1, 1_000});
    RUN.put("groups", new double[] {3, 1, 200});
    RUN.put("members", new double[] {5, 2, 50});
    RUN.put("cores", new double[] {3, 1, 64});
    RUN.put("grace_ms", new double[] {250, 10, 10_000});
    RUN.put("faults_from_ms", new double[] {2_000, 20, 600_000});
    RUN.put("faults_to_ms", new double[] {5_000, 20, 600_000});
    RUN.put("warm_ms", new double[] {3_000, 0, 60_000});
    RUN.put("poll_price", new double[] {0.01, 0, 1});
    RUN.put("load", new double[] {1, 0.01, 100});
    RUN.put("switch_ms", new double[] {0, 0, 600_000});
    RUN.put("lose_majority_s", new double[] {0, 0, 86_400});
    RUN.put("voters", new double[] {0, 0, 7});
    RUN.put("version_ms", new double[] {1_500, 50, 600_000});
    RUN.put("lease_ms", new double[] {400, 100, 60_000});
    RUN.put("stated_ms", new double[] {1_000, 200, 600_000});
    RUN.put("agrees", new double[] {1, 0, 1});
    RUN.put("odd_lists_ms", new double[] {0, 0, 600_000});
    RUN.put("late_lists_ms", new double[] {0, 0, 600_000});
    RUN.put("assigned_ms", new double[] {30_000, 1_000, 600_000});
    RUN.put("stops_ms", new double[] {0, 0, 600_000});
    RUN.put("all_at_once_s", new double[] {0, 0, 7_200});
    RUN.put("all_share", new double[] {1, 0, 1});
  }

  private static final List<String> KIND_KEYS =
      List.of(
          "needs",
          "repeat",
          "rate",
          "work_ms",
          "bound_ms",
          "slo_ms",
          "timeout_ms",
          "importance",
          "late");

  public final String title;
  public final List<Kind> kinds = new ArrayList<>();
  public final Map<Faults.Kind, Double> faults = new TreeMap<>();
  public final Map<String, Double> expected = new LinkedHashMap<>();
  public final Faults.Kind allAtOnce;
  public final boolean replicasCheck;
  public final boolean virtual;
  public final boolean changes;
  public final boolean abrupt;
  private final Map<String, Double> run = new LinkedHashMap<>();
  private final List<String> wrong = new ArrayList<>();

  private Scenario(INIConfiguration ini) throws Fault {
    RUN.forEach((key, bounds) -> run.put(key, bounds[0]));
    Map<String, String> words =
        new LinkedHashMap<>(
            Map.of(
                "title",
                "",
                "mode",
                "sockets",
                "checks",
                "true",
                "change_table",
                "true",
                "all_at_once",
                "",
                "abrupt",
                "false"));
    for (Object name : ini.getSections()) {
      String section = String.valueOf(name);
      var keys = ini.getSection(section);
      Map<String, String> values = new LinkedHashMap<>();
      for (Iterator<String> each = keys.getKeys(); each.hasNext(); ) {
        String key = each.next();
        values.put(key.replace("..", "."), keys.getString(key).trim());
      }
      if (section.equals("run")) {
        values.forEach(
            (key, value) -> {
              if (RUN.containsKey(key)) {
                run.put(key, number(section, key, value, RUN.get(key)[1], RUN.get(key)[2]));
              } else if (words.replace(key, value) == null) {
                wrong.add("[run] " + key + " is no key");
              }
            });
      } else if (section.startsWith("kind ")) {
        kind(section, values);
      } else if (section.equals("faults")) {
        values.forEach(
            (key, value) -> {
              Faults.Kind kind = Faults.Kind.named(key);
              if (kind == null) {
                wrong.add("[faults] " + key + " is no fault");
              } else if (number(section, key, value, 0, 1e6) > 0) {
                faults.put(kind, number(section, key, value, 0, 1e6));
              }
            });
      } else if (section.equals("expect")) {
        values.forEach((key, value) -> expected.put(key, number(section, key, value, -1e9, 1e9)));
      } else {
        wrong.add("[" + section + "] is no section");
      }
    }
    title = words.get("title");
    virtual = words.get("mode").equals("virtual");
    replicasCheck = words.get("checks").equals("true");
    abrupt = words.get("abrupt").equals("true");
    changes = words.get("change_table").equals("true");
    allAtOnce =
        words.get("all_at_once").isEmpty() ? null : Faults.Kind.named(words.get("all_at_once"));
    if (kinds.isEmpty()) {
      wrong.add("there is no [kind NAME]");
    }
    if (!List.of("sockets", "virtual").contains(words.get("mode"))) {
      wrong.add("[run] mode takes sockets or virtual");
    }
    if (allAtOnce == null && !words.get("all_at_once").isEmpty()) {
      wrong.add("[run] all_at_once names no fault");
    }
    if (number("faults_from_ms") > number("faults_to_ms")) {
      wrong.add("[run] faults_from_ms is above faults_to_ms");
    }
    if (!wrong.isEmpty()) {
      throw new Fault(wrong);
    }
  }

  private void kind(String section, Map<String, String> values) {
    for (String key : values.keySet()) {
      if (!KIND_KEYS.contains(key)) {
        wrong.add("[" + section + "] " + key + " is no key");
      }
    }
    String needs = values.getOrDefault("needs", "any");
    String repeat = values.getOrDefault("repeat", "idempotent");
    if (!List.of("write", "fresh", "session", "bounded", "any").contains(needs)) {
      wrong.add("[" + section + "] needs takes write, fresh, session, bounded or any");
    }
    if (!List.of("idempotent", "at_most_once").contains(repeat)) {
      wrong.add("[" + section + "] repeat takes idempotent or at_most_once");
    }
    kinds.add(
        new Kind(
            kinds.size(),
            section.substring(5).trim(),
            needs,
            repeat,
            of(section, values, "rate", 10, 0.001, 1e5),
            millis(section, values, "work_ms", 5),
            millis(section, values, "bound_ms", 200),
            millis(section, values, "slo_ms", 600),
            millis(section, values, "timeout_ms", 2_000),
            of(section, values, "importance", 1, 0, 1e6),
            of(section, values, "late", 0, 0, 1)));
  }

  private Span millis(String section, Map<String, String> values, String key, double otherwise) {
    return Span.ofMillis(of(section, values, key, otherwise, 0.001, 600_000));
  }

  private double of(
      String section,
      Map<String, String> values,
      String key,
      double otherwise,
      double least,
      double most) {
    return values.containsKey(key) ? number(section, key, values.get(key), least, most) : otherwise;
  }

  private double number(String section, String key, String value, double least, double most) {
    try {
      double number = Double.parseDouble(value);
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Told below, with what is out of range.
    }
    wrong.add(
        "["
            + section
            + "] "
            + key
            + " takes a number from "
            + least
            + " to "
            + most
            + ", not "
            + value);
    return least;
  }

  /** A setting is SECTION.KEY=VALUE, or KEY=VALUE for the run. */
  public static Scenario read(String text, List<String> settings) throws Fault {
    try {
      INIConfiguration ini = new INIConfiguration();
      ini.read(new StringReader(text));
      for (String setting : settings) {
        int equals = setting.indexOf('=');
        if (equals <= 0) {
          throw new Fault(List.of("--set takes KEY=VALUE, not " + setting));
        }
        String key = setting.substring(0, equals);
        int dot = key.lastIndexOf('.');
        ini.getSection(dot < 0 ? "run" : key.substring(0, dot))
            .setProperty(key.substring(dot + 1), setting.substring(equals + 1));
      }
      return new Scenario(ini);
    } catch (ConfigurationException | IOException cause) {
      throw new Fault(List.of("it is no INI file: " + cause.getMessage()));
    }
  }

  /** Those that come with the program, by name; and any file. */
  public static String text(String name) throws Fault {
    try {
      if (name.endsWith(".ini")) {
        return Files.readString(Path.of(name));
      }
      try (var in = Scenario.class.getResourceAsStream("/scenarios/" + name + ".ini")) {
        if (in != null) {
          return new String(in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        }
      }
    } catch (IOException cause) {
      throw new Fault(List.of(name + " can't be read: " + cause));
    }
    throw new Fault(List.of("there is no scenario " + name + "; list names them"));
  }

  public double number(String key) {
    return run.get(key);
  }

  public int count(String key) {
    return (int) number(key);
  }

  public Span span(String key) {
    return Span.ofMillis(number(key));
  }

  /** The kinds with the run's load. */
  public List<Kind> loaded() {
    double load = number("load");
    return kinds.stream()
        .map(
            kind ->
                new Kind(
                    kind.number(),
                    kind.name(),
                    kind.needs(),
                    kind.repeat(),
                    kind.rate() * load,
                    kind.work(),
                    kind.bound(),
                    kind.slo(),
                    kind.timeout(),
                    kind.importance(),
                    kind.late()))
        .toList();
  }

  /** The settings of a router's start file. */
  public String settings() {
    return settings(false);
  }

  /**
   * Of this shape, or of another: one execution out, only drains bind, a queue in place of busy
   * cores.
   */
  public String settings(boolean another) {
    String classes =
        kinds.stream()
            .map(
                kind ->
                    "{\"Name\":\""
                        + kind.name()
                        + "\",\"Repeat\":\""
                        + kind.repeat()
                        + "\",\"Slo\":"
                        + kind.slo().micros()
                        + ",\"HardLimit\":"
                        + kind.timeout().micros()
                        + ",\"Worth\":"
                        + kind.importance()
                        + ",\"LateWorth\":"
                        + kind.late()
                        + "}")
            .collect(Collectors.joining(","));
    String needs =
        kinds.stream().map(kind -> "\"" + kind.needs() + "\"").collect(Collectors.joining(","));
    String bounds =
        kinds.stream()
            .map(kind -> "" + (kind.needs().equals("bounded") ? kind.bound().micros() : 0))
            .collect(Collectors.joining(","));
    return "{\"Balancers\":"
        + count("routers")
        + ",\"Zone\":0,\"Zones\":[\"a\"],\"Discovery\":\"on_request\","
        + "\"Bounds\":{\"Cancel\":true,\"ConnectTimeout\":250000,\"IdleClose\":15000000,"
        + "\"MaxAttempts\":"
        + (another ? 6 : 4)
        + ","
        + "\"MaxOpen\":5000,\"MaxRetryAfter\":1000000,\"MayDuplicate\":"
        + !another
        + ",\"MayProbe\":true,\"RetryAfter\":true,"
        + "\"StreamsPerConn\":1},\"Classes\":["
        + classes
        + "],\"Costs\":{\"Probe\":"
        + number("poll_price")
        + "},"
        + "\"Reporting\":{\"How\":\"probe\",\"Fields\":[\"x0\",\"x1\",\""
        + (another ? "backlog" : "utilization")
        + "\"]},"
        + "\"FamilyInfo\":{\"Checks\":\""
        + (replicasCheck ? "refuse" : "none")
        + "\",\"ClassRead\":["
        + needs
        + "],\"LagAllowed\":["
        + bounds
        + "],\"ProgressTold\":true,\"SessionMarks\":\"carried\"},"
        + "\"Rules\":{\"RemovalNotBinding\":"
        + another
        + ",\"AnswerSlack\":20000,\"Cold\":10000000,\"ColdFrom\":0.3,\"FallMultiple\":3.0,"
        + "\"Fall\":1000000,\"DrainGrace\":"
        + span("grace_ms").micros()
        + ",\"MustAskIn\":10000000}}";
  }

  /**
   * Where a figure is not what the scenario expects: at most that, or at least where the name ends
   * in _least.
   */
  public List<String> broken(Map<String, Object> figures) {
    List<String> broken = new ArrayList<>();
    expected.forEach(
        (key, bound) -> {
          boolean least = key.endsWith("_least");
          String name = least ? key.substring(0, key.length() - 6) : key;
          double found =
              figures.get(name) instanceof Number number ? number.doubleValue() : Double.NaN;
          if (!(least ? found >= bound : found <= bound)) {
            broken.add(name + " is " + found + ", not at " + (least ? "least " : "most ") + bound);
          }
        });
    return broken;
  }
}
