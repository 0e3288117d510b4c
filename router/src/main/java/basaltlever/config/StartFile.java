package basaltlever.config;

import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * The start file of a router: its addresses, its limits, the last endpoint list that it stored, and
 * its settings.
 */
public final class StartFile {
  private static final long MAX_FILE_BYTES = 16 << 20;
  private static final int MIN_SOCKETS = 64;
  private static final int DEFAULT_SOCKETS = 1_024;
  private static final double MAX_SOCKETS = 1e6;
  private static final int HEXADECIMAL = 16;

  /** Settings that a running router cannot change: the endpoint list and memory depend on them. */
  private static final List<String> FIXED_SETTINGS = List.of("Zones", "Bounds.MaxOpen");

  /** Settings that are specific to each router and not replaced by those of the fleet. */
  private static final List<String> ROUTER_SETTINGS = List.of("Me", "Zone", "Zones");

  private final Map<?, ?> tree;
  private final String name;
  private final InetSocketAddress listen;
  private final InetSocketAddress discovery;
  private final long seed;
  private final int maxDescriptors;
  private Map<?, ?> storedEndpointList;
  private final StartValues startValues;

  private StartFile(Map<?, ?> tree, List<String> faults) {
    Map<Object, Object> withoutList = new LinkedHashMap<>(tree);
    withoutList.remove("known");
    this.tree = withoutList;
    Map<Object, Object> withoutSettings = new LinkedHashMap<>(withoutList);
    withoutSettings.remove("settings");
    SettingsReader keys = SettingsReader.ofTree("", withoutSettings, faults);
    name = keys.text("name", "router");
    listen = address(keys, "listen");
    discovery = address(keys, "discovery");
    seed = seed(keys);
    maxDescriptors = (int) keys.number("limits.sockets", MIN_SOCKETS, MAX_SOCKETS, DEFAULT_SOCKETS);
    storedEndpointList = tree.get("known") instanceof Map<?, ?> list ? list : Map.of();
    if (tree.get("known") != null && !(tree.get("known") instanceof Map)) {
      keys.fault("known can't be read; it takes an object as the list of members has it");
    }
    if (!(tree.get("settings") instanceof Map)) {
      keys.fault("settings is missing");
      startValues = null;
    } else {
      startValues =
          new StartValues(SettingsReader.ofTree("settings.", tree.get("settings"), faults), true);
    }
  }

  /** Reads and checks a file. */
  public static StartFile read(Path path) throws InvalidSettingsException {
    String text;
    try {
      if (Files.isDirectory(path)) {
        throw new InvalidSettingsException(List.of(path + " is a directory"));
      }
      if (Files.size(path) > MAX_FILE_BYTES) {
        throw new InvalidSettingsException(
            List.of(path + " is larger than " + MAX_FILE_BYTES + " bytes"));
      }
      text = Files.readString(path);
    } catch (IOException cause) {
      throw new InvalidSettingsException(List.of(path + " can't be read: " + cause));
    }
    return parse(text);
  }

  /** Parses and checks the text of a file. */
  public static StartFile parse(String text) throws InvalidSettingsException {
    List<String> faults = new ArrayList<>();
    try {
      if (Json.parse(text) instanceof Map<?, ?> tree) {
        StartFile file = new StartFile(tree, faults);
        if (faults.isEmpty()) {
          return file;
        }
      } else {
        faults.add("the start file is no JSON object");
      }
    } catch (InvalidJsonException fault) {
      faults.add("the start file is no JSON: " + fault.getMessage());
    }
    throw new InvalidSettingsException(faults);
  }

