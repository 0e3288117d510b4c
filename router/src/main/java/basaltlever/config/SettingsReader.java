package basaltlever.config;

import java.math.BigDecimal;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads values by their full path, from nested JSON or from lines of path=value. Lists of scalars
 * are joined by commas; lists of objects have a count and numbered items. Faults are collected and
 * reported together.
 */
final class SettingsReader {
  private final Map<String, String> values = new HashMap<>();
  private final String prefix;
  private final List<String> faults;

  private SettingsReader(String prefix, List<String> faults) {
    this.prefix = prefix;
    this.faults = faults;
  }

  /** Reads lines of path=value. */
  static SettingsReader ofLines(String text, List<String> faults) {
    SettingsReader keys = new SettingsReader("", faults);
    for (String line : text.split("\n")) {
      int equals = line.indexOf('=');
      if (equals > 0) {
        keys.values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
      }
    }
    return keys;
  }

  /** Reads a tree of maps and lists; each fault starts with the prefix. */
  static SettingsReader ofTree(String prefix, Object tree, List<String> faults) {
    SettingsReader keys = new SettingsReader(prefix, faults);
    keys.flatten("", tree);
    return keys;
  }

  private void flatten(String path, Object value) {
    if (value instanceof Map<?, ?> members) {
      members.forEach(
          (name, member) -> flatten(path.isEmpty() ? "" + name : path + "." + name, member));
    } else if (value instanceof List<?> items && items.stream().anyMatch(i -> i instanceof Map)) {
      values.put(path + ".count", "" + items.size());
      for (int i = 0; i < items.size(); i++) {
        flatten(path + "." + i, items.get(i));
      }
    } else if (value instanceof List<?> items) {
      values.put(path, String.join(",", items.stream().map(SettingsReader::plain).toList()));
    } else if (value != null) {
      values.put(path, plain(value));
    }
  }

  private static String plain(Object value) {
    return value instanceof BigDecimal number ? number.toPlainString() : String.valueOf(value);
  }

  /** Returns whether there is a value. */
  boolean has(String path) {
    return values.containsKey(path);
  }

  /** Returns the value; adds a fault if it is missing. */
  String text(String path) {
    String value = values.get(path);
    if (value == null) {
      fault(path + " is missing");
      return "";
    }
    return value;
  }

  /** Returns the value, or the default if it is missing. */
  String text(String path, String defaultValue) {
    return values.getOrDefault(path, defaultValue);
  }

  /** Returns the items of a list of scalars; none if the list is empty or missing. */
  List<String> list(String path) {
    String all = values.getOrDefault(path, "");
    return all.isEmpty() ? List.of() : List.of(all.split(",", -1));
  }

  /** Returns a number within the bounds; adds a fault if it is missing or out of bounds. */
  double number(String path, double min, double max) {
    if (!has(path)) {
      fault(path + " is missing");
      return min;
    }
    return parseNumber(path, values.get(path), min, max);
  }

  /** Returns a number within the bounds, or the default if it is missing. */
  double number(String path, double min, double max, double defaultValue) {
    return has(path) ? number(path, min, max) : defaultValue;
  }

  /** Parses a value as a number within the bounds; adds a fault if it is not. */
  double parseNumber(String path, String value, double min, double max) {
    try {
      double number = Double.parseDouble(value);
      if (number >= min && number <= max) {
        return number;
      }
    } catch (NumberFormatException noNumber) {
      // Reported below, like values out of bounds.
    }
    fault(
        path
            + " can't be read: "
            + value
            + "; it takes a number from "
            + formatBound(min)
            + " to "
            + formatBound(max));
    return min;
  }

  private static String formatBound(double bound) {
    return new BigDecimal(bound).toPlainString();
  }

  /** Returns whether the value is true; false if it is missing. */
  boolean flag(String path) {
    String value = values.getOrDefault(path, "false");
    if (!value.equals("true") && !value.equals("false")) {
      fault(path + " can't be read: " + value + "; it takes true or false");
    }
    return value.equals("true");
  }

  /** Returns the index of the value among the options; adds a fault if it is none of them. */
  int choice(String path, String value, List<String> options) {
    int index = options.indexOf(value);
    if (index < 0) {
      fault(path + " can't be read: " + value + "; it takes " + String.join(", ", options));
    }
    return Math.max(0, index);
  }

  /** Adds a fault to the list, with the prefix of this reader. */
  void fault(String line) {
    faults.add(prefix + line);
  }
}
