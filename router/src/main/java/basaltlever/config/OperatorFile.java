package basaltlever.config;

import basaltlever.time.Span;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The operator's own file in INI format, with settings that the platform does not provide. The
 * complete file is checked, and each fault is reported with file, section and key. If there is no
 * such file, neither this class nor the libraries that it needs are loaded.
 */
public final class OperatorFile {
  private static final long MAX_FILE_BYTES = 1 << 20;
  private static final int MAX_DEPLOYMENT_CHARS = 200;
  private static final int BYTES_PER_KILOBYTE = 1_024;
  private static final List<String> LOG_FORMS = List.of("plain", "json");

  /** Matches a name that needs no quotes, with or without its schema, or an empty text. */
  private static final String TABLE_PATTERN = "([a-z_][a-z0-9_]{0,62}(\\.[a-z_][a-z0-9_]{0,62})?)?";

  private final Map<String, String> values;
  private final Path path;
  private final Path snapshotDirectory;
  private final String deployment;
  private final Span snapshotPeriod;
  private final int maxSnapshotBytes;
  private final boolean logsJson;
  private final String switchoverTable;
  private final int maxHeldStatements;
  private final long maxHeldBytes;
  private final FleetSettings fleet;
  private final Span maxStalenessBound;

  private OperatorFile(Path path, Map<String, String> values, List<String> faults) {
    this.path = path;
    this.values = values;
    SettingsReader keys = SettingsReader.ofTree(path + ": ", values, faults);
    logsJson = keys.choice(OperatorKeys.LOG_FORM, keys.text(OperatorKeys.LOG_FORM), LOG_FORMS) == 1;
    snapshotDirectory = directory(keys, OperatorKeys.STATE_FOLDER);
    deployment = deployment(keys);
    snapshotPeriod = millis(keys, OperatorKeys.STATE_PERIOD_MILLIS, 100, 3_600_000);
    switchoverTable = table(keys);
    maxHeldStatements = (int) keys.number(OperatorKeys.HOLD_STATEMENTS, 0, 1_000_000);
    maxHeldBytes = kilobytes(keys, OperatorKeys.HOLD_KILOBYTES, 1_048_576);
    fleet = FleetSettingsReader.read(keys);
    maxStalenessBound = millis(keys, OperatorKeys.FLEET_WIDEST_BOUND_MILLIS, 0, 86_400_000);
    maxSnapshotBytes = (int) kilobytes(keys, OperatorKeys.STATE_MAX_KILOBYTES, 16_384);
  }

  /** Reads and checks a file. */
  public static OperatorFile read(Path path) throws InvalidSettingsException {
    try {
      if (Files.isDirectory(path) || Files.size(path) > MAX_FILE_BYTES) {
        throw new InvalidSettingsException(
            List.of(path + " is no file of up to " + MAX_FILE_BYTES + " bytes"));
      }
      return of(path, Files.readString(path, StandardCharsets.UTF_8));
    } catch (IOException cause) {
      throw new InvalidSettingsException(List.of(path + " can't be read: " + cause));
    }
  }

  private static OperatorFile of(Path path, String text) throws InvalidSettingsException {
    List<String> faults = new ArrayList<>();
    Map<String, String> values = OperatorFileParser.parse(path, text, faults);
    OperatorFile file = new OperatorFile(path, values, faults);
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(faults);
    }
    return file;
  }

  private static String deployment(SettingsReader keys) {
    String name = keys.text(OperatorKeys.STATE_DEPLOYMENT);
    if (name.length() > MAX_DEPLOYMENT_CHARS) {
      keys.fault("state.deployment is longer than " + MAX_DEPLOYMENT_CHARS + " characters");
    }
    return name;
  }

  private static String table(SettingsReader keys) {
    String name = keys.text(OperatorKeys.SWITCHOVER_TABLE);
    // The name is inserted into statements without quoting.
    if (!name.matches(TABLE_PATTERN)) {
      keys.fault(
          "change.table can't be read: "
              + name
              + "; it takes the plain name of a table, or nothing");
    }
    return name;
  }

  /** Returns a directory, or null if none is given. */
  static Path directory(SettingsReader keys, String key) {
    String text = keys.text(key);
    if (text.isEmpty()) {
      return null;
    }
    try {
      return Path.of(text);
    } catch (InvalidPathException fault) {
      keys.fault(key + " can't be read: " + text + "; it takes the path of a folder");
      return null;
    }
  }

  private static Span millis(SettingsReader keys, String key, double min, double max) {
    return Span.ofMillis(keys.number(key, min, max));
  }

  /** Returns a size in bytes; the file states it in kilobytes, 16 or more. */
  private static long kilobytes(SettingsReader keys, String key, double max) {
    return ((long) keys.number(key, 16, max)) * BYTES_PER_KILOBYTE;
  }

  /** Returns the keys that differ from the other file and take effect only after a restart. */
  public List<String> changesNeedingRestart(OperatorFile other) {
    return values.keySet().stream()
        .filter(OperatorFile::needsRestart)
        .filter(key -> !Objects.equals(values.get(key), other.values.get(key)))
        .toList();
  }

  private static boolean needsRestart(String key) {
    return key.startsWith("log.")
        || key.equals(OperatorKeys.STATE_DEPLOYMENT)
        || key.startsWith("fleet.");
  }

  /** Returns the path of the file. */
  public Path path() {
    return path;
  }

  /** Returns the directory of the snapshots; null if none are stored. */
  public Path snapshotDirectory() {
    return snapshotDirectory;
  }

  /** Returns the name that distinguishes the snapshots of this deployment from others. */
  public String deployment() {
    return deployment;
  }

  /** Returns the average interval between two snapshots. */
  public Span snapshotPeriod() {
    return snapshotPeriod;
  }

  /** Returns the maximum size of a snapshot. */
  public int maxSnapshotBytes() {
    return maxSnapshotBytes;
  }

  /** Returns the table that announces planned switchovers; empty if none is polled. */
  public String switchoverTable() {
    return switchoverTable;
  }

  /** Returns the maximum number of held statements; 0 for half of the open statements allowed. */
  public int maxHeldStatements() {
    return maxHeldStatements;
  }

  /** Returns the maximum size of the texts of held statements. */
  public long maxHeldBytes() {
    return maxHeldBytes;
  }

  /** Returns the fleet of this router; null if it belongs to none. */
  public FleetSettings fleet() {
    return fleet;
  }

  /** Returns the upper limit for the staleness bounds of any version; zero for no limit. */
  public Span maxStalenessBound() {
    return maxStalenessBound;
  }

  /** Returns whether log lines are written as JSON. */
  public boolean logsJson() {
    return logsJson;
  }
}
