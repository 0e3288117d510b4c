package basaltlever;

import static basaltlever.LoadBalancerHarness.ANY;
import static basaltlever.LoadBalancerHarness.FRESH;
import static basaltlever.LoadBalancerHarness.LATE_TOLERANT;
import static basaltlever.LoadBalancerHarness.WRITE;
import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

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
  private static LoadBalancerHarness announced(double inMillis) {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    check(
        world.balancer.onSwitchoverAnnounced(
            world.now, 2, 1, 1, world.now.plus(ms(inMillis)), false),
        "it stands");
    return world;
  }

  private static Phase last(LoadBalancerHarness world) {
    return world.phases.get(world.phases.size() - 1);
  }

  /** Lets time go by with all members answering as they are. */
  private static void polls(LoadBalancerHarness world, double millis, int primary) {
    for (Moment end = world.now.plus(ms(millis)); world.now.isBefore(end); ) {
      world.advance(50);
      for (int node = 0; node < 3; node++) {
        world.completePoll(node, node == primary ? Role.PRIMARY : Role.REPLICA, world.now);
      }
    }
  }

  @Example
  void aPlannedChangeHoldsAtItsTimeAndReleasesToItsTargetOnceThatClaims() {
    LoadBalancerHarness world = announced(5_000);
    polls(world, 2_500, 0);
    check(world.phases.equals(List.of(Phase.CREATED)), "not yet: " + world.phases);
    polls(world, 1_000, 0);
    check(
        last(world) == Phase.PREPARATION && world.preparedConnections >= 0,
        "prepared before: " + world.phases);
    int early = world.receiveStatement(WRITE);
    check(
        world.lastAttempt().statement() == early && world.lastAttempt().endpoint() == 0,
        "the old primary serves until then");
    world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    polls(world, 1_600, 0);
    check(last(world) == Phase.IN_PROGRESS, "" + world.phases);
    int sent = world.attempts.size();
    int first = world.receiveStatement(WRITE);
    int second = world.receiveStatement(FRESH);
    world.completePoll(0, Role.PRIMARY, world.now);
    check(world.attempts.size() == sent, "held, whatever the old primary still says");
    int read = world.receiveStatement(ANY);
    check(world.lastAttempt().statement() == read, "other reads go on");
    world.advance(100).completePoll(0, Role.REPLICA, world.now);
    world.completePoll(1, Role.PRIMARY, world.now);
    List<Integer> released =
        world.attempts.subList(world.attempts.size() - 2, world.attempts.size()).stream()
            .map(LoadBalancerHarness.SentAttempt::statement)
            .toList();
    check(
        released.equals(List.of(first, second)) && world.lastAttempt().endpoint() == 1,
        "released in order: " + released);
    polls(world, 100, 1);
    check(last(world) == Phase.POST, "" + world.phases);
    polls(world, 5_500, 1);
    check(last(world) == Phase.COMPLETED, "" + world.phases);
  }

  @Example
  void aChangeThatNeverComesOrIsTakenBackReleasesToTheOldPrimary() {
    for (boolean takenBack : new boolean[] {true, false}) {
      LoadBalancerHarness world = announced(1_000);
      polls(world, 1_200, 0);
      check(last(world) == Phase.IN_PROGRESS, "" + world.phases);
      int held = world.receiveStatement(WRITE, 9, Moment.LONG_AGO, 9_000);
      int before = world.attempts.size();
      if (takenBack) {
        check(
            world.balancer.onSwitchoverAnnounced(world.now, 1, 1, 1, world.now, true),
            "taken back");
      }
      polls(world, takenBack ? 100 : 3_200, 0);
      check(last(world) == Phase.CALLED_OFF, "" + world.phases);
      check(
          world.attempts.subList(before, world.attempts.size()).stream()
              .anyMatch(sent -> sent.statement() == held && sent.endpoint() == 0),
          "released to who still is one");
    }
  }

  /**
   * The old primary's claim called the later change off: nobody remembered whom it was to replace.
   */
  @Example
  void aChangeThatTakesThePlaceOfOneInProgressGoesOnHolding() {
    LoadBalancerHarness world = announced(1_000);
    polls(world, 1_200, 0);
    check(last(world) == Phase.IN_PROGRESS, "" + world.phases);
    check(
        world.balancer.onSwitchoverAnnounced(world.now, 1, 2, 2, world.now, false), "a later one");
    int held = world.receiveStatement(WRITE);
    int sent = world.attempts.size();
    polls(world, 300, 0);
    check(
        last(world) == Phase.IN_PROGRESS && world.attempts.size() == sent, "held: " + world.phases);
    world.completePoll(0, Role.REPLICA, world.now);
    world.advance(20).completePoll(2, Role.PRIMARY, world.now);
    check(
        world.lastAttempt().statement() == held && world.lastAttempt().endpoint() == 2,
        "released to the later target");
  }

  @Example
  void aTargetThatDiesOrDrainsOrAnotherThatTakesOverEndsIt() {
    LoadBalancerHarness world = announced(1_000);
    world.listEndpoint(1, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    check(last(world) == Phase.CALLED_OFF, "the target drains");
    world = announced(1_000);
    polls(world, 1_200, 0);
    world.receiveStatement(WRITE);
    world.advance(700).completePoll(0, Role.REPLICA, world.now);
    int held = world.receiveStatement(WRITE);
    world.balancer.onPollEnded(
        world.now, 1, AttemptOutcome.NO_CONNECTION, Role.UNKNOWN, Moment.LONG_AGO, 0, Double.NaN);
    check(last(world) == Phase.CALLED_OFF, "the target died");
    world.advance(20).completePoll(2, Role.PRIMARY, world.now);
    check(
        world.lastAttempt().statement() == held && world.lastAttempt().endpoint() == 2,
        "whoever proves it gets the held");
  }

  @Example
  void whatIsNoAnnouncementChangesNothing() {
    LoadBalancerHarness world = announced(5_000);
    Moment at = world.now.plus(ms(4_000));
    check(
        !world.balancer.onSwitchoverAnnounced(world.now, 1, 1, 2, at, false),
        "the same number again");
    check(
        !world.balancer.onSwitchoverAnnounced(
            world.now, 1, 9, 2, world.now.minus(ms(9_000)), false),
        "long past");
    check(
        !world.balancer.onSwitchoverAnnounced(world.now, 1, 9, 2, world.now.plus(ms(1e9)), false),
        "far ahead");
    world.balancer.onListStarted();
    world.balancer.onEndpointListed(
        world.now, 7, EndpointLifecycle.READY, 2, 0, 1, Moment.LONG_AGO);
    world.balancer.onListFinished(world.now, false, true);
    check(
        !world.balancer.onSwitchoverAnnounced(world.now, 1, 9, 7, at, false),
        "a member of another group");
    check(
        world.balancer.onSwitchoverAnnounced(world.now, 1, 9, 2, at, false),
        "a later one takes its place");
    check(
        !world.balancer.onSwitchoverAnnounced(world.now, 1, 1, 1, at, true),
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
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(WRITE);
    world.advance(20).endAttempt(world.lastAttempt(), AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
    world.advance(300).completePoll(1, Role.PRIMARY, world.now);
    world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    world.advance(900).completePoll(0, Role.PRIMARY, world.now);
    world.receiveStatement(WRITE);
    check(world.lastAttempt().endpoint() == 1, "its successor stands");
    world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    world.advance(50).completePoll(0, Role.REPLICA, world.now);
    world.advance(900).completePoll(0, Role.PRIMARY, world.now);
    world.receiveStatement(WRITE);
    check(world.lastAttempt().endpoint() == 0, "it was a replica since, and claims later");
  }

  /**
   * One that turns writes away and calls itself primary in the same answer got each of them again
   * at once.
   */
  @Example
  void aMissedWriteIsBelievedOverTheRoleInTheSameAnswer() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(WRITE);
    world.advance(5).endAttempt(world.lastAttempt(), AttemptOutcome.MISS, Role.PRIMARY);
    check(world.attempts.size() == 1, "held until somebody proves to be primary");
  }

  @Example
  void aStatementOutlivesThreeChangesWithinItsTime() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int write = world.receiveStatement(LATE_TOLERANT, 9, Moment.LONG_AGO, 1_900);
    for (int primary : new int[] {1, 2, 0}) {
      world.advance(20).endAttempt(world.lastAttempt(), AttemptOutcome.MISS, Role.REPLICA);
      world.advance(400).completePoll(primary, Role.PRIMARY, world.now);
      check(
          world.lastAttempt().statement() == write && world.lastAttempt().endpoint() == primary,
          "released to " + primary);
    }
    world
        .advance(20)
        .endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    check(
        world.statements.get(write).answered
            && world.rejectedStatements.isEmpty()
            && world.abortedStatements.isEmpty(),
        "completed once");
  }

  @Example
  void aClientThatLeavesWhileHeldLeavesNothingBehind() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().listEndpoints(3);
    int left = world.receiveStatement(WRITE);
    int stays = world.receiveStatement(WRITE);
    world.statements.get(left).answered = true;
    world.balancer.onClientDisconnected(world.now, left);
    check(world.holdBudget.heldStatements() == 1, "its place is free at once");
    world.completePoll(0, Role.PRIMARY, world.now);
    check(
        world.attempts.size() == 1 && world.lastAttempt().statement() == stays,
        "nothing is sent for it");
  }

  /** Every group at once, each with its own record. */
  @Example
  void allGroupsMayChangeAtOnce() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults();
    world.balancer.onListStarted();
    for (int node = 0; node < 30; node++) {
      world.balancer.onEndpointListed(
          world.now, node, EndpointLifecycle.READY, node / 3, 0, 1, Moment.LONG_AGO);
    }
    world.balancer.onListFinished(world.now, true, true);
    for (int node = 0; node < 30; node++) {
      world.completePoll(node, node % 3 == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    for (int group = 0; group < 10; group++) {
      world.balancer.onSwitchoverAnnounced(
          world.now, 3 * group, 1, 3 * group + 1, world.now.plus(ms(50)), false);
    }
    world.advance(100);
    check(
        world.phases.stream().filter(Phase.IN_PROGRESS::equals).count() == 10,
        "all are held: " + world.phases);
    for (int group = 0; group < 10; group++) {
      world.completePoll(3 * group, Role.REPLICA, world.now);
      world.completePoll(3 * group + 1, Role.PRIMARY, world.now);
    }
    for (int node = 0; node < 30; node++) {
      world.completePoll(node, node % 3 == 1 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    check(world.phases.stream().filter(Phase.POST::equals).count() == 10, "" + world.phases);
  }

  @Property(tries = 120, seed = "99", shrinking = ShrinkingMode.OFF)
  void theRulesHoldThroughPlannedChangesToo(
      @ForAll boolean check, @ForAll boolean tokens, @ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    LoadBalancerHarness world = new LoadBalancerHarness(check, true, tokens, true, true, 2, seed);
    world.holdBudget.setLimits(chance.nextInt(1, 12), 2_000);
    int nodes = 3 + chance.nextInt(3);
    world.simulateEndpoints(chance.split(), nodes);
    List<int[]> notes = new ArrayList<>();
    for (int step = 0; step < 700; step++) {
      world.runFor(chance.nextInt(1, 20));
      for (int n = chance.nextInt(3); n > 0; n--) {
        world.receiveStatement(
            chance.nextInt(6), chance.nextInt(5), Moment.LONG_AGO, 100 + chance.nextInt(1_500));
      }
      if (chance.nextInt(25) == 0) {
        RulesTest.upset(world, chance);
      }
      if (chance.nextInt(30) == 0) {
        notes.add(new int[] {notes.size() + 1, chance.nextInt(nodes)});
        world.balancer.onSwitchoverAnnounced(
            world.now,
            chance.nextInt(nodes),
            notes.size(),
            notes.get(notes.size() - 1)[1],
            world.now.plus(ms(chance.nextInt(1_500) - 200)),
            false);
      }
      if (!notes.isEmpty() && chance.nextInt(30) == 0) {
        int[] old = notes.get(chance.nextInt(notes.size()));
        world.balancer.onSwitchoverAnnounced(
            world.now, 0, old[0], old[1], world.now, chance.nextBoolean());
      }
    }
    world.runFor(4_000);
    check(world.holdBudget.heldStatements() <= 12, "held beyond its budget");
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
