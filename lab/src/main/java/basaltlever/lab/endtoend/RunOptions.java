package basaltlever.lab.endtoend;

import java.util.List;
import java.util.Map;

/** The options of one day with many servers; every value is checked before anything is started. */
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

  /** Reads KEY=VALUE pairs; keys that are not given have their defaults. */
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

  /** The same day with another number of servers; larger groups where the group count is kept. */
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
