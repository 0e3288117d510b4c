package basaltlever.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** Parses the text of an operator's file into values by section.key, with all defaults. */
final class OperatorFileParser {
  /** The library's name for the section of keys before the first section header. */
  private static final String NO_SECTION = "null";

  private final Path path;
  private final List<String> faults;
  private final Map<String, String> values = new LinkedHashMap<>(OperatorKeys.DEFAULTS);

  private OperatorFileParser(Path path, List<String> faults) {
    this.path = path;
    this.faults = faults;
  }

  /**
   * Parses a text.
   *
   * @param path the path of the file, for messages
   * @param faults receives a line for each unknown, repeated or malformed key
   * @throws InvalidSettingsException with all faults, if the text is not an INI file
   */
  @SuppressWarnings("IllegalCatch") // The library throws undeclared exceptions on malformed files.
  static Map<String, String> parse(Path path, String text, List<String> faults)
      throws InvalidSettingsException {
    OperatorFileParser parser = new OperatorFileParser(path, faults);
    try {
      parser.checkLines(text);
      INIConfiguration ini = new INIConfiguration();
      ini.read(new StringReader(text));
      parser.collect(ini);
    } catch (ConfigurationException | IOException | RuntimeException cause) {
      faults.add(path + " is no INI file: " + cause.getMessage());
      throw new InvalidSettingsException(faults);
    }
    return parser.values;
  }

  /**
   * Reports lines without a value. The library reads them as keys with an empty value, which could
   * disable a feature.
   */
  private void checkLines(String text) {
    String[] lines = text.split("\n");
    for (int i = 0; i < lines.length; i++) {
      String line = lines[i].trim();
      boolean ignored = line.isEmpty() || line.startsWith("#") || line.startsWith(";");
      boolean section = line.startsWith("[") && line.endsWith("]");
      if (!ignored && !section && line.indexOf('=') <= 0) {
        faults.add(path + ": line " + (i + 1) + " is neither [section] nor key = value");
      }
    }
  }

  private void collect(INIConfiguration ini) {
    for (String section : new TreeSet<>(ini.getSections().stream().map(String::valueOf).toList())) {
      SubnodeConfiguration keys = ini.getSection(section.equals(NO_SECTION) ? null : section);
      for (Iterator<String> names = keys.getKeys(); names.hasNext(); ) {
        collect(section, keys, names.next());
      }
    }
  }

  private void collect(String section, SubnodeConfiguration keys, String escapedKey) {
    // The library doubles dots within names, as a single dot separates levels.
    String key = escapedKey.replace("..", ".");
    String fullKey = section + "." + key;
    String place = path + ": [" + section + "] ";
    if (!OperatorKeys.DEFAULTS.containsKey(fullKey)) {
      faults.add(place + key + " is no key" + OperatorKeys.suggestion(fullKey));
    } else if (keys.getList(escapedKey).size() > 1) {
      faults.add(place + escapedKey + " is given more than once");
    } else {
      values.put(fullKey, keys.getString(escapedKey).trim());
    }
  }
}
