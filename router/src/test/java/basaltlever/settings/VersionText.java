package basaltlever.settings;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartValues;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The text of one version, by key. Judges read its values from here, so that what they expect does
 * not depend on how a router reads or combines settings.
 */
final class VersionText {
  static final int READ = 0;
  static final int OTHER_READ = 1;
  static final int WRITE = 2;
  static final int CLASS_COUNT = 3;

  private static final List<String> READS = List.of("fresh", "session", "bounded", "any");

  /** The possible values of each key; those of a class or a list are drawn for each class. */
  private static final Map<String, List<String>> CHOICES = new TreeMap<>();

  static {
    CHOICES.put("Balancers", List.of("1", "40"));
    CHOICES.put("Me", List.of("0"));
    CHOICES.put("Zone", List.of("0", "1"));
    CHOICES.put("Zones", List.of("east,west"));
    CHOICES.put("Discovery", List.of("on_request"));
    CHOICES.put("Classes.Repeat", List.of("idempotent", "deduplicated", "at_most_once"));
    CHOICES.put("Classes.Group", List.of("all", "zone", "cell"));
    CHOICES.put("Classes.Window", List.of("30000", "120000", "3000000"));
    CHOICES.put("Classes.Slo", List.of("150000", "400000"));
    CHOICES.put("Classes.HardLimit", List.of("600000", "900000"));
    CHOICES.put("Classes.Worth", List.of("1", "4"));
    CHOICES.put("Classes.LateWorth", List.of("0.2", "0.5"));
    CHOICES.put("FamilyInfo.ClassRead", READS);
    CHOICES.put("FamilyInfo.LagAllowed", List.of("60000", "250000", "900000"));
    CHOICES.put("FamilyInfo.Checks", List.of("none", "refuse", "wait"));
    CHOICES.put("FamilyInfo.SessionMarks", List.of("carried", "remembered"));
    CHOICES.put("FamilyInfo.ProgressTold", List.of("false", "true"));
    CHOICES.put("FamilyInfo.OriginTime", List.of("0"));
    CHOICES.put("Reporting.Fields", List.of("x0,x1,utilization", "x0,x1,backlog"));
    CHOICES.put("Bounds.MaxAttempts", List.of("1", "3", "6"));
    CHOICES.put("Bounds.MayDuplicate", List.of("false", "true"));
    CHOICES.put("Bounds.Cancel", List.of("false", "true"));
    CHOICES.put("Bounds.MayProbe", List.of("false", "true", "true"));
    CHOICES.put("Bounds.RetryAfter", List.of("false", "true"));
    CHOICES.put("Bounds.MaxRetryAfter", List.of("20000", "1000000"));
    CHOICES.put("Bounds.ConnectTimeout", List.of("90000", "250000"));
    CHOICES.put("Bounds.IdleClose", List.of("0", "2000000", "15000000"));
    CHOICES.put("Bounds.MaxOpen", List.of("5000"));
    CHOICES.put("Bounds.StreamsPerConn", List.of("1", "2"));
    CHOICES.put("Rules.DrainGrace", List.of("70000", "2000000"));
    CHOICES.put("Rules.AnswerSlack", List.of("0", "20000", "200000"));
    CHOICES.put("Rules.MustAskIn", List.of("1000000", "10000000"));
    CHOICES.put("Rules.ColdFrom", List.of("0.05", "0.8"));
    CHOICES.put("Rules.Cold", List.of("2000000", "30000000"));
    CHOICES.put("Rules.FallMultiple", List.of("0.2", "4"));
    CHOICES.put("Rules.Fall", List.of("100000", "4000000"));
    CHOICES.put("Rules.RemovalNotBinding", List.of("false", "true"));
  }

  private final Map<String, String> values = new TreeMap<>();

  private VersionText() {}

  static VersionText draw(SplittableRandom random) {
    VersionText text = new VersionText();
    CHOICES.forEach(
        (key, choices) -> {
          if (key.startsWith("Classes.")) {
            for (int number = 0; number < CLASS_COUNT; number++) {
              text.values.put(
                  key.replace("Classes.", "Classes." + number + "."), pick(choices, random));
            }
          } else if (key.equals("FamilyInfo.ClassRead")) {
            text.values.put(key, pick(choices, random) + "," + pick(choices, random) + ",write");
          } else if (key.equals("FamilyInfo.LagAllowed")) {
            text.values.put(key, pick(choices, random) + "," + pick(choices, random) + ",0");
          } else {
            text.values.put(key, pick(choices, random));
          }
        });
    text.values.put("Classes.count", "" + CLASS_COUNT);
    for (int number = 0; number < CLASS_COUNT; number++) {
      text.values.put("Classes." + number + ".Name", "class-" + number);
    }
    return text;
  }

  private static String pick(List<String> choices, SplittableRandom random) {
    return choices.get(random.nextInt(choices.size()));
  }

  /** Returns the keys for which values are drawn or given, without the numbers of classes. */
  static List<String> keys() {
    List<String> keys = new ArrayList<>(CHOICES.keySet());
    keys.addAll(List.of("Classes.count", "Classes.Name"));
    Collections.sort(keys);
    return keys;
  }

  /** Returns this text with the values that the other text has for the key. */
  VersionText with(String key, VersionText other) {
    VersionText changed = new VersionText();
    changed.values.putAll(values);
    other.values.forEach(
        (path, value) -> {
          if (path.replaceAll("\\.\\d+\\.", ".").equals(key)) {
            changed.values.put(path, value);
          }
        });
    return changed;
  }

  /** Returns this text with one value in place of the one at the path. */
  VersionText with(String path, String value) {
    VersionText changed = new VersionText();
    changed.values.putAll(values);
    changed.values.put(path, value);
    return changed;
  }

  StartValues startValues() {
    StringBuilder lines = new StringBuilder();
    values.forEach((path, value) -> lines.append(path).append('=').append(value).append('\n'));
    try {
      return StartValues.ofLines(lines.toString());
    } catch (InvalidSettingsException fault) {
      throw new AssertionError(fault);
    }
  }

  String value(String path) {
    return values.get(path);
  }

  boolean flag(String path) {
    return values.get(path).equals("true");
  }

  int count(String path) {
    return Integer.parseInt(values.get(path));
  }

  Span span(String path) {
    return new Span(Long.parseLong(values.get(path)));
  }

  String ofClass(int number, String name) {
    return values.get("Classes." + number + "." + name);
  }

  Span spanOfClass(int number, String name) {
    return new Span(Long.parseLong(ofClass(number, name)));
  }

  /** Returns the item of a list with one item for each class. */
  String item(String path, int number) {
    return values.get(path).split(",")[number];
  }

  @Override
  public String toString() {
    return values.toString();
  }
}
