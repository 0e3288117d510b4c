package basaltlever;

import static basaltlever.StandIn.ANY;
import static basaltlever.StandIn.FRESH;
import static basaltlever.StandIn.LATE;
import static basaltlever.StandIn.WRITE;
import static basaltlever.StandIn.check;
import static basaltlever.StandIn.ms;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Role;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.switchover.PlannedSwitchover.Phase;
import basaltlever.switchover.SwitchoverAnnouncement;
import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Planned changes: the phases by themselves, what they do to holds, and seeded runs in which all
 * goes wrong.
 */
class PlannedSwitchoverTest {
  private static StandIn announced(double inMillis) {
    StandIn world = StandIn.plain().steady(20);
    check(
        world.balancer.switchoverAnnounced(world.now, 2, 1, 1, world.now.plus(ms(inMillis)), false),
        "it stands");
    return world;
  }

  private static Phase last(StandIn world) {
    return world.phases.get(world.phases.size() - 1);
  }

  /** Lets time go by with all members answering as they are. */
  private static void polls(StandIn world, double millis, int primary) {
    for (Moment end = world.now.plus(ms(millis)); world.now.isBefore(end); ) {
      world.later(50);
      for (int node = 0; node < 3; node++) {
        world.poll(node, node == primary ? Role.PRIMARY : Role.REPLICA, world.now);
      }
    }
  }

