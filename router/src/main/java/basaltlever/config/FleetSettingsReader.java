package basaltlever.config;

import basaltlever.time.Span;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads and checks the fleet section of the operator's file. */
final class FleetSettingsReader {
  private static final int MAX_VOTERS = 7;
  private static final String NAME_PATTERN = "[A-Za-z0-9_.-]{1,64}";

  private final SettingsReader keys;
  private final String name;
  private final Map<String, InetSocketAddress> peers;
  private final Map<String, InetSocketAddress> voters;
  private final Path voterDirectory;
  private final double leaseMillis;
  private final double fencingMillis;
  private final double assignmentLifetimeMillis;

  private FleetSettingsReader(SettingsReader keys) {
    this.keys = keys;
    name = keys.text(OperatorKeys.FLEET_NAME);
    peers = addresses(OperatorKeys.FLEET_PEERS);
    voters = addresses(OperatorKeys.FLEET_VOTERS);
    voterDirectory = OperatorFile.directory(keys, OperatorKeys.FLEET_FOLDER);
    leaseMillis = keys.number(OperatorKeys.FLEET_LEASE_MILLIS, 100, 60_000);
    fencingMillis = keys.number(OperatorKeys.FLEET_STATED_MILLIS, 200, 600_000);
    assignmentLifetimeMillis = keys.number(OperatorKeys.FLEET_ASSIGNED_MILLIS, 1_000, 86_400_000);
  }

  /** Returns the settings, or null if the file names no fleet. */
  static FleetSettings read(SettingsReader keys) {
    FleetSettingsReader reader = new FleetSettingsReader(keys);
    if (reader.name.isEmpty()) {
      return null;
    }
    reader.checkName();
    reader.checkVoters();
    reader.checkTimes();
    return new FleetSettings(
        reader.name,
        reader.peers,
        reader.voters,
        reader.voterDirectory,
        Span.ofMillis(reader.leaseMillis),
        Span.ofMillis(reader.fencingMillis),
        Span.ofMillis(reader.assignmentLifetimeMillis));
  }

  private void checkName() {
    if (!name.matches(NAME_PATTERN)) {
      keys.fault(
          "fleet.name can't be read: " + name + "; it takes up to 64 letters, digits, _ . and -");
    }
  }

  private void checkVoters() {
    if (voters.size() % 2 == 0 || voters.size() > MAX_VOTERS) {
      keys.fault(
          "fleet.voters names "
              + voters.size()
              + "; it takes 1, 3, 5 or 7, so that half is no majority");
    }
    for (String voter : voters.keySet()) {
      if (!peers.containsKey(voter)) {
        keys.fault("fleet.voters names " + voter + ", which fleet.peers does not");
      }
    }
    if (voterDirectory == null) {
      keys.fault("fleet.folder is empty; voters keep their vote in it");
    }
  }

  private void checkTimes() {
    if (fencingMillis < 2 * leaseMillis) {
      keys.fault(
          "fleet.stated_ms is "
              + (long) fencingMillis
              + ", less than twice fleet.lease_ms: a lease and what is on its way then would not be"
              + " over");
    }
    if (assignmentLifetimeMillis < fencingMillis) {
      keys.fault(
          "fleet.assigned_ms is "
              + (long) assignmentLifetimeMillis
              + ", less than fleet.stated_ms: each short cut would take all members from a router");
    }
  }

  private Map<String, InetSocketAddress> addresses(String key) {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    for (String item : keys.list(key)) {
      String[] parts = item.trim().split("@", 2);
      InetSocketAddress address = parts.length == 2 ? Addresses.parse(parts[1]) : null;
      if (address == null || !parts[0].matches(NAME_PATTERN)) {
        keys.fault(
            key + " can't be read: " + item.trim() + "; it takes NAME@ADDRESS:PORT, with commas");
      } else if (addresses.put(parts[0], address) != null) {
        keys.fault(key + " names " + parts[0] + " twice");
      }
    }
    return addresses;
  }
}
