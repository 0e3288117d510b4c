package basaltlever.balancer;

import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.Statement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Where reads without a freshness requirement go that take far longer than most. A replica applies
 * no log meanwhile, so they are kept to one replica of each group. All routers know the same order
 * of the members, and so agree on it without any message: it is the first of the first half that is
 * not overloaded.
 */
final class LongReadPlacement {
  /** A read is long where it takes this many times as long as a typical statement. */
  private static final double LONG_READ_FACTOR = 2;

  /** Latency strain above the usual from which on another replica stands in. */
  private static final double OVERLOAD_STRAIN = 0.2;

  private static final Comparator<Endpoint> BY_RING_ORDER =
      Comparator.comparingInt(Endpoint::ringOrder);

  private final DecisionContext context;
  private final ServiceTimes serviceTimes;
  private final GroupSubsets subsets;
  private final EndpointUsability usability;
  private final EndpointHealth health;

  LongReadPlacement(
      DecisionContext context,
      ServiceTimes serviceTimes,
      GroupSubsets subsets,
      EndpointUsability usability,
      EndpointHealth health) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    this.subsets = subsets;
    this.usability = usability;
    this.health = health;
  }

  /** Whether statements of the workload are long reads. */
  boolean isLongRead(int workloadIndex) {
    return context.settings().workloads()[workloadIndex].consistency() == ReadConsistency.ANY
        && serviceTimes.typicalMicros(workloadIndex)
            > LONG_READ_FACTOR * serviceTimes.overallMicros();
  }

  /**
   * The replica of the statement's group that takes long reads; null where no workload has long
   * reads or no replica is able to.
   */
  Endpoint replicaFor(Statement statement) {
    List<Endpoint> usable = List.of();
    for (int index = 0; index < serviceTimes.workloadCount() && usable.isEmpty(); index++) {
      if (isLongRead(index)) {
        usable = usableReplicas(statement);
      }
    }
    int candidateCount = Math.max(Math.min(1, usable.size()), usable.size() / 2);
    Endpoint chosen = null;
    for (int i = 0; i < candidateCount; i++) {
      Endpoint replica = usable.get(i);
      if (!statement.wasSentTo(replica) && (chosen == null || shouldReplace(replica, chosen))) {
        chosen = replica;
      }
    }
    return chosen;
  }

  private List<Endpoint> usableReplicas(Statement statement) {
    ReplicaGroup group = statement.group();
    List<Endpoint> usable = new ArrayList<>();
    for (Endpoint endpoint : subsets.endpointsInUse(group)) {
      if (endpoint != group.primary()
          && usability.isUsable(endpoint, statement)
          && !health.isOutlier(endpoint)) {
        usable.add(endpoint);
      }
    }
    usable.sort(BY_RING_ORDER);
    return usable;
  }

  private boolean shouldReplace(Endpoint replica, Endpoint overloaded) {
    return health.latencyStrain(overloaded) > health.averageLatencyStrain() + OVERLOAD_STRAIN
        && health.latencyStrain(replica) < health.latencyStrain(overloaded);
  }
}