  /**
   * Returns this file with other settings, except for those that are specific to each router.
   *
   * @param settings the settings as JSON; empty for those of this file
   * @param routers the number of routers that share the traffic
   */
  public StartFile withSettings(String settings, int routers) throws InvalidSettingsException {
    List<String> faults = new ArrayList<>();
    try {
      Map<Object, Object> all = new LinkedHashMap<>(tree);
      Map<?, ?> ownSettings = (Map<?, ?>) tree.get("settings");
      Object read = settings.isEmpty() ? ownSettings : Json.parse(settings);
      if (read instanceof Map<?, ?> given) {
        Map<Object, Object> next = new LinkedHashMap<>(given);
        for (String key : ROUTER_SETTINGS) {
          next.remove(key);
          if (ownSettings.containsKey(key)) {
            next.put(key, ownSettings.get(key));
          }
        }
        next.put("Balancers", new BigDecimal(routers));
        all.put("settings", next);
        StartFile file = new StartFile(all, faults);
        if (faults.isEmpty()) {
          return file;
        }
      } else {
        faults.add("settings are no JSON object");
      }
    } catch (InvalidJsonException fault) {
      faults.add("settings are no JSON: " + fault.getMessage());
    }
    throw new InvalidSettingsException(faults);
  }

  private static InetSocketAddress address(SettingsReader keys, String path) {
    String text = keys.text(path);
    InetSocketAddress address = Addresses.parse(text);
    if (address == null && keys.has(path)) {
      keys.fault(path + " can't be read: " + text + "; it takes ADDRESS:PORT");
    }
    return address;
  }

  private static long seed(SettingsReader keys) {
    String text = keys.text("seed", "0");
    try {
      return Long.parseUnsignedLong(text, HEXADECIMAL);
    } catch (NumberFormatException e) {
      keys.fault("seed can't be read: " + text + "; it takes up to 16 hexadecimal digits");
      return 0;
    }
  }

  /** Returns the keys that differ from the other file and take effect only after a restart. */
  public List<String> changesNeedingRestart(StartFile other) {
    return differingKeys(other, Stream.of("name", "listen", "limits.cores", "limits.memory_mb"));
  }

  /**
   * Returns the settings that differ and that a running router cannot change. If there are any,
   * none of the other settings are applied either, so that the router never runs with a mixture of
   * two files.
   */
  public List<String> changesOfFixedSettings(StartFile other) {
    return differingKeys(other, FIXED_SETTINGS.stream().map(key -> "settings." + key));
  }

  /**
   * Returns the same for a router of a fleet, where the names of the workloads are fixed too, since
   * versions are compared by workload.
   */
  public List<String> changesOfFixedFleetSettings(StartFile other) {
    List<String> keys = new ArrayList<>(changesOfFixedSettings(other));
    if (!startValues.workloadNames().equals(other.startValues.workloadNames())) {
      keys.add("settings.Classes[].Name");
    }
    return keys;
  }

  /** Returns whether the settings of both files are equal. */
  public boolean hasSameSettings(StartFile other) {
    return Objects.equals(valueAt("settings"), other.valueAt("settings"));
  }

  private List<String> differingKeys(StartFile other, Stream<String> keys) {
    return keys.filter(key -> !Objects.equals(valueAt(key), other.valueAt(key))).toList();
  }

  private Object valueAt(String key) {
    Object value = tree;
    for (String part : key.split("\\.")) {
      value = value instanceof Map<?, ?> members ? members.get(part) : null;
    }
    return value;
  }

  /** Returns the name of the router. */
  public String name() {
    return name;
  }

  /** Returns the address on which the router listens for clients. */
  public InetSocketAddress listen() {
    return listen;
  }

  /** Returns the address of the discovery service. */
  public InetSocketAddress discovery() {
    return discovery;
  }

  /** Returns the seed of random decisions. */
  public long seed() {
    return seed;
  }

  /** Returns the maximum number of open file descriptors of the process. */
  public int maxDescriptors() {
    return maxDescriptors;
  }

  /** Returns whether the file contains a stored endpoint list. */
  public boolean hasStoredEndpointList() {
    return storedEndpointList.containsKey("instances");
  }

  /**
   * Returns the stored endpoint list in the format of discovery and releases it, so that a long
   * list does not stay in memory as long as the settings. Further calls return an empty map.
   */
  public Map<?, ?> takeStoredEndpointList() {
    Map<?, ?> list = storedEndpointList;
    storedEndpointList = Map.of();
    return list;
  }

  /** Returns the settings. */
  public StartValues startValues() {
    return startValues;
  }
}
