package basaltlever.lab.endtoend;

/** State of one simulated database server: group, role, discovery descriptor and load. */
final class SimulatedServer {
  /** Lifecycle state as it is written in the discovery list. */
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

  /** Zone 0 or 1, assigned alternately so that each group has servers in both. */
  final int zone;

  Lifecycle lifecycle = Lifecycle.IN_SERVICE;

  /** Version of the discovery list in which this server last changed. */
  long lastChangedVersion = 1;

  /** Unix milliseconds of the last restart; 0 if the server has not been restarted. */
  long startedAtMillis;

  /** Level of the leaky bucket that counts statements during slow start. */
  private double slowStartLevel;

  private long slowStartLevelAtMillis;
  boolean overloaded;

  /** Unix milliseconds until which the server accepts statements but does not respond. */
  long hangUntilMillis;

  /** Second in which the current polls are counted. */
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

  /**
   * Returns the loopback address at which one router connects to this server. Each router has its
   * own, so the address identifies the router.
   */
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
   * Counts one statement against the budget of a server in slow start, a leaky bucket that drains
   * at the rate allowed by the rule. The budget has a margin of a few standard deviations for
   * random arrivals.
   *
   * @return whether this statement overloads the server
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
