package basaltlever;

import static basaltlever.LoadBalancerHarness.ANY;
import static basaltlever.LoadBalancerHarness.BOUNDED;
import static basaltlever.LoadBalancerHarness.DEDUPLICATED;
import static basaltlever.LoadBalancerHarness.FRESH;
import static basaltlever.LoadBalancerHarness.SentAttempt;
import static basaltlever.LoadBalancerHarness.WRITE;
import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Role;
import basaltlever.time.Moment;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Tests the transitions of the hold and the routing of statements, with one case for each failure
 * found.
 */
class HoldTest {
  private static List<Integer> sentStatements(LoadBalancerHarness harness) {
    return harness.attempts.stream().map(LoadBalancerHarness.SentAttempt::statement).toList();
  }

  @Example
  void newRouterHoldsStatementsUntilPrimaryIsFound() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(3);
    int first = harness.receiveStatement(WRITE);
    int second = harness.receiveStatement(FRESH);
    check(
        harness.polledEndpoints.containsAll(List.of(0, 1, 2)) && harness.attempts.isEmpty(),
        "expected polls of all endpoints and no attempt");
    harness.completePoll(1, Role.REPLICA, harness.now);
    check(harness.attempts.isEmpty(), "expected no release after the response of a replica");
    harness.completePoll(2, Role.PRIMARY, harness.now);
    check(
        sentStatements(harness).equals(List.of(first, second))
            && harness.lastAttempt().endpoint() == 2,
        "expected release to the primary in order");
  }

  @Example
  void missStartsHoldAndNewPrimaryReceivesHeldStatementsInOrder() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int first = harness.receiveStatement(WRITE);
    harness.advance(10).endAttempt(harness.lastAttempt(), AttemptOutcome.MISS, Role.REPLICA);
    int second = harness.receiveStatement(WRITE);
    check(harness.attempts.size() == 1, "expected no new attempt on the old primary");
    harness.advance(20).completePoll(1, Role.PRIMARY, harness.now);
    check(
        sentStatements(harness).equals(List.of(first, first, second))
            && harness.lastAttempt().endpoint() == 1,
        "expected release to the new primary in order");
  }

  @Example
  void failedConnectionStartsHoldThatOlderReportDoesNotEnd() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(WRITE);
    Moment before = harness.now;
    harness
        .advance(10)
        .endAttempt(harness.lastAttempt(), AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
    harness.advance(10).completePoll(0, Role.PRIMARY, before);
    check(
        harness.attempts.size() == 1,
        "expected a report older than the connection failure not to end the hold");
    harness.advance(50).completePoll(0, Role.PRIMARY, harness.now);
    check(harness.attempts.size() == 2, "expected a newer report to end the hold");
  }

  @Example
  void primaryRespondingAsReplicaStartsHold() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(FRESH);
    harness.advance(10).endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    harness.receiveStatement(WRITE);
    check(harness.attempts.size() == 1, "expected the write to be held");
  }

  /**
   * Guards against a startup delay: startup waited 1 s for the second poll of the endpoints if the
   * first took longer than 100 ms.
   */
  @Example
  void pollRequestedDuringPollIsSentWhenItEnds() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(3);
    harness.advance(20).listEndpoints(3).advance(200);
    check(harness.polledEndpoints.size() == 3, "expected one poll per endpoint at a time");
    harness.completePoll(1, Role.REPLICA, harness.now);
    check(
        harness.polledEndpoints.equals(List.of(0, 1, 2, 1)),
        "expected the requested poll as soon as the first ended: " + harness.polledEndpoints);
  }

  @Example
  void singleTimeoutTriggersPollWithoutHold() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(FRESH);
    harness.advance(150).polledEndpoints.clear();
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    check(harness.polledEndpoints.contains(0), "expected an immediate poll");
    int next = harness.receiveStatement(WRITE);
    check(
        harness.lastAttempt().statement() == next, "expected the write to be sent without a hold");
  }

  @Example
  void unresponsivePrimaryStartsHoldDespiteSuccessfulPolls() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(WRITE, 9, Moment.LONG_AGO, 3_000);
    for (int i = 0; i < 60; i++) {
      harness.advance(20).completePoll(0, Role.PRIMARY, harness.now);
    }
    int next = harness.receiveStatement(WRITE);
    check(harness.lastAttempt().statement() != next, "expected the write to be held");
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, harness.now);
    harness.completePoll(0, Role.PRIMARY, harness.now);
    check(harness.lastAttempt().statement() == next, "expected a response to end the hold");
  }

  @Example
  void holdRejectsUnsentStatementAndAbortsPossiblyExecutedOne() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int resetWrite = harness.receiveStatement(WRITE);
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.RESET, Role.UNKNOWN);
    check(
        harness.abortedStatements.equals(List.of(resetWrite)),
        "expected an immediate abort, since the write can't be retried");
    int heldWrite = harness.receiveStatement(WRITE);
    harness.advance(1_100);
    check(
        harness.rejectedStatements.equals(List.of(heldWrite)),
        "expected a rejection before the client's deadline");
  }

  /**
   * Found with real sockets: a primary that steps down refuses writes long before its reports show
   * the new role.
   */
  @Example
  void primaryClaimAfterMissedWriteIsIgnoredForSomeTime() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(WRITE, 9, Moment.LONG_AGO, 4_000);
    harness.advance(10).endAttempt(harness.lastAttempt(), AttemptOutcome.MISS, Role.REPLICA);
    for (int i = 0; i < 5; i++) {
      harness.advance(100).completePoll(0, Role.PRIMARY, harness.now);
    }
    check(
        harness.attempts.size() == 1,
        "expected no retry on a new claim, since each would cost an attempt");
    harness.advance(600).completePoll(0, Role.PRIMARY, harness.now);
    check(harness.attempts.size() == 2, "expected a later claim to be accepted");
  }

  /**
   * Found with real sockets: reads waited at replicas that lagged far behind and were then rejected
   * while the primary was idle.
   */
  @Example
  void readIsSentToPrimaryWhenReplicasLagOrMissedIt() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(true, true, true, false, true).discoverGroup(1_500);
    int read = harness.receiveStatement(BOUNDED);
    check(
        harness.lastAttempt().statement() == read && harness.lastAttempt().endpoint() == 0,
        "expected the read on the primary");
    harness = new LoadBalancerHarness(true, true, true, false, true).discoverGroup(20);
    int missedRead = harness.receiveStatement(BOUNDED);
    SentAttempt replicaAttempt = harness.lastAttempt();
    harness.balancer.onPollEnded(
        harness.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, harness.now, 1, Double.NaN);
    harness.listEndpoint(
        3 - replicaAttempt.endpoint(), EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    harness.advance(45).endAttempt(replicaAttempt, AttemptOutcome.MISS, Role.REPLICA);
    check(
        harness.attempts.size() == 1 && harness.rejectedStatements.isEmpty(),
        "expected the read to wait for the busy primary");
    harness.advance(25).completePoll(0, Role.PRIMARY, harness.now);
    check(
        harness.lastAttempt().statement() == missedRead && harness.lastAttempt().endpoint() == 0,
        "expected the read on the primary afterwards");
  }

  /** Found with real sockets: with a short SLO time, waits ended before a second capacity check. */
  @Example
  void waitingReadIsSentWhenAttemptEndsUnderShortSlo() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(false, false, false, false, true, 2, 7, 80).discoverGroup(20);
    int waitingRead = -1;
    while (waitingRead < 0 || sentStatements(harness).contains(waitingRead)) {
      waitingRead = harness.receiveStatement(ANY);
    }
    harness.advance(22);
    check(harness.rejectedStatements.isEmpty(), "expected the read to wait");
    harness.endAttempt(harness.attempts.get(0), AttemptOutcome.COMPLETED, Role.UNKNOWN);
    check(
        harness.lastAttempt().statement() == waitingRead,
        "expected the read to be sent when an attempt ended");
  }

  /**
   * Found with real sockets: over a long day endpoints are replaced continuously, so the state of
   * gone endpoints must not accumulate.
   */
  @Example
  void goneEndpointIsRemovedAfterDrainExpiresAndCanReturn() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.listEndpoint(2, EndpointLifecycle.GONE, Moment.LONG_AGO);
    harness.advance(8_000).listEndpoint(1, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(harness.removedEndpoints.isEmpty(), "expected the drain to be retained");
    harness.advance(16_000).listEndpoint(1, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(harness.removedEndpoints.equals(List.of(2)), "expected the gone endpoint to be removed");
    harness.polledEndpoints.clear();
    harness.listEndpoint(2, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(harness.polledEndpoints.contains(2), "expected the returning endpoint to be polled");
  }

  /**
   * Found with real sockets: a group without reads held its writes forever after its primary had
   * once been unresponsive.
   */
  @Example
  void unresponsivePrimaryIsProbedByWriteWithoutReads() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(WRITE);
    harness.advance(1_000).timeOutAttemptsPastDeadline();
    int heldWrite = harness.receiveStatement(WRITE);
    harness.advance(100).completePoll(0, Role.PRIMARY, harness.now);
    check(
        harness.attempts.size() == 1 && harness.lastAttempt().statement() != heldWrite,
        "expected polls alone not to end the hold");
    harness.advance(5_000).completePoll(0, Role.PRIMARY, harness.now);
    int trial = harness.receiveStatement(WRITE);
    int next = harness.receiveStatement(WRITE);
    check(harness.lastAttempt().statement() == trial, "expected a single trial write");
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY);
    harness.advance(20);
    check(
        harness.lastAttempt().statement() == next,
        "expected the response to the trial to end the hold");
  }

  @Example
  void deduplicatedStatementIsRetriedOnlyWithinItsWindow() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int write = harness.receiveStatement(DEDUPLICATED, 9, Moment.LONG_AGO, 5_000);
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.RESET, Role.UNKNOWN);
    harness.advance(100).completePoll(1, Role.PRIMARY, harness.now);
    check(
        harness.attempts.size() == 2 && harness.lastAttempt().statement() == write,
        "expected a retry on the new primary");
    check(
        harness.lastAttempt().sendBy().equals(harness.attempts.get(0).sentAt().plus(ms(600))),
        "expected no send after the window, however late a connection is established");
    check(
        harness.attempts.get(0).sendBy().equals(harness.attempts.get(0).sentAt().plus(ms(600))),
        "expected the first attempt not to be sent after the window either");
  }

  @Example
  void boundedReadsUseFreshReplicasElsePrimary() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(299);
    harness.receiveStatement(BOUNDED);
    check(harness.lastAttempt().endpoint() != 0, "expected a replica within the staleness bound");
    check(
        harness.lastAttempt().sendBy().equals(harness.now.plus(ms(1))),
        "expected no send once the reported position is too old");
    harness.advance(5);
    harness.receiveStatement(BOUNDED);
    check(
        harness.lastAttempt().endpoint() == 0,
        "expected the primary outside the bound, since replicas do not check");
    LoadBalancerHarness checkingHarness =
        new LoadBalancerHarness(true, false, true, false, true).discoverGroup(20);
    for (int i = 0; i < 20; i++) {
      checkingHarness.completePoll(0, Role.PRIMARY, checkingHarness.now);
    }
    checkingHarness.advance(400).completePoll(1, Role.REPLICA, checkingHarness.now.minus(ms(500)));
    checkingHarness.completePoll(2, Role.REPLICA, checkingHarness.now.minus(ms(450)));
    checkingHarness.receiveStatement(BOUNDED);
    check(
        checkingHarness.lastAttempt().endpoint() == 2,
        "expected the most advanced replica where replicas check freshness");
  }

  /**
   * Found on ho-karachi: polls went unanswered, and routers that poll rarely stopped using healthy
   * endpoints.
   */
  @Example
  void endpointThatOnlyMissesPollsIsStillUsed() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(ANY);
    int endpoint = harness.lastAttempt().endpoint();
    harness.advance(300).endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    for (int i = 0; i < 3; i++) {
      harness.balancer.onPollEnded(
          harness.now,
          3 - endpoint,
          AttemptOutcome.NO_CONNECTION,
          Role.UNKNOWN,
          Moment.LONG_AGO,
          0,
          Double.NaN);
      harness.balancer.onPollEnded(
          harness.now,
          endpoint,
          AttemptOutcome.TIMED_OUT,
          Role.UNKNOWN,
          Moment.LONG_AGO,
          0,
          Double.NaN);
    }
    harness.receiveStatement(ANY);
    check(
        harness.lastAttempt().endpoint() == endpoint, "expected the endpoint that responded last");
  }

  /**
   * Found on kigali-cards: idle connections of 699 routers used up the connection limits of
   * endpoints, so that other routers could not connect.
   */
  @Example
  void idleConnectionsAreClosedWhenResponsiveEndpointRefusesNewOnes() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 2; i++) {
      harness.receiveStatement(ANY);
      int refusingEndpoint = harness.lastAttempt().endpoint();
      harness
          .advance(5)
          .endAttempt(harness.lastAttempt(), AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
      check(
          harness.endpointsWithIdleClosed.isEmpty(),
          "expected no close, since the endpoint may be gone or the path failed once");
      harness.advance(5).completePoll(refusingEndpoint, Role.REPLICA, harness.now);
    }
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    check(
        !harness.endpointsWithIdleClosed.isEmpty(),
        "expected idle connections to be closed at the endpoint's limit");
  }

  /** Found with real sockets: after 1 % of connections broke, every second attempt opened one. */
  @Example
  void singleRefusedConnectionDoesNotCloseIdleConnections() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 40; i++) {
      // Three concurrent reads, so that some need their own connection each time.
      int first = harness.receiveStatement(ANY);
      harness.receiveStatement(ANY);
      harness.receiveStatement(ANY);
      harness.advance(5);
      SentAttempt broken =
          harness.attempts.stream().filter(s -> s.statement() == first).findFirst().orElseThrow();
      if (i == 30 && harness.endedAttempts.add(broken)) {
        harness.endAttempt(broken, AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
        harness.advance(5).completePoll(broken.endpoint(), Role.UNKNOWN, harness.now);
      }
      harness.advance(30).endAttempts(s -> true, AttemptOutcome.COMPLETED, Role.UNKNOWN);
    }
    check(harness.endpointsWithIdleClosed.isEmpty(), "expected idle connections to stay open");
  }

  /**
   * Found on ho-karachi: statements that fail on every endpoint got five attempts, and all
   * endpoints counted as faulty.
   */
  @Example
  void readFailingOnTwoEndpointsIsRejected() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int id = harness.receiveStatement(ANY);
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.ERROR, Role.UNKNOWN);
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.ERROR, Role.UNKNOWN);
    check(
        harness.attempts.size() == 2 && harness.rejectedStatements.equals(List.of(id)),
        "expected two attempts and one rejection");
  }

  /**
   * Found on kigali-cards at full size: a network path lost responses to one router only, while
   * polls succeeded.
   */
  @Example
  void endpointThatLosesResponsesIsAvoidedDespiteSuccessfulPolls() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(ANY);
    int lossyEndpoint = harness.lastAttempt().endpoint();
    harness.advance(300).endAttempt(harness.lastAttempt(), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    for (int i = 0; i < 10; i++) {
      harness.advance(300).completePoll(lossyEndpoint, Role.REPLICA, harness.now);
      harness.receiveStatement(ANY);
      check(
          harness.lastAttempt().endpoint() != lossyEndpoint,
          "expected the read on the other replica");
      harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    }
  }

  /**
   * Found on kochi-hire at full size: hundreds of routers kept sending to endpoints that were
   * overloaded for seconds.
   */
  @Example
  void overloadedGroupReceivesFewerStatementsUntilItRecovers() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    long[] admitted = new long[3];
    for (int i = 0; i < 300; i++) {
      boolean overloaded = i >= 100 && i < 200;
      harness.advance(100);
      for (int endpoint = 0; endpoint < 3; endpoint++) {
        Role role = endpoint == 0 ? Role.PRIMARY : Role.REPLICA;
        harness.balancer.onPollEnded(
            harness.now,
            endpoint,
            AttemptOutcome.COMPLETED,
            role,
            harness.now,
            overloaded ? 1.1 : 0.5,
            Double.NaN);
      }
      int sentBefore = harness.attempts.size();
      harness.receiveStatement(ANY);
      admitted[i / 100] += i % 100 > 50 ? harness.attempts.size() - sentBefore : 0;
      AttemptOutcome outcome = overloaded ? AttemptOutcome.TIMED_OUT : AttemptOutcome.COMPLETED;
      harness.endAttempts(s -> !overloaded || harness.isOlder(s, 290), outcome, Role.REPLICA);
    }
    check(admitted[0] == 49 && admitted[1] < 35 && admitted[2] == 49, Arrays.toString(admitted));
  }

  @Example
  void failedWatchIsRequestedAgainWithinShortPause() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(false, false, false, true, true).listEndpoints(2);
    int requestsBefore = harness.watchRequests;
    harness.balancer.onListRequestFailed(harness.now);
    harness.advance(2_500);
    check(harness.watchRequests > requestsBefore, "expected a new watch request within 2.5 s");
  }

  /** Found on ho-karachi: attempts kept timing out while all reports showed free cores. */
  @Example
  void capacityShrinksOnTimeoutsDespiteLowReportedUtilization() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 200; i++) {
      harness.advance(5).completePoll(1 + i % 2, Role.REPLICA, harness.now);
      harness.receiveStatement(ANY);
      harness.endAttempts(s -> harness.isOlder(s, 290), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    }
    long inFlight =
        harness.attempts.stream()
            .filter(s -> s.endpoint() != 0 && !harness.endedAttempts.contains(s))
            .count();
    check(inFlight <= 6, "expected at most 6 attempts in flight, got " + inFlight);
  }

  /** Found on kigali-cards: hanging endpoints with full queues used up a statement's attempts. */
  @Example
  void endpointAtCapacityIsRetriedAfterBackoff() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(1);
    harness.completePoll(0, Role.PRIMARY, harness.now);
    int id = harness.receiveStatement(WRITE);
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.FULL, Role.UNKNOWN);
    check(harness.attempts.size() == 1, "expected no immediate retry");
    harness.advance(400);
    check(
        harness.attempts.size() == 2 && harness.lastAttempt().statement() == id,
        "expected a retry after the backoff");
  }

  /**
   * Found on kigali-cards: retries inflated the estimated capacity of warm endpoints, and cold ones
   * received too much.
   */
  @Example
  void restartedEndpointReceivesSlowStartShare() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 400; i++) {
      harness.advance(10);
      harness.receiveStatement(ANY);
      harness.endAttempts(s -> harness.isOlder(s, 90), AttemptOutcome.COMPLETED, Role.REPLICA);
      if (i == 200) {
        harness.listEndpoint(1, EndpointLifecycle.READY, harness.now);
      }
    }
    long coldAttempts = harness.attempts.stream().skip(200).filter(s -> s.endpoint() == 1).count();
    check(
        coldAttempts > 2 && coldAttempts < 70,
        "expected 3 to 69 attempts on the cold endpoint, got " + coldAttempts);
  }

  @Example
  void readOnUnresponsiveEndpointIsHedged() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int id = harness.receiveStatement(BOUNDED);
    int unresponsiveEndpoint = harness.lastAttempt().endpoint();
    for (int i = 0; i < 60; i++) {
      harness.advance(10);
      harness.completePoll(1, Role.REPLICA, harness.now);
      harness.completePoll(2, Role.REPLICA, harness.now);
    }
    check(
        harness.attempts.size() > 1
            && harness.attempts.get(1).statement() == id
            && harness.attempts.get(1).endpoint() != unresponsiveEndpoint,
        "expected a hedged attempt on another endpoint");
  }

  /** Found on kochi-hire: a long queue served in order sent writes just before their deadlines. */
  @Example
  void writeWithTooLittleTimeLeftIsRejectedUnsent() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 20; i++) {
      harness.receiveStatement(WRITE);
      harness.advance(60).endAttempts(s -> true, AttemptOutcome.COMPLETED, Role.PRIMARY);
      harness.completePoll(0, Role.PRIMARY, harness.now);
    }
    harness.attempts.clear();
    harness.advance(10).listEndpoint(0, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    int id = harness.receiveStatement(WRITE, 9, Moment.LONG_AGO, 500);
    harness.advance(440).completePoll(1, Role.PRIMARY, harness.now);
    check(
        harness.attempts.isEmpty() && harness.rejectedStatements.equals(List.of(id)),
        "expected a rejection, since nothing was executed");
  }

  /** Found on ho-karachi: after slow responses nothing was admitted to correct the latency. */
  @Example
  void readsAreAdmittedAgainAfterSlowResponses() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 120; i++) {
      harness.advance(10);
      for (int endpoint = 0; endpoint < 3; endpoint++) {
        harness.completePoll(endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, harness.now);
      }
      harness.receiveStatement(ANY);
      harness.endAttempts(s -> harness.isOlder(s, 285), AttemptOutcome.COMPLETED, Role.REPLICA);
    }
    harness.endAttempts(s -> true, AttemptOutcome.COMPLETED, Role.REPLICA);
    for (int i = 0; i < 40; i++) {
      harness
          .advance(50)
          .completePoll(i % 3, i % 3 == 0 ? Role.PRIMARY : Role.REPLICA, harness.now);
    }
    int sentBefore = harness.attempts.size();
    harness.receiveStatement(ANY);
    harness.completePoll(0, Role.PRIMARY, harness.now);
    check(harness.attempts.size() > sentBefore, "expected the read to be admitted");
  }

  /**
   * Found on kochi-hire: with frozen reports, the replica that seemed the most advanced received
   * all reads.
   */
  @Example
  void staleReportsSpreadReadsOverReplicas() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(true, false, true, false, true).listEndpoints(3);
    harness.completePoll(0, Role.PRIMARY, harness.now.minus(ms(900)));
    harness.completePoll(1, Role.REPLICA, harness.now.minus(ms(900)));
    harness.completePoll(2, Role.REPLICA, harness.now.minus(ms(950)));
    for (int i = 0; i < 8; i++) {
      harness.receiveStatement(BOUNDED);
    }
    long readsOnFirstReplica = harness.attempts.stream().filter(s -> s.endpoint() == 1).count();
    check(
        readsOnFirstReplica >= 2 && readsOnFirstReplica <= 6 && harness.attempts.size() == 8,
        "expected reads on both replicas, not only on the seemingly newest");
  }
}
