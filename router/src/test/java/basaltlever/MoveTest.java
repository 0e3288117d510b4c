package basaltlever;

import static basaltlever.StandIn.ANY;
import static basaltlever.StandIn.BOUNDED;
import static basaltlever.StandIn.KEYED;
import static basaltlever.StandIn.LONG;
import static basaltlever.StandIn.SLACK;
import static basaltlever.StandIn.Sent;
import static basaltlever.StandIn.WRITE;
import static basaltlever.StandIn.check;
import static basaltlever.StandIn.ms;

import basaltlever.gateway.AttemptLimits;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Role;
import basaltlever.time.Moment;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * Where one execution may be out and only drains bind: one case for each failure found on
 * hq-booking-db and fon-fiyat-ist (docs/incidents/2026-12-01-move.md).
 */
@SuppressWarnings("ReferenceEquality") // Asks for the very same execution.
class MoveTest {
  private static StandIn steady(int nodes) {
    StandIn world = StandIn.moved().list(nodes);
    for (int node = 0; node < nodes; node++) {
      world.poll(node, node == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    return world;
  }

  private static void answers(StandIn world, int workload, int times, double millis) {
    for (int i = 0; i < times; i++) {
      world.take(workload);
      world
          .later(millis)
          .end(
              world.last(),
              AttemptOutcome.COMPLETED,
              world.last().node() == 0 ? Role.PRIMARY : Role.REPLICA,
              world.now);
    }
  }

  @Example
  void aReadOnASilentNodeIsCalledOffAndGoesElsewhereOnlyThen() {
    StandIn world = steady(3);
    answers(world, ANY, 80, 10);
    int read = world.take(ANY);
    Sent first = world.last();
    for (int i = 0; i < 40 && world.cancelled.isEmpty(); i++) {
      world.later(5);
    }
    check(world.cancelled.size() >= 1 && world.cancelled.get(0).statement() == read, "called off");
    check(world.last() == first, "nothing more is out before its end");
    world.end(first, AttemptOutcome.CANCELLED, Role.UNKNOWN);
    check(world.last().statement() == read && world.last().node() != first.node(), "another node");
  }

  /**
   * Called off in the next look, no trial ever ended a silence: sound nodes stayed left for 30 s.
   */
  @Example
  void aTrialOfASilentNodeHasItsOwnTime() {
    StandIn world = steady(2);
    answers(world, ANY, 80, 10);
    world.take(ANY);
    Sent first = world.last();
    world.later(250).end(first, AttemptOutcome.CANCELLED, Role.UNKNOWN);
    world.later(700).poll(1, Role.REPLICA, world.now);
    world.cancelled.clear();
    int trial = world.take(ANY);
    check(world.last().node() == 1 && world.last().statement() == trial, "its trial");
    world.later(15);
    check(world.cancelled.isEmpty(), "not called off for a silence from before it");
    world.end(world.last(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
    world.take(ANY);
    check(world.last().node() == 1, "an answer ends the silence");
  }

  @Example
  void trialsThatFailGrowRarer() {
    StandIn world = steady(2);
    answers(world, ANY, 80, 10);
    int tried = 0;
    for (int i = 0; i < 400; i++) {
      int before = world.sent.size();
      world.take(ANY);
      tried += world.sent.size() > before && world.last().node() == 1 ? 1 : 0;
      world.later(25).endThose(s -> s.node() == 0, AttemptOutcome.COMPLETED, Role.PRIMARY);
      world.endThose(
          s -> s.node() == 1 && world.isOlder(s, 100), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
      world.poll(1, Role.REPLICA, world.now);
    }
    check(tried >= 3 && tried <= 14, "in 10 s it was tried " + tried + " times");
  }

  /** A list with nodes that are none of ours: each read sent there was lost. */
  @Example
  void aNodeThatNeverSaidAWordGetsNothing() {
    StandIn world = steady(2);
    for (int node = 2; node < 8; node++) {
      world.relist(node, EndpointLifecycle.READY, Moment.LONG_AGO);
    }
    answers(world, ANY, 40, 10);
    check(world.sent.stream().allMatch(sent -> sent.node() < 2), "no ghost is sent anything");
    world.poll(5, Role.REPLICA, world.now);
    answers(world, ANY, 40, 10);
    check(world.sent.stream().anyMatch(sent -> sent.node() == 5), "one that answered a poll is");
  }

  @Example
  void whatIsListedAsGoneWithoutADrainIsPolledAndUsedAndWhatDrainedIsNot() {
    StandIn world = steady(3);
    for (int node = 0; node < 3; node++) {
      world.relist(node, EndpointLifecycle.GONE, Moment.LONG_AGO);
      world.poll(node, node == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    world.polled.clear();
    for (int i = 0; i < 12; i++) {
      answers(world, WRITE, 1, 200);
    }
    check(
        world.last().node() == 0 && world.polled.containsAll(List.of(0, 1, 2)),
        "as before: " + world.polled);
    world.relist(0, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    world.relist(0, EndpointLifecycle.GONE, Moment.LONG_AGO);
    int sent = world.sent.size();
    world.poll(0, Role.PRIMARY, world.now);
    world.take(WRITE);
    world.later(300);
    check(world.sent.size() == sent, "left out after its drain, it stays bound");
  }

  /** Spread by busyness, reports kept every replica from applying the log. */
  @Example
  void longStatementsStayOnOneReplicaOfThreeAndOthersKeepOff() {
    StandIn world = steady(4);
    Set<Integer> bearers = new HashSet<>();
    Set<Integer> others = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      world.take(LONG, 0, Moment.LONG_AGO, 12_000);
      Sent report = world.last();
      bearers.add(report.node());
      world.take(BOUNDED);
      others.add(world.last().node());
      world.later(10).end(world.last(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
      world.later(190).end(report, AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
      for (int node = 0; node < 4; node++) {
        world.poll(node, node == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
      }
    }
    check(bearers.size() == 1 && !bearers.contains(0), "one bears all: " + bearers);
    others.retainAll(bearers);
    check(others.isEmpty(), "no other read meets them");
  }

  @Example
  void aPrimaryWithStatementsWaitingGetsNoReadsThatAReplicaWouldTake() {
    StandIn world = steady(2);
    for (double queue : new double[] {0, 3}) {
      world.balancer.pollEnded(
          world.now,
          1,
          AttemptOutcome.COMPLETED,
          Role.REPLICA,
          world.now.minus(ms(2_000)),
          Double.NaN,
          0);
      world
          .later(600)
          .balancer
          .pollEnded(
              world.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, world.now, Double.NaN, queue);
      int before = world.sent.size();
      world.take(ANY);
      world.balancer.pollEnded(
          world.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, world.now, Double.NaN, queue);
      world.relist(1, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
      world.take(ANY);
      world.balancer.pollEnded(
          world.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, world.now, Double.NaN, queue);
      world.later(25);
      boolean primary =
          world.sent.subList(before, world.sent.size()).stream().anyMatch(s -> s.node() == 0);
      check(primary == (queue == 0), "with " + queue + " waiting");
      world.relist(1, EndpointLifecycle.READY, Moment.LONG_AGO);
      world.endThose(s -> true, AttemptOutcome.COMPLETED, Role.PRIMARY);
    }
  }

  /** Writes whose answers got lost waited for them until their clients left. */
  @Example
  void aDeduplicatedWriteEndsInTimeToBeSentAgainWithinItsWindow() {
    StandIn world = steady(2);
    answers(world, KEYED, 120, 10);
    int write = world.take(KEYED);
    Sent first = world.last();
    check(first.timeout().micros() > 0 && first.timeout().isShorterThan(ms(300)), "it ends early");
    world.later(first.timeout().micros() / 1e3).end(first, AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    check(
        world.last() != first && world.last().statement() == write && world.last().node() == 0,
        "again");
    answers(world, WRITE, 1, 10);
    check(world.last().timeout().micros() == 0, "one that can't run again waits");
  }

  @Example
  void aSwitchToOneExecutionLeavesOneOutAndItsTermsStay() {
    StandIn world = new StandIn(true, true, true, false, true, 2, 7, 1_000).steady(20);
    answers(world, ANY, 120, 10);
    int read = world.take(ANY);
    Sent first = world.last();
    world.later(400);
    check(world.sent.stream().filter(s -> s.statement() == read).count() >= 2, "a copy is out");
    AttemptLimits one = new AttemptLimits(2, false, true, true, ms(1_000), SLACK);
    world.balancer.applySettings(world.now, world.with(one, false));
    check(
        world.cancelled.stream()
            .anyMatch(s -> s.statement() == read && s.execution() > first.execution()),
        "the later one is called off");
    check(
        world.cancelled.stream().noneMatch(s -> s.statement() == read && s.execution() == 0),
        "the first goes on");
    world.end(first, AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
    world.balancer.applySettings(world.now, world.with(world.attemptLimits, true));
    world.relist(1, EndpointLifecycle.GONE, Moment.LONG_AGO);
    world.relist(2, EndpointLifecycle.GONE, Moment.LONG_AGO);
    int before = world.sent.size();
    answers(world, ANY, 10, 10);
    check(
        world.sent.subList(before, world.sent.size()).stream().allMatch(s -> s.node() == 0),
        "on the way back removals bind again");
  }
}
