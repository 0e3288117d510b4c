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
 * Deterministic subsetting: selects the endpoints of a large group to which one router sends reads.
 * All routers have the same ring order of the endpoints. Router number {@code index} of {@code
 * routers} starts at its own position on the ring; the positions are evenly spaced, so that any two
 * endpoints are in nearly the same number of subsets, with a difference of at most two. Groups of
 * up to {@link #MIN_SIZE} endpoints are used completely.
 */
public final class ReplicaSubset {
  /** Minimum size of a subset, if the group has as many endpoints. */
  public static final int MIN_SIZE = 8;

  /** Each endpoint is in at least this many subsets of all routers together. */
  private static final double COVERAGE = 2;

  /** Minimum time between two selections of a large group's subset. */
  private static final Span MIN_RESELECTION_INTERVAL = Span.ofMillis(100);

  private static final Comparator<Endpoint> BY_RING_ORDER =
      Comparator.comparingInt((Endpoint endpoint) -> endpoint.ringOrder())
          .thenComparingInt(endpoint -> endpoint.id());

  private ReplicaSubset() {}

  /** Returns the endpoints of the subset; they are reselected if the group has changed. */
  public static List<Endpoint> select(
      ReplicaGroup group, Moment now, int routers, int index, Predicate<Endpoint> isUsable) {
    if (group.endpoints().size() <= MIN_SIZE) {
      return group.endpoints();
    }
    boolean due = !now.since(group.subset().selectedAt()).isShorterThan(MIN_RESELECTION_INTERVAL);
    if (group.subset().endpoints() == null || (group.subset().isStale() && due)) {
      group.subset().setEndpoints(selectFromRing(group, routers, index, isUsable), now);
    }
    return group.subset().endpoints();
  }

  /** Returns the size of a subset before any widening. */
  public static int baseSize(int groupSize, int routers) {
    return Math.min(
        groupSize,
        Math.max(MIN_SIZE, (int) Math.ceil(COVERAGE * groupSize / Math.max(1, routers))));
  }

  /** Widens the subset by half its size, because its endpoints have no capacity. */
  public static void widen(ReplicaGroup group, int routers) {
    int groupSize = group.endpoints().size();
    int subsetSize =
        Math.min(groupSize, baseSize(groupSize, routers) + group.subset().extraEndpoints());
    if (subsetSize < groupSize) {
      group.subset().widenBy(Math.max(1, subsetSize / 2));
    }
  }

  /** Undoes all widening of the subset. */
  public static void narrow(ReplicaGroup group) {
    group.subset().resetWidening();
  }

  private static List<Endpoint> selectFromRing(
      ReplicaGroup group, int routers, int index, Predicate<Endpoint> isUsable) {
    List<Endpoint> ring = new ArrayList<>(group.endpoints().size());
    for (Endpoint endpoint : group.endpoints()) {
      if (isUsable.test(endpoint)) {
        ring.add(endpoint);
      }
    }
    ring.sort(BY_RING_ORDER);
    int subsetSize =
        Math.min(ring.size(), baseSize(ring.size(), routers) + group.subset().extraEndpoints());
    int start =
        (int)
            ((long) Math.floorMod(index, Math.max(1, routers))
                * ring.size()
                / Math.max(1, routers));
    List<Endpoint> chosen = new ArrayList<>(subsetSize);
    // A failed endpoint stays in the subset, and the next one on the ring is added to replace it.
    int healthy = 0;
    for (int i = 0; i < ring.size() && healthy < subsetSize; i++) {
      Endpoint next = ring.get((start + i) % ring.size());
      chosen.add(next);
      healthy += next.health().isDown() || next.health().isUnresponsive() ? 0 : 1;
    }
    return chosen;
  }
}
