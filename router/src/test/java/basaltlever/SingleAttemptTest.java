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
  private static LoadBalancerHarness createHarness(int nodes) {
    LoadBalancerHarness harness = LoadBalancerHarness.withSingleAttempts().listEndpoints(nodes);
    for (int node = 0; node < nodes; node++) {
      harness.completePoll(node, node == 0 ? Role.PRIMARY : Role.REPLICA, harness.now);
    }
    return harness;
  }

  private static void completeStatements(
      LoadBalancerHarness harness, int workload, int times, double millis) {
    for (int i = 0; i < times; i++) {
      harness.receiveStatement(workload);
      harness
          .advance(millis)
          .endAttempt(
              harness.lastAttempt(),
              AttemptOutcome.COMPLETED,
              harness.lastAttempt().endpoint() == 0 ? Role.PRIMARY : Role.REPLICA,
              harness.now);
    }
  }

  @Example
  void readOnUnresponsiveEndpointIsCancelledBeforeRetryElsewhere() {
    LoadBalancerHarness harness = createHarness(3);
    completeStatements(harness, ANY, 80, 10);
    int read = harness.receiveStatement(ANY);
    SentAttempt first = harness.lastAttempt();
    for (int i = 0; i < 40 && harness.cancelledAttempts.isEmpty(); i++) {
      harness.advance(5);
    }
    check(
        harness.cancelledAttempts.size() >= 1
            && harness.cancelledAttempts.get(0).statement() == read,
        "called off");
    check(harness.lastAttempt() == first, "nothing more is out before its end");
    harness.endAttempt(first, AttemptOutcome.CANCELLED, Role.UNKNOWN);
    check(
        harness.lastAttempt().statement() == read
            && harness.lastAttempt().endpoint() != first.endpoint(),
        "another node");
  }

  /**
   * Called off in the next look, no trial ever ended a silence: sound nodes stayed left for 30 s.
   */
  @Example
  void trialOfUnresponsiveEndpointHasItsOwnTimeout() {
    LoadBalancerHarness harness = createHarness(2);
    completeStatements(harness, ANY, 80, 10);
    harness.receiveStatement(ANY);
    SentAttempt first = harness.lastAttempt();
    harness.advance(250).endAttempt(first, AttemptOutcome.CANCELLED, Role.UNKNOWN);
    harness.advance(700).completePoll(1, Role.REPLICA, harness.now);
    harness.cancelledAttempts.clear();
    int trial = harness.receiveStatement(ANY);
    check(
        harness.lastAttempt().endpoint() == 1 && harness.lastAttempt().statement() == trial,
        "its trial");
    harness.advance(15);
    check(harness.cancelledAttempts.isEmpty(), "not called off for a silence from before it");
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, harness.now);
    harness.receiveStatement(ANY);
    check(harness.lastAttempt().endpoint() == 1, "an answer ends the silence");
  }

  @Example
  void failedTrialsBecomeLessFrequent() {
    LoadBalancerHarness harness = createHarness(2);
    completeStatements(harness, ANY, 80, 10);
    int tried = 0;
    for (int i = 0; i < 400; i++) {
      int before = harness.sentAttempts.size();
      harness.receiveStatement(ANY);
      tried +=
          harness.sentAttempts.size() > before && harness.lastAttempt().endpoint() == 1 ? 1 : 0;
      harness
          .advance(25)
          .endAttempts(s -> s.endpoint() == 0, AttemptOutcome.COMPLETED, Role.PRIMARY);
      harness.endAttempts(
          s -> s.endpoint() == 1 && harness.isOlder(s, 100),
          AttemptOutcome.TIMED_OUT,
          Role.UNKNOWN);
      harness.completePoll(1, Role.REPLICA, harness.now);
    }
    check(tried >= 3 && tried <= 14, "in 10 s it was tried " + tried + " times");
  }

  /** A list with nodes that are none of ours: each read sent there was lost. */
  @Example
  void endpointThatNeverRespondedReceivesNoStatements() {
    LoadBalancerHarness harness = createHarness(2);
    for (int node = 2; node < 8; node++) {
      harness.listEndpoint(node, EndpointLifecycle.READY, Moment.LONG_AGO);
    }
    completeStatements(harness, ANY, 40, 10);
    check(
        harness.sentAttempts.stream().allMatch(sent -> sent.endpoint() < 2),
        "no ghost is sent anything");
    harness.completePoll(5, Role.REPLICA, harness.now);
    completeStatements(harness, ANY, 40, 10);
    check(
        harness.sentAttempts.stream().anyMatch(sent -> sent.endpoint() == 5),
        "one that answered a poll is");
  }

  @Example
  void endpointGoneWithoutDrainIsUsedAndDrainedOneIsNot() {
    LoadBalancerHarness harness = createHarness(3);
    for (int node = 0; node < 3; node++) {
      harness.listEndpoint(node, EndpointLifecycle.GONE, Moment.LONG_AGO);
      harness.completePoll(node, node == 0 ? Role.PRIMARY : Role.REPLICA, harness.now);
    }
    harness.polledEndpoints.clear();
    for (int i = 0; i < 12; i++) {
      completeStatements(harness, WRITE, 1, 200);
    }
    check(
        harness.lastAttempt().endpoint() == 0
            && harness.polledEndpoints.containsAll(List.of(0, 1, 2)),
        "as before: " + harness.polledEndpoints);
    harness.listEndpoint(0, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    harness.listEndpoint(0, EndpointLifecycle.GONE, Moment.LONG_AGO);
    int sent = harness.sentAttempts.size();
    harness.completePoll(0, Role.PRIMARY, harness.now);
    harness.receiveStatement(WRITE);
    harness.advance(300);
    check(harness.sentAttempts.size() == sent, "left out after its drain, it stays bound");
  }

  /** Spread by busyness, reports kept every replica from applying the log. */
  @Example
  void longRunningReadsUseOneReplicaThatOtherReadsAvoid() {
    LoadBalancerHarness harness = createHarness(4);
    Set<Integer> bearers = new HashSet<>();
    Set<Integer> others = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      harness.receiveStatement(LONG_RUNNING, 0, Moment.LONG_AGO, 12_000);
      SentAttempt report = harness.lastAttempt();
      bearers.add(report.endpoint());
      harness.receiveStatement(BOUNDED);
      others.add(harness.lastAttempt().endpoint());
      harness
          .advance(10)
          .endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, harness.now);
      harness.advance(190).endAttempt(report, AttemptOutcome.COMPLETED, Role.REPLICA, harness.now);
      for (int node = 0; node < 4; node++) {
        harness.completePoll(node, node == 0 ? Role.PRIMARY : Role.REPLICA, harness.now);
      }
    }
    check(bearers.size() == 1 && !bearers.contains(0), "one bears all: " + bearers);
    others.retainAll(bearers);
    check(others.isEmpty(), "no other read meets them");
  }

  @Example
  void primaryWithQueuedStatementsReceivesNoReads() {
    LoadBalancerHarness harness = createHarness(2);
    for (double queue : new double[] {0, 3}) {
      harness.balancer.onPollEnded(
          harness.now,
          1,
          AttemptOutcome.COMPLETED,
          Role.REPLICA,
          harness.now.minus(ms(2_000)),
          Double.NaN,
          0);
      harness
          .advance(600)
          .balancer
          .onPollEnded(
              harness.now,
              0,
              AttemptOutcome.COMPLETED,
              Role.PRIMARY,
              harness.now,
              Double.NaN,
              queue);
      int before = harness.sentAttempts.size();
      harness.receiveStatement(ANY);
      harness.balancer.onPollEnded(
          harness.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, harness.now, Double.NaN, queue);
      harness.listEndpoint(1, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
      harness.receiveStatement(ANY);
      harness.balancer.onPollEnded(
          harness.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, harness.now, Double.NaN, queue);
      harness.advance(25);
      boolean primary =
          harness.sentAttempts.subList(before, harness.sentAttempts.size()).stream()
              .anyMatch(s -> s.endpoint() == 0);
      check(primary == (queue == 0), "with " + queue + " waiting");
      harness.listEndpoint(1, EndpointLifecycle.READY, Moment.LONG_AGO);
      harness.endAttempts(s -> true, AttemptOutcome.COMPLETED, Role.PRIMARY);
    }
  }

  /** Writes whose answers got lost waited for them until their clients left. */
  @Example
  void deduplicatedWriteTimesOutEarlyEnoughToRetryWithinWindow() {
    LoadBalancerHarness harness = createHarness(2);
    completeStatements(harness, DEDUPLICATED, 120, 10);
    int write = harness.receiveStatement(DEDUPLICATED);
    SentAttempt first = harness.lastAttempt();
    check(first.timeout().micros() > 0 && first.timeout().isShorterThan(ms(300)), "it ends early");
    harness
        .advance(first.timeout().micros() / 1e3)
        .endAttempt(first, AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    check(
        harness.lastAttempt() != first
            && harness.lastAttempt().statement() == write
            && harness.lastAttempt().endpoint() == 0,
        "again");
    completeStatements(harness, WRITE, 1, 10);
    check(harness.lastAttempt().timeout().micros() == 0, "one that can't run again waits");
  }

  @Example
  void disablingHedgingCancelsLaterAttemptOnly() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(true, true, true, false, true, 2, 7, 1_000).discoverGroup(20);
    completeStatements(harness, ANY, 120, 10);
    int read = harness.receiveStatement(ANY);
    SentAttempt first = harness.lastAttempt();
    harness.advance(400);
    check(
        harness.sentAttempts.stream().filter(s -> s.statement() == read).count() >= 2,
        "a copy is out");
    AttemptLimits one = new AttemptLimits(2, false, true, true, ms(1_000), ANSWER_SLACK);
    harness.balancer.applySettings(harness.now, harness.settingsWith(one, false));
    check(
        harness.cancelledAttempts.stream()
            .anyMatch(s -> s.statement() == read && s.attempt() > first.attempt()),
        "the later one is called off");
    check(
        harness.cancelledAttempts.stream()
            .noneMatch(s -> s.statement() == read && s.attempt() == 0),
        "the first goes on");
    harness.endAttempt(first, AttemptOutcome.COMPLETED, Role.REPLICA, harness.now);
    harness.balancer.applySettings(harness.now, harness.settingsWith(harness.attemptLimits, true));
    harness.listEndpoint(1, EndpointLifecycle.GONE, Moment.LONG_AGO);
    harness.listEndpoint(2, EndpointLifecycle.GONE, Moment.LONG_AGO);
    int before = harness.sentAttempts.size();
    completeStatements(harness, ANY, 10, 10);
    check(
        harness.sentAttempts.subList(before, harness.sentAttempts.size()).stream()
            .allMatch(s -> s.endpoint() == 0),
        "on the way back removals bind again");
  }
}
