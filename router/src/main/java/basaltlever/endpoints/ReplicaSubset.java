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
 * as any other, give or take one. Groups of up to {@link #LEAST} members are used whole.
 */
public final class ReplicaSubset {
  /** A subset has at least so many members, where the group has them. */
  public static final int LEAST = 8;

  /** Each member is in at least this many subsets of all routers together. */
  private static final double COVERAGE = 2;

  /** A large group's subset is not chosen anew more often than this. */
  private static final Span MIN_RECHOICE_INTERVAL = Span.ofMillis(100);

  private static final Comparator<Endpoint> BY_RANK =
      Comparator.comparingInt((Endpoint endpoint) -> endpoint.ringOrder())
          .thenComparingInt(endpoint -> endpoint.id());

  private ReplicaSubset() {}

  /** The members to choose among; chosen anew where the group has changed. */
  public static List<Endpoint> of(
      ReplicaGroup group, Moment now, int routers, int index, Predicate<Endpoint> mayBeUsed) {
    if (group.endpoints().size() <= LEAST) {
      return group.endpoints();
    }
    boolean due = !now.since(group.subset().selectedAt()).isShorterThan(MIN_RECHOICE_INTERVAL);
    if (group.subset().endpoints() == null || (group.subset().isStale() && due)) {
      group.subset().setEndpoints(choose(group, routers, index, mayBeUsed), now);
    }
    return group.subset().endpoints();
  }

  /** How many members a subset has before any widening. */
  public static int width(int members, int routers) {
    return Math.min(
        members, Math.max(LEAST, (int) Math.ceil(COVERAGE * members / Math.max(1, routers))));
  }

  /** Adds half as many members again, where those of the subset have no capacity. */
  public static void widen(ReplicaGroup group, int routers) {
    int most = group.endpoints().size();
    int width = Math.min(most, width(most, routers) + group.subset().extraEndpoints());
    if (width < most) {
      group.subset().widenBy(Math.max(1, width / 2));
    }
  }

  /** Removes what the subset was widened by. */
  public static void narrow(ReplicaGroup group) {
    group.subset().resetWidening();
  }

  private static List<Endpoint> choose(
      ReplicaGroup group, int routers, int index, Predicate<Endpoint> mayBeUsed) {
    List<Endpoint> ring = new ArrayList<>(group.endpoints().size());
    for (Endpoint member : group.endpoints()) {
      if (mayBeUsed.test(member)) {
        ring.add(member);
      }
    }
    ring.sort(BY_RANK);
    int width =
        Math.min(ring.size(), width(ring.size(), routers) + group.subset().extraEndpoints());
    int start =
        (int)
            ((long) Math.floorMod(index, Math.max(1, routers))
                * ring.size()
                / Math.max(1, routers));
    List<Endpoint> chosen = new ArrayList<>(width);
    // A failed member keeps its place, and the next one on the ring stands in for it.
    int healthy = 0;
    for (int i = 0; i < ring.size() && healthy < width; i++) {
      Endpoint next = ring.get((start + i) % ring.size());
      chosen.add(next);
      healthy += next.health().isDown() || next.health().isUnresponsive() ? 0 : 1;
    }
    return chosen;
  }
}
