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
 * Tests settings under which one attempt may be in flight and only drains are binding, not
 * removals. Each case guards against a failure found on hq-booking-db and fon-fiyat-ist
 * (docs/incidents/2026-12-01-move.md).
 */
@SuppressWarnings("ReferenceEquality") // Compares attempts by identity.
class SingleAttemptTest {
  private static LoadBalancerHarness createHarness(int endpointCount) {
    LoadBalancerHarness harness =
        LoadBalancerHarness.withSingleAttempts().listEndpoints(endpointCount);
    for (int endpoint = 0; endpoint < endpointCount; endpoint++) {
      harness.completePoll(endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, harness.now);
    }
    return harness;
  }

  private static void completeStatements(
      LoadBalancerHarness harness, int workload, int count, double millis) {
    for (int i = 0; i < count; i++) {
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
        "expected the first attempt to be cancelled");
    check(harness.lastAttempt() == first, "expected no second attempt before the first ended");
    harness.endAttempt(first, AttemptOutcome.CANCELLED, Role.UNKNOWN);
    check(
        harness.lastAttempt().statement() == read
            && harness.lastAttempt().endpoint() != first.endpoint(),
        "expected the retry on another endpoint");
  }

  /**
   * Guards against cancelling trials at the next check: no trial could succeed, and healthy
   * endpoints stayed unused for 30 s.
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
        "expected the trial on the unresponsive endpoint");
    harness.advance(15);
    check(
        harness.cancelledAttempts.isEmpty(),
        "expected no cancellation for silence that preceded the trial");
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, harness.now);
    harness.receiveStatement(ANY);
    check(
        harness.lastAttempt().endpoint() == 1,
        "expected the endpoint to be used again after its response");
  }

  @Example
  void failedTrialsBecomeLessFrequent() {
    LoadBalancerHarness harness = createHarness(2);
    completeStatements(harness, ANY, 80, 10);
    int trials = 0;
    for (int i = 0; i < 400; i++) {
      int sentBefore = harness.attempts.size();
      harness.receiveStatement(ANY);
      trials +=
          harness.attempts.size() > sentBefore && harness.lastAttempt().endpoint() == 1 ? 1 : 0;
      harness
          .advance(25)
          .endAttempts(s -> s.endpoint() == 0, AttemptOutcome.COMPLETED, Role.PRIMARY);
      harness.endAttempts(
          s -> s.endpoint() == 1 && harness.isOlder(s, 100),
          AttemptOutcome.TIMED_OUT,
          Role.UNKNOWN);
      harness.completePoll(1, Role.REPLICA, harness.now);
    }
    check(
        trials >= 3 && trials <= 14, "expected 3 to 14 trials in 10 s, tried " + trials + " times");
  }

  /**
   * Guards against a list with endpoints that are not part of the deployment: each read sent there
   * was lost.
   */
  @Example
  void endpointThatNeverRespondedReceivesNoStatements() {
    LoadBalancerHarness harness = createHarness(2);
    for (int endpoint = 2; endpoint < 8; endpoint++) {
      harness.listEndpoint(endpoint, EndpointLifecycle.READY, Moment.LONG_AGO);
    }
    completeStatements(harness, ANY, 40, 10);
    check(
        harness.attempts.stream().allMatch(sent -> sent.endpoint() < 2),
        "expected no statements for endpoints that never responded");
    harness.completePoll(5, Role.REPLICA, harness.now);
    completeStatements(harness, ANY, 40, 10);
    check(
        harness.attempts.stream().anyMatch(sent -> sent.endpoint() == 5),
        "expected statements for the endpoint that responded to a poll");
  }

