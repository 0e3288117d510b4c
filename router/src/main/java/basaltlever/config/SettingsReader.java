package basaltlever.config;

import java.math.BigDecimal;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Values by their full path, from nested JSON or from lines of path=value alike; lists of scalars
 * are joined by commas, lists of objects have a count and numbered items. Faults are gathered, to
 * be told all at once.
 */
final class SettingsReader {
  private final Map<String, String> values = new HashMap<>();
  private final String above;
  private final List<String> faults;

  private SettingsReader(String above, List<String> faults) {
    this.above = above;
    this.faults = faults;
  }

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

  /** Faults name their keys with the path above the tree. */
  static SettingsReader ofTree(String above, Object tree, List<String> faults) {
    SettingsReader keys = new SettingsReader(above, faults);
    keys.lay("", tree);
    return keys;
  }

  private void lay(String path, Object value) {
    if (value instanceof Map<?, ?> members) {
      members.forEach(
          (name, member) -> lay(path.isEmpty() ? "" + name : path + "." + name, member));
    } else if (value instanceof List<?> items && items.stream().anyMatch(i -> i instanceof Map)) {
      values.put(path + ".count", "" + items.size());
      for (int i = 0; i < items.size(); i++) {
        lay(path + "." + i, items.get(i));
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

  boolean has(String path) {
    return values.containsKey(path);
  }

  String text(String path) {
    String value = values.get(path);
    if (value == null) {
      fault(path + " is missing");
      return "";
    }
    return value;
  }

  String text(String path, String otherwise) {
    return values.getOrDefault(path, otherwise);
  }

  /** The items of a list of scalars; none where the list is empty or absent. */
  List<String> list(String path) {
    String all = values.getOrDefault(path, "");
    return all.isEmpty() ? List.of() : List.of(all.split(",", -1));
  }

  double number(String path, double least, double most) {
    if (!has(path)) {
      fault(path + " is missing");
      return least;
    }
    return within(path, values.get(path), least, most);
  }

  double number(String path, double least, double most, double otherwise) {
    return has(path) ? number(path, least, most) : otherwise;
  }

  double within(String path, String value, double least, double most) {
    try {
      double number = Double.parseDouble(value);
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Named below, together with values that are out of range.
    }
    fault(
        path
            + " can't be read: "
            + value
            + "; it takes a number from "
            + shown(least)
            + " to "
            + shown(most));
    return least;
  }

  private static String shown(double bound) {
    return new BigDecimal(bound).toPlainString();
  }

  boolean flag(String path) {
    String value = values.getOrDefault(path, "false");
    if (!value.equals("true") && !value.equals("false")) {
      fault(path + " can't be read: " + value + "; it takes true or false");
    }
    return value.equals("true");
  }

  /** The place of the value among the words. */
  int choice(String path, String value, List<String> words) {
    int place = words.indexOf(value);
    if (place < 0) {
      fault(path + " can't be read: " + value + "; it takes " + String.join(", ", words));
    }
    return Math.max(0, place);
  }

  void fault(String line) {
    faults.add(above + line);
  }
}
