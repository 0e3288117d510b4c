package basaltlever.endpoints;

import static basaltlever.StandIn.check;

import basaltlever.gateway.Listing;
import basaltlever.hold.HoldBudget;
import basaltlever.model.Group;
import basaltlever.model.Node;
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

  private static Group group(int members, SplittableRandom random) {
    Group group =
        new Group(
            1,
            NOW,
            Span.ofMillis(500),
            Comparator.comparingInt((Statement one) -> one.id),
            new HoldBudget(10, 1_000).group(1),
            null);
    for (int i = 0; i < members; i++) {
      Node node = new Node(i, 1);
      node.rank = random.nextInt();
      node.listing = Listing.READY;
      node.group = group;
      group.members.add(node);
    }
    return group;
  }

  private static int[] covered(Group group, int routers) {
    int[] covered = new int[group.members.size()];
    for (int router = 0; router < routers; router++) {
      group.subset = null;
      for (Node member : ReplicaSubset.of(group, NOW, routers, router, Node::isInService)) {
        covered[member.id]++;
      }
    }
    return covered;
  }

  @Example
  void aSmallGroupIsUsedWhole() {
    Group group = group(ReplicaSubset.LEAST, new SplittableRandom(1));
    check(
        ReplicaSubset.of(group, NOW, 100, 7, Node::isInService) == group.members,
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
    Group group = group(64, new SplittableRandom(3));
    List<Node> before = List.copyOf(ReplicaSubset.of(group, NOW, 100, 0, Node::isInService));
    check(before.size() == ReplicaSubset.LEAST, "the least: " + before.size());
    before.get(0).down = true;
    before.get(3).silent = true;
    group.subsetStale = true;
    check(
        ReplicaSubset.of(group, NOW.plus(Span.ofMillis(50)), 100, 0, Node::isInService)
            .equals(before),
        "not at once");
    List<Node> after =
        ReplicaSubset.of(group, NOW.plus(Span.ofMillis(150)), 100, 0, Node::isInService);
    check(
        after.size() == before.size() + 2 && after.containsAll(before),
        "two more: " + after.size());
    ReplicaSubset.widen(group, 100);
    check(
        ReplicaSubset.of(group, NOW.plus(Span.ofMillis(300)), 100, 0, Node::isInService).size()
            > after.size(),
        "wider");
    ReplicaSubset.narrow(group);
    check(
        ReplicaSubset.of(group, NOW.plus(Span.ofMillis(450)), 100, 0, Node::isInService).size()
            == after.size(),
        "and back");
  }

  @Example
  void whoDrainsIsLeftOut() {
    Group group = group(64, new SplittableRandom(4));
    Node first = ReplicaSubset.of(group, NOW, 100, 0, Node::isInService).get(0);
    first.listing = Listing.DRAINING;
    group.subsetStale = true;
    check(
        !ReplicaSubset.of(group, NOW.plus(Span.ofMillis(150)), 100, 0, Node::isInService)
            .contains(first),
        "another in its place");
  }
}
