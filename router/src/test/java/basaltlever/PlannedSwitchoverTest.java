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
  private static StandIn worldWithAnnouncement(double delayMillis) {
    StandIn world = StandIn.plain().steady(20);
    check(
        world.balancer.onSwitchoverAnnounced(
            world.now, 2, 1, 1, world.now.plus(ms(delayMillis)), false),
        "it stands");
    return world;
  }

  private static Phase lastPhase(StandIn world) {
    return world.phases.get(world.phases.size() - 1);
  }

  /** Lets time go by with all members answering as they are. */
  private static void pollFor(StandIn world, double millis, int primary) {
    for (Moment end = world.now.plus(ms(millis)); world.now.isBefore(end); ) {
      world.later(50);
      for (int endpoint = 0; endpoint < 3; endpoint++) {
        world.poll(endpoint, endpoint == primary ? Role.PRIMARY : Role.REPLICA, world.now);
      }
    }
  }

  @Example
  void statementsAreHeldAtTheAnnouncedTimeAndReleasedWhenTheTargetReportsPrimary() {
    StandIn world = worldWithAnnouncement(5_000);
    pollFor(world, 2_500, 0);
    check(world.phases.equals(List.of(Phase.CREATED)), "not yet: " + world.phases);
    pollFor(world, 1_000, 0);
    check(
        lastPhase(world) == Phase.PREPARATION && world.prepared >= 0,
        "prepared before: " + world.phases);
    int earlyWrite = world.take(WRITE);
    check(
        world.last().statement() == earlyWrite && world.last().node() == 0,
        "the old primary serves until then");
    world.end(world.last(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    pollFor(world, 1_600, 0);
    check(lastPhase(world) == Phase.IN_PROGRESS, "" + world.phases);
    int sentBefore = world.sent.size();
    int heldWrite = world.take(WRITE);
    int heldRead = world.take(FRESH);
    world.poll(0, Role.PRIMARY, world.now);
    check(world.sent.size() == sentBefore, "held, whatever the old primary still says");
    int read = world.take(ANY);
    check(world.last().statement() == read, "other reads go on");
    world.later(100).poll(0, Role.REPLICA, world.now);
    world.poll(1, Role.PRIMARY, world.now);
    List<Integer> released =
        world.sent.subList(world.sent.size() - 2, world.sent.size()).stream()
            .map(StandIn.Sent::statement)
            .toList();
    check(
        released.equals(List.of(heldWrite, heldRead)) && world.last().node() == 1,
        "released in order: " + released);
    pollFor(world, 100, 1);
    check(lastPhase(world) == Phase.POST, "" + world.phases);
    pollFor(world, 5_500, 1);
    check(lastPhase(world) == Phase.COMPLETED, "" + world.phases);
  }

  @Example
  void overdueOrWithdrawnSwitchoverReleasesHeldStatementsToTheOldPrimary() {
    for (boolean withdrawn : new boolean[] {true, false}) {
      StandIn world = worldWithAnnouncement(1_000);
      pollFor(world, 1_200, 0);
      check(lastPhase(world) == Phase.IN_PROGRESS, "" + world.phases);
      int held = world.take(WRITE, 9, Moment.LONG_AGO, 9_000);
      int sentBefore = world.sent.size();
      if (withdrawn) {
        check(
            world.balancer.onSwitchoverAnnounced(world.now, 1, 1, 1, world.now, true),
            "taken back");
      }
      pollFor(world, withdrawn ? 100 : 3_200, 0);
      check(lastPhase(world) == Phase.CALLED_OFF, "" + world.phases);
      check(
          world.sent.subList(sentBefore, world.sent.size()).stream()
              .anyMatch(sent -> sent.statement() == held && sent.node() == 0),
          "released to who still is one");
    }
  }

  /**
   * The old primary's claim called the later change off: nobody remembered whom it was to replace.
   */
  @Example
  void announcementReplacingOneInProgressContinuesTheHold() {
    StandIn world = worldWithAnnouncement(1_000);
    pollFor(world, 1_200, 0);
    check(lastPhase(world) == Phase.IN_PROGRESS, "" + world.phases);
    check(
        world.balancer.onSwitchoverAnnounced(world.now, 1, 2, 2, world.now, false), "a later one");
    int held = world.take(WRITE);
    int sentBefore = world.sent.size();
    pollFor(world, 300, 0);
    check(
        lastPhase(world) == Phase.IN_PROGRESS && world.sent.size() == sentBefore,
        "held: " + world.phases);
    world.poll(0, Role.REPLICA, world.now);
    world.later(20).poll(2, Role.PRIMARY, world.now);
    check(
        world.last().statement() == held && world.last().node() == 2,
        "released to the later target");
  }

  @Example
  void switchoverIsCalledOffWhenItsTargetFailsOrDrainsAndHeldStatementsGoToTheNewPrimary() {
    StandIn world = worldWithAnnouncement(1_000);
    world.relist(1, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    check(lastPhase(world) == Phase.CALLED_OFF, "the target drains");
    world = worldWithAnnouncement(1_000);
    pollFor(world, 1_200, 0);
    world.take(WRITE);
    world.later(700).poll(0, Role.REPLICA, world.now);
    int held = world.take(WRITE);
    world.balancer.onPollEnded(
        world.now, 1, AttemptOutcome.NO_CONNECTION, Role.UNKNOWN, Moment.LONG_AGO, 0, Double.NaN);
    check(lastPhase(world) == Phase.CALLED_OFF, "the target died");
    world.later(20).poll(2, Role.PRIMARY, world.now);
    check(
        world.last().statement() == held && world.last().node() == 2,
        "whoever proves it gets the held");
  }

  @Example
  void invalidAnnouncementsAreIgnored() {
    StandIn world = worldWithAnnouncement(5_000);
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
  void primaryClaimOfAReplacedPrimaryIsIgnoredUntilItHasReportedReplica() {
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
  void rejectedWriteOverridesThePrimaryRoleInTheSameResponse() {
    StandIn world = StandIn.plain().steady(20);
    world.take(WRITE);
    world.later(5).end(world.last(), AttemptOutcome.MISS, Role.PRIMARY);
    check(world.sent.size() == 1, "held until somebody proves to be primary");
  }

  @Example
  void statementSurvivesThreePrimaryChangesWithinItsDeadline() {
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
  void disconnectedClientFreesItsHeldStatement() {
    StandIn world = StandIn.plain().list(3);
    int disconnected = world.take(WRITE);
    int connected = world.take(WRITE);
    world.fates.get(disconnected).answered = true;
    world.balancer.onClientDisconnected(world.now, disconnected);
    check(world.holds.heldStatements() == 1, "its place is free at once");
    world.poll(0, Role.PRIMARY, world.now);
    check(
        world.sent.size() == 1 && world.last().statement() == connected, "nothing is sent for it");
  }

  /** Every group at once, each with its own record. */
  @Example
  void allGroupsCanSwitchOverConcurrently() {
    StandIn world = StandIn.plain();
    world.balancer.onListStarted();
    for (int endpoint = 0; endpoint < 30; endpoint++) {
      world.balancer.onEndpointListed(
          world.now, endpoint, EndpointLifecycle.READY, endpoint / 3, 0, 1, Moment.LONG_AGO);
    }
    world.balancer.onListFinished(world.now, true, true);
    for (int endpoint = 0; endpoint < 30; endpoint++) {
      world.poll(endpoint, endpoint % 3 == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    for (int group = 0; group < 10; group++) {
      world.balancer.onSwitchoverAnnounced(
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
    for (int endpoint = 0; endpoint < 30; endpoint++) {
      world.poll(endpoint, endpoint % 3 == 1 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    check(world.phases.stream().filter(Phase.POST::equals).count() == 10, "" + world.phases);
  }

  @Property(tries = 120, seed = "99", shrinking = ShrinkingMode.OFF)
  void rulesHoldDuringRandomSwitchovers(
      @ForAll boolean check, @ForAll boolean tokens, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    StandIn world = new StandIn(check, true, tokens, true, true, 2, seed);
    world.holds.setLimits(random.nextInt(1, 12), 2_000);
    int endpoints = 3 + random.nextInt(3);
    world.playWith(random.split(), endpoints);
    List<int[]> announcements = new ArrayList<>();
    for (int step = 0; step < 700; step++) {
      world.run(random.nextInt(1, 20));
      for (int n = random.nextInt(3); n > 0; n--) {
        world.take(
            random.nextInt(6), random.nextInt(5), Moment.LONG_AGO, 100 + random.nextInt(1_500));
      }
      if (random.nextInt(25) == 0) {
        RulesTest.injectRandomFault(world, random);
      }
      if (random.nextInt(30) == 0) {
        announcements.add(new int[] {announcements.size() + 1, random.nextInt(endpoints)});
        world.balancer.onSwitchoverAnnounced(
            world.now,
            random.nextInt(endpoints),
            announcements.size(),
            announcements.get(announcements.size() - 1)[1],
            world.now.plus(ms(random.nextInt(1_500) - 200)),
            false);
      }
      if (!announcements.isEmpty() && random.nextInt(30) == 0) {
        int[] earlier = announcements.get(random.nextInt(announcements.size()));
        world.balancer.onSwitchoverAnnounced(
            world.now, 0, earlier[0], earlier[1], world.now, random.nextBoolean());
      }
    }
    world.run(4_000);
    check(world.holds.heldStatements() <= 12, "held beyond its budget");
  }

  /**
   * However it is told and stepped: a phase never goes back, and the hold of one announcement is
   * bounded.
   */
  @Property(tries = 300, seed = "7", shrinking = ShrinkingMode.OFF)
  void phasesNeverGoBackAndHoldDurationIsBounded(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Phase> entered = new ArrayList<>();
    PlannedSwitchover switchover = new PlannedSwitchover((phase, target) -> entered.add(phase));
    Moment now = new Moment(1_000_000_000L);
    Moment heldSince = Moment.NEVER;
    long number = 0;
    for (int step = 0; step < 300; step++) {
      int enteredBefore = entered.size();
      now = now.plus(ms(random.nextInt(200)));
      if (random.nextInt(40) == 0) {
        switchover.onAnnouncement(
            now, ++number, random.nextInt(3), now.plus(ms(random.nextInt(3_000) - 500)), false);
        heldSince = Moment.NEVER;
      } else if (random.nextInt(60) == 0) {
        switchover.onAnnouncement(now, number, 0, now, true);
      }
      switchover.advance(
          now,
          random.nextInt(20) == 0 ? random.nextInt(3) : PlannedSwitchover.UNKNOWN_ENDPOINT,
          random.nextInt(80) != 0);
      for (int i = Math.max(1, enteredBefore); i < entered.size(); i++) {
        check(
            entered.get(i) == Phase.CREATED
                || entered.get(i).ordinal() > entered.get(i - 1).ordinal(),
            "it went back: " + entered);
      }
      heldSince = switchover.isHoldingStatements() ? heldSince.earlier(now) : Moment.NEVER;
      check(!now.since(heldSince).isLongerThan(ms(3_000 + 400)), "held for longer than a bound");
      check(
          switchover.nextStepAt().isAfter(now)
              || switchover.nextStepAt().equals(now)
              || !switchover.isHoldingStatements(),
          "it would not be woken");
    }
  }
}
