package basaltlever.lab.endtoend;

import java.util.List;
import java.util.Map;

/**
 * Options of a run with a burst of new clients. All values are checked before anything starts.
 *
 * @param sockets descriptor limit of a router
 * @param statementsPerSecond steady load per router
 * @param burstStatements statements on new connections, sent within burstMillis to each router
 * @param idleClients connections per router that send nothing and reconnect when closed
 * @param pauseMillis how long the router processes are suspended, each of pauseCount times
 * @param statementMillis mean work per statement; 0 for the default
 * @param acceptFailureMillis how long all accept calls fail
 * @param closeDelayMillis how long clients keep their side open after the router has closed its own
 */
public record NewClientsOptions(
    int routers,
    int servers,
    int sockets,
    double statementsPerSecond,
    double seconds,
    int burstStatements,
    int burstMillis,
    int idleClients,
    int pauseMillis,
    int pauseCount,
    int statementMillis,
    int acceptFailureMillis,
    int closeDelayMillis) {
  private static final NumericOptions OPTIONS =
      new NumericOptions("new-clients")
          .with("routers", 1, 8, 1)
          .with("servers", 2, 120, 10)
          .with("sockets", 64, 65_536, 512)
          .with("rate", 0.1, 1_000, 30)
          .with("seconds", 1, 60, 3)
          .with("burst", 0, 5_000, 300)
          .with("burst_ms", 1, 10_000, 1_000)
          .with("crowd", 0, 5_000, 0)
          .with("held_up_ms", 0, 150, 0)
          .with("held_up_times", 0, 100, 4)
          .with("slow_ms", 0, 1_000, 0)
          .with("accept_fails_ms", 0, 5_000, 0)
          .with("closes_after_ms", 0, 2_000, 0);

  /** Parses KEY=VALUE pairs; missing keys get their defaults. */
  public static NewClientsOptions parse(List<String> pairs) throws InvalidOptionException {
    Map<String, Double> values = OPTIONS.parse(pairs);
    return new NewClientsOptions(
        values.get("routers").intValue(),
        values.get("servers").intValue(),
        values.get("sockets").intValue(),
        values.get("rate"),
        values.get("seconds"),
        values.get("burst").intValue(),
        values.get("burst_ms").intValue(),
        values.get("crowd").intValue(),
        values.get("held_up_ms").intValue(),
        values.get("held_up_times").intValue(),
        values.get("slow_ms").intValue(),
        values.get("accept_fails_ms").intValue(),
        values.get("closes_after_ms").intValue());
  }

  /** The deployment: groups of up to five servers, without drains, cut connections or restarts. */
  RunOptions runOptions() {
    return new RunOptions(
        servers,
        routers,
        Math.min(servers, 5),
        statementsPerSecond,
        seconds,
        sockets,
        0,
        0,
        0,
        0,
        0.02,
        0,
        1 << 16,
        0,
        false,
        100,
        0);
  }
}
