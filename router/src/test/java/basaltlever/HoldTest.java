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
  private static List<Integer> sentStatements(LoadBalancerHarness world) {
    return world.attempts.stream().map(LoadBalancerHarness.SentAttempt::statement).toList();
  }

  @Example
  void newRouterHoldsStatementsUntilPrimaryIsFound() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().listEndpoints(3);
    int first = world.receiveStatement(WRITE);
    int second = world.receiveStatement(FRESH);
    check(
        world.polledEndpoints.containsAll(List.of(0, 1, 2)) && world.attempts.isEmpty(),
        "polls all, sends nothing");
    world.completePoll(1, Role.REPLICA, world.now);
    check(world.attempts.isEmpty(), "a replica releases nothing");
    world.completePoll(2, Role.PRIMARY, world.now);
    check(
        sentStatements(world).equals(List.of(first, second)) && world.lastAttempt().endpoint() == 2,
        "released in order");
  }

  @Example
  void missStartsHoldAndNewPrimaryReceivesHeldStatementsInOrder() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int first = world.receiveStatement(WRITE);
    world.advance(10).endAttempt(world.lastAttempt(), AttemptOutcome.MISS, Role.REPLICA);
    int second = world.receiveStatement(WRITE);
    check(world.attempts.size() == 1, "nothing new goes to the old primary");
    world.advance(20).completePoll(1, Role.PRIMARY, world.now);
    check(
        sentStatements(world).equals(List.of(first, first, second))
            && world.lastAttempt().endpoint() == 1,
        "in order");
  }

  @Example
  void failedConnectionStartsHoldThatOlderReportDoesNotEnd() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(WRITE);
    Moment before = world.now;
    world.advance(10).endAttempt(world.lastAttempt(), AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
    world.advance(10).completePoll(0, Role.PRIMARY, before);
    check(world.attempts.size() == 1, "the report is older than the loss");
    world.advance(50).completePoll(0, Role.PRIMARY, world.now);
    check(world.attempts.size() == 2, "a newer one proves that it lives");
  }

  @Example
  void primaryRespondingAsReplicaStartsHold() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(FRESH);
    world.advance(10).endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    world.receiveStatement(WRITE);
    check(world.attempts.size() == 1, "held");
  }

  /**
   * A start waited a second for its second look at the members, where the first took longer than
   * 100 ms.
   */
  @Example
  void pollRequestedDuringPollIsSentWhenItEnds() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().listEndpoints(3);
    world.advance(20).listEndpoints(3).advance(200);
    check(world.polledEndpoints.size() == 3, "one at a time");
    world.completePoll(1, Role.REPLICA, world.now);
    check(world.polledEndpoints.equals(List.of(0, 1, 2, 1)), "at once: " + world.polledEndpoints);
  }

  @Example
  void singleTimeoutTriggersPollWithoutHold() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(FRESH);
    world.advance(150).polledEndpoints.clear();
    world.endAttempt(world.lastAttempt(), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    check(world.polledEndpoints.contains(0), "polled at once");
    int next = world.receiveStatement(WRITE);
    check(world.lastAttempt().statement() == next, "no hold");
  }

  @Example
  void unresponsivePrimaryStartsHoldDespiteSuccessfulPolls() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(WRITE, 9, Moment.LONG_AGO, 3_000);
    for (int i = 0; i < 60; i++) {
      world.advance(20).completePoll(0, Role.PRIMARY, world.now);
    }
    int next = world.receiveStatement(WRITE);
    check(world.lastAttempt().statement() != next, "held");
    world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    world.completePoll(0, Role.PRIMARY, world.now);
    check(world.lastAttempt().statement() == next, "an answer makes it primary again");
  }

  @Example
  void holdRejectsUnsentStatementAndAbortsPossiblyExecutedOne() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int resetWrite = world.receiveStatement(WRITE);
    world.endAttempt(world.lastAttempt(), AttemptOutcome.RESET, Role.UNKNOWN);
    check(
        world.abortedStatements.equals(List.of(resetWrite)),
        "aborted at once, since it can't be sent again");
    int heldWrite = world.receiveStatement(WRITE);
    world.advance(1_100);
    check(world.rejectedStatements.equals(List.of(heldWrite)), "rejected before the client leaves");
  }

  /** Found on sockets: a primary that steps down says so to writes long before its reports do. */
  @Example
  void primaryClaimAfterMissedWriteIsIgnoredForSomeTime() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(WRITE, 9, Moment.LONG_AGO, 4_000);
    world.advance(10).endAttempt(world.lastAttempt(), AttemptOutcome.MISS, Role.REPLICA);
    for (int i = 0; i < 5; i++) {
      world.advance(100).completePoll(0, Role.PRIMARY, world.now);
    }
    check(world.attempts.size() == 1, "each claim would cost one more execution");
    world.advance(600).completePoll(0, Role.PRIMARY, world.now);
    check(world.attempts.size() == 2, "but not for good");
  }

  /**
   * Found on sockets: reads were kept a while by replicas far behind, then rejected, the primary
   * idle.
   */
  @Example
  void readIsSentToPrimaryWhenReplicasLagOrMissedIt() {
    LoadBalancerHarness world =
        new LoadBalancerHarness(true, true, true, false, true).discoverGroup(1_500);
    int read = world.receiveStatement(BOUNDED);
    check(
        world.lastAttempt().statement() == read && world.lastAttempt().endpoint() == 0,
        "no use in asking a replica");
    world = new LoadBalancerHarness(true, true, true, false, true).discoverGroup(20);
    int missedRead = world.receiveStatement(BOUNDED);
    SentAttempt replicaAttempt = world.lastAttempt();
    world.balancer.onPollEnded(
        world.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, world.now, 1, Double.NaN);
    world.listEndpoint(3 - replicaAttempt.endpoint(), EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    world.advance(45).endAttempt(replicaAttempt, AttemptOutcome.MISS, Role.REPLICA);
    check(
        world.attempts.size() == 1 && world.rejectedStatements.isEmpty(),
        "the primary is busy for now");
    world.advance(25).completePoll(0, Role.PRIMARY, world.now);
    check(
        world.lastAttempt().statement() == missedRead && world.lastAttempt().endpoint() == 0,
        "its turn after all");
  }

  /**
   * Found on sockets: where the SLO time is short, patience was over before room was looked for
   * again.
   */
  @Example
  void waitingReadIsSentWhenAttemptEndsUnderShortSlo() {
    LoadBalancerHarness world =
        new LoadBalancerHarness(false, false, false, false, true, 2, 7, 80).discoverGroup(20);
    int waitingRead = -1;
    while (waitingRead < 0 || sentStatements(world).contains(waitingRead)) {
      waitingRead = world.receiveStatement(ANY);
    }
    world.advance(22);
    check(world.rejectedStatements.isEmpty(), "it waits");
    world.endAttempt(world.attempts.get(0), AttemptOutcome.COMPLETED, Role.UNKNOWN);
    check(world.lastAttempt().statement() == waitingRead, "placed at once");
  }

  /** Found on sockets: on a long day members are replaced all the time. */
  @Example
  void goneEndpointIsRemovedAfterDrainExpiresAndCanReturn() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.listEndpoint(2, EndpointLifecycle.GONE, Moment.LONG_AGO);
    world.advance(8_000).listEndpoint(1, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(world.removedEndpoints.isEmpty(), "its drain is still known");
    world.advance(16_000).listEndpoint(1, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(world.removedEndpoints.equals(List.of(2)), "forgotten");
    world.polledEndpoints.clear();
    world.listEndpoint(2, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(world.polledEndpoints.contains(2), "and there again");
  }

  /**
   * Found on sockets: a group that only writes held for good after its primary had once been
   * silent.
   */
  @Example
  void unresponsivePrimaryIsProbedByWriteWithoutReads() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(WRITE);
    world.advance(1_000).timeOutAttemptsPastDeadline();
    int heldWrite = world.receiveStatement(WRITE);
    world.advance(100).completePoll(0, Role.PRIMARY, world.now);
    check(
        world.attempts.size() == 1 && world.lastAttempt().statement() != heldWrite,
        "silent: its polls are not enough");
    world.advance(5_000).completePoll(0, Role.PRIMARY, world.now);
    int trial = world.receiveStatement(WRITE);
    int next = world.receiveStatement(WRITE);
    check(world.lastAttempt().statement() == trial, "one trial");
    world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY);
    world.advance(20);
    check(world.lastAttempt().statement() == next, "its answer ends the hold");
  }

  /**
   * Found on sockets: writes held to their end cost more than those whose clients could try again.
   */
  @Example
  void holdLastsHalfOfRemainingTimeUnlessLateAnswerHasHighValue() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().listEndpoints(3);
    world.receiveStatement(WRITE, 9, Moment.LONG_AGO, 2_000);
    int lateTolerantWrite = world.receiveStatement(LATE_TOLERANT, 9, Moment.LONG_AGO, 2_000);
    world.advance(900);
    check(world.rejectedStatements.isEmpty(), "held for nearly half of its time");
    world.advance(100);
    check(
        world.rejectedStatements.equals(List.of(0)) && world.lastRetryAfter.equals(Span.NONE),
        "it may try elsewhere");
    world.advance(700).completePoll(0, Role.PRIMARY, world.now);
    check(
        sentStatements(world).equals(List.of(lateTolerantWrite)), "held on for what late is worth");
  }

  @Example
  void deduplicatedStatementIsRetriedOnlyWithinItsWindow() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int write = world.receiveStatement(DEDUPLICATED, 9, Moment.LONG_AGO, 5_000);
    world.endAttempt(world.lastAttempt(), AttemptOutcome.RESET, Role.UNKNOWN);
    world.advance(100).completePoll(1, Role.PRIMARY, world.now);
    check(
        world.attempts.size() == 2 && world.lastAttempt().statement() == write,
        "sent to the new primary");
    check(
        world.lastAttempt().sendBy().equals(world.attempts.get(0).sentAt().plus(ms(600))),
        "and not once its window is over, however late a connection stands");
    check(!world.attempts.get(0).sendBy().isBefore(Moment.NEVER), "the first has no window");
  }

  @Example
  void boundedReadsUseFreshReplicasElsePrimary() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(299);
    world.receiveStatement(BOUNDED);
    check(world.lastAttempt().endpoint() != 0, "inside the bound");
    check(
        world.lastAttempt().sendBy().equals(world.now.plus(ms(1))),
        "not sent once the proof is too old");
    world.advance(5);
    world.receiveStatement(BOUNDED);
    check(world.lastAttempt().endpoint() == 0, "outside of it, and replicas do not check");
    LoadBalancerHarness checkingHarness =
        new LoadBalancerHarness(true, false, true, false, true).discoverGroup(20);
    for (int i = 0; i < 20; i++) {
      checkingHarness.completePoll(0, Role.PRIMARY, checkingHarness.now);
    }
    checkingHarness.advance(400).completePoll(1, Role.REPLICA, checkingHarness.now.minus(ms(500)));
    checkingHarness.completePoll(2, Role.REPLICA, checkingHarness.now.minus(ms(450)));
    checkingHarness.receiveStatement(BOUNDED);
    check(checkingHarness.lastAttempt().endpoint() == 2, "the most advanced where replicas check");
  }

  /**
   * Found on ho-karachi: polls went unanswered, and routers that poll rarely did without sound
   * nodes.
   */
  @Example
  void endpointThatOnlyMissesPollsIsStillUsed() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(ANY);
    int endpoint = world.lastAttempt().endpoint();
    world.advance(300).endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    for (int i = 0; i < 3; i++) {
      world.balancer.onPollEnded(
          world.now,
          3 - endpoint,
          AttemptOutcome.NO_CONNECTION,
          Role.UNKNOWN,
          Moment.LONG_AGO,
          0,
          Double.NaN);
      world.balancer.onPollEnded(
          world.now,
          endpoint,
          AttemptOutcome.TIMED_OUT,
          Role.UNKNOWN,
          Moment.LONG_AGO,
          0,
          Double.NaN);
    }
    world.receiveStatement(ANY);
    check(world.lastAttempt().endpoint() == endpoint, "it answered just before");
  }

  /** Found on kigali-cards: idle connections of 699 routers shut each other out of nodes. */
  @Example
  void idleConnectionsAreClosedWhenResponsiveEndpointRefusesNewOnes() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 2; i++) {
      world.receiveStatement(ANY);
      int refusingEndpoint = world.lastAttempt().endpoint();
      world.advance(5).endAttempt(world.lastAttempt(), AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
      check(world.endpointsWithIdleClosed.isEmpty(), "it may be gone, or the path broke once");
      world.advance(5).completePoll(refusingEndpoint, Role.REPLICA, world.now);
    }
    world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    check(!world.endpointsWithIdleClosed.isEmpty(), "at its limit");
  }

  /**
   * Found on sockets: after one connection in a hundred broke, every second execution opened a new
   * one.
   */
  @Example
  void singleRefusedConnectionDoesNotCloseIdleConnections() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 40; i++) {
      // Three at once, so that some need a connection of their own each time.
      int first = world.receiveStatement(ANY);
      world.receiveStatement(ANY);
      world.receiveStatement(ANY);
      world.advance(5);
      SentAttempt broken =
          world.attempts.stream().filter(s -> s.statement() == first).findFirst().orElseThrow();
      if (i == 30 && world.endedAttempts.add(broken)) {
        world.endAttempt(broken, AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
        world.advance(5).completePoll(broken.endpoint(), Role.UNKNOWN, world.now);
      }
      world.advance(30).endAttempts(s -> true, AttemptOutcome.COMPLETED, Role.UNKNOWN);
    }
    check(world.endpointsWithIdleClosed.isEmpty(), "kept");
  }

  /**
   * Found on ho-karachi: statements that err anywhere got five executions, and all nodes the blame.
   */
  @Example
  void readFailingOnTwoEndpointsIsRejected() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int id = world.receiveStatement(ANY);
    world.endAttempt(world.lastAttempt(), AttemptOutcome.ERROR, Role.UNKNOWN);
    world.endAttempt(world.lastAttempt(), AttemptOutcome.ERROR, Role.UNKNOWN);
    check(
        world.attempts.size() == 2 && world.rejectedStatements.equals(List.of(id)),
        "two executions, one answer");
  }

  /**
   * Found on kigali-cards at full size: a path loses answers for this router alone, while polls
   * pass.
   */
  @Example
  void endpointThatLosesResponsesIsAvoidedDespiteSuccessfulPolls() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(ANY);
    int lossyEndpoint = world.lastAttempt().endpoint();
    world.advance(300).endAttempt(world.lastAttempt(), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    for (int i = 0; i < 10; i++) {
      world.advance(300).completePoll(lossyEndpoint, Role.REPLICA, world.now);
      world.receiveStatement(ANY);
      check(world.lastAttempt().endpoint() != lossyEndpoint, "the other replica serves it");
      world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA);
    }
  }

  /**
   * Found on kochi-hire at full size: hundreds of routers each sent on into nodes jammed for
   * seconds.
   */
  @Example
  void overloadedGroupReceivesFewerStatementsUntilItRecovers() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    long[] admitted = new long[3];
    for (int i = 0; i < 300; i++) {
      boolean overloaded = i >= 100 && i < 200;
      world.advance(100);
      for (int endpoint = 0; endpoint < 3; endpoint++) {
        Role role = endpoint == 0 ? Role.PRIMARY : Role.REPLICA;
        world.balancer.onPollEnded(
            world.now,
            endpoint,
            AttemptOutcome.COMPLETED,
            role,
            world.now,
            overloaded ? 1.1 : 0.5,
            Double.NaN);
      }
      int sentBefore = world.attempts.size();
      world.receiveStatement(ANY);
      admitted[i / 100] += i % 100 > 50 ? world.attempts.size() - sentBefore : 0;
      AttemptOutcome outcome = overloaded ? AttemptOutcome.TIMED_OUT : AttemptOutcome.COMPLETED;
      world.endAttempts(s -> !overloaded || world.isOlder(s, 290), outcome, Role.REPLICA);
    }
    check(admitted[0] == 49 && admitted[1] < 35 && admitted[2] == 49, Arrays.toString(admitted));
  }

  @Example
  void failedWatchIsRequestedAgainWithinShortPause() {
    LoadBalancerHarness world =
        new LoadBalancerHarness(false, false, false, true, true).listEndpoints(2);
    int requestsBefore = world.watchRequests;
    world.balancer.onListRequestFailed(world.now);
    world.advance(2_500);
    check(world.watchRequests > requestsBefore, "asked again");
  }

  /** Found on ho-karachi: executions timed out for good while all reports told of free cores. */
  @Example
  void capacityShrinksOnTimeoutsDespiteLowReportedUtilization() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 200; i++) {
      world.advance(5).completePoll(1 + i % 2, Role.REPLICA, world.now);
      world.receiveStatement(ANY);
      world.endAttempts(s -> world.isOlder(s, 290), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    }
    long inFlight =
        world.attempts.stream()
            .filter(s -> s.endpoint() != 0 && !world.endedAttempts.contains(s))
            .count();
    check(inFlight <= 6, "still out: " + inFlight);
  }

  /**
   * Found on kigali-cards: hanging nodes whose queues had filled burnt every execution of a
   * statement.
   */
  @Example
  void endpointAtCapacityIsRetriedAfterBackoff() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().listEndpoints(1);
    world.completePoll(0, Role.PRIMARY, world.now);
    int id = world.receiveStatement(WRITE);
    world.endAttempt(world.lastAttempt(), AttemptOutcome.FULL, Role.UNKNOWN);
    check(world.attempts.size() == 1, "not sent back at once");
    world.advance(400);
    check(world.attempts.size() == 2 && world.lastAttempt().statement() == id, "sent again later");
  }

  /** Found on kigali-cards: retries made warm nodes seem strong, and cold ones got too much. */
  @Example
  void restartedEndpointReceivesSlowStartShare() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 400; i++) {
      world.advance(10);
      world.receiveStatement(ANY);
      world.endAttempts(s -> world.isOlder(s, 90), AttemptOutcome.COMPLETED, Role.REPLICA);
      if (i == 200) {
        world.listEndpoint(1, EndpointLifecycle.READY, world.now);
      }
    }
    long coldAttempts = world.attempts.stream().skip(200).filter(s -> s.endpoint() == 1).count();
    check(coldAttempts > 2 && coldAttempts < 70, "cold node got " + coldAttempts);
  }

  @Example
  void readOnUnresponsiveEndpointIsHedged() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int id = world.receiveStatement(BOUNDED);
    int unresponsiveEndpoint = world.lastAttempt().endpoint();
    for (int i = 0; i < 60; i++) {
      world.advance(10);
      world.completePoll(1, Role.REPLICA, world.now);
      world.completePoll(2, Role.REPLICA, world.now);
    }
    check(
        world.attempts.size() > 1
            && world.attempts.get(1).statement() == id
            && world.attempts.get(1).endpoint() != unresponsiveEndpoint,
        "a copy elsewhere");
  }

  /**
   * Found on kochi-hire: a long queue in order sent each write when its client was about to leave.
   */
  @Example
  void writeWithTooLittleTimeLeftIsRejectedUnsent() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.advance(10).listEndpoint(0, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    int id = world.receiveStatement(WRITE, 9, Moment.LONG_AGO, 500);
    world.advance(440).completePoll(1, Role.PRIMARY, world.now);
    check(
        world.attempts.isEmpty() && world.rejectedStatements.equals(List.of(id)),
        "rejected, since nothing ran");
  }

  /** Found on ho-karachi: with slow answers remembered, nothing was admitted to correct it. */
  @Example
  void readsAreAdmittedAgainAfterSlowResponses() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    for (int i = 0; i < 120; i++) {
      world.advance(10);
      for (int endpoint = 0; endpoint < 3; endpoint++) {
        world.completePoll(endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
      }
      world.receiveStatement(ANY);
      world.endAttempts(s -> world.isOlder(s, 285), AttemptOutcome.COMPLETED, Role.REPLICA);
    }
    world.endAttempts(s -> true, AttemptOutcome.COMPLETED, Role.REPLICA);
    for (int i = 0; i < 40; i++) {
      world.advance(50).completePoll(i % 3, i % 3 == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    int sentBefore = world.attempts.size();
    world.receiveStatement(ANY);
    world.completePoll(0, Role.PRIMARY, world.now);
    check(world.attempts.size() > sentBefore, "admitted");
  }

  /**
   * Found on kochi-hire: with frozen reports one replica, called the most advanced, got all reads.
   */
  @Example
  void staleReportsSpreadReadsOverReplicas() {
    LoadBalancerHarness world =
        new LoadBalancerHarness(true, false, true, false, true).listEndpoints(3);
    world.completePoll(0, Role.PRIMARY, world.now.minus(ms(900)));
    world.completePoll(1, Role.REPLICA, world.now.minus(ms(900)));
    world.completePoll(2, Role.REPLICA, world.now.minus(ms(950)));
    for (int i = 0; i < 8; i++) {
      world.receiveStatement(BOUNDED);
    }
    long readsOnFirstReplica = world.attempts.stream().filter(s -> s.endpoint() == 1).count();
    check(
        readsOnFirstReplica >= 2 && readsOnFirstReplica <= 6 && world.attempts.size() == 8,
        "spread, not all on the seemingly newest");
  }
}
