package basaltlever.balancer;

import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.model.Endpoint;
import basaltlever.model.LoadState;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.Statement;
import basaltlever.time.Span;

/**
 * Chooses the endpoint for a read: the less loaded of two replicas that are proven fresh enough;
 * otherwise of two that check freshness themselves and are estimated to be fresh enough; otherwise
 * the least lagging replica; otherwise the primary. Outliers are chosen last: the path to an
 * outlier may be bad for this router alone while it serves others and answers polls.
 */
final class ReplicaSelector {
  /** After this many rejections of a read as too stale, lag estimates are not used for it. */
  private static final int MAX_STALE_ANSWERS = 2;

  /** Load scores that differ by no more than this share are considered equal. */
  private static final double TIE_RANGE = 0.05;

  private final DecisionContext context;
  private final GroupSubsets subsets;
  private final EndpointUsability usability;
  private final EndpointHealth health;
  private final ReplicaFreshness freshness;
  private final SlowStart slowStart;
  private final PollScheduler polls;
  private final ConnectionUse connections;
  private final ServiceTimes serviceTimes;
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
    this.serviceTimes = endpoints.serviceTimes;
    this.longReads = longReads;
    this.primarySelector = primarySelector;
  }

  /** Returns the endpoint for a read; null if the read must wait. */
  Endpoint select(Statement statement) {
    Endpoint longReadReplica = longReads.replicaFor(statement);
    if (longReadReplica != null
        && statement.workload().consistency() == ReadConsistency.ANY
        && longReads.isLongRead(statement.workloadIndex())) {
      return longReadReplica;
    }
    Candidates candidates = new Candidates(statement, longReadReplica);
    for (Endpoint endpoint : subsets.candidates(statement.group())) {
      candidates.consider(endpoint);
    }
    if (candidates.first == null) {
      subsets.widen(statement.group());
      return selectWithoutReplica(candidates);
    }
    return candidates.shouldWaitForConnection() ? null : candidates.lessLoaded();
  }

  private Endpoint selectWithoutReplica(Candidates candidates) {
    Endpoint leastLagging = candidates.leastLagging;
    // A replica that lags far behind would only reject the read after a delay.
    if (!candidates.hasFreshReplica
        && candidates.replicasCheck
        && leastLagging != null
        && !freshness.estimatedLag(leastLagging).isLongerThan(candidates.allowedLag.times(2))) {
      return health.hasCapacity(leastLagging, candidates.statement, 1) ? leastLagging : null;
    }
    return primarySelector.select(candidates.statement);
  }

  /** Returns a load score for comparing replicas; the lower the better. */
  private double loadScore(Endpoint endpoint) {
    LoadState load = endpoint.load();
    return (load.inFlight() + 1)
        * health.slowdown(endpoint)
        * (1 + 2 * load.cpuUtilization() * load.cpuUtilization())
        * (1 + 10 * health.failureRate(endpoint))
        / endpoint.relativeSize();
  }

  private boolean isInOwnZone(Endpoint endpoint) {
    return endpoint.zone() == context.settings().identity().zone();
  }

  /** The candidate replicas for one read: two sampled at random from the best tier. */
  private final class Candidates {
    /** A tier is a sum of these penalties; replicas of the lowest available tier are sampled. */
    private static final int TIER_NEEDS_CONNECTION = 1;

    private static final int TIER_NOT_PROVEN = 2;
    private static final int TIER_LONG_READ_REPLICA = 4;
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
    private boolean hasFreshReplica;
    private int inFlight;
    private int bestTier = TIER_NONE;
    private int sampledCount;

    Candidates(Statement statement, Endpoint longReadReplica) {
      this.statement = statement;
      this.group = statement.group();
      this.longReadReplica = longReadReplica;
      this.allowedLag = statement.allowedLag(context.now());
      this.replicasCheck =
          freshness.isCheckedByReplicas(statement)
              && statement.staleResponses() < MAX_STALE_ANSWERS;
    }

    void consider(Endpoint endpoint) {
      if (endpoint.health().isDown() && !group.isPolledRegularly()) {
        // No regular poll would detect that the endpoint is up again.
        polls.pollWithin(endpoint, polls.backoff(endpoint));
      }
      if (endpoint == group.primary()
          || statement.wasSentTo(endpoint)
          || !usability.isUsable(endpoint, statement)) {
        return;
      }
      inFlight += endpoint.load().inFlight();
      boolean proven = freshness.isProven(endpoint, allowedLag);
      if (proven || isEstimatedFresh(endpoint)) {
        hasFreshReplica = true;
        sample(endpoint, tier(endpoint, proven));
      } else if (leastLagging == null
          || freshness.estimatedLag(endpoint).isShorterThan(freshness.estimatedLag(leastLagging))) {
        leastLagging = endpoint;
      }
    }

    private boolean isEstimatedFresh(Endpoint endpoint) {
      return replicasCheck && !freshness.estimatedLag(endpoint).isLongerThan(allowedLag);
    }

    private int tier(Endpoint endpoint, boolean proven) {
      boolean needsConnection =
          connections.needsExpensiveConnection(endpoint)
              || (!group.isPolledRegularly() && !connections.hasFreeConnection(endpoint));
      return (needsConnection ? TIER_NEEDS_CONNECTION : 0)
          + (proven ? 0 : TIER_NOT_PROVEN)
          + (endpoint == longReadReplica ? TIER_LONG_READ_REPLICA : 0)
          + (health.isOutlier(endpoint) ? TIER_OUTLIER : 0);
    }

    private void sample(Endpoint endpoint, int tier) {
      // A replica that is warming up is sampled in proportion to its warm-up: by load score alone a
      // router with little traffic would never choose it.
      if (!health.hasCapacity(endpoint, statement, 1)
          || tier > bestTier
          || context.random().nextDouble() >= slowStart.warmUpShare(endpoint)) {
        return;
      }
      sampledCount = tier < bestTier ? 1 : sampledCount + 1;
      bestTier = tier;
      int slot = sampledCount < 3 ? sampledCount - 1 : context.random().nextInt(sampledCount);
      if (slot == 0) {
        first = endpoint;
      }
      if (sampledCount == 1) {
        second = null;
      } else if (slot == 1) {
        second = endpoint;
      }
    }

    /**
     * Whether a connection will likely be free before a new one would be open: the attempts in
     * flight end one after the other, each after its typical time.
     */
    boolean shouldWaitForConnection() {
      Span setupTime = connections.setupTime();
      return connections.needsExpensiveConnection(first)
          && inFlight > 0
          && serviceTimes.overallMicros() / inFlight < setupTime.micros()
          && context.now().since(statement.waitingSince()).isShorterThan(setupTime);
    }

    /**
     * Returns the less loaded replica. Of two that are about equally loaded the one in this
     * router's zone answers sooner; otherwise chance keeps routers from breaking ties identically.
     */
    Endpoint lessLoaded() {
      if (second == null) {
        return first;
      }
      double ratio = loadScore(first) / loadScore(second);
      if (Math.abs(ratio - 1) > TIE_RANGE) {
        return ratio < 1 ? first : second;
      }
      if (isInOwnZone(first) != isInOwnZone(second)) {
        return isInOwnZone(first) ? first : second;
      }
      return context.random().nextBoolean() ? first : second;
    }
  }
}