  @Example
  void endpointGoneWithoutDrainIsUsedAndDrainedOneIsNot() {
    LoadBalancerHarness harness = createHarness(3);
    for (int endpoint = 0; endpoint < 3; endpoint++) {
      harness.listEndpoint(endpoint, EndpointLifecycle.GONE, Moment.LONG_AGO);
      harness.completePoll(endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, harness.now);
    }
    harness.polledEndpoints.clear();
    for (int i = 0; i < 12; i++) {
      completeStatements(harness, WRITE, 1, 200);
    }
    check(
        harness.lastAttempt().endpoint() == 0
            && harness.polledEndpoints.containsAll(List.of(0, 1, 2)),
        "expected the write on the primary and polls of all endpoints: " + harness.polledEndpoints);
    harness.listEndpoint(0, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    harness.listEndpoint(0, EndpointLifecycle.GONE, Moment.LONG_AGO);
    int sentBefore = harness.attempts.size();
    harness.completePoll(0, Role.PRIMARY, harness.now);
    harness.receiveStatement(WRITE);
    harness.advance(300);
    check(
        harness.attempts.size() == sentBefore,
        "expected no statement for an endpoint that was removed after its drain");
  }

  /**
   * Guards against spreading long report queries by load: they kept every replica from applying the
   * log.
   */
  @Example
  void longRunningReadsUseOneReplicaThatOtherReadsAvoid() {
    LoadBalancerHarness harness = createHarness(4);
    Set<Integer> longRunningEndpoints = new HashSet<>();
    Set<Integer> otherEndpoints = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      harness.receiveStatement(LONG_RUNNING, 0, Moment.LONG_AGO, 12_000);
      SentAttempt report = harness.lastAttempt();
      longRunningEndpoints.add(report.endpoint());
      harness.receiveStatement(BOUNDED);
      otherEndpoints.add(harness.lastAttempt().endpoint());
      harness
          .advance(10)
          .endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, harness.now);
      harness.advance(190).endAttempt(report, AttemptOutcome.COMPLETED, Role.REPLICA, harness.now);
      for (int endpoint = 0; endpoint < 4; endpoint++) {
        harness.completePoll(endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, harness.now);
      }
    }
    check(
        longRunningEndpoints.size() == 1 && !longRunningEndpoints.contains(0),
        "expected one replica to serve all long-running reads: " + longRunningEndpoints);
    otherEndpoints.retainAll(longRunningEndpoints);
    check(otherEndpoints.isEmpty(), "expected no other reads on that replica");
  }

  @Example
  void primaryWithQueuedStatementsReceivesNoReads() {
    LoadBalancerHarness harness = createHarness(2);
    for (double queued : new double[] {0, 3}) {
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
              queued);
      int sentBefore = harness.attempts.size();
      harness.receiveStatement(ANY);
      harness.balancer.onPollEnded(
          harness.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, harness.now, Double.NaN, queued);
      harness.listEndpoint(1, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
      harness.receiveStatement(ANY);
      harness.balancer.onPollEnded(
          harness.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, harness.now, Double.NaN, queued);
      harness.advance(25);
      boolean primaryUsed =
          harness.attempts.subList(sentBefore, harness.attempts.size()).stream()
              .anyMatch(s -> s.endpoint() == 0);
      check(
          primaryUsed == (queued == 0), "expected reads only without queue, " + queued + " queued");
      harness.listEndpoint(1, EndpointLifecycle.READY, Moment.LONG_AGO);
      harness.endAttempts(s -> true, AttemptOutcome.COMPLETED, Role.PRIMARY);
    }
  }

  /**
   * Guards against writes whose responses were lost and that waited for them until their clients
   * disconnected.
   */
  @Example
  void deduplicatedWriteTimesOutEarlyEnoughToRetryWithinWindow() {
    LoadBalancerHarness harness = createHarness(2);
    completeStatements(harness, DEDUPLICATED, 120, 10);
    int write = harness.receiveStatement(DEDUPLICATED);
    SentAttempt first = harness.lastAttempt();
    check(
        first.timeout().micros() > 0 && first.timeout().isShorterThan(ms(300)),
        "expected a timeout of less than 300 ms");
    harness
        .advance(first.timeout().micros() / 1e3)
        .endAttempt(first, AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    check(
        harness.lastAttempt() != first
            && harness.lastAttempt().statement() == write
            && harness.lastAttempt().endpoint() == 0,
        "expected the write to be sent again to the primary");
    completeStatements(harness, WRITE, 1, 10);
    check(
        harness.lastAttempt().timeout().micros() == 0,
        "expected no timeout for a write that can't be retried");
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
        harness.attempts.stream().filter(s -> s.statement() == read).count() >= 2,
        "expected a hedged attempt");
    AttemptLimits singleAttemptLimits =
        new AttemptLimits(2, false, true, true, ms(1_000), ANSWER_SLACK);
    harness.balancer.applySettings(harness.now, harness.settingsWith(singleAttemptLimits, false));
    check(
        harness.cancelledAttempts.stream()
            .anyMatch(s -> s.statement() == read && s.attempt() > first.attempt()),
        "expected the later attempt to be cancelled");
    check(
        harness.cancelledAttempts.stream()
            .noneMatch(s -> s.statement() == read && s.attempt() == 0),
        "expected the first attempt to continue");
    harness.endAttempt(first, AttemptOutcome.COMPLETED, Role.REPLICA, harness.now);
    harness.balancer.applySettings(harness.now, harness.settingsWith(harness.attemptLimits, true));
    harness.listEndpoint(1, EndpointLifecycle.GONE, Moment.LONG_AGO);
    harness.listEndpoint(2, EndpointLifecycle.GONE, Moment.LONG_AGO);
    int sentBefore = harness.attempts.size();
    completeStatements(harness, ANY, 10, 10);
    check(
        harness.attempts.subList(sentBefore, harness.attempts.size()).stream()
            .allMatch(s -> s.endpoint() == 0),
        "expected removals to be binding again after the settings are reverted");
  }
}
