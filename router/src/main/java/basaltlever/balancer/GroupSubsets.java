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
    return group.endpoints().size() > ReplicaSubset.LEAST;
  }

  /** The members that this router sends reads to. */
  List<Endpoint> membersInUse(ReplicaGroup group) {
    return ReplicaSubset.of(
        group,
        context.now(),
        context.settings().identity().routerCount(),
        context.settings().identity().index(),
        context::isListedForUse);
  }

  /** The members to choose among for one read: of a large subset, a run drawn at random. */
  List<Endpoint> candidates(ReplicaGroup group) {
    List<Endpoint> all = membersInUse(group);
    if (all.size() <= MAX_CANDIDATES) {
      return all;
    }
    int from = context.random().nextInt(all.size());
    List<Endpoint> some = new ArrayList<>(MAX_CANDIDATES);
    for (int i = 0; i < MAX_CANDIDATES; i++) {
      some.add(all.get((from + i) % all.size()));
    }
    return some;
  }

  /** Where this router begins among so many places, the routers being spread evenly. */
  int startPosition(int count) {
    int routers = Math.max(1, context.settings().identity().routerCount());
    return (int) ((long) (context.settings().identity().index() % routers) * count / routers);
  }

  /** No member in use had capacity for a read: takes more of a large group into use for a while. */
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

  /** Gives up a widening that was not needed lately. */
  void narrowIfUnneeded(ReplicaGroup group) {
    if (group.subset().extraEndpoints() > 0
        && context.now().since(group.subset().lastWideningAt()).isLongerThan(Timing.LONG_DECAY)) {
      ReplicaSubset.narrow(group);
    }
  }
}
