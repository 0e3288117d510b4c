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

  private static final int SERVERS_PER_SUBNET = 250;

  final int index;
  final int group;
  final boolean primary;

  /** Two zones in turn, so that each group has members in both. */
  final int zone;

  Lifecycle lifecycle = Lifecycle.IN_SERVICE;

  /** The version of the list that last changed this server. */
  long lastChangedVersion = 1;

  /** Unix milliseconds of its last start; 0 for long ago. */
  long startedAtMillis;

  /** Since its last start. */
  private double slowStartLevel;

  private long slowStartLevelAtMillis;
  boolean overloaded;

  /** Takes statements and answers none, up to then. */
  long hangUntilMillis;

  /** Polls and statements that it got in the second under way, and the most in any second. */
  private long currentSecond;

  private int pollsInCurrentSecond;
  int maxPollsPerSecond;
  int statementCount;

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
  String address(int routerIndex, int port) {
    return "127."
        + (ServerSimulator.FIRST_ROUTER_NETWORK + routerIndex)
        + "."
        + index / SERVERS_PER_SUBNET
        + "."
        + (index % SERVERS_PER_SUBNET + 1)
        + ":"
        + port;
  }

  static int indexOf(int subnet, int host) {
    return subnet * SERVERS_PER_SUBNET + host - 1;
  }

  void recordPoll(long nowMillis) {
    if (nowMillis / 1_000 != currentSecond) {
      currentSecond = nowMillis / 1_000;
      pollsInCurrentSecond = 0;
    }
    maxPollsPerSecond = Math.max(maxPollsPerSecond, ++pollsInCurrentSecond);
  }

  /**
   * Counts one statement against the budget of a server in slow start; true where this one topples
   * it. The level drains at the rate that the rule allows.
   */
  boolean recordSlowStartStatement(long nowMillis, double capacityPerSecond, DaySettings settings) {
    long ageMillis = nowMillis - startedAtMillis;
    if (startedAtMillis == 0 || ageMillis >= settings.coldMillis() || overloaded) {
      return false;
    }
    double capacityShare =
        settings.coldFrom() + (1 - settings.coldFrom()) * ageMillis / settings.coldMillis();
    double allowedStatements =
        settings.fallMultiple()
            * capacityShare
            * capacityPerSecond
            * DaySettings.OVERLOAD_WINDOW_MILLIS
            / 1_000;
    slowStartLevel =
        Math.max(
                0,
                slowStartLevel
                    - allowedStatements
                        * (nowMillis - slowStartLevelAtMillis)
                        / DaySettings.OVERLOAD_WINDOW_MILLIS)
            + 1;
    slowStartLevelAtMillis = nowMillis;
    double deviation = Math.sqrt(allowedStatements);
    double budget =
        allowedStatements < 30
            ? allowedStatements + 3 * deviation + 3
            : allowedStatements + 2 * deviation + 2;
    overloaded = slowStartLevel > budget;
    return overloaded;
  }

  void restart(long nowMillis) {
    startedAtMillis = nowMillis;
    slowStartLevel = 0;
    slowStartLevelAtMillis = nowMillis;
    overloaded = false;
  }
}
