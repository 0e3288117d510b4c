package basaltlever.endpoints;

import static basaltlever.StandIn.check;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.hold.HoldBudget;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** How evenly the routers' subsets of a large group cover its members, and how a subset grows. */
class ReplicaSubsetTest {
  private static final Moment NOW = new Moment(1_000_000_000);

  private static ReplicaGroup group(int members, SplittableRandom random) {
    ReplicaGroup group =
        new ReplicaGroup(
            1,
            NOW,
            Span.ofMillis(500),
            Comparator.comparingInt((Statement one) -> one.id()),
            new HoldBudget(10, 1_000).group(1),
            null);
    for (int i = 0; i < members; i++) {
      Endpoint node = new Endpoint(i, 1);
      node.setRingOrder(random.nextInt());
      node.setLifecycle(EndpointLifecycle.READY);
      node.assignTo(group);
      group.addEndpoint(node);
    }
    return group;
  }

  private static int[] covered(ReplicaGroup group, int routers) {
    int[] covered = new int[group.endpoints().size()];
    for (int router = 0; router < routers; router++) {
      group.subset().setEndpoints(null, Moment.LONG_AGO);
      for (Endpoint member : ReplicaSubset.of(group, NOW, routers, router, Endpoint::isInService)) {
        covered[member.id()]++;
      }
    }
    return covered;
  }

  @Example
  void aSmallGroupIsUsedWhole() {
    ReplicaGroup group = group(ReplicaSubset.LEAST, new SplittableRandom(1));
    check(
        ReplicaSubset.of(group, NOW, 100, 7, Endpoint::isInService) == group.endpoints(),
        "the list itself");
  }

  @Property(tries = 60, seed = "38", shrinking = ShrinkingMode.OFF)
  void allMembersOfALargeGroupAreInAsManySubsetsAsAnyOther(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int members = 9 + random.nextInt(400);
    int routers = 1 + random.nextInt(120);
    int[] covered = covered(group(members, random), routers);
    int least = Integer.MAX_VALUE;
    int most = 0;
    for (int count : covered) {
      least = Math.min(least, count);
      most = Math.max(most, count);
    }
    check(
        least >= 1 && most - least <= 2,
        members + " members, " + routers + " routers: " + least + " to " + most);
  }

  @Example
  void aHundredRoutersShareSixtyFourMembersEvenly() {
    int[] covered = covered(group(64, new SplittableRandom(2)), 100);
    java.util.Arrays.sort(covered);
    check(
        covered[0] >= 12 && covered[63] <= 13, "800 places: " + covered[0] + " to " + covered[63]);
  }

  @Example
  void anotherStandsInForOneThatIsLost() {
    ReplicaGroup group = group(64, new SplittableRandom(3));
    List<Endpoint> before =
        List.copyOf(ReplicaSubset.of(group, NOW, 100, 0, Endpoint::isInService));
    check(before.size() == ReplicaSubset.LEAST, "the least: " + before.size());
    before.get(0).health().markDown(NOW);
    before.get(3).health().markUnresponsive(NOW);
    group.subset().markStale();
    check(
        ReplicaSubset.of(group, NOW.plus(Span.ofMillis(50)), 100, 0, Endpoint::isInService)
            .equals(before),
        "not at once");
    List<Endpoint> after =
        ReplicaSubset.of(group, NOW.plus(Span.ofMillis(150)), 100, 0, Endpoint::isInService);
    check(
        after.size() == before.size() + 2 && after.containsAll(before),
        "two more: " + after.size());
    ReplicaSubset.widen(group, 100);
    check(
        ReplicaSubset.of(group, NOW.plus(Span.ofMillis(300)), 100, 0, Endpoint::isInService).size()
            > after.size(),
        "wider");
    ReplicaSubset.narrow(group);
    check(
        ReplicaSubset.of(group, NOW.plus(Span.ofMillis(450)), 100, 0, Endpoint::isInService).size()
            == after.size(),
        "and back");
  }

  @Example
  void whoDrainsIsLeftOut() {
    ReplicaGroup group = group(64, new SplittableRandom(4));
    Endpoint first = ReplicaSubset.of(group, NOW, 100, 0, Endpoint::isInService).get(0);
    first.setLifecycle(EndpointLifecycle.DRAINING);
    group.subset().markStale();
    check(
        !ReplicaSubset.of(group, NOW.plus(Span.ofMillis(150)), 100, 0, Endpoint::isInService)
            .contains(first),
        "another in its place");
  }
}
