package basaltlever.lab.endtoend;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The numeric options of one kind of run: their ranges and defaults, and the reader of KEY=VALUE
 * pairs.
 */
final class NumberOptions {
  private record Option(double least, double most, double otherwise) {}

  private final String scenario;
  private final Map<String, Option> options = new LinkedHashMap<>();

  /** The scenario is named in the message about an unknown key. */
  NumberOptions(String scenario) {
    this.scenario = scenario;
  }

  NumberOptions with(String key, double least, double most, double otherwise) {
    options.put(key, new Option(least, most, otherwise));
    return this;
  }

  /** Every key with its value; keys that are not given have their defaults. */
  Map<String, Double> parse(List<String> pairs) throws InvalidOption {
    Map<String, Double> values = new LinkedHashMap<>();
    options.forEach((key, option) -> values.put(key, option.otherwise));
    for (String pair : pairs) {
      int equals = pair.indexOf('=');
      String key = equals < 0 ? pair : pair.substring(0, equals);
      Option option = options.get(key);
      if (option == null) {
        throw new InvalidOption(
            key
                + " is unknown; "
                + scenario
                + " takes "
                + String.join(", ", new ArrayList<>(options.keySet())));
      }
      values.put(key, number(key, equals < 0 ? "" : pair.substring(equals + 1), option));
    }
    return values;
  }

  private static double number(String key, String text, Option option) throws InvalidOption {
    try {
      double value = Double.parseDouble(text);
      if (value >= option.least && value <= option.most) {
        return value;
      }
    } catch (NumberFormatException notANumber) {
      // Reported below, together with values that are out of range.
    }
    throw new InvalidOption(
        key
            + " can't be read: "
            + text
            + "; it takes a number from "
            + option.least
            + " to "
            + option.most);
  }
}
