package basaltlever.config;

import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import java.io.IOException;
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
 * The file a router is started with: where it stands, its limits, the list last held, its start
 * values.
 */
public final class StartFile {
  private static final long LARGEST = 16 << 20;
  private static final int FEWEST_SOCKETS = 64;

  /** What the list of members and the bounds of memory were built with. */
  private static final List<String> FIXED = List.of("Zones", "Bounds.MaxOpen");

  private final Map<?, ?> tree;
  private final String name;
  private final InetSocketAddress listen;
  private final InetSocketAddress discovery;
  private final long seed;
  private final int sockets;
  private Map<?, ?> known;
  private final StartValues values;

  private StartFile(Map<?, ?> tree, List<String> faults) {
    Map<Object, Object> kept = new LinkedHashMap<>(tree);
    kept.remove("known");
    this.tree = kept;
    Map<Object, Object> own = new LinkedHashMap<>(kept);
    own.remove("settings");
    SettingsReader keys = SettingsReader.ofTree("", own, faults);
    name = keys.text("name", "router");
    listen = address(keys, "listen");
    discovery = address(keys, "discovery");
    seed = seed(keys);
    sockets = (int) keys.number("limits.sockets", FEWEST_SOCKETS, 1e6, 1_024);
    known = tree.get("known") instanceof Map<?, ?> list ? list : Map.of();
    if (tree.get("known") != null && !(tree.get("known") instanceof Map)) {
      keys.fault("known can't be read; it takes an object as the list of members has it");
    }
    if (!(tree.get("settings") instanceof Map)) {
      keys.fault("settings is missing");
      values = null;
    } else {
      values =
          new StartValues(SettingsReader.ofTree("settings.", tree.get("settings"), faults), true);
    }
  }

  public static StartFile read(Path path) throws InvalidSettingsException {
    String text;
    try {
      if (Files.isDirectory(path)) {
        throw new InvalidSettingsException(List.of(path + " is a directory"));
      }
      if (Files.size(path) > LARGEST) {
        throw new InvalidSettingsException(List.of(path + " is larger than " + LARGEST + " bytes"));
      }
      text = Files.readString(path);
    } catch (IOException cause) {
      throw new InvalidSettingsException(List.of(path + " can't be read: " + cause));
    }
    return of(text);
  }

  public static StartFile of(String text) throws InvalidSettingsException {
    List<String> faults = new ArrayList<>();
    try {
      if (Json.read(text) instanceof Map<?, ?> tree) {
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

  /** Of each router's own, whatever a fleet agrees on. */
  private static final List<String> OWN = List.of("Me", "Zone", "Zones");

  /**
   * This file with other settings, as JSON, but for what is each router's own; those of this file
   * where the text is empty. The whole is shared among so many routers.
   */
  public StartFile with(String settings, int routers) throws InvalidSettingsException {
    List<String> faults = new ArrayList<>();
    try {
      Map<Object, Object> all = new LinkedHashMap<>(tree);
      Map<?, ?> former = (Map<?, ?>) tree.get("settings");
      Object read = settings.isEmpty() ? former : Json.read(settings);
      if (read instanceof Map<?, ?> given) {
        Map<Object, Object> next = new LinkedHashMap<>(given);
        for (String key : OWN) {
          next.remove(key);
          if (former.containsKey(key)) {
            next.put(key, former.get(key));
          }
        }
        next.put("Balancers", new java.math.BigDecimal(routers));
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
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      keys.fault("seed can't be read: " + text + "; it takes up to 16 hexadecimal digits");
      return 0;
    }
  }

  /** The keys that differ from the other file and that a running router can't take over. */
  public List<String> restartsFor(StartFile other) {
    return differing(other, Stream.of("name", "listen", "limits.cores", "limits.memory_mb"));
  }

  /**
   * The keys under settings that differ and that hold for as long as a router runs: one of them
   * keeps all others from being taken over, or a part of the program would go by the old and a part
   * by the new.
   */
  public List<String> fixedFor(StartFile other) {
    return differing(other, FIXED.stream().map(key -> "settings." + key));
  }

  /** The same where routers agree: versions are weighed against each other workload by workload. */
  public List<String> fixedInFleet(StartFile other) {
    List<String> keys = new ArrayList<>(fixedFor(other));
    if (!values.workloadNames().equals(other.values.workloadNames())) {
      keys.add("settings.Classes[].Name");
    }
    return keys;
  }

  public boolean hasSettingsOf(StartFile other) {
    return Objects.equals(at("settings"), other.at("settings"));
  }

  private List<String> differing(StartFile other, Stream<String> keys) {
    return keys.filter(key -> !Objects.equals(at(key), other.at(key))).toList();
  }

  private Object at(String key) {
    Object found = tree;
    for (String part : key.split("\\.")) {
      found = found instanceof Map<?, ?> members ? members.get(part) : null;
    }
    return found;
  }

  public String name() {
    return name;
  }

  public InetSocketAddress listen() {
    return listen;
  }

  public InetSocketAddress discovery() {
    return discovery;
  }

  public long seed() {
    return seed;
  }

  /** How many file descriptors the process may hold. */
  public int sockets() {
    return sockets;
  }

  public boolean hasKnown() {
    return known.containsKey("instances");
  }

  /**
   * The list of members as this router last had it, in the form of discovery; once, since a long
   * list is not kept for as long as the settings are.
   */
  public Map<?, ?> releaseKnown() {
    Map<?, ?> released = known;
    known = Map.of();
    return released;
  }

  public StartValues values() {
    return values;
  }
}
