package basaltlever.balancer;

import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.Statement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Places long reads: reads without a freshness requirement that take far longer than most
 * statements. A replica applies no log while it executes one, so each group has one replica for
 * them. All routers have the same order of a group's endpoints, and so agree without communication:
 * they choose the first replica that is not overloaded in the first half of the order.
 */
final class LongReadPlacement {
  /** A read is long if it takes more than this many times as long as a typical statement. */
  private static final double LONG_READ_FACTOR = 2;

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
        && serviceTimes.ratioToOthers(workloadIndex) > LONG_READ_FACTOR;
  }

  /**
   * Returns the replica of the statement's group that executes long reads; null if no workload has
   * long reads or no replica is usable.
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
    return health.isQueueing(overloaded) && health.slowdown(replica) < health.slowdown(overloaded);
  }
}