  @Example
  void aPlannedChangeHoldsAtItsTimeAndReleasesToItsTargetOnceThatClaims() {
    StandIn world = announced(5_000);
    polls(world, 2_500, 0);
    check(world.phases.equals(List.of(Phase.CREATED)), "not yet: " + world.phases);
    polls(world, 1_000, 0);
    check(
        last(world) == Phase.PREPARATION && world.prepared >= 0,
        "prepared before: " + world.phases);
    int early = world.take(WRITE);
    check(
        world.last().statement() == early && world.last().node() == 0,
        "the old primary serves until then");
    world.end(world.last(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    polls(world, 1_600, 0);
    check(last(world) == Phase.IN_PROGRESS, "" + world.phases);
    int sent = world.sent.size();
    int first = world.take(WRITE);
    int second = world.take(FRESH);
    world.poll(0, Role.PRIMARY, world.now);
    check(world.sent.size() == sent, "held, whatever the old primary still says");
    int read = world.take(ANY);
    check(world.last().statement() == read, "other reads go on");
    world.later(100).poll(0, Role.REPLICA, world.now);
    world.poll(1, Role.PRIMARY, world.now);
    List<Integer> released =
        world.sent.subList(world.sent.size() - 2, world.sent.size()).stream()
            .map(StandIn.Sent::statement)
            .toList();
    check(
        released.equals(List.of(first, second)) && world.last().node() == 1,
        "released in order: " + released);
    polls(world, 100, 1);
    check(last(world) == Phase.POST, "" + world.phases);
    polls(world, 5_500, 1);
    check(last(world) == Phase.COMPLETED, "" + world.phases);
  }

  @Example
  void aChangeThatNeverComesOrIsTakenBackReleasesToTheOldPrimary() {
    for (boolean takenBack : new boolean[] {true, false}) {
      StandIn world = announced(1_000);
      polls(world, 1_200, 0);
      check(last(world) == Phase.IN_PROGRESS, "" + world.phases);
      int held = world.take(WRITE, 9, Moment.LONG_AGO, 9_000);
      int before = world.sent.size();
      if (takenBack) {
        check(
            world.balancer.switchoverAnnounced(world.now, 1, 1, 1, world.now, true), "taken back");
      }
      polls(world, takenBack ? 100 : 3_200, 0);
      check(last(world) == Phase.CALLED_OFF, "" + world.phases);
      check(
          world.sent.subList(before, world.sent.size()).stream()
              .anyMatch(sent -> sent.statement() == held && sent.node() == 0),
          "released to who still is one");
    }
  }

  /**
   * The old primary's claim called the later change off: nobody remembered whom it was to replace.
   */
  @Example
  void aChangeThatTakesThePlaceOfOneInProgressGoesOnHolding() {
    StandIn world = announced(1_000);
    polls(world, 1_200, 0);
    check(last(world) == Phase.IN_PROGRESS, "" + world.phases);
    check(world.balancer.switchoverAnnounced(world.now, 1, 2, 2, world.now, false), "a later one");
    int held = world.take(WRITE);
    int sent = world.sent.size();
    polls(world, 300, 0);
    check(last(world) == Phase.IN_PROGRESS && world.sent.size() == sent, "held: " + world.phases);
    world.poll(0, Role.REPLICA, world.now);
    world.later(20).poll(2, Role.PRIMARY, world.now);
    check(
        world.last().statement() == held && world.last().node() == 2,
        "released to the later target");
  }

  @Example
  void aTargetThatDiesOrDrainsOrAnotherThatTakesOverEndsIt() {
    StandIn world = announced(1_000);
    world.relist(1, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    check(last(world) == Phase.CALLED_OFF, "the target drains");
    world = announced(1_000);
    polls(world, 1_200, 0);
    world.take(WRITE);
    world.later(700).poll(0, Role.REPLICA, world.now);
    int held = world.take(WRITE);
    world.balancer.pollEnded(
        world.now, 1, AttemptOutcome.NO_CONNECTION, Role.UNKNOWN, Moment.LONG_AGO, 0, Double.NaN);
    check(last(world) == Phase.CALLED_OFF, "the target died");
    world.later(20).poll(2, Role.PRIMARY, world.now);
    check(
        world.last().statement() == held && world.last().node() == 2,
        "whoever proves it gets the held");
  }

  @Example
  void whatIsNoAnnouncementChangesNothing() {
    StandIn world = announced(5_000);
    Moment at = world.now.plus(ms(4_000));
    check(
        !world.balancer.switchoverAnnounced(world.now, 1, 1, 2, at, false),
        "the same number again");
    check(
        !world.balancer.switchoverAnnounced(world.now, 1, 9, 2, world.now.minus(ms(9_000)), false),
        "long past");
    check(
        !world.balancer.switchoverAnnounced(world.now, 1, 9, 2, world.now.plus(ms(1e9)), false),
        "far ahead");
    world.balancer.listStarted();
    world.balancer.endpointListed(world.now, 7, EndpointLifecycle.READY, 2, 0, 1, Moment.LONG_AGO);
    world.balancer.listFinished(world.now, false, true);
    check(
        !world.balancer.switchoverAnnounced(world.now, 1, 9, 7, at, false),
        "a member of another group");
    check(
        world.balancer.switchoverAnnounced(world.now, 1, 9, 2, at, false),
        "a later one takes its place");
    check(
        !world.balancer.switchoverAnnounced(world.now, 1, 1, 1, at, true),
        "an old one can't be taken back any more");
    for (String text :
        List.of(
            "",
            "number=1",
            "number=x,target=a,at=1,state=off",
            "number=1,target=a b,at=1," + "state=off",
            "number=1,target=a,at=1,state=gone",
            "number=99999999999999999999,target=a,at=1,state=off")) {
      check(SwitchoverAnnouncement.parse(text) == null, "no note: " + text);
    }
    SwitchoverAnnouncement announcement =
        new SwitchoverAnnouncement(7, "db-2", 1_767_225_600_123L, true);
    check(announcement.equals(SwitchoverAnnouncement.parse(announcement.toText())), "as written");
  }

  /**
   * Found with stand-ins: an old primary that hung woke up and went on claiming, and got what its
   * successor should.
   */
  @Example
  void aReplacedPrimaryThatComesBackIsNotBelievedWhileItsSuccessorStands() {
    StandIn world = StandIn.plain().steady(20);
    world.take(WRITE);
    world.later(20).end(world.last(), AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
    world.later(300).poll(1, Role.PRIMARY, world.now);
    world.end(world.last(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    world.later(900).poll(0, Role.PRIMARY, world.now);
    world.take(WRITE);
    check(world.last().node() == 1, "its successor stands");
    world.end(world.last(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    world.later(50).poll(0, Role.REPLICA, world.now);
    world.later(900).poll(0, Role.PRIMARY, world.now);
    world.take(WRITE);
    check(world.last().node() == 0, "it was a replica since, and claims later");
  }

  /**
   * One that turns writes away and calls itself primary in the same answer got each of them again
   * at once.
   */
  @Example
  void aMissedWriteIsBelievedOverTheRoleInTheSameAnswer() {
    StandIn world = StandIn.plain().steady(20);
    world.take(WRITE);
    world.later(5).end(world.last(), AttemptOutcome.MISS, Role.PRIMARY);
    check(world.sent.size() == 1, "held until somebody proves to be primary");
  }

  @Example
  void aStatementOutlivesThreeChangesWithinItsTime() {
    StandIn world = StandIn.plain().steady(20);
    int write = world.take(LATE, 9, Moment.LONG_AGO, 1_900);
    for (int primary : new int[] {1, 2, 0}) {
      world.later(20).end(world.last(), AttemptOutcome.MISS, Role.REPLICA);
      world.later(400).poll(primary, Role.PRIMARY, world.now);
      check(
          world.last().statement() == write && world.last().node() == primary,
          "released to " + primary);
    }
    world.later(20).end(world.last(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    check(
        world.fates.get(write).answered && world.rejected.isEmpty() && world.aborted.isEmpty(),
        "completed once");
  }

  @Example
  void aClientThatLeavesWhileHeldLeavesNothingBehind() {
    StandIn world = StandIn.plain().list(3);
    int left = world.take(WRITE);
    int stays = world.take(WRITE);
    world.fates.get(left).answered = true;
    world.balancer.clientDisconnected(world.now, left);
    check(world.holds.held() == 1, "its place is free at once");
    world.poll(0, Role.PRIMARY, world.now);
    check(world.sent.size() == 1 && world.last().statement() == stays, "nothing is sent for it");
  }

  /** Every group at once, each with its own record. */
  @Example
  void allGroupsMayChangeAtOnce() {
    StandIn world = StandIn.plain();
    world.balancer.listStarted();
    for (int node = 0; node < 30; node++) {
      world.balancer.endpointListed(
          world.now, node, EndpointLifecycle.READY, node / 3, 0, 1, Moment.LONG_AGO);
    }
    world.balancer.listFinished(world.now, true, true);
    for (int node = 0; node < 30; node++) {
      world.poll(node, node % 3 == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    for (int group = 0; group < 10; group++) {
      world.balancer.switchoverAnnounced(
          world.now, 3 * group, 1, 3 * group + 1, world.now.plus(ms(50)), false);
    }
    world.later(100);
    check(
        world.phases.stream().filter(Phase.IN_PROGRESS::equals).count() == 10,
        "all are held: " + world.phases);
    for (int group = 0; group < 10; group++) {
      world.poll(3 * group, Role.REPLICA, world.now);
      world.poll(3 * group + 1, Role.PRIMARY, world.now);
    }
    for (int node = 0; node < 30; node++) {
      world.poll(node, node % 3 == 1 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    check(world.phases.stream().filter(Phase.POST::equals).count() == 10, "" + world.phases);
  }

  @Property(tries = 120, seed = "99", shrinking = ShrinkingMode.OFF)
  void theRulesHoldThroughPlannedChangesToo(
      @ForAll boolean check, @ForAll boolean tokens, @ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    StandIn world = new StandIn(check, true, tokens, true, true, 2, seed);
    world.holds.limit(chance.nextInt(1, 12), 2_000);
    int nodes = 3 + chance.nextInt(3);
    world.playWith(chance.split(), nodes);
    List<int[]> notes = new ArrayList<>();
    for (int step = 0; step < 700; step++) {
      world.run(chance.nextInt(1, 20));
      for (int n = chance.nextInt(3); n > 0; n--) {
        world.take(
            chance.nextInt(6), chance.nextInt(5), Moment.LONG_AGO, 100 + chance.nextInt(1_500));
      }
      if (chance.nextInt(25) == 0) {
        RulesTest.upset(world, chance);
      }
      if (chance.nextInt(30) == 0) {
        notes.add(new int[] {notes.size() + 1, chance.nextInt(nodes)});
        world.balancer.switchoverAnnounced(
            world.now,
            chance.nextInt(nodes),
            notes.size(),
            notes.get(notes.size() - 1)[1],
            world.now.plus(ms(chance.nextInt(1_500) - 200)),
            false);
      }
      if (!notes.isEmpty() && chance.nextInt(30) == 0) {
        int[] old = notes.get(chance.nextInt(notes.size()));
        world.balancer.switchoverAnnounced(
            world.now, 0, old[0], old[1], world.now, chance.nextBoolean());
      }
    }
    world.run(4_000);
    check(world.holds.held() <= 12, "held beyond its budget");
  }

  /**
   * However it is told and stepped: a phase never goes back, and the hold of one announcement is
   * bounded.
   */
  @Property(tries = 300, seed = "7", shrinking = ShrinkingMode.OFF)
  void phasesOnlyGoForwardAndAHoldEnds(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<Phase> entered = new ArrayList<>();
    PlannedSwitchover switchover = new PlannedSwitchover((phase, target) -> entered.add(phase));
    Moment now = new Moment(1_000_000_000L);
    Moment held = Moment.NEVER;
    long number = 0;
    for (int step = 0; step < 300; step++) {
      int from = entered.size();
      now = now.plus(ms(chance.nextInt(200)));
      if (chance.nextInt(40) == 0) {
        switchover.onAnnouncement(
            now, ++number, chance.nextInt(3), now.plus(ms(chance.nextInt(3_000) - 500)), false);
        held = Moment.NEVER;
      } else if (chance.nextInt(60) == 0) {
        switchover.onAnnouncement(now, number, 0, now, true);
      }
      switchover.advance(
          now,
          chance.nextInt(20) == 0 ? chance.nextInt(3) : PlannedSwitchover.UNKNOWN_ENDPOINT,
          chance.nextInt(80) != 0);
      for (int i = Math.max(1, from); i < entered.size(); i++) {
        check(
            entered.get(i) == Phase.CREATED
                || entered.get(i).ordinal() > entered.get(i - 1).ordinal(),
            "it went back: " + entered);
      }
      held = switchover.isHoldingStatements() ? held.earlier(now) : Moment.NEVER;
      check(!now.since(held).isLongerThan(ms(3_000 + 400)), "held for longer than a bound");
      check(
          switchover.nextStepAt().isAfter(now)
              || switchover.nextStepAt().equals(now)
              || !switchover.isHoldingStatements(),
          "it would not be woken");
    }
  }
}
