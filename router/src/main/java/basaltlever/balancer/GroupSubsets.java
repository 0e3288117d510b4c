package basaltlever.balancer;

import basaltlever.endpoints.ReplicaSubset;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Selects the endpoints of each group that this router uses: all of a small group, a subset of a
 * large one.
 */
final class GroupSubsets {
  /** Maximum number of endpoints among which a read chooses. */
  private static final int MAX_CANDIDATES = 16;

  private static final Span MIN_WIDENING_INTERVAL = Span.ofMillis(200);

  private final DecisionContext context;

  GroupSubsets(DecisionContext context) {
    this.context = context;
  }

  static boolean isLarge(ReplicaGroup group) {
    return group.endpoints().size() > ReplicaSubset.MIN_SIZE;
  }

  /** Returns the endpoints of the group that this router sends reads to. */
  List<Endpoint> endpointsInUse(ReplicaGroup group) {
    return ReplicaSubset.select(
        group,
        context.now(),
        context.settings().identity().routerCount(),
        context.settings().identity().index(),
        context::isListedForUse);
  }

  /**
   * Returns the candidates for one read; for a large subset, a contiguous run from a random start.
   */
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

  /**
   * Returns the start position of this router among the given number of positions; routers are
   * spread evenly.
   */
  int startPosition(int count) {
    int routers = Math.max(1, context.settings().identity().routerCount());
    return (int) ((long) (context.settings().identity().index() % routers) * count / routers);
  }

  /**
   * Temporarily widens the subset of a large group after no endpoint in use had capacity for a
   * read.
   */
  void widen(ReplicaGroup group) {
    if (isLarge(group)
        && context
            .now()
            .since(group.subset().lastWideningAt())
            .isLongerThan(MIN_WIDENING_INTERVAL)) {
      group.subset().recordWidening(context.now());
      ReplicaSubset.widen(group, context.settings().identity().routerCount());
    }
  }

  /** Undoes a widening that was not needed recently. */
  void narrowIfUnneeded(ReplicaGroup group) {
    if (group.subset().extraEndpoints() > 0
        && context.now().since(group.subset().lastWideningAt()).isLongerThan(Timing.LONG_DECAY)) {
      ReplicaSubset.narrow(group);
    }
  }
}
