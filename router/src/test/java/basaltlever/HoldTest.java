package basaltlever;

import static basaltlever.LoadBalancerHarness.ANY;
import static basaltlever.LoadBalancerHarness.BOUNDED;
import static basaltlever.LoadBalancerHarness.DEDUPLICATED;
import static basaltlever.LoadBalancerHarness.FRESH;
import static basaltlever.LoadBalancerHarness.LATE_TOLERANT;
import static basaltlever.LoadBalancerHarness.SentAttempt;
import static basaltlever.LoadBalancerHarness.WRITE;
import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Role;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Plain cases: transitions of the hold, where statements go, and one case for each failure found.
 */
class HoldTest {
  private static List<Integer> sentStatements(LoadBalancerHarness harness) {
    return harness.sentAttempts.stream().map(LoadBalancerHarness.SentAttempt::statement).toList();
  }

  @Example
  void newRouterHoldsStatementsUntilPrimaryIsFound() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(3);
    int first = harness.receiveStatement(WRITE);
    int second = harness.receiveStatement(FRESH);
    check(
        harness.polledEndpoints.containsAll(List.of(0, 1, 2)) && harness.sentAttempts.isEmpty(),
        "polls all, sends nothing");
    harness.completePoll(1, Role.REPLICA, harness.now);
    check(harness.sentAttempts.isEmpty(), "a replica releases nothing");
    harness.completePoll(2, Role.PRIMARY, harness.now);
    check(
        sentStatements(harness).equals(List.of(first, second))
            && harness.lastAttempt().endpoint() == 2,
        "released in order");
  }

  @Example
  void missStartsHoldAndNewPrimaryReceivesHeldStatementsInOrder() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int first = harness.receiveStatement(WRITE);
    harness.advance(10).endAttempt(harness.lastAttempt(), AttemptOutcome.MISS, Role.REPLICA);
    int second = harness.receiveStatement(WRITE);
    check(harness.sentAttempts.size() == 1, "nothing new goes to the old primary");
    harness.advance(20).completePoll(1, Role.PRIMARY, harness.now);
    check(
        sentStatements(harness).equals(List.of(first, first, second))
            && harness.lastAttempt().endpoint() == 1,
        "in order");
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
    check(harness.sentAttempts.size() == 1, "the report is older than the loss");
    harness.advance(50).completePoll(0, Role.PRIMARY, harness.now);
    check(harness.sentAttempts.size() == 2, "a newer one proves that it lives");
  }

  @Example
  void primaryRespondingAsReplicaStartsHold() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(FRESH);
    harness.advance(10).endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    harness.receiveStatement(WRITE);
    check(harness.sentAttempts.size() == 1, "held");
  }

  /**
   * A start waited a second for its second look at the members, where the first took longer than
   * 100 ms.
   */
  @Example
  void pollRequestedDuringPollIsSentWhenItEnds() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(3);
    harness.advance(20).listEndpoints(3).advance(200);
    check(harness.polledEndpoints.size() == 3, "one at a time");
    harness.completePoll(1, Role.REPLICA, harness.now);
    check(
        harness.polledEndpoints.equals(List.of(0, 1, 2, 1)), "at once: " + harness.polledEndpoints);
  }

  @Example
  void singleTimeoutTriggersPollWithoutHold() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(FRESH);
    harness.advance(150).polledEndpoints.clear();
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    check(harness.polledEndpoints.contains(0), "polled at once");
    int next = harness.receiveStatement(WRITE);
    check(harness.lastAttempt().statement() == next, "no hold");
  }

  @Example
  void unresponsivePrimaryStartsHoldDespiteSuccessfulPolls() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(WRITE, 9, Moment.LONG_AGO, 3_000);
    for (int i = 0; i < 60; i++) {
      harness.advance(20).completePoll(0, Role.PRIMARY, harness.now);
    }
    int next = harness.receiveStatement(WRITE);
    check(harness.lastAttempt().statement() != next, "held");
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, harness.now);
    harness.completePoll(0, Role.PRIMARY, harness.now);
    check(harness.lastAttempt().statement() == next, "an answer makes it primary again");
  }

  @Example
  void holdRejectsUnsentStatementAndAbortsPossiblyExecutedOne() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int maybe = harness.receiveStatement(WRITE);
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.RESET, Role.UNKNOWN);
    check(
        harness.abortedStatements.equals(List.of(maybe)),
        "aborted at once, since it can't be sent again");
    int never = harness.receiveStatement(WRITE);
    harness.advance(1_100);
    check(harness.rejectedStatements.equals(List.of(never)), "rejected before the client leaves");
  }

  /** Found on sockets: a primary that steps down says so to writes long before its reports do. */
  @Example
  void primaryClaimAfterMissedWriteIsIgnoredForSomeTime() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(WRITE, 9, Moment.LONG_AGO, 4_000);
    harness.advance(10).endAttempt(harness.lastAttempt(), AttemptOutcome.MISS, Role.REPLICA);
    for (int i = 0; i < 5; i++) {
      harness.advance(100).completePoll(0, Role.PRIMARY, harness.now);
    }
    check(harness.sentAttempts.size() == 1, "each claim would cost one more execution");
    harness.advance(600).completePoll(0, Role.PRIMARY, harness.now);
    check(harness.sentAttempts.size() == 2, "but not for good");
  }

  /**
   * Found on sockets: reads were kept a while by replicas far behind, then rejected, the primary
   * idle.
   */
  @Example
  void readIsSentToPrimaryWhenReplicasLagOrMissedIt() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(true, true, true, false, true).discoverGroup(1_500);
    int far = harness.receiveStatement(BOUNDED);
    check(
        harness.lastAttempt().statement() == far && harness.lastAttempt().endpoint() == 0,
        "no use in asking a replica");
    harness = new LoadBalancerHarness(true, true, true, false, true).discoverGroup(20);
    int missed = harness.receiveStatement(BOUNDED);
    SentAttempt kept = harness.lastAttempt();
    harness.balancer.onPollEnded(
        harness.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, harness.now, 1, Double.NaN);
    harness.listEndpoint(3 - kept.endpoint(), EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    harness.advance(45).endAttempt(kept, AttemptOutcome.MISS, Role.REPLICA);
    check(
        harness.sentAttempts.size() == 1 && harness.rejectedStatements.isEmpty(),
        "the primary is busy for now");
    harness.advance(25).completePoll(0, Role.PRIMARY, harness.now);
    check(
        harness.lastAttempt().statement() == missed && harness.lastAttempt().endpoint() == 0,
        "its turn after all");
  }

  /**
   * Found on sockets: where the SLO time is short, patience was over before room was looked for
   * again.
   */
  @Example
  void waitingReadIsSentWhenAttemptEndsUnderShortSlo() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(false, false, false, false, true, 2, 7, 80).discoverGroup(20);
    int last = -1;
    while (last < 0 || sentStatements(harness).contains(last)) {
      last = harness.receiveStatement(ANY);
    }
    harness.advance(22);
    check(harness.rejectedStatements.isEmpty(), "it waits");
    harness.endAttempt(harness.sentAttempts.get(0), AttemptOutcome.COMPLETED, Role.UNKNOWN);
    check(harness.lastAttempt().statement() == last, "placed at once");
  }

  /** Found on sockets: on a long day members are replaced all the time. */
  @Example
  void goneEndpointIsRemovedAfterDrainExpiresAndCanReturn() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.listEndpoint(2, EndpointLifecycle.GONE, Moment.LONG_AGO);
    harness.advance(8_000).listEndpoint(1, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(harness.removedEndpoints.isEmpty(), "its drain is still known");
    harness.advance(16_000).listEndpoint(1, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(harness.removedEndpoints.equals(List.of(2)), "forgotten");
    harness.polledEndpoints.clear();
    harness.listEndpoint(2, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(harness.polledEndpoints.contains(2), "and there again");
  }

  /**
   * Found on sockets: a group that only writes held for good after its primary had once been
   * silent.
   */
  @Example
  void unresponsivePrimaryIsProbedByWriteWithoutReads() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(WRITE);
    harness.advance(1_000).timeOutAttemptsPastDeadline();
    int held = harness.receiveStatement(WRITE);
    harness.advance(100).completePoll(0, Role.PRIMARY, harness.now);
    check(
        harness.sentAttempts.size() == 1 && harness.lastAttempt().statement() != held,
        "silent: its polls are not enough");
    harness.advance(5_000).completePoll(0, Role.PRIMARY, harness.now);
    int trial = harness.receiveStatement(WRITE);
    int next = harness.receiveStatement(WRITE);
    check(harness.lastAttempt().statement() == trial, "one trial");
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY);
    harness.advance(20);
    check(harness.lastAttempt().statement() == next, "its answer ends the hold");
  }

  /**
   * Found on sockets: writes held to their end cost more than those whose clients could try again.
   */
  @Example
  void holdLastsHalfOfRemainingTimeUnlessLateAnswerHasHighValue() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(3);
    harness.receiveStatement(WRITE, 9, Moment.LONG_AGO, 2_000);
    int late = harness.receiveStatement(LATE_TOLERANT, 9, Moment.LONG_AGO, 2_000);
    harness.advance(900);
    check(harness.rejectedStatements.isEmpty(), "held for nearly half of its time");
    harness.advance(100);
    check(
        harness.rejectedStatements.equals(List.of(0)) && harness.lastRetryAfter.equals(Span.NONE),
        "it may try elsewhere");
    harness.advance(700).completePoll(0, Role.PRIMARY, harness.now);
    check(sentStatements(harness).equals(List.of(late)), "held on for what late is worth");
  }

  @Example
  void deduplicatedStatementIsRetriedOnlyWithinItsWindow() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int keyed = harness.receiveStatement(DEDUPLICATED, 9, Moment.LONG_AGO, 5_000);
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.RESET, Role.UNKNOWN);
    harness.advance(100).completePoll(1, Role.PRIMARY, harness.now);
    check(
        harness.sentAttempts.size() == 2 && harness.lastAttempt().statement() == keyed,
        "sent to the new primary");
    check(
        harness.lastAttempt().sendBy().equals(harness.sentAttempts.get(0).sentAt().plus(ms(600))),
        "and not once its window is over, however late a connection stands");
    check(!harness.sentAttempts.get(0).sendBy().isBefore(Moment.NEVER), "the first has no window");
  }

  @Example
  void boundedReadsUseFreshReplicasElsePrimary() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(299);
    harness.receiveStatement(BOUNDED);
    check(harness.lastAttempt().endpoint() != 0, "inside the bound");
    check(
        harness.lastAttempt().sendBy().equals(harness.now.plus(ms(1))),
        "not sent once the proof is too old");
    harness.advance(5);
    harness.receiveStatement(BOUNDED);
    check(harness.lastAttempt().endpoint() == 0, "outside of it, and replicas do not check");
    LoadBalancerHarness checking =
        new LoadBalancerHarness(true, false, true, false, true).discoverGroup(20);
    for (int i = 0; i < 20; i++) {
      checking.completePoll(0, Role.PRIMARY, checking.now);
    }
    checking.advance(400).completePoll(1, Role.REPLICA, checking.now.minus(ms(500)));
    checking.completePoll(2, Role.REPLICA, checking.now.minus(ms(450)));
    checking.receiveStatement(BOUNDED);
    check(checking.lastAttempt().endpoint() == 2, "the most advanced where replicas check");
  }

  /**
   * Found on ho-karachi: polls went unanswered, and routers that poll rarely did without sound
   * nodes.
   */
  @Example
  void endpointThatOnlyMissesPollsIsStillUsed() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(ANY);
    int node = harness.lastAttempt().endpoint();
    harness.advance(300).endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    for (int i = 0; i < 3; i++) {
      harness.balancer.onPollEnded(
          harness.now,
          3 - node,
          AttemptOutcome.NO_CONNECTION,
          Role.UNKNOWN,
          Moment.LONG_AGO,
          0,
          Double.NaN);
      harness.balancer.onPollEnded(
          harness.now,
          node,
          AttemptOutcome.TIMED_OUT,
          Role.UNKNOWN,
          Moment.LONG_AGO,
          0,
          Double.NaN);
    }
    harness.receiveStatement(ANY);
    check(harness.lastAttempt().endpoint() == node, "it answered just before");
  }

  /** Found on kigali-cards: idle connections of 699 routers shut each other out of nodes. */
  @Example
  void idleConnectionsAreClosedWhenResponsiveEndpointRefusesNewOnes() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 2; i++) {
      harness.receiveStatement(ANY);
      int full = harness.lastAttempt().endpoint();
      harness
          .advance(5)
          .endAttempt(harness.lastAttempt(), AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
      check(harness.endpointsWithIdleClosed.isEmpty(), "it may be gone, or the path broke once");
      harness.advance(5).completePoll(full, Role.REPLICA, harness.now);
    }
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    check(!harness.endpointsWithIdleClosed.isEmpty(), "at its limit");
  }

  /**
   * Found on sockets: after one connection in a hundred broke, every second execution opened a new
   * one.
   */
  @Example
  void singleRefusedConnectionDoesNotCloseIdleConnections() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 40; i++) {
      // Three at once, so that some need a connection of their own each time.
      int first = harness.receiveStatement(ANY);
      harness.receiveStatement(ANY);
      harness.receiveStatement(ANY);
      harness.advance(5);
      SentAttempt broken =
          harness.sentAttempts.stream()
              .filter(s -> s.statement() == first)
              .findFirst()
              .orElseThrow();
      if (i == 30 && harness.endedAttempts.add(broken)) {
        harness.endAttempt(broken, AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
        harness.advance(5).completePoll(broken.endpoint(), Role.UNKNOWN, harness.now);
      }
      harness.advance(30).endAttempts(s -> true, AttemptOutcome.COMPLETED, Role.UNKNOWN);
    }
    check(harness.endpointsWithIdleClosed.isEmpty(), "kept");
  }

  /**
   * Found on ho-karachi: statements that err anywhere got five executions, and all nodes the blame.
   */
  @Example
  void readFailingOnTwoEndpointsIsRejected() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int id = harness.receiveStatement(ANY);
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.ERROR, Role.UNKNOWN);
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.ERROR, Role.UNKNOWN);
    check(
        harness.sentAttempts.size() == 2 && harness.rejectedStatements.equals(List.of(id)),
        "two executions, one answer");
  }

  /**
   * Found on kigali-cards at full size: a path loses answers for this router alone, while polls
   * pass.
   */
  @Example
  void endpointThatLosesResponsesIsAvoidedDespiteSuccessfulPolls() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.receiveStatement(ANY);
    int lossy = harness.lastAttempt().endpoint();
    harness.advance(300).endAttempt(harness.lastAttempt(), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    for (int i = 0; i < 10; i++) {
      harness.advance(300).completePoll(lossy, Role.REPLICA, harness.now);
      harness.receiveStatement(ANY);
      check(harness.lastAttempt().endpoint() != lossy, "the other replica serves it");
      harness.endAttempt(harness.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    }
  }

  /**
   * Found on kochi-hire at full size: hundreds of routers each sent on into nodes jammed for
   * seconds.
   */
  @Example
  void overloadedGroupReceivesFewerStatementsUntilItRecovers() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    long[] admitted = new long[3];
    for (int i = 0; i < 300; i++) {
      boolean jammed = i >= 100 && i < 200;
      harness.advance(100);
      for (int node = 0; node < 3; node++) {
        Role role = node == 0 ? Role.PRIMARY : Role.REPLICA;
        harness.balancer.onPollEnded(
            harness.now,
            node,
            AttemptOutcome.COMPLETED,
            role,
            harness.now,
            jammed ? 1.1 : 0.5,
            Double.NaN);
      }
      int before = harness.sentAttempts.size();
      harness.receiveStatement(ANY);
      admitted[i / 100] += i % 100 > 50 ? harness.sentAttempts.size() - before : 0;
      AttemptOutcome outcome = jammed ? AttemptOutcome.TIMED_OUT : AttemptOutcome.COMPLETED;
      harness.endAttempts(s -> !jammed || harness.isOlder(s, 290), outcome, Role.REPLICA);
    }
    check(admitted[0] == 49 && admitted[1] < 35 && admitted[2] == 49, Arrays.toString(admitted));
  }

  @Example
  void failedWatchIsRequestedAgainWithinShortPause() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(false, false, false, true, true).listEndpoints(2);
    int asked = harness.watchRequests;
    harness.balancer.onListRequestFailed(harness.now);
    harness.advance(2_500);
    check(harness.watchRequests > asked, "asked again");
  }

  /** Found on ho-karachi: executions timed out for good while all reports told of free cores. */
  @Example
  void capacityShrinksOnTimeoutsDespiteLowReportedUtilization() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 200; i++) {
      harness.advance(5).completePoll(1 + i % 2, Role.REPLICA, harness.now);
      harness.receiveStatement(ANY);
      harness.endAttempts(s -> harness.isOlder(s, 290), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    }
    long out =
        harness.sentAttempts.stream()
            .filter(s -> s.endpoint() != 0 && !harness.endedAttempts.contains(s))
            .count();
    check(out <= 6, "still out: " + out);
  }

  /**
   * Found on kigali-cards: hanging nodes whose queues had filled burnt every execution of a
   * statement.
   */
  @Example
  void endpointAtCapacityIsRetriedAfterBackoff() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(1);
    harness.completePoll(0, Role.PRIMARY, harness.now);
    int id = harness.receiveStatement(WRITE);
    harness.endAttempt(harness.lastAttempt(), AttemptOutcome.FULL, Role.UNKNOWN);
    check(harness.sentAttempts.size() == 1, "not sent back at once");
    harness.advance(400);
    check(
        harness.sentAttempts.size() == 2 && harness.lastAttempt().statement() == id,
        "sent again later");
  }

  /** Found on kigali-cards: retries made warm nodes seem strong, and cold ones got too much. */
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
    long cold = harness.sentAttempts.stream().skip(200).filter(s -> s.endpoint() == 1).count();
    check(cold > 2 && cold < 70, "cold node got " + cold);
  }

  @Example
  void readOnUnresponsiveEndpointIsHedged() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int id = harness.receiveStatement(BOUNDED);
    int stuck = harness.lastAttempt().endpoint();
    for (int i = 0; i < 60; i++) {
      harness.advance(10);
      harness.completePoll(1, Role.REPLICA, harness.now);
      harness.completePoll(2, Role.REPLICA, harness.now);
    }
    check(
        harness.sentAttempts.size() > 1
            && harness.sentAttempts.get(1).statement() == id
            && harness.sentAttempts.get(1).endpoint() != stuck,
        "a copy elsewhere");
  }

  /**
   * Found on kochi-hire: a long queue in order sent each write when its client was about to leave.
   */
  @Example
  void writeWithTooLittleTimeLeftIsRejectedUnsent() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    harness.advance(10).listEndpoint(0, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    int id = harness.receiveStatement(WRITE, 9, Moment.LONG_AGO, 500);
    harness.advance(440).completePoll(1, Role.PRIMARY, harness.now);
    check(
        harness.sentAttempts.isEmpty() && harness.rejectedStatements.equals(List.of(id)),
        "rejected, since nothing ran");
  }

  /** Found on ho-karachi: with slow answers remembered, nothing was admitted to correct it. */
  @Example
  void readsAreAdmittedAgainAfterSlowResponses() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 120; i++) {
      harness.advance(10);
      for (int node = 0; node < 3; node++) {
        harness.completePoll(node, node == 0 ? Role.PRIMARY : Role.REPLICA, harness.now);
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
    int before = harness.sentAttempts.size();
    harness.receiveStatement(ANY);
    harness.completePoll(0, Role.PRIMARY, harness.now);
    check(harness.sentAttempts.size() > before, "admitted");
  }

  /**
   * Found on kochi-hire: with frozen reports one replica, called the most advanced, got all reads.
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
    long first = harness.sentAttempts.stream().filter(s -> s.endpoint() == 1).count();
    check(
        first >= 2 && first <= 6 && harness.sentAttempts.size() == 8,
        "spread, not all on the seemingly newest");
  }
}
