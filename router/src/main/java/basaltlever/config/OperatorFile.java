package basaltlever.config;

import basaltlever.time.Span;
import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * The operator's own file, INI: what the platform does not tell a router. Read whole and checked
 * whole; each fault is named by file, section and key. Without it none of this is loaded.
 */
public final class OperatorFile {
  private static final long LARGEST = 1 << 20;
  private static final int CLOSE = 3;
  private static final int MOST_VOTERS = 7;
  private static final List<String> FORMS = List.of("plain", "json");

  /** Every key there is, by section.key, with the value it takes where the file has none. */
  static final Map<String, String> KEYS = keys();

  private final Map<String, String> values = new LinkedHashMap<>(KEYS);
  private final Path path;
  private final Path folder;
  private final String deployment;
  private final Span period;
  private final int mostBytes;
  private final boolean json;
  private final String changeTable;
  private final int heldStatements;
  private final long heldBytes;
  private final FleetSettings fleet;
  private final Span widestBound;

  private static Map<String, String> keys() {
    Map<String, String> keys = new LinkedHashMap<>();
    keys.put("log.form", "plain");
    keys.put("state.folder", "");
    keys.put("state.deployment", "");
    keys.put("state.period_ms", "5000");
    keys.put("state.largest_kb", "4096");
    keys.put("change.table", "");
    keys.put("hold.statements", "0");
    keys.put("hold.kb", "8192");
    keys.put("fleet.name", "");
    keys.put("fleet.peers", "");
    keys.put("fleet.voters", "");
    keys.put("fleet.folder", "");
    keys.put("fleet.lease_ms", "400");
    keys.put("fleet.stated_ms", "1000");
    keys.put("fleet.assigned_ms", "30000");
    keys.put("fleet.widest_bound_ms", "0");
    return keys;
  }

  private OperatorFile(Path path, INIConfiguration ini, List<String> faults) {
    this.path = path;
    String above = path + ": ";
    for (String section : new TreeSet<>(ini.getSections().stream().map(String::valueOf).toList())) {
      // Keys before any section have none: the library names that section null.
      var keys = section.equals("null") ? ini.getSection(null) : ini.getSection(section);
      for (Iterator<String> names = keys.getKeys(); names.hasNext(); ) {
        String key = names.next();
        // The library doubles the dots in names, which mean a level to it.
        String full = section + "." + key.replace("..", ".");
        if (!KEYS.containsKey(full)) {
          faults.add(
              above + "[" + section + "] " + key.replace("..", ".") + " is no key" + nearest(full));
        } else if (keys.getList(key).size() > 1) {
          faults.add(above + "[" + section + "] " + key + " is given more than once");
        } else {
          values.put(full, keys.getString(key).trim());
        }
      }
    }
    SettingsReader keys = SettingsReader.ofTree(above, values, faults);
    json = keys.choice("log.form", values.get("log.form"), FORMS) == 1;
    folder = folder(keys, "state.folder");
    deployment = values.get("state.deployment");
    if (deployment.length() > 200) {
      keys.fault("state.deployment is longer than 200 characters");
    }
    period = Span.ofMillis(keys.number("state.period_ms", 100, 3_600_000));
    changeTable = table(keys);
    heldStatements = (int) keys.number("hold.statements", 0, 1_000_000);
    heldBytes = ((long) keys.number("hold.kb", 16, 1_048_576)) * 1_024;
    fleet = fleet(keys);
    widestBound = Span.ofMillis(keys.number("fleet.widest_bound_ms", 0, 86_400_000));
    mostBytes = ((int) keys.number("state.largest_kb", 16, 16_384)) * 1_024;
  }

  private static String table(SettingsReader keys) {
    String name = keys.text("change.table");
    // It goes into statements as it is.
    if (!name.matches("([a-z_][a-z0-9_]{0,62}(\\.[a-z_][a-z0-9_]{0,62})?)?")) {
      keys.fault(
          "change.table can't be read: "
              + name
              + "; it takes the plain name of a table, or nothing");
    }
    return name;
  }

  private FleetSettings fleet(SettingsReader keys) {
    String name = keys.text("fleet.name");
    Map<String, InetSocketAddress> peers = places(keys, "fleet.peers");
    Map<String, InetSocketAddress> voters = places(keys, "fleet.voters");
    Path place = folder(keys, "fleet.folder");
    double lease = keys.number("fleet.lease_ms", 100, 60_000);
    double stated = keys.number("fleet.stated_ms", 200, 600_000);
    double assigned = keys.number("fleet.assigned_ms", 1_000, 86_400_000);
    if (name.isEmpty()) {
      return null;
    }
    if (!name.matches("[A-Za-z0-9_.-]{1,64}")) {
      keys.fault(
          "fleet.name can't be read: "
              + name
              + "; it takes up to 64 letters,"
              + " digits, _ . and -");
    }
    if (voters.size() % 2 == 0 || voters.size() > MOST_VOTERS) {
      keys.fault(
          "fleet.voters names "
              + voters.size()
              + "; it takes 1, 3, 5 or 7, so that half is no"
              + " majority");
    }
    for (String voter : voters.keySet()) {
      if (!peers.containsKey(voter)) {
        keys.fault("fleet.voters names " + voter + ", which fleet.peers does not");
      }
    }
    if (place == null) {
      keys.fault("fleet.folder is empty; voters keep their vote in it");
    }
    if (stated < 2 * lease) {
      keys.fault(
          "fleet.stated_ms is "
              + (long) stated
              + ", less than twice fleet.lease_ms: a lease and"
              + " what is on its way then would not be over");
    }
    if (assigned < stated) {
      keys.fault(
          "fleet.assigned_ms is "
              + (long) assigned
              + ", less than fleet.stated_ms: each short cut"
              + " would take all members from a router");
    }
    return new FleetSettings(
        name,
        peers,
        voters,
        place,
        Span.ofMillis(lease),
        Span.ofMillis(stated),
        Span.ofMillis(assigned));
  }

