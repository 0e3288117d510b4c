package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Deterministic subsetting: the members of a large group that one router sends reads to. All
 * routers know the same order of the members; router number {@code index} of {@code routers} begins
 * at its own place on that ring, the places evenly apart, so that each member is in as many subsets
 * as any other, give or take one. Groups of up to {@link #MIN_SIZE} members are used whole.
 */
public final class ReplicaSubset {
  /** A subset has at least so many members, where the group has them. */
  public static final int MIN_SIZE = 8;

  /** Each member is in at least this many subsets of all routers together. */
  private static final double COVERAGE = 2;

  /** A large group's subset is not chosen anew more often than this. */
  private static final Span MIN_RESELECTION_INTERVAL = Span.ofMillis(100);

  private static final Comparator<Endpoint> BY_RING_ORDER =
      Comparator.comparingInt((Endpoint endpoint) -> endpoint.ringOrder())
          .thenComparingInt(endpoint -> endpoint.id());

  private ReplicaSubset() {}

  /** The members to choose among; chosen anew where the group has changed. */
  public static List<Endpoint> select(
      ReplicaGroup group, Moment now, int routers, int index, Predicate<Endpoint> isUsable) {
    if (group.members().size() <= MIN_SIZE) {
      return group.members();
    }
    boolean due = !now.since(group.subset().chosenAt()).isShorterThan(MIN_RESELECTION_INTERVAL);
    if (group.subset().members() == null || (group.subset().isStale() && due)) {
      group.subset().choose(selectFromRing(group, routers, index, isUsable), now);
    }
    return group.subset().members();
  }

  /** How many members a subset has before any widening. */
  public static int baseSize(int groupSize, int routers) {
    return Math.min(
        groupSize,
        Math.max(MIN_SIZE, (int) Math.ceil(COVERAGE * groupSize / Math.max(1, routers))));
  }

  /** Adds half as many members again, where those of the subset have no capacity. */
  public static void widen(ReplicaGroup group, int routers) {
    int groupSize = group.members().size();
    int subsetSize =
        Math.min(groupSize, baseSize(groupSize, routers) + group.subset().extraMembers());
    if (subsetSize < groupSize) {
      group.subset().widenBy(Math.max(1, subsetSize / 2));
    }
  }

  /** Removes what the subset was widened by. */
  public static void narrow(ReplicaGroup group) {
    group.subset().narrow();
  }

  private static List<Endpoint> selectFromRing(
      ReplicaGroup group, int routers, int index, Predicate<Endpoint> isUsable) {
    List<Endpoint> ring = new ArrayList<>(group.members().size());
    for (Endpoint endpoint : group.members()) {
      if (isUsable.test(endpoint)) {
        ring.add(endpoint);
      }
    }
    ring.sort(BY_RING_ORDER);
    int subsetSize =
        Math.min(ring.size(), baseSize(ring.size(), routers) + group.subset().extraMembers());
    int start =
        (int)
            ((long) Math.floorMod(index, Math.max(1, routers))
                * ring.size()
                / Math.max(1, routers));
    List<Endpoint> chosen = new ArrayList<>(subsetSize);
    // A failed member keeps its place, and the next one on the ring stands in for it.
    int healthy = 0;
    for (int i = 0; i < ring.size() && healthy < subsetSize; i++) {
      Endpoint next = ring.get((start + i) % ring.size());
      chosen.add(next);
      healthy += next.health().isDown() || next.health().isSilent() ? 0 : 1;
    }
    return chosen;
  }
}
