package basaltlever.lab.endtoend;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Defines the numeric options of a scenario, with ranges and defaults, and parses KEY=VALUE pairs.
 */
final class NumericOptions {
  private record Option(double min, double max, double defaultValue) {}

  private final String scenario;
  private final Map<String, Option> options = new LinkedHashMap<>();

  /** Creates an empty set of options; the message about an unknown key names the scenario. */
  NumericOptions(String scenario) {
    this.scenario = scenario;
  }

  NumericOptions with(String key, double min, double max, double defaultValue) {
    options.put(key, new Option(min, max, defaultValue));
    return this;
  }

  /** Returns the value of every key; keys that are not given have their defaults. */
  Map<String, Double> parse(List<String> pairs) throws InvalidOptionException {
    Map<String, Double> values = new LinkedHashMap<>();
    options.forEach((key, option) -> values.put(key, option.defaultValue));
    for (String pair : pairs) {
      int equals = pair.indexOf('=');
      String key = equals < 0 ? pair : pair.substring(0, equals);
      Option option = options.get(key);
      if (option == null) {
        throw new InvalidOptionException(
            key
                + " is unknown; "
                + scenario
                + " takes "
                + String.join(", ", new ArrayList<>(options.keySet())));
      }
      values.put(key, parseNumber(key, equals < 0 ? "" : pair.substring(equals + 1), option));
    }
    return values;
  }

  private static double parseNumber(String key, String text, Option option)
      throws InvalidOptionException {
    try {
      double value = Double.parseDouble(text);
      if (value >= option.min && value <= option.max) {
        return value;
      }
    } catch (NumberFormatException ignored) {
      // Reported below, together with values that are out of range.
    }
    throw new InvalidOptionException(
        key
            + " can't be read: "
            + text
            + "; it takes a number from "
            + option.min
            + " to "
            + option.max);
  }
}
