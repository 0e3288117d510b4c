package basaltlever.lab.endtoend;

import java.util.List;
import java.util.Map;

/**
 * Options of an end-to-end run. All values given by a user are checked before anything starts.
 *
 * @param groupSize servers per group, primary included
 * @param statementsPerSecond load per router
 * @param sockets descriptor limit of a router
 * @param drainShare share of the replicas in service that starts draining at one time
 * @param removeShare share of the draining replicas that is removed at one time
 * @param coldStartShare share of the replicas in service that restarts at one time
 * @param cutConnectionShare share of the server connections that is closed at one time
 * @param disconnectShare share of the statements whose client may disconnect before the answer
 * @param routerRestarts number of routers that are restarted once
 * @param listChunkBytes bytes of an endpoint list written at once
 * @param listChunkMillis pause between two chunks
 * @param discoveryCapacity discovery calls that are answered at the same time
 * @param fullListRepeats how often the full list is sent again to all watches
 */
public record RunOptions(
    int servers,
    int routers,
    int groupSize,
    double statementsPerSecond,
    double seconds,
    int sockets,
    double drainShare,
    double removeShare,
    double coldStartShare,
    double cutConnectionShare,
    double disconnectShare,
    int routerRestarts,
    int listChunkBytes,
    int listChunkMillis,
    boolean listIndented,
    int discoveryCapacity,
    int fullListRepeats) {

  private static final NumericOptions OPTIONS =
      new NumericOptions("many-servers")
          .with("servers", 2, 3_200, 120)
          .with("routers", 1, 200, 1)
          .with("members", 1, 400, 4)
          .with("rate", 0.1, 1_000, 30)
          .with("seconds", 1, 600, 16)
          .with("sockets", 64, 65_536, 600)
          .with("drain_share", 0, 1, 0.5)
          .with("remove_share", 0, 1, 0.5)
          .with("cold_share", 0, 1, 0)
          .with("cut_share", 0, 1, 0)
          .with("leave_share", 0, 1, 0.02)
          .with("restarts", 0, 200, 0)
          .with("list_piece_bytes", 1, 1 << 20, 1 << 16)
          .with("list_piece_ms", 0, 1_000, 0)
          .with("list_indented", 0, 1, 0)
          .with("discovery_capacity", 1, 1_000, 100)
          .with("whole_lists", 0, 100, 0);

  /** Parses KEY=VALUE pairs; missing keys get their defaults. */
  public static RunOptions parse(List<String> pairs) throws InvalidOptionException {
    return of(OPTIONS.parse(pairs));
  }

  private static RunOptions of(Map<String, Double> values) {
    return new RunOptions(
        values.get("servers").intValue(),
        values.get("routers").intValue(),
        values.get("members").intValue(),
        values.get("rate"),
        values.get("seconds"),
        values.get("sockets").intValue(),
        values.get("drain_share"),
        values.get("remove_share"),
        values.get("cold_share"),
        values.get("cut_share"),
        values.get("leave_share"),
        values.get("restarts").intValue(),
        values.get("list_piece_bytes").intValue(),
        values.get("list_piece_ms").intValue(),
        values.get("list_indented") >= 1,
        values.get("discovery_capacity").intValue(),
        values.get("whole_lists").intValue());
  }

  /** Returns a copy with other numbers of servers and of servers per group. */
  public RunOptions withServers(int newServers, int newGroupSize) {
    return new RunOptions(
        newServers,
        routers,
        newGroupSize,
        statementsPerSecond,
        seconds,
        sockets,
        drainShare,
        removeShare,
        coldStartShare,
        cutConnectionShare,
        disconnectShare,
        routerRestarts,
        listChunkBytes,
        listChunkMillis,
        listIndented,
        discoveryCapacity,
        fullListRepeats);
  }

  int groups() {
    return Math.max(1, servers / groupSize);
  }
}
