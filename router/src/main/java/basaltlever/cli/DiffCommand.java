package basaltlever.cli;

import basaltlever.config.InvalidSettingsException;
import basaltlever.fleet.StatusReport;
import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import java.io.IOException;
import java.io.PrintStream;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/** Prints the differences between two versions of the settings, key by key. */
final class DiffCommand {
  private final FleetOptions.Diff options;
  private final PrintStream out;

  DiffCommand(FleetOptions.Diff options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  int run() throws CommandException, InvalidSettingsException, IOException {
    if (options.numbers.size() != 2) {
      throw new CommandMisusedException("diff takes two numbers of versions");
    }
    StatusReport status = FleetClient.of(options).leaderStatus().status();
    Map<String, String> before = leaves(status, options.numbers.get(0));
    Map<String, String> after = leaves(status, options.numbers.get(1));
    TreeSet<String> keys = new TreeSet<>(before.keySet());
    keys.addAll(after.keySet());
    Map<String, Object> json = new TreeMap<>();
    List<String> lines = new ArrayList<>();
    for (String key : keys) {
      String old = before.get(key);
      String changed = after.get(key);
      if (!Objects.equals(old, changed)) {
        json.put(key, List.of(String.valueOf(old), String.valueOf(changed)));
        lines.add(key + ": " + old + " -> " + changed);
      }
    }
    CommandOutput.print(
        out, options, json, lines.isEmpty() ? "nothing differs" : String.join("\n", lines));
    return ExitCode.OK;
  }

  /** Returns the settings of a version by their paths. */
  private static Map<String, String> leaves(StatusReport status, String number)
      throws CommandException {
    String text = FleetClient.settingsText(status, FleetClient.versionNumber("diff", number));
    Map<String, String> leaves = new TreeMap<>();
    try {
      flatten("", text.isEmpty() ? Map.of() : Json.parse(text), leaves);
    } catch (InvalidJsonException fault) {
      throw new CommandRefusedException("version " + number + " is no JSON: " + fault.getMessage());
    }
    return leaves;
  }

  private static void flatten(String path, Object value, Map<String, String> leaves) {
    if (value instanceof Map<?, ?> members && !members.isEmpty()) {
      members.forEach((name, member) -> flatten(join(path, "" + name), member, leaves));
    } else if (value instanceof List<?> items && !items.isEmpty()) {
      for (int i = 0; i < items.size(); i++) {
        flatten(path + "." + i, items.get(i), leaves);
      }
    } else if (!path.isEmpty()) {
      leaves.put(path, leaf(value));
    }
  }

  private static String join(String path, String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  private static String leaf(Object value) {
    return value instanceof BigDecimal number
        ? number.stripTrailingZeros().toPlainString()
        : String.valueOf(value);
  }
}
