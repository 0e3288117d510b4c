package basaltlever;

import static basaltlever.StandIn.ANY;
import static basaltlever.StandIn.BOUNDED;
import static basaltlever.StandIn.FRESH;
import static basaltlever.StandIn.KEYED;
import static basaltlever.StandIn.LATE;
import static basaltlever.StandIn.Sent;
import static basaltlever.StandIn.WRITE;
import static basaltlever.StandIn.check;
import static basaltlever.StandIn.ms;

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
  private static List<Integer> statements(StandIn world) {
    return world.sent.stream().map(StandIn.Sent::statement).toList();
  }

  @Example
  void aFreshRouterPollsAllAndHoldsUntilOneAnswersAsPrimary() {
    StandIn world = StandIn.plain().list(3);
    int first = world.take(WRITE);
    int second = world.take(FRESH);
    check(
        world.polled.containsAll(List.of(0, 1, 2)) && world.sent.isEmpty(),
        "polls all, sends nothing");
    world.poll(1, Role.REPLICA, world.now);
    check(world.sent.isEmpty(), "a replica releases nothing");
    world.poll(2, Role.PRIMARY, world.now);
    check(
        statements(world).equals(List.of(first, second)) && world.last().node() == 2,
        "released in order");
  }

  @Example
  void aMissStartsTheHoldAndTheNewPrimaryGetsTheHeldInOrder() {
    StandIn world = StandIn.plain().steady(20);
    int first = world.take(WRITE);
    world.later(10).end(world.last(), AttemptOutcome.MISS, Role.REPLICA);
    int second = world.take(WRITE);
    check(world.sent.size() == 1, "nothing new goes to the old primary");
    world.later(20).poll(1, Role.PRIMARY, world.now);
    check(
        statements(world).equals(List.of(first, first, second)) && world.last().node() == 1,
        "in order");
  }

  @Example
  void aFailedConnectionStartsTheHoldAndAnOldClaimDoesNotEndIt() {
    StandIn world = StandIn.plain().steady(20);
    world.take(WRITE);
    Moment before = world.now;
    world.later(10).end(world.last(), AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
    world.later(10).poll(0, Role.PRIMARY, before);
    check(world.sent.size() == 1, "the report is older than the loss");
    world.later(50).poll(0, Role.PRIMARY, world.now);
    check(world.sent.size() == 2, "a newer one proves that it lives");
  }

  @Example
  void aPrimaryThatAnswersAsReplicaStartsTheHold() {
    StandIn world = StandIn.plain().steady(20);
    world.take(FRESH);
    world.later(10).end(world.last(), AttemptOutcome.COMPLETED, Role.REPLICA);
    world.take(WRITE);
    check(world.sent.size() == 1, "held");
  }

  /**
   * A start waited a second for its second look at the members, where the first took longer than
   * 100 ms.
   */
  @Example
  void whoIsToBePolledAgainWhileAPollIsOutIsPolledOnceItEnds() {
    StandIn world = StandIn.plain().list(3);
    world.later(20).list(3).later(200);
    check(world.polled.size() == 3, "one at a time");
    world.poll(1, Role.REPLICA, world.now);
    check(world.polled.equals(List.of(0, 1, 2, 1)), "at once: " + world.polled);
  }

  @Example
  void aLoneTimeOutOnlyPollsAtOnce() {
    StandIn world = StandIn.plain().steady(20);
    world.take(FRESH);
    world.later(150).polled.clear();
    world.end(world.last(), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    check(world.polled.contains(0), "polled at once");
    int next = world.take(WRITE);
    check(world.last().statement() == next, "no hold");
  }

  @Example
  void aPrimaryThatAnswersNothingIsHeldThoughItsPollsLookWell() {
    StandIn world = StandIn.plain().steady(20);
    world.take(WRITE, 9, Moment.LONG_AGO, 3_000);
    for (int i = 0; i < 60; i++) {
      world.later(20).poll(0, Role.PRIMARY, world.now);
    }
    int next = world.take(WRITE);
    check(world.last().statement() != next, "held");
    world.end(world.last(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    world.poll(0, Role.PRIMARY, world.now);
    check(world.last().statement() == next, "an answer makes it primary again");
  }

  @Example
  void aHoldThatOutlastsAStatementRejectsWhatNeverRanAndAbortsWhatMayHave() {
    StandIn world = StandIn.plain().steady(20);
    int maybe = world.take(WRITE);
    world.end(world.last(), AttemptOutcome.RESET, Role.UNKNOWN);
    check(world.aborted.equals(List.of(maybe)), "aborted at once, since it can't be sent again");
    int never = world.take(WRITE);
    world.later(1_100);
    check(world.rejected.equals(List.of(never)), "rejected before the client leaves");
  }

  /** Found on sockets: a primary that steps down says so to writes long before its reports do. */
  @Example
  void aMemberThatMissedAWriteIsNotBelievedAtOnceToBePrimary() {
    StandIn world = StandIn.plain().steady(20);
    world.take(WRITE, 9, Moment.LONG_AGO, 4_000);
    world.later(10).end(world.last(), AttemptOutcome.MISS, Role.REPLICA);
    for (int i = 0; i < 5; i++) {
      world.later(100).poll(0, Role.PRIMARY, world.now);
    }
    check(world.sent.size() == 1, "each claim would cost one more execution");
    world.later(600).poll(0, Role.PRIMARY, world.now);
    check(world.sent.size() == 2, "but not for good");
  }

  /**
   * Found on sockets: reads were kept a while by replicas far behind, then rejected, the primary
   * idle.
   */
  @Example
  void aReadGoesToThePrimaryWhereAllReplicasAreFarBehindOrMissedIt() {
    StandIn world = new StandIn(true, true, true, false, true).steady(1_500);
    int far = world.take(BOUNDED);
    check(
        world.last().statement() == far && world.last().node() == 0, "no use in asking a replica");
    world = new StandIn(true, true, true, false, true).steady(20);
    int missed = world.take(BOUNDED);
    Sent kept = world.last();
    world.balancer.pollEnded(
        world.now, 0, AttemptOutcome.COMPLETED, Role.PRIMARY, world.now, 1, Double.NaN);
    world.relist(3 - kept.node(), EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    world.later(45).end(kept, AttemptOutcome.MISS, Role.REPLICA);
    check(world.sent.size() == 1 && world.rejected.isEmpty(), "the primary is busy for now");
    world.later(25).poll(0, Role.PRIMARY, world.now);
    check(world.last().statement() == missed && world.last().node() == 0, "its turn after all");
  }

  /**
   * Found on sockets: where the SLO time is short, patience was over before room was looked for
   * again.
   */
  @Example
  void whatWaitsForRoomGetsItWhenAnExecutionEndsAndIsNotRejectedBeforeTheSecondLook() {
    StandIn world = new StandIn(false, false, false, false, true, 2, 7, 80).steady(20);
    int last = -1;
    while (last < 0 || statements(world).contains(last)) {
      last = world.take(ANY);
    }
    world.later(22);
    check(world.rejected.isEmpty(), "it waits");
    world.end(world.sent.get(0), AttemptOutcome.COMPLETED, Role.UNKNOWN);
    check(world.last().statement() == last, "placed at once");
  }

  /** Found on sockets: on a long day members are replaced all the time. */
  @Example
  void aMemberThatIsGoneIsForgottenOnceNoRuleAsksForItAndComesBackAsNew() {
    StandIn world = StandIn.plain().steady(20);
    world.relist(2, EndpointLifecycle.GONE, Moment.LONG_AGO);
    world.later(8_000).relist(1, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(world.forgotten.isEmpty(), "its drain is still known");
    world.later(16_000).relist(1, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(world.forgotten.equals(List.of(2)), "forgotten");
    world.polled.clear();
    world.relist(2, EndpointLifecycle.READY, Moment.LONG_AGO);
    check(world.polled.contains(2), "and there again");
  }

  /**
   * Found on sockets: a group that only writes held for good after its primary had once been
   * silent.
   */
  @Example
  void aPrimaryThatWasSilentIsTriedByAWriteWhereThereAreNoReads() {
    StandIn world = StandIn.plain().steady(20);
    world.take(WRITE);
    world.later(1_000).timeOutWhoseClientLeft();
    int held = world.take(WRITE);
    world.later(100).poll(0, Role.PRIMARY, world.now);
    check(
        world.sent.size() == 1 && world.last().statement() != held,
        "silent: its polls are not enough");
    world.later(5_000).poll(0, Role.PRIMARY, world.now);
    int trial = world.take(WRITE);
    int next = world.take(WRITE);
    check(world.last().statement() == trial, "one trial");
    world.end(world.last(), AttemptOutcome.COMPLETED, Role.PRIMARY);
    world.later(20);
    check(world.last().statement() == next, "its answer ends the hold");
  }

  /**
   * Found on sockets: writes held to their end cost more than those whose clients could try again.
   */
  @Example
  void aHoldKeepsAStatementForHalfOfItsTimeUnlessALateAnswerIsWorthMost() {
    StandIn world = StandIn.plain().list(3);
    world.take(WRITE, 9, Moment.LONG_AGO, 2_000);
    int late = world.take(LATE, 9, Moment.LONG_AGO, 2_000);
    world.later(900);
    check(world.rejected.isEmpty(), "held for nearly half of its time");
    world.later(100);
    check(
        world.rejected.equals(List.of(0)) && world.advice.equals(Span.NONE),
        "it may try elsewhere");
    world.later(700).poll(0, Role.PRIMARY, world.now);
    check(statements(world).equals(List.of(late)), "held on for what late is worth");
  }

  @Example
  void aDeduplicatedStatementIsSentAgainOnlyWithinItsWindow() {
    StandIn world = StandIn.plain().steady(20);
    int keyed = world.take(KEYED, 9, Moment.LONG_AGO, 5_000);
    world.end(world.last(), AttemptOutcome.RESET, Role.UNKNOWN);
    world.later(100).poll(1, Role.PRIMARY, world.now);
    check(world.sent.size() == 2 && world.last().statement() == keyed, "sent to the new primary");
    check(
        world.last().sendBy().equals(world.sent.get(0).at().plus(ms(600))),
        "and not once its window is over, however late a connection stands");
    check(!world.sent.get(0).sendBy().isBefore(Moment.NEVER), "the first has no window");
  }

  @Example
  void readsGoToReplicasProvenNewEnoughElseToThePrimary() {
    StandIn world = StandIn.plain().steady(299);
    world.take(BOUNDED);
    check(world.last().node() != 0, "inside the bound");
    check(
        world.last().sendBy().equals(world.now.plus(ms(1))), "not sent once the proof is too old");
    world.later(5);
    world.take(BOUNDED);
    check(world.last().node() == 0, "outside of it, and replicas do not check");
    StandIn checking = new StandIn(true, false, true, false, true).steady(20);
    for (int i = 0; i < 20; i++) {
      checking.poll(0, Role.PRIMARY, checking.now);
    }
    checking.later(400).poll(1, Role.REPLICA, checking.now.minus(ms(500)));
    checking.poll(2, Role.REPLICA, checking.now.minus(ms(450)));
    checking.take(BOUNDED);
    check(checking.last().node() == 2, "the most advanced where replicas check");
  }

  /**
   * Found on ho-karachi: polls went unanswered, and routers that poll rarely did without sound
   * nodes.
   */
  @Example
  void aNodeThatOnlyMissesPollsIsStillUsed() {
    StandIn world = StandIn.plain().steady(20);
    world.take(ANY);
    int node = world.last().node();
    world.later(300).end(world.last(), AttemptOutcome.COMPLETED, Role.REPLICA);
    for (int i = 0; i < 3; i++) {
      world.balancer.pollEnded(
          world.now,
          3 - node,
          AttemptOutcome.NO_CONNECTION,
          Role.UNKNOWN,
          Moment.LONG_AGO,
          0,
          Double.NaN);
      world.balancer.pollEnded(
          world.now, node, AttemptOutcome.TIMED_OUT, Role.UNKNOWN, Moment.LONG_AGO, 0, Double.NaN);
    }
    world.take(ANY);
    check(world.last().node() == node, "it answered just before");
  }

  /** Found on kigali-cards: idle connections of 699 routers shut each other out of nodes. */
  @Example
  void idleConnectionsAreLetGoOnceANodeThatAnswersRefusesNewOnes() {
    StandIn world = StandIn.plain().steady(20);
    for (int i = 0; i < 2; i++) {
      world.take(ANY);
      int full = world.last().node();
      world.later(5).end(world.last(), AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
      check(world.letGo.isEmpty(), "it may be gone, or the path broke once");
      world.later(5).poll(full, Role.REPLICA, world.now);
    }
    world.end(world.last(), AttemptOutcome.COMPLETED, Role.REPLICA);
    check(!world.letGo.isEmpty(), "at its limit");
  }

  /**
   * Found on sockets: after one connection in a hundred broke, every second execution opened a new
   * one.
   */
  @Example
  void oneRefusedConnectionAmongManyThatStoodIsNoSignOfALimit() {
    StandIn world = StandIn.plain().steady(20);
    for (int i = 0; i < 40; i++) {
      // Three at once, so that some need a connection of their own each time.
      int first = world.take(ANY);
      world.take(ANY);
      world.take(ANY);
      world.later(5);
      Sent broken =
          world.sent.stream().filter(s -> s.statement() == first).findFirst().orElseThrow();
      if (i == 30 && world.ended.add(broken)) {
        world.end(broken, AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
        world.later(5).poll(broken.node(), Role.UNKNOWN, world.now);
      }
      world.later(30).endThose(s -> true, AttemptOutcome.COMPLETED, Role.UNKNOWN);
    }
    check(world.letGo.isEmpty(), "kept");
  }

  /**
   * Found on ho-karachi: statements that err anywhere got five executions, and all nodes the blame.
   */
  @Example
  void whatErrsAtASecondNodeIsGivenUpAndNoNodeBlamed() {
    StandIn world = StandIn.plain().steady(20);
    int id = world.take(ANY);
    world.end(world.last(), AttemptOutcome.ERROR, Role.UNKNOWN);
    world.end(world.last(), AttemptOutcome.ERROR, Role.UNKNOWN);
    check(
        world.sent.size() == 2 && world.rejected.equals(List.of(id)), "two executions, one answer");
  }

  /**
   * Found on kigali-cards at full size: a path loses answers for this router alone, while polls
   * pass.
   */
  @Example
  void aNodeThatLosesWhatItIsGivenComesLastThoughItsPollsPass() {
    StandIn world = StandIn.plain().steady(20);
    world.take(ANY);
    int lossy = world.last().node();
    world.later(300).end(world.last(), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    for (int i = 0; i < 10; i++) {
      world.later(300).poll(lossy, Role.REPLICA, world.now);
      world.take(ANY);
      check(world.last().node() != lossy, "the other replica serves it");
      world.end(world.last(), AttemptOutcome.COMPLETED, Role.REPLICA);
    }
  }

  /**
   * Found on kochi-hire at full size: hundreds of routers each sent on into nodes jammed for
   * seconds.
   */
  @Example
  void aGroupThatAnswersLateWithBusyCoresIsSentLittleUntilItRecovers() {
    StandIn world = StandIn.plain().steady(20);
    long[] admitted = new long[3];
    for (int i = 0; i < 300; i++) {
      boolean jammed = i >= 100 && i < 200;
      world.later(100);
      for (int node = 0; node < 3; node++) {
        Role role = node == 0 ? Role.PRIMARY : Role.REPLICA;
        world.balancer.pollEnded(
            world.now,
            node,
            AttemptOutcome.COMPLETED,
            role,
            world.now,
            jammed ? 1.1 : 0.5,
            Double.NaN);
      }
      int before = world.sent.size();
      world.take(ANY);
      admitted[i / 100] += i % 100 > 50 ? world.sent.size() - before : 0;
      AttemptOutcome outcome = jammed ? AttemptOutcome.TIMED_OUT : AttemptOutcome.COMPLETED;
      world.endThose(s -> !jammed || world.isOlder(s, 290), outcome, Role.REPLICA);
    }
    check(admitted[0] == 49 && admitted[1] < 35 && admitted[2] == 49, Arrays.toString(admitted));
  }

  @Example
  void aFailedWatchIsAskedForAgainWellBeforeTheRouterCountsAsInformed() {
    StandIn world = new StandIn(false, false, false, true, true).list(2);
    int asked = world.watches;
    world.balancer.listCallFailed(world.now);
    world.later(2_500);
    check(world.watches > asked, "asked again");
  }

  /** Found on ho-karachi: executions timed out for good while all reports told of free cores. */
  @Example
  void roomShrinksUnderHopelessStrainWhateverReportsSay() {
    StandIn world = StandIn.plain().steady(20);
    for (int i = 0; i < 200; i++) {
      world.later(5).poll(1 + i % 2, Role.REPLICA, world.now);
      world.take(ANY);
      world.endThose(s -> world.isOlder(s, 290), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    }
    long out = world.sent.stream().filter(s -> s.node() != 0 && !world.ended.contains(s)).count();
    check(out <= 6, "still out: " + out);
  }

  /**
   * Found on kigali-cards: hanging nodes whose queues had filled burnt every execution of a
   * statement.
   */
  @Example
  void aNodeThatTurnsWorkAwayRests() {
    StandIn world = StandIn.plain().list(1);
    world.poll(0, Role.PRIMARY, world.now);
    int id = world.take(WRITE);
    world.end(world.last(), AttemptOutcome.FULL, Role.UNKNOWN);
    check(world.sent.size() == 1, "not sent back at once");
    world.later(400);
    check(world.sent.size() == 2 && world.last().statement() == id, "sent again later");
  }

  /** Found on kigali-cards: retries made warm nodes seem strong, and cold ones got too much. */
  @Example
  void aColdNodeGetsItsShareOfWhatWarmOnesAnswered() {
    StandIn world = StandIn.plain().steady(20);
    for (int i = 0; i < 400; i++) {
      world.later(10);
      world.take(ANY);
      world.endThose(s -> world.isOlder(s, 90), AttemptOutcome.COMPLETED, Role.REPLICA);
      if (i == 200) {
        world.relist(1, EndpointLifecycle.READY, world.now);
      }
    }
    long cold = world.sent.stream().skip(200).filter(s -> s.node() == 1).count();
    check(cold > 2 && cold < 70, "cold node got " + cold);
  }

  @Example
  void readsOnANodeThatAnswersNobodyAreCopiedElsewhere() {
    StandIn world = StandIn.plain().steady(20);
    int id = world.take(BOUNDED);
    int stuck = world.last().node();
    for (int i = 0; i < 60; i++) {
      world.later(10);
      world.poll(1, Role.REPLICA, world.now);
      world.poll(2, Role.REPLICA, world.now);
    }
    check(
        world.sent.size() > 1
            && world.sent.get(1).statement() == id
            && world.sent.get(1).node() != stuck,
        "a copy elsewhere");
  }

  /**
   * Found on kochi-hire: a long queue in order sent each write when its client was about to leave.
   */
  @Example
  void aWriteIsNotStartedWithTooLittleTimeLeft() {
    StandIn world = StandIn.plain().steady(20);
    world.later(10).relist(0, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    int id = world.take(WRITE, 9, Moment.LONG_AGO, 500);
    world.later(440).poll(1, Role.PRIMARY, world.now);
    check(
        world.sent.isEmpty() && world.rejected.equals(List.of(id)), "rejected, since nothing ran");
  }

  /** Found on ho-karachi: with slow answers remembered, nothing was admitted to correct it. */
  @Example
  void slowAnswersRememberedDoNotShutTheDoorForGood() {
    StandIn world = StandIn.plain().steady(20);
    for (int i = 0; i < 120; i++) {
      world.later(10);
      for (int node = 0; node < 3; node++) {
        world.poll(node, node == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
      }
      world.take(ANY);
      world.endThose(s -> world.isOlder(s, 285), AttemptOutcome.COMPLETED, Role.REPLICA);
    }
    world.endThose(s -> true, AttemptOutcome.COMPLETED, Role.REPLICA);
    for (int i = 0; i < 40; i++) {
      world.later(50).poll(i % 3, i % 3 == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    int before = world.sent.size();
    world.take(ANY);
    world.poll(0, Role.PRIMARY, world.now);
    check(world.sent.size() > before, "admitted");
  }

  /**
   * Found on kochi-hire: with frozen reports one replica, called the most advanced, got all reads.
   */
  @Example
  void reportsTooOldToTellDoNotSendEveryReadToOneReplica() {
    StandIn world = new StandIn(true, false, true, false, true).list(3);
    world.poll(0, Role.PRIMARY, world.now.minus(ms(900)));
    world.poll(1, Role.REPLICA, world.now.minus(ms(900)));
    world.poll(2, Role.REPLICA, world.now.minus(ms(950)));
    for (int i = 0; i < 8; i++) {
      world.take(BOUNDED);
    }
    long first = world.sent.stream().filter(s -> s.node() == 1).count();
    check(
        first >= 2 && first <= 6 && world.sent.size() == 8,
        "spread, not all on the seemingly newest");
  }
}
