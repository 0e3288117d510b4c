package basaltlever;

import static basaltlever.LoadBalancerHarness.ANSWER_SLACK;
import static basaltlever.LoadBalancerHarness.ANY;
import static basaltlever.LoadBalancerHarness.BOUNDED;
import static basaltlever.LoadBalancerHarness.DEDUPLICATED;
import static basaltlever.LoadBalancerHarness.LONG_RUNNING;
import static basaltlever.LoadBalancerHarness.SentAttempt;
import static basaltlever.LoadBalancerHarness.WRITE;
import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

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
class SingleAttemptTest {
  private static LoadBalancerHarness createHarness(int endpointCount) {
    LoadBalancerHarness world =
        LoadBalancerHarness.withSingleAttempts().listEndpoints(endpointCount);
    for (int endpoint = 0; endpoint < endpointCount; endpoint++) {
      world.completePoll(endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    return world;
  }

  private static void completeStatements(
      LoadBalancerHarness world, int workload, int count, double millis) {
    for (int i = 0; i < count; i++) {
      world.receiveStatement(workload);
      world
          .advance(millis)
          .endAttempt(
              world.lastAttempt(),
              AttemptOutcome.COMPLETED,
              world.lastAttempt().endpoint() == 0 ? Role.PRIMARY : Role.REPLICA,
              world.now);
    }
  }

  @Example
  void readOnUnresponsiveEndpointIsCancelledBeforeRetryElsewhere() {
    LoadBalancerHarness world = createHarness(3);
    completeStatements(world, ANY, 80, 10);
    int read = world.receiveStatement(ANY);
    SentAttempt first = world.lastAttempt();
    for (int i = 0; i < 40 && world.cancelledAttempts.isEmpty(); i++) {
      world.advance(5);
    }
    check(
        world.cancelledAttempts.size() >= 1 && world.cancelledAttempts.get(0).statement() == read,
        "called off");
    check(world.lastAttempt() == first, "nothing more is out before its end");
    world.endAttempt(first, AttemptOutcome.CANCELLED, Role.UNKNOWN);
    check(
        world.lastAttempt().statement() == read
            && world.lastAttempt().endpoint() != first.endpoint(),
        "another node");
  }

  /**
   * Called off in the next look, no trial ever ended a silence: sound nodes stayed left for 30 s.
   */
  @Example
  void trialOfUnresponsiveEndpointHasItsOwnTimeout() {
    LoadBalancerHarness world = createHarness(2);
    completeStatements(world, ANY, 80, 10);
    world.receiveStatement(ANY);
    SentAttempt first = world.lastAttempt();
    world.advance(250).endAttempt(first, AttemptOutcome.CANCELLED, Role.UNKNOWN);
    world.advance(700).completePoll(1, Role.REPLICA, world.now);
    world.cancelledAttempts.clear();
    int trial = world.receiveStatement(ANY);
    check(
        world.lastAttempt().endpoint() == 1 && world.lastAttempt().statement() == trial,
        "its trial");
    world.advance(15);
    check(world.cancelledAttempts.isEmpty(), "not called off for a silence from before it");
    world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
    world.receiveStatement(ANY);
    check(world.lastAttempt().endpoint() == 1, "an answer ends the silence");
  }

  @Example
  void failedTrialsBecomeLessFrequent() {
    LoadBalancerHarness world = createHarness(2);
    completeStatements(world, ANY, 80, 10);
    int trials = 0;
    for (int i = 0; i < 400; i++) {
      int sentBefore = world.attempts.size();
      world.receiveStatement(ANY);
      trials += world.attempts.size() > sentBefore && world.lastAttempt().endpoint() == 1 ? 1 : 0;
      world.advance(25).endAttempts(s -> s.endpoint() == 0, AttemptOutcome.COMPLETED, Role.PRIMARY);
      world.endAttempts(
          s -> s.endpoint() == 1 && world.isOlder(s, 100), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
      world.completePoll(1, Role.REPLICA, world.now);
    }
    check(trials >= 3 && trials <= 14, "in 10 s it was tried " + trials + " times");
  }

  /** A list with nodes that are none of ours: each read sent there was lost. */
  @Example
  void endpointThatNeverRespondedReceivesNoStatements() {
    LoadBalancerHarness world = createHarness(2);
    for (int endpoint = 2; endpoint < 8; endpoint++) {
      world.listEndpoint(endpoint, EndpointLifecycle.READY, Moment.LONG_AGO);
    }
    completeStatements(world, ANY, 40, 10);
    check(
        world.attempts.stream().allMatch(sent -> sent.endpoint() < 2), "no ghost is sent anything");
    world.completePoll(5, Role.REPLICA, world.now);
    completeStatements(world, ANY, 40, 10);
    check(
        world.attempts.stream().anyMatch(sent -> sent.endpoint() == 5),
        "one that answered a poll is");
  }

  @Example
  void endpointGoneWithoutDrainIsUsedAndDrainedOneIsNot() {
    LoadBalancerHarness world = createHarness(3);
    for (int endpoint = 0; endpoint < 3; endpoint++) {
      world.listEndpoint(endpoint, EndpointLifecycle.GONE, Moment.LONG_AGO);
      world.completePoll(endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    world.polledEndpoints.clear();
    for (int i = 0; i < 12; i++) {
      completeStatements(world, WRITE, 1, 200);
    }
    check(
        world.lastAttempt().endpoint() == 0 && world.polledEndpoints.containsAll(List.of(0, 1, 2)),
        "as before: " + world.polledEndpoints);
    world.listEndpoint(0, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    world.listEndpoint(0, EndpointLifecycle.GONE, Moment.LONG_AGO);
    int sentBefore = world.attempts.size();
    world.completePoll(0, Role.PRIMARY, world.now);
    world.receiveStatement(WRITE);
    world.advance(300);
    check(world.attempts.size() == sentBefore, "left out after its drain, it stays bound");
  }

  /** Spread by busyness, reports kept every replica from applying the log. */
  @Example
  void longRunningReadsUseOneReplicaThatOtherReadsAvoid() {
    LoadBalancerHarness world = createHarness(4);
    Set<Integer> longRunningEndpoints = new HashSet<>();
    Set<Integer> otherEndpoints = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      world.receiveStatement(LONG_RUNNING, 0, Moment.LONG_AGO, 12_000);
      SentAttempt report = world.lastAttempt();
      longRunningEndpoints.add(report.endpoint());
      world.receiveStatement(BOUNDED);
      otherEndpoints.add(world.lastAttempt().endpoint());
      world
          .advance(10)
          .endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
      world.advance(190).endAttempt(report, AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
      for (int endpoint = 0; endpoint < 4; endpoint++) {
        world.completePoll(endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
      }
    }
    check(
        longRunningEndpoints.size() == 1 && !longRunningEndpoints.contains(0),
        "one bears all: " + longRunningEndpoints);
    otherEndpoints.retainAll(longRunningEndpoints);
    check(otherEndpoints.isEmpty(), "no other read meets them");
  }

  @Example
  void primaryWithQueuedStatementsReceivesNoReads() {
    LoadBalancerHarness world = createHarness(2);
    for (double queued : new double[] {0, 3}) {
      world.balancer.onPollEnded(
          world.now,
          1,
          AttemptOutcome.COMPLETED,
          Role.REPLICA,
          world.now.minus(ms(2_000)),
          Double.NaN,
          0);
      world
          .advance(600)
          .balancer
          .onPollEnded(
              world.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, world.now, Double.NaN, queued);
      int sentBefore = world.attempts.size();
      world.receiveStatement(ANY);
      world.balancer.onPollEnded(
          world.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, world.now, Double.NaN, queued);
      world.listEndpoint(1, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
      world.receiveStatement(ANY);
      world.balancer.onPollEnded(
          world.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, world.now, Double.NaN, queued);
      world.advance(25);
      boolean primaryUsed =
          world.attempts.subList(sentBefore, world.attempts.size()).stream()
              .anyMatch(s -> s.endpoint() == 0);
      check(primaryUsed == (queued == 0), "with " + queued + " waiting");
      world.listEndpoint(1, EndpointLifecycle.READY, Moment.LONG_AGO);
      world.endAttempts(s -> true, AttemptOutcome.COMPLETED, Role.PRIMARY);
    }
  }

  /** Writes whose answers got lost waited for them until their clients left. */
  @Example
  void deduplicatedWriteTimesOutEarlyEnoughToRetryWithinWindow() {
    LoadBalancerHarness world = createHarness(2);
    completeStatements(world, DEDUPLICATED, 120, 10);
    int write = world.receiveStatement(DEDUPLICATED);
    SentAttempt first = world.lastAttempt();
    check(first.timeout().micros() > 0 && first.timeout().isShorterThan(ms(300)), "it ends early");
    world
        .advance(first.timeout().micros() / 1e3)
        .endAttempt(first, AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    check(
        world.lastAttempt() != first
            && world.lastAttempt().statement() == write
            && world.lastAttempt().endpoint() == 0,
        "again");
    completeStatements(world, WRITE, 1, 10);
    check(world.lastAttempt().timeout().micros() == 0, "one that can't run again waits");
  }

  @Example
  void disablingHedgingCancelsLaterAttemptOnly() {
    LoadBalancerHarness world =
        new LoadBalancerHarness(true, true, true, false, true, 2, 7, 1_000).discoverGroup(20);
    completeStatements(world, ANY, 120, 10);
    int read = world.receiveStatement(ANY);
    SentAttempt first = world.lastAttempt();
    world.advance(400);
    check(world.attempts.stream().filter(s -> s.statement() == read).count() >= 2, "a copy is out");
    AttemptLimits singleAttemptLimits =
        new AttemptLimits(2, false, true, true, ms(1_000), ANSWER_SLACK);
    world.balancer.applySettings(world.now, world.settingsWith(singleAttemptLimits, false));
    check(
        world.cancelledAttempts.stream()
            .anyMatch(s -> s.statement() == read && s.attempt() > first.attempt()),
        "the later one is called off");
    check(
        world.cancelledAttempts.stream().noneMatch(s -> s.statement() == read && s.attempt() == 0),
        "the first goes on");
    world.endAttempt(first, AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
    world.balancer.applySettings(world.now, world.settingsWith(world.attemptLimits, true));
    world.listEndpoint(1, EndpointLifecycle.GONE, Moment.LONG_AGO);
    world.listEndpoint(2, EndpointLifecycle.GONE, Moment.LONG_AGO);
    int sentBefore = world.attempts.size();
    completeStatements(world, ANY, 10, 10);
    check(
        world.attempts.subList(sentBefore, world.attempts.size()).stream()
            .allMatch(s -> s.endpoint() == 0),
        "on the way back removals bind again");
  }
}
