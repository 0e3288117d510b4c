package basaltlever.config;

import java.math.BigDecimal;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Reads values by their full path, from nested JSON or from lines of path=value. Lists of scalars
 * are joined by commas; lists of objects have a count and numbered items. Faults are collected and
 * reported together.
 */
final class SettingsReader {
  /** The number of an item in a list of objects, within a path. */
  private static final Pattern ITEM_NUMBER = Pattern.compile("\\.\\d+(?=\\.)");

  private final Map<String, String> values = new HashMap<>();

  /** The paths that were read, without the numbers of items. */
  private final Set<String> readKeys = new TreeSet<>();

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

  /** Returns the paths that were read so far, present or not, without the numbers of items. */
  Set<String> readKeys() {
    return readKeys;
  }

  /** Returns the value; null if there is none. */
  private String find(String path) {
    readKeys.add(ITEM_NUMBER.matcher(path).replaceAll(""));
    return values.get(path);
  }

  /** Returns whether there is a value. */
  boolean has(String path) {
    return find(path) != null;
  }

  /** Returns the value; adds a fault if it is missing. */
  String text(String path) {
    String value = find(path);
    if (value == null) {
      fault(path + " is missing");
      return "";
    }
    return value;
  }

  /** Returns the value, or the default if it is missing. */
  String text(String path, String defaultValue) {
    String value = find(path);
    return value == null ? defaultValue : value;
  }

  /** Returns the items of a list of scalars; none if the list is empty or missing. */
  List<String> list(String path) {
    String all = text(path, "");
    return all.isEmpty() ? List.of() : List.of(all.split(",", -1));
  }

  /** Returns a number within the bounds; adds a fault if it is missing or out of bounds. */
  double number(String path, double min, double max) {
    if (!has(path)) {
      fault(path + " is missing");
      return min;
    }
    return parseNumber(path, find(path), min, max);
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
    String value = text(path, "false");
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