  private static Map<String, InetSocketAddress> places(SettingsReader keys, String key) {
    Map<String, InetSocketAddress> places = new LinkedHashMap<>();
    for (String item : keys.list(key)) {
      String[] parts = item.trim().split("@", 2);
      InetSocketAddress at = parts.length == 2 ? Addresses.parse(parts[1]) : null;
      if (at == null || parts[0].isEmpty() || !parts[0].matches("[A-Za-z0-9_.-]{1,64}")) {
        keys.fault(
            key + " can't be read: " + item.trim() + "; it takes NAME@ADDRESS:PORT, with commas");
      } else if (places.put(parts[0], at) != null) {
        keys.fault(key + " names " + parts[0] + " twice");
      }
    }
    return places;
  }

  private static Path folder(SettingsReader keys, String key) {
    String text = keys.text(key);
    if (text.isEmpty()) {
      return null;
    }
    try {
      return Path.of(text);
    } catch (java.nio.file.InvalidPathException fault) {
      keys.fault(key + " can't be read: " + text + "; it takes the path of a folder");
      return null;
    }
  }

  private static String nearest(String wrong) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    String best = null;
    int least = Integer.MAX_VALUE;
    for (String key : KEYS.keySet()) {
      int apart = distance.apply(wrong, key);
      if (apart < least) {
        least = apart;
        best = key;
      }
    }
    String[] parts = best.split("\\.", 2);
    return (least <= CLOSE ? "; did you mean [" : "; the nearest is [")
        + parts[0]
        + "] "
        + parts[1]
        + "?";
  }

  public static OperatorFile read(Path path) throws InvalidSettingsException {
    try {
      if (Files.isDirectory(path) || Files.size(path) > LARGEST) {
        throw new InvalidSettingsException(
            List.of(path + " is no file of up to " + LARGEST + " bytes"));
      }
      return of(path, Files.readString(path, StandardCharsets.UTF_8));
    } catch (IOException cause) {
      throw new InvalidSettingsException(List.of(path + " can't be read: " + cause));
    }
  }

  static OperatorFile of(Path path, String text) throws InvalidSettingsException {
    List<String> faults = new ArrayList<>();
    try {
      lines(path, text, faults);
      INIConfiguration ini = new INIConfiguration();
      ini.read(new StringReader(text));
      OperatorFile file = new OperatorFile(path, ini, faults);
      if (faults.isEmpty()) {
        return file;
      }
    } catch (ConfigurationException | IOException | RuntimeException cause) {
      faults.add(path + " is no INI file: " + cause.getMessage());
    }
    throw new InvalidSettingsException(faults);
  }

  // The library takes a line without a value for an empty one, which would switch off what the
  // operator
  // meant.
  private static void lines(Path path, String text, List<String> faults) {
    String[] lines = text.split("\n");
    for (int i = 0; i < lines.length; i++) {
      String line = lines[i].trim();
      boolean comment = line.isEmpty() || line.startsWith("#") || line.startsWith(";");
      if (!comment && !(line.startsWith("[") && line.endsWith("]")) && line.indexOf('=') <= 0) {
        faults.add(path + ": line " + (i + 1) + " is neither [section] nor key = value");
      }
    }
  }

  /** The keys that differ from the other file and that a running router can't take over. */
  public List<String> restartsFor(OperatorFile other) {
    return values.keySet().stream()
        .filter(
            key ->
                key.startsWith("log.")
                    || key.equals("state.deployment")
                    || key.startsWith("fleet."))
        .filter(key -> !Objects.equals(values.get(key), other.values.get(key)))
        .toList();
  }

  public Path path() {
    return path;
  }

  /** Where the view is kept; null where it is not. */
  public Path folder() {
    return folder;
  }

  /** What tells the views of one fleet from another's. */
  public String deployment() {
    return deployment;
  }

  /** How often a view is written, on average. */
  public Span period() {
    return period;
  }

  public int mostBytes() {
    return mostBytes;
  }

  /** Where members tell of planned changes of their primary; empty where they are not asked. */
  public String changeTable() {
    return changeTable;
  }

  /** How many statements may be held at once; 0 for half of those that may be open. */
  public int heldStatements() {
    return heldStatements;
  }

  /** How many bytes of statements' texts may be held at once. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Null where this router is of no fleet. */
  public FleetSettings fleet() {
    return fleet;
  }

  /** Reads may see no older data by any version; none where no ceiling is set. */
  public Span widestBound() {
    return widestBound;
  }

  /** Whether log lines are JSON. */
  public boolean logsJson() {
    return json;
  }
}
