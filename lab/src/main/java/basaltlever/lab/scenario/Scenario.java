package basaltlever.lab.scenario;

import basaltlever.lab.world.FaultInjector;
import basaltlever.lab.world.Workload;
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
 * A laboratory run as described by an INI file and the settings of the command line: deployment,
 * workloads, faults and the expected figures. It is validated completely before anything starts.
 */
public final class Scenario {
  /** Reports everything that is invalid in a scenario, one error per line. */
  public static final class InvalidScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidScenarioException(List<String> errors) {
      super(String.join("\n", errors));
    }
  }

  /** Each numeric key of [run] with its default, minimum and maximum. */
  private static final Map<String, double[]> RUN_KEYS = new LinkedHashMap<>();

  static {
    RUN_KEYS.put("seconds", new double[] {20, 1, 7_200});
    RUN_KEYS.put("routers", new double[] {2, 1, 1_000});
    RUN_KEYS.put("groups", new double[] {3, 1, 200});
    RUN_KEYS.put("members", new double[] {5, 2, 50});
    RUN_KEYS.put("cores", new double[] {3, 1, 64});
    RUN_KEYS.put("grace_ms", new double[] {250, 10, 10_000});
    RUN_KEYS.put("faults_from_ms", new double[] {2_000, 20, 600_000});
    RUN_KEYS.put("faults_to_ms", new double[] {5_000, 20, 600_000});
    RUN_KEYS.put("warm_ms", new double[] {3_000, 0, 60_000});
    RUN_KEYS.put("poll_price", new double[] {0.01, 0, 1});
    RUN_KEYS.put("load", new double[] {1, 0.01, 100});
    RUN_KEYS.put("switch_ms", new double[] {0, 0, 600_000});
    RUN_KEYS.put("lose_majority_s", new double[] {0, 0, 86_400});
    RUN_KEYS.put("voters", new double[] {0, 0, 7});
    RUN_KEYS.put("version_ms", new double[] {1_500, 50, 600_000});
    RUN_KEYS.put("read_versions", new double[] {0, 0, 1});
    RUN_KEYS.put("lease_ms", new double[] {400, 100, 60_000});
    RUN_KEYS.put("stated_ms", new double[] {1_000, 200, 600_000});
    RUN_KEYS.put("agrees", new double[] {1, 0, 1});
    RUN_KEYS.put("odd_lists_ms", new double[] {0, 0, 600_000});
    RUN_KEYS.put("late_lists_ms", new double[] {0, 0, 600_000});
    RUN_KEYS.put("assigned_ms", new double[] {30_000, 1_000, 600_000});
    RUN_KEYS.put("stops_ms", new double[] {0, 0, 600_000});
    RUN_KEYS.put("all_at_once_s", new double[] {0, 0, 7_200});
    RUN_KEYS.put("all_share", new double[] {1, 0, 1});
  }

  private static final List<String> READ_CONSISTENCIES =
      List.of("fresh", "session", "bounded", "any");

  private static final List<String> WORKLOAD_KEYS =
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
  public final List<Workload> workloads = new ArrayList<>();
  public final Map<FaultInjector.Kind, Double> faultWeights = new TreeMap<>();
  public final Map<String, Double> expectations = new LinkedHashMap<>();
  public final FaultInjector.Kind simultaneousFault;
  public final boolean replicasRefuseStaleReads;
  public final boolean virtualTime;
  public final boolean usesChangeTable;
  public final boolean abruptHandover;

  /** The requirements of reads from which versions are drawn. */
  public final List<String> versionConsistencies;

  private final Map<String, Double> runValues = new LinkedHashMap<>();
  private final List<String> errors = new ArrayList<>();

  private Scenario(INIConfiguration ini) throws InvalidScenarioException {
    RUN_KEYS.forEach((key, bounds) -> runValues.put(key, bounds[0]));
    Map<String, String> textValues =
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
                "false",
                "version_reads",
                "fresh,session,bounded,any"));
    for (Object name : ini.getSections()) {
      String section = String.valueOf(name);
      var keys = ini.getSection(section);
      Map<String, String> values = new LinkedHashMap<>();
      for (Iterator<String> names = keys.getKeys(); names.hasNext(); ) {
        String key = names.next();
        values.put(key.replace("..", "."), keys.getString(key).trim());
      }
      if (section.equals("run")) {
        values.forEach(
            (key, value) -> {
              if (RUN_KEYS.containsKey(key)) {
                runValues.put(
                    key,
                    parseNumber(section, key, value, RUN_KEYS.get(key)[1], RUN_KEYS.get(key)[2]));
              } else if (textValues.replace(key, value) == null) {
                errors.add("[run] " + key + " is no key");
              }
            });
      } else if (section.startsWith("kind ")) {
        parseWorkload(section, values);
      } else if (section.equals("faults")) {
        values.forEach(
            (key, value) -> {
              FaultInjector.Kind kind = FaultInjector.Kind.findByName(key);
              if (kind == null) {
                errors.add("[faults] " + key + " is no fault");
              } else if (parseNumber(section, key, value, 0, 1e6) > 0) {
                faultWeights.put(kind, parseNumber(section, key, value, 0, 1e6));
              }
            });
      } else if (section.equals("expect")) {
        values.forEach(
            (key, value) -> expectations.put(key, parseNumber(section, key, value, -1e9, 1e9)));
      } else {
        errors.add("[" + section + "] is no section");
      }
    }
    title = textValues.get("title");
    virtualTime = textValues.get("mode").equals("virtual");
    replicasRefuseStaleReads = textValues.get("checks").equals("true");
    abruptHandover = textValues.get("abrupt").equals("true");
    versionConsistencies = List.of(textValues.get("version_reads").split(","));
    usesChangeTable = textValues.get("change_table").equals("true");
    simultaneousFault =
        textValues.get("all_at_once").isEmpty()
            ? null
            : FaultInjector.Kind.findByName(textValues.get("all_at_once"));
    if (!READ_CONSISTENCIES.containsAll(versionConsistencies)) {
      errors.add("[run] version_reads takes fresh, session, bounded and any");
    }
    if (workloads.isEmpty()) {
      errors.add("there is no [kind NAME]");
    }
    if (!List.of("sockets", "virtual").contains(textValues.get("mode"))) {
      errors.add("[run] mode takes sockets or virtual");
    }
    if (simultaneousFault == null && !textValues.get("all_at_once").isEmpty()) {
      errors.add("[run] all_at_once names no fault");
    }
    if (number("faults_from_ms") > number("faults_to_ms")) {
      errors.add("[run] faults_from_ms is above faults_to_ms");
    }
    if (!errors.isEmpty()) {
      throw new InvalidScenarioException(errors);
    }
  }

  private void parseWorkload(String section, Map<String, String> values) {
    for (String key : values.keySet()) {
      if (!WORKLOAD_KEYS.contains(key)) {
        errors.add("[" + section + "] " + key + " is no key");
      }
    }
    String needs = values.getOrDefault("needs", "any");
    String repeat = values.getOrDefault("repeat", "idempotent");
    if (!needs.equals("write") && !READ_CONSISTENCIES.contains(needs)) {
      errors.add("[" + section + "] needs takes write, fresh, session, bounded or any");
    }
    if (!List.of("idempotent", "at_most_once").contains(repeat)) {
      errors.add("[" + section + "] repeat takes idempotent or at_most_once");
    }
    workloads.add(
        new Workload(
            workloads.size(),
            section.substring(5).trim(),
            needs,
            repeat,
            parseOptional(section, values, "rate", 10, 0.001, 1e5),
            parseMillis(section, values, "work_ms", 5),
            parseMillis(section, values, "bound_ms", 200),
            parseMillis(section, values, "slo_ms", 600),
            parseMillis(section, values, "timeout_ms", 2_000),
            parseOptional(section, values, "importance", 1, 0, 1e6),
            parseOptional(section, values, "late", 0, 0, 1)));
  }

  private Span parseMillis(
      String section, Map<String, String> values, String key, double defaultValue) {
    return Span.ofMillis(parseOptional(section, values, key, defaultValue, 0.001, 600_000));
  }

  private double parseOptional(
      String section,
      Map<String, String> values,
      String key,
      double defaultValue,
      double min,
      double max) {
    return values.containsKey(key)
        ? parseNumber(section, key, values.get(key), min, max)
        : defaultValue;
  }

  private double parseNumber(String section, String key, String value, double min, double max) {
    try {
      double number = Double.parseDouble(value);
      if (number >= min && number <= max) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below, together with values that are out of range.
    }
    errors.add(
        "["
            + section
            + "] "
            + key
            + " takes a number from "
            + min
            + " to "
            + max
            + ", not "
            + value);
    return min;
  }

  /**
   * Parses a scenario.
   *
   * @param settings values that replace those of the text: SECTION.KEY=VALUE, or KEY=VALUE for
   *     [run]
   */
  public static Scenario parse(String text, List<String> settings) throws InvalidScenarioException {
    try {
      INIConfiguration ini = new INIConfiguration();
      ini.read(new StringReader(text));
      for (String setting : settings) {
        int equals = setting.indexOf('=');
        if (equals <= 0) {
          throw new InvalidScenarioException(List.of("--set takes KEY=VALUE, not " + setting));
        }
        String key = setting.substring(0, equals);
        int dot = key.lastIndexOf('.');
        ini.getSection(dot < 0 ? "run" : key.substring(0, dot))
            .setProperty(key.substring(dot + 1), setting.substring(equals + 1));
      }
      return new Scenario(ini);
    } catch (ConfigurationException | IOException cause) {
      throw new InvalidScenarioException(List.of("it is no INI file: " + cause.getMessage()));
    }
  }

  /** Reads a scenario of the program by its name, or any file that ends in .ini. */
  public static String readText(String name) throws InvalidScenarioException {
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
      throw new InvalidScenarioException(List.of(name + " can't be read: " + cause));
    }
    throw new InvalidScenarioException(
        List.of("there is no scenario " + name + "; list names them"));
  }

  /** The value of a numeric key of [run]. */
  public double number(String key) {
    return runValues.get(key);
  }

  public int count(String key) {
    return (int) number(key);
  }

  public Span span(String key) {
    return Span.ofMillis(number(key));
  }

  /** The workloads, with their rates multiplied by the load of the run. */
  public List<Workload> scaledWorkloads() {
    double load = number("load");
    return workloads.stream()
        .map(
            workload ->
                new Workload(
                    workload.index(),
                    workload.name(),
                    workload.consistency(),
                    workload.repeatPolicy(),
                    workload.ratePerSecond() * load,
                    workload.serviceTime(),
                    workload.stalenessBound(),
                    workload.slo(),
                    workload.timeout(),
                    workload.importance(),
                    workload.lateImportance()))
        .toList();
  }

  /** The settings of a router's start file. */
  public String routerSettings() {
    return routerSettings(false);
  }

  /**
   * The settings of a router's start file.
   *
   * @param alternative whether to return settings of another shape to switch to: no second
   *     execution of a statement at the same time, up to six attempts, removals that are not
   *     binding, and load reports with the backlog in place of the utilization
   */
  public String routerSettings(boolean alternative) {
    return routerSettings(alternative, workloads);
  }

  /** The settings of a router's start file, with other requirements for the workloads. */
  public String routerSettings(List<Workload> versionWorkloads) {
    return routerSettings(false, versionWorkloads);
  }

  private String routerSettings(boolean alternative, List<Workload> settingsWorkloads) {
    String classes =
        settingsWorkloads.stream()
            .map(
                workload ->
                    "{\"Name\":\""
                        + workload.name()
                        + "\",\"Repeat\":\""
                        + workload.repeatPolicy()
                        + "\",\"Slo\":"
                        + workload.slo().micros()
                        + ",\"HardLimit\":"
                        + workload.timeout().micros()
                        + ",\"Worth\":"
                        + workload.importance()
                        + ",\"LateWorth\":"
                        + workload.lateImportance()
                        + "}")
            .collect(Collectors.joining(","));
    String needs =
        settingsWorkloads.stream()
            .map(workload -> "\"" + workload.consistency() + "\"")
            .collect(Collectors.joining(","));
    String bounds =
        settingsWorkloads.stream()
            .map(
                workload ->
                    ""
                        + (workload.consistency().equals("bounded")
                            ? workload.stalenessBound().micros()
                            : 0))
            .collect(Collectors.joining(","));
    return "{\"Balancers\":"
        + count("routers")
        + ",\"Zone\":0,\"Zones\":[\"a\"],\"Discovery\":\"on_request\","
        + "\"Bounds\":{\"Cancel\":true,\"ConnectTimeout\":250000,\"IdleClose\":15000000,"
        + "\"MaxAttempts\":"
        + (alternative ? 6 : 4)
        + ","
        + "\"MaxOpen\":5000,\"MaxRetryAfter\":1000000,\"MayDuplicate\":"
        + !alternative
        + ",\"MayProbe\":true,\"RetryAfter\":true,"
        + "\"StreamsPerConn\":1},\"Classes\":["
        + classes
        + "],\"Costs\":{\"Probe\":"
        + number("poll_price")
        + "},"
        + "\"Reporting\":{\"How\":\"probe\",\"Fields\":[\"x0\",\"x1\",\""
        + (alternative ? "backlog" : "utilization")
        + "\"]},"
        + "\"FamilyInfo\":{\"Checks\":\""
        + (replicasRefuseStaleReads ? "refuse" : "none")
        + "\",\"ClassRead\":["
        + needs
        + "],\"LagAllowed\":["
        + bounds
        + "],\"ProgressTold\":true,\"SessionMarks\":\"carried\"},"
        + "\"Rules\":{\"RemovalNotBinding\":"
        + alternative
        + ",\"AnswerSlack\":20000,\"Cold\":10000000,\"ColdFrom\":0.3,\"FallMultiple\":3.0,"
        + "\"Fall\":1000000,\"DrainGrace\":"
        + span("grace_ms").micros()
        + ",\"MustAskIn\":10000000}}";
  }

  /**
   * The figures that do not meet the expectations of the scenario. An expectation is a maximum, or
   * a minimum if its key ends in _least.
   */
  public List<String> violations(Map<String, Object> figures) {
    List<String> violations = new ArrayList<>();
    expectations.forEach(
        (key, bound) -> {
          boolean isMinimum = key.endsWith("_least");
          String name = isMinimum ? key.substring(0, key.length() - 6) : key;
          double actual =
              figures.get(name) instanceof Number number ? number.doubleValue() : Double.NaN;
          if (!(isMinimum ? actual >= bound : actual <= bound)) {
            violations.add(
                name + " is " + actual + ", not at " + (isMinimum ? "least " : "most ") + bound);
          }
        });
    return violations;
  }
}
