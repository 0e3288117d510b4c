package basaltlever.balancer;

import basaltlever.endpoints.ReplicaSubset;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/** Which members of each group this router uses: all of a small group, a subset of a large one. */
final class GroupSubsets {
  /** A read chooses among at most so many members. */
  private static final int MAX_CANDIDATES = 16;

  private static final Span MIN_WIDENING_INTERVAL = Span.ofMillis(200);

  private final DecisionContext context;

  GroupSubsets(DecisionContext context) {
    this.context = context;
  }

  static boolean isLarge(ReplicaGroup group) {
    return group.members().size() > ReplicaSubset.MIN_SIZE;
  }

  /** The members that this router sends reads to. */
  List<Endpoint> endpointsInUse(ReplicaGroup group) {
    return ReplicaSubset.select(
        group,
        context.now(),
        context.settings().identity().routers(),
        context.settings().identity().index(),
        context::isListedForUse);
  }

  /** The members to choose among for one read: of a large subset, a run drawn at random. */
  List<Endpoint> candidates(ReplicaGroup group) {
    List<Endpoint> inUse = endpointsInUse(group);
    if (inUse.size() <= MAX_CANDIDATES) {
      return inUse;
    }
    int start = context.random().nextInt(inUse.size());
    List<Endpoint> sample = new ArrayList<>(MAX_CANDIDATES);
    for (int i = 0; i < MAX_CANDIDATES; i++) {
      sample.add(inUse.get((start + i) % inUse.size()));
    }
    return sample;
  }

  /** Where this router begins among so many places, the routers being spread evenly. */
  int startPosition(int count) {
    int routers = Math.max(1, context.settings().identity().routers());
    return (int) ((long) (context.settings().identity().index() % routers) * count / routers);
  }

  /** No member in use had capacity for a read: takes more of a large group into use for a while. */
  void widen(ReplicaGroup group) {
    if (isLarge(group)
        && context.now().since(group.subset().widenedAt()).isLongerThan(MIN_WIDENING_INTERVAL)) {
      group.subset().recordWidening(context.now());
      ReplicaSubset.widen(group, context.settings().identity().routers());
    }
  }

  /** Gives up a widening that was not needed lately. */
  void narrowIfUnneeded(ReplicaGroup group) {
    if (group.subset().extraMembers() > 0
        && context.now().since(group.subset().widenedAt()).isLongerThan(Timing.LONG_DECAY)) {
      ReplicaSubset.narrow(group);
    }
  }
}
