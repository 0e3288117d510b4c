package basaltlever.balancer;

import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.model.Endpoint;
import basaltlever.model.LoadState;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.Statement;
import basaltlever.time.Span;

/**
 * Chooses where a read goes: the less loaded of two replicas that are proven to be fresh enough;
 * else of two that check freshness themselves and are estimated to be fresh enough; else the least
 * lagging one; else the primary. Outliers come last: the path to one may be bad for this router
 * alone while it serves the others and answers polls.
 */
final class ReplicaSelector {
  /** After so many answers that data is too old, estimates of the lag are not relied on. */
  private static final int MAX_STALE_ANSWERS = 2;

  /** Share of the latency objective for which a read waits for an open connection. */
  private static final double CONNECTION_WAIT_SHARE = 0.8 * AdmissionControl.CAPACITY_WAIT_SHARE;

  /** How much more an endpoint in a zone counts where crossing zones has a price. */
  private static final double CROSSING_LOAD_FACTOR = 1.3;

  private final DecisionContext context;
  private final GroupSubsets subsets;
  private final EndpointUsability usability;
  private final EndpointHealth health;
  private final ReplicaFreshness freshness;
  private final SlowStart slowStart;
  private final PollScheduler polls;
  private final ConnectionUse connections;
  private final LongReadPlacement longReads;
  private final PrimarySelector primarySelector;

  ReplicaSelector(
      EndpointModules endpoints,
      EndpointUsability usability,
      LongReadPlacement longReads,
      PrimarySelector primarySelector) {
    this.context = endpoints.context;
    this.subsets = endpoints.subsets;
    this.usability = usability;
    this.health = endpoints.health;
    this.freshness = endpoints.freshness;
    this.slowStart = endpoints.slowStart;
    this.polls = endpoints.polls;
    this.connections = endpoints.connections;
    this.longReads = longReads;
    this.primarySelector = primarySelector;
  }

  /** Where a read goes now; null where it has to wait. */
  Endpoint select(Statement statement) {
    Endpoint longReadReplica = longReads.replicaFor(statement);
    if (longReadReplica != null
        && statement.workload().consistency() == ReadConsistency.ANY
        && longReads.isLongRead(statement.workloadIndex())) {
      return longReadReplica;
    }
    Candidates candidates = new Candidates(statement, longReadReplica);
    for (Endpoint member : subsets.candidates(statement.group())) {
      candidates.consider(member);
    }
    if (candidates.first == null) {
      subsets.widen(statement.group());
      return selectWithoutReplica(candidates);
    }
    return candidates.isBetterToWait() ? null : candidates.lessLoaded();
  }

  private Endpoint selectWithoutReplica(Candidates candidates) {
    Endpoint leastLagging = candidates.leastLagging;
    // One that lags far behind would keep the read for a while only to reject it.
    if (!candidates.someFresh
        && candidates.replicasCheck
        && leastLagging != null
        && !freshness.estimatedLag(leastLagging).isLongerThan(candidates.allowedLag.times(2))) {
      return health.hasCapacity(leastLagging, 1) ? leastLagging : null;
    }
    return primarySelector.select(candidates.statement);
  }

  /** How loaded a replica is, for comparison with others; the smaller the better. */
  private double loadScore(Endpoint endpoint) {
    LoadState load = endpoint.load();
    double crossing =
        context.settings().identity().hasCrossZoneCostTo(endpoint.zone())
            ? CROSSING_LOAD_FACTOR
            : 1;
    return (load.inFlight() + 1)
        * health.latencyStrain(endpoint)
        * (1 + 2 * load.cpuUtilization() * load.cpuUtilization())
        * (1 + 10 * health.failureRate(endpoint))
        * crossing
        / endpoint.relativeSize();
  }

  /** The replicas that one read could go to: two drawn at random from the best tier. */
  private final class Candidates {
    /** Tiers are sums of these: a higher sum is only chosen where no lower one is available. */
    private static final int TIER_NEEDS_CONNECTION = 1;

    private static final int TIER_NOT_PROVEN = 2;
    private static final int TIER_TAKES_LONG_READS = 4;
    private static final int TIER_OUTLIER = 8;
    private static final int TIER_NONE = 16;

    private final Statement statement;
    private final ReplicaGroup group;
    private final Endpoint longReadReplica;
    private final Span allowedLag;
    private final boolean replicasCheck;

    private Endpoint first;
    private Endpoint second;
    private Endpoint leastLagging;
    private boolean someFresh;
    private int inFlight;
    private int bestTier = TIER_NONE;
    private int drawnFrom;

    Candidates(Statement statement, Endpoint longReadReplica) {
      this.statement = statement;
      this.group = statement.group();
      this.longReadReplica = longReadReplica;
      this.allowedLag = statement.allowedLag(context.now());
      this.replicasCheck =
          context.settings().replication().replicasCheckFreshness()
              && statement.staleResponses() < MAX_STALE_ANSWERS;
    }

    void consider(Endpoint member) {
      if (member.health().isDown() && !group.isPolledRegularly()) {
        // No regular poll would find out that it is back.
        polls.pollWithin(member, polls.backoff(member));
      }
      if (member == group.primary()
          || statement.wasSentTo(member)
          || !usability.isUsable(member, statement)) {
        return;
      }
      inFlight += member.load().inFlight();
      boolean proven = freshness.isProven(member, allowedLag);
      if (proven || isEstimatedFresh(member)) {
        someFresh = true;
        drawFrom(member, tier(member, proven));
      } else if (leastLagging == null
          || freshness.estimatedLag(member).isShorterThan(freshness.estimatedLag(leastLagging))) {
        leastLagging = member;
      }
    }

    private boolean isEstimatedFresh(Endpoint member) {
      return replicasCheck && !freshness.estimatedLag(member).isLongerThan(allowedLag);
    }

    private int tier(Endpoint member, boolean proven) {
      boolean needsConnection =
          connections.needsExpensiveConnection(member)
              || (!group.isPolledRegularly() && !connections.isConnected(member));
      return (needsConnection ? TIER_NEEDS_CONNECTION : 0)
          + (proven ? 0 : TIER_NOT_PROVEN)
          + (member == longReadReplica ? TIER_TAKES_LONG_READS : 0)
          + (health.isOutlier(member) ? TIER_OUTLIER : 0);
    }

    private void drawFrom(Endpoint member, int tier) {
      // One that is warming up is drawn as often as it is warm: by load alone a router with little
      // traffic would never choose it.
      if (!health.hasCapacity(member, 1)
          || tier > bestTier
          || context.random().nextDouble() >= slowStart.warmUpShare(member)) {
        return;
      }
      drawnFrom = tier < bestTier ? 1 : drawnFrom + 1;
      bestTier = tier;
      int slot = drawnFrom < 3 ? drawnFrom - 1 : context.random().nextInt(drawnFrom);
      if (slot == 0) {
        first = member;
      }
      if (drawnFrom == 1) {
        second = null;
      } else if (slot == 1) {
        second = member;
      }
    }

    /** Whether a connection will likely be free before a new one would be open. */
    boolean isBetterToWait() {
      return connections.needsExpensiveConnection(first)
          && inFlight > 0
          && context
              .now()
              .since(statement.receivedAt())
              .isShorterThan(statement.workload().latencyObjective().times(CONNECTION_WAIT_SHARE));
    }

    /** The less loaded one; without a little chance all routers would break ties alike. */
    Endpoint lessLoaded() {
      double tieBreak = 0.95 + 0.1 * context.random().nextDouble();
      return second == null || loadScore(first) * tieBreak < loadScore(second) ? first : second;
    }
  }
}
