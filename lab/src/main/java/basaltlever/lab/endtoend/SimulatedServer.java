package basaltlever.lab.endtoend;

/** One database server of the day: its place in a group, its role and what the list says of it. */
final class SimulatedServer {
  /** As the list of members names it. */
  enum Lifecycle {
    IN_SERVICE("in_service"),
    DRAINING("terminating"),
    REMOVED("terminated");

    final String key;

    Lifecycle(String key) {
      this.key = key;
    }
  }

  private static final int PER_BLOCK = 250;

  final int index;
  final int group;
  final boolean primary;

  /** Two zones in turn, so that each group has members in both. */
  final int zone;

  Lifecycle lifecycle = Lifecycle.IN_SERVICE;

  /** The version of the list that last changed this server. */
  long changedIn = 1;

  /** Unix milliseconds of its last start; 0 for long ago. */
  long startedAtMillis;

  /** Since its last start. */
  private double coldLevel;

  private long coldLevelAtMillis;
  boolean toppled;

  /** Takes statements and answers none, up to then. */
  long hangsUntilMillis;

  /** Polls and statements that it got in the second under way, and the most in any second. */
  private long second;

  private int pollsInSecond;
  int mostPollsInSecond;
  int statements;

  SimulatedServer(int index, int group, boolean primary, int zone) {
    this.index = index;
    this.group = group;
    this.primary = primary;
    this.zone = zone;
  }

  String id() {
    return "s-" + index;
  }

  /** The loopback address at which one router reaches this server: so it is known who asks. */
  String address(int router, int port) {
    return "127."
        + (ServerFarm.FIRST_NETWORK + router)
        + "."
        + index / PER_BLOCK
        + "."
        + (index % PER_BLOCK + 1)
        + ":"
        + port;
  }

  static int indexOf(int block, int last) {
    return block * PER_BLOCK + last - 1;
  }

  void polled(long nowMillis) {
    if (nowMillis / 1_000 != second) {
      second = nowMillis / 1_000;
      pollsInSecond = 0;
    }
    mostPollsInSecond = Math.max(mostPollsInSecond, ++pollsInSecond);
  }

  /**
   * Counts one statement against the budget of a server in slow start; true where this one topples
   * it. The level drains at the rate that the rule allows.
   */
  boolean takesWhileCold(long nowMillis, double capacityPerSecond, DaySettings settings) {
    long age = nowMillis - startedAtMillis;
    if (startedAtMillis == 0 || age >= settings.coldMillis() || toppled) {
      return false;
    }
    double warmth = settings.coldFrom() + (1 - settings.coldFrom()) * age / settings.coldMillis();
    double allowed =
        settings.fallMultiple() * warmth * capacityPerSecond * DaySettings.FALL_MILLIS / 1_000;
    coldLevel =
        Math.max(0, coldLevel - allowed * (nowMillis - coldLevelAtMillis) / DaySettings.FALL_MILLIS)
            + 1;
    coldLevelAtMillis = nowMillis;
    double root = Math.sqrt(allowed);
    double budget = allowed < 30 ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
    toppled = coldLevel > budget;
    return toppled;
  }

  void restarts(long nowMillis) {
    startedAtMillis = nowMillis;
    coldLevel = 0;
    coldLevelAtMillis = nowMillis;
    toppled = false;
  }
}
