package basaltlever.endpoints;

import static basaltlever.LoadBalancerHarness.check;

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

/**
 * Tests how evenly the routers' subsets of a large group cover its endpoints, and how a subset
 * grows.
 */
class ReplicaSubsetTest {
  private static final Moment NOW = new Moment(1_000_000_000);

  private static ReplicaGroup group(int size, SplittableRandom random) {
    ReplicaGroup group =
        new ReplicaGroup(
            1,
            NOW,
            Span.ofMillis(500),
            Comparator.comparingInt((Statement statement) -> statement.id()),
            new HoldBudget(10, 1_000).createQueue(1),
            null);
    for (int i = 0; i < size; i++) {
      Endpoint endpoint = new Endpoint(i, 1);
      endpoint.setRingOrder(random.nextInt());
      endpoint.setLifecycle(EndpointLifecycle.READY);
      endpoint.assignTo(group);
      group.addEndpoint(endpoint);
    }
    return group;
  }

  private static int[] coverage(ReplicaGroup group, int routers) {
    int[] coverage = new int[group.endpoints().size()];
    for (int router = 0; router < routers; router++) {
      group.subset().setEndpoints(null, Moment.LONG_AGO);
      for (Endpoint endpoint :
          ReplicaSubset.select(group, NOW, routers, router, Endpoint::isInService)) {
        coverage[endpoint.id()]++;
      }
    }
    return coverage;
  }

  @Example
  void smallGroupUsesAllItsEndpoints() {
    ReplicaGroup group = group(ReplicaSubset.MIN_SIZE, new SplittableRandom(1));
    check(
        ReplicaSubset.select(group, NOW, 100, 7, Endpoint::isInService) == group.endpoints(),
        "expected the group's own list of endpoints");
  }

  @Property(tries = 60, seed = "38", shrinking = ShrinkingMode.OFF)
  void subsetsCoverTheEndpointsOfALargeGroupEvenly(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int groupSize = 9 + random.nextInt(400);
    int routers = 1 + random.nextInt(120);
    int[] coverage = coverage(group(groupSize, random), routers);
    int fewest = Integer.MAX_VALUE;
    int most = 0;
    for (int count : coverage) {
      fewest = Math.min(fewest, count);
      most = Math.max(most, count);
    }
    check(
        fewest >= 1 && most - fewest <= 2,
        groupSize
            + " endpoints, "
            + routers
            + " routers: expected even coverage, got "
            + fewest
            + " to "
            + most);
  }

  @Example
  void hundredRoutersCoverSixtyFourEndpointsEvenly() {
    int[] coverage = coverage(group(64, new SplittableRandom(2)), 100);
    java.util.Arrays.sort(coverage);
    check(
        coverage[0] >= 12 && coverage[63] <= 13,
        "expected 12 or 13 subsets per endpoint, got " + coverage[0] + " to " + coverage[63]);
  }

  @Example
  void failedEndpointsAreReplacedAndWideningAddsMore() {
    ReplicaGroup group = group(64, new SplittableRandom(3));
    List<Endpoint> before =
        List.copyOf(ReplicaSubset.select(group, NOW, 100, 0, Endpoint::isInService));
    check(
        before.size() == ReplicaSubset.MIN_SIZE,
        "expected a subset of the minimum size, got " + before.size());
    before.get(0).health().markDown(NOW);
    before.get(3).health().markUnresponsive(NOW);
    group.subset().markStale();
    check(
        ReplicaSubset.select(group, NOW.plus(Span.ofMillis(50)), 100, 0, Endpoint::isInService)
            .equals(before),
        "expected no reselection before the minimum interval has passed");
    List<Endpoint> after =
        ReplicaSubset.select(group, NOW.plus(Span.ofMillis(150)), 100, 0, Endpoint::isInService);
    check(
        after.size() == before.size() + 2 && after.containsAll(before),
        "expected two endpoints in addition, got a size of " + after.size());
    ReplicaSubset.widen(group, 100);
    check(
        ReplicaSubset.select(group, NOW.plus(Span.ofMillis(300)), 100, 0, Endpoint::isInService)
                .size()
            > after.size(),
        "expected a larger subset after widening");
    ReplicaSubset.narrow(group);
    check(
        ReplicaSubset.select(group, NOW.plus(Span.ofMillis(450)), 100, 0, Endpoint::isInService)
                .size()
            == after.size(),
        "expected the former size after narrowing");
  }

  @Example
  void drainingEndpointIsExcluded() {
    ReplicaGroup group = group(64, new SplittableRandom(4));
    Endpoint first = ReplicaSubset.select(group, NOW, 100, 0, Endpoint::isInService).get(0);
    first.setLifecycle(EndpointLifecycle.DRAINING);
    group.subset().markStale();
    check(
        !ReplicaSubset.select(group, NOW.plus(Span.ofMillis(150)), 100, 0, Endpoint::isInService)
            .contains(first),
        "expected a subset without the draining endpoint");
  }
}
