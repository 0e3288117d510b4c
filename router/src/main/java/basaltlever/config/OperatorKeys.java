package basaltlever.config;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** The keys of the operator's file, as section.key. */
final class OperatorKeys {
  static final String LOG_FORM = "log.form";
  static final String STATE_FOLDER = "state.folder";
  static final String STATE_DEPLOYMENT = "state.deployment";
  static final String STATE_PERIOD_MILLIS = "state.period_ms";
  static final String STATE_MAX_KILOBYTES = "state.largest_kb";
  static final String SWITCHOVER_TABLE = "change.table";
  static final String HOLD_STATEMENTS = "hold.statements";
  static final String HOLD_KILOBYTES = "hold.kb";
  static final String FLEET_NAME = "fleet.name";
  static final String FLEET_PEERS = "fleet.peers";
  static final String FLEET_VOTERS = "fleet.voters";
  static final String FLEET_FOLDER = "fleet.folder";
  static final String FLEET_LEASE_MILLIS = "fleet.lease_ms";
  static final String FLEET_STATED_MILLIS = "fleet.stated_ms";
  static final String FLEET_ASSIGNED_MILLIS = "fleet.assigned_ms";
  static final String FLEET_WIDEST_BOUND_MILLIS = "fleet.widest_bound_ms";

  /** All keys with their default values. */
  static final Map<String, String> DEFAULTS = defaults();

  /** The maximum edit distance between a misspelt key and the key probably meant. */
  private static final int MAX_MISSPELLING = 3;

  private OperatorKeys() {}

  private static Map<String, String> defaults() {
    Map<String, String> keys = new LinkedHashMap<>();
    keys.put(LOG_FORM, "plain");
    keys.put(STATE_FOLDER, "");
    keys.put(STATE_DEPLOYMENT, "");
    keys.put(STATE_PERIOD_MILLIS, "5000");
    keys.put(STATE_MAX_KILOBYTES, "4096");
    keys.put(SWITCHOVER_TABLE, "");
    keys.put(HOLD_STATEMENTS, "0");
    keys.put(HOLD_KILOBYTES, "8192");
    keys.put(FLEET_NAME, "");
    keys.put(FLEET_PEERS, "");
    keys.put(FLEET_VOTERS, "");
    keys.put(FLEET_FOLDER, "");
    keys.put(FLEET_LEASE_MILLIS, "400");
    keys.put(FLEET_STATED_MILLIS, "1000");
    keys.put(FLEET_ASSIGNED_MILLIS, "30000");
    keys.put(FLEET_WIDEST_BOUND_MILLIS, "0");
    return keys;
  }

  /** Returns the end of an error message that suggests the key nearest to an unknown one. */
  static String suggestion(String unknown) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    String nearest = null;
    int leastDistance = Integer.MAX_VALUE;
    for (String key : DEFAULTS.keySet()) {
      int keyDistance = distance.apply(unknown, key);
      if (keyDistance < leastDistance) {
        leastDistance = keyDistance;
        nearest = key;
      }
    }
    String[] parts = nearest.split("\\.", 2);
    String start = leastDistance <= MAX_MISSPELLING ? "; did you mean [" : "; the nearest is [";
    return start + parts[0] + "] " + parts[1] + "?";
  }
}
