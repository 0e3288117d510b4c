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
 * Tests planned switchovers: the phase sequence, holding and releasing of statements, and seeded
 * runs with random faults.
 */
class PlannedSwitchoverTest {
  private static StandIn worldWithAnnouncement(double delayMillis) {
    StandIn world = StandIn.plain().steady(20);
    check(
        world.balancer.onSwitchoverAnnounced(
            world.now, 2, 1, 1, world.now.plus(ms(delayMillis)), false),
        "the announcement is accepted");
    return world;
  }

  private static Phase lastPhase(StandIn world) {
    return world.phases.get(world.phases.size() - 1);
  }

  /** Advances the time while all endpoints answer polls with their current role. */
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
    check(
        world.phases.equals(List.of(Phase.CREATED)), "no preparation this early: " + world.phases);
    pollFor(world, 1_000, 0);
    check(
        lastPhase(world) == Phase.PREPARATION && world.prepared >= 0,
        "prepared before the announced time: " + world.phases);
    int earlyWrite = world.take(WRITE);
    check(
        world.last().statement() == earlyWrite && world.last().node() == 0,
        "the old primary serves until the announced time");
    world.end(world.last(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    pollFor(world, 1_600, 0);
    check(lastPhase(world) == Phase.IN_PROGRESS, "expected IN_PROGRESS: " + world.phases);
    int sentBefore = world.sent.size();
    int heldWrite = world.take(WRITE);
    int heldRead = world.take(FRESH);
    world.poll(0, Role.PRIMARY, world.now);
    check(world.sent.size() == sentBefore, "held although the old primary still reports its role");
    int read = world.take(ANY);
    check(world.last().statement() == read, "other reads are still sent");
    world.later(100).poll(0, Role.REPLICA, world.now);
    world.poll(1, Role.PRIMARY, world.now);
    List<Integer> released =
        world.sent.subList(world.sent.size() - 2, world.sent.size()).stream()
            .map(StandIn.Sent::statement)
            .toList();
    check(
        released.equals(List.of(heldWrite, heldRead)) && world.last().node() == 1,
        "released in order to the target: " + released);
    pollFor(world, 100, 1);
    check(lastPhase(world) == Phase.POST, "expected POST: " + world.phases);
    pollFor(world, 5_500, 1);
    check(lastPhase(world) == Phase.COMPLETED, "expected COMPLETED: " + world.phases);
  }

  @Example
  void overdueOrWithdrawnSwitchoverReleasesHeldStatementsToTheOldPrimary() {
    for (boolean withdrawn : new boolean[] {true, false}) {
      StandIn world = worldWithAnnouncement(1_000);
      pollFor(world, 1_200, 0);
      check(lastPhase(world) == Phase.IN_PROGRESS, "expected IN_PROGRESS: " + world.phases);
      int held = world.take(WRITE, 9, Moment.LONG_AGO, 9_000);
      int sentBefore = world.sent.size();
      if (withdrawn) {
        check(
            world.balancer.onSwitchoverAnnounced(world.now, 1, 1, 1, world.now, true),
            "the withdrawal is accepted");
      }
      pollFor(world, withdrawn ? 100 : 3_200, 0);
      check(lastPhase(world) == Phase.CALLED_OFF, "expected CALLED_OFF: " + world.phases);
      check(
          world.sent.subList(sentBefore, world.sent.size()).stream()
              .anyMatch(sent -> sent.statement() == held && sent.node() == 0),
          "released to the old primary, which is still primary");
    }
  }

  /**
   * Guards against a replacing announcement being called off by a poll of the old primary. This
   * happened because the replacement lost the record of which primary it replaces.
   */
  @Example
  void announcementReplacingOneInProgressContinuesTheHold() {
    StandIn world = worldWithAnnouncement(1_000);
    pollFor(world, 1_200, 0);
    check(lastPhase(world) == Phase.IN_PROGRESS, "expected IN_PROGRESS: " + world.phases);
    check(
        world.balancer.onSwitchoverAnnounced(world.now, 1, 2, 2, world.now, false),
        "the replacing announcement is accepted");
    int held = world.take(WRITE);
    int sentBefore = world.sent.size();
    pollFor(world, 300, 0);
    check(
        lastPhase(world) == Phase.IN_PROGRESS && world.sent.size() == sentBefore,
        "statements are still held: " + world.phases);
    world.poll(0, Role.REPLICA, world.now);
    world.later(20).poll(2, Role.PRIMARY, world.now);
    check(
        world.last().statement() == held && world.last().node() == 2,
        "released to the target of the replacing announcement");
  }

  @Example
  void switchoverIsCalledOffWhenItsTargetFailsOrDrainsAndHeldStatementsGoToTheNewPrimary() {
    StandIn world = worldWithAnnouncement(1_000);
    world.relist(1, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    check(lastPhase(world) == Phase.CALLED_OFF, "called off because the target drains");
    world = worldWithAnnouncement(1_000);
    pollFor(world, 1_200, 0);
    world.take(WRITE);
    world.later(700).poll(0, Role.REPLICA, world.now);
    int held = world.take(WRITE);
    world.balancer.onPollEnded(
        world.now, 1, AttemptOutcome.NO_CONNECTION, Role.UNKNOWN, Moment.LONG_AGO, 0, Double.NaN);
    check(lastPhase(world) == Phase.CALLED_OFF, "called off because the target failed");
    world.later(20).poll(2, Role.PRIMARY, world.now);
    check(
        world.last().statement() == held && world.last().node() == 2,
        "held statements go to the endpoint that proves to be primary");
  }

  @Example
  void invalidAnnouncementsAreIgnored() {
    StandIn world = worldWithAnnouncement(5_000);
    Moment at = world.now.plus(ms(4_000));
    check(
        !world.balancer.onSwitchoverAnnounced(world.now, 1, 1, 2, at, false),
        "a repeated number is ignored");
    check(
        !world.balancer.onSwitchoverAnnounced(
            world.now, 1, 9, 2, world.now.minus(ms(9_000)), false),
        "a time far in the past is ignored");
    check(
        !world.balancer.onSwitchoverAnnounced(world.now, 1, 9, 2, world.now.plus(ms(1e9)), false),
        "a time far in the future is ignored");
    world.balancer.onListStarted();
    world.balancer.onEndpointListed(
        world.now, 7, EndpointLifecycle.READY, 2, 0, 1, Moment.LONG_AGO);
    world.balancer.onListFinished(world.now, false, true);
    check(
        !world.balancer.onSwitchoverAnnounced(world.now, 1, 9, 7, at, false),
        "a target in another group is ignored");
    check(
        world.balancer.onSwitchoverAnnounced(world.now, 1, 9, 2, at, false),
        "a higher number replaces the announcement");
    check(
        !world.balancer.onSwitchoverAnnounced(world.now, 1, 1, 1, at, true),
        "a replaced announcement can't be withdrawn");
    for (String text :
        List.of(
            "",
            "number=1",
            "number=x,target=a,at=1,state=off",
            "number=1,target=a b,at=1," + "state=off",
            "number=1,target=a,at=1,state=gone",
            "number=99999999999999999999,target=a,at=1,state=off")) {
      check(SwitchoverAnnouncement.parse(text) == null, "expected rejection of: " + text);
    }
    SwitchoverAnnouncement announcement =
        new SwitchoverAnnouncement(7, "db-2", 1_767_225_600_123L, true);
    check(announcement.equals(SwitchoverAnnouncement.parse(announcement.toText())), "round trip");
  }

  /**
   * Guards against statements going to a replaced primary. After a hang, the old primary resumed,
   * still reported itself as primary, and received the statements meant for its successor.
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
    check(world.last().node() == 1, "the successor remains primary");
    world.end(world.last(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    world.later(50).poll(0, Role.REPLICA, world.now);
    world.later(900).poll(0, Role.PRIMARY, world.now);
    world.take(WRITE);
    check(world.last().node() == 0, "the claim counts after the endpoint has reported replica");
  }

  /**
   * Guards against an immediate retry at the same endpoint: an endpoint that rejected a write but
   * reported the primary role in the same response received the write again.
   */
  @Example
  void rejectedWriteOverridesThePrimaryRoleInTheSameResponse() {
    StandIn world = StandIn.plain().steady(20);
    world.take(WRITE);
    world.later(5).end(world.last(), AttemptOutcome.MISS, Role.PRIMARY);
    check(world.sent.size() == 1, "held until an endpoint proves to be primary");
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
        "the statement completes exactly once");
  }

  @Example
  void disconnectedClientFreesItsHeldStatement() {
    StandIn world = StandIn.plain().list(3);
    int disconnected = world.take(WRITE);
    int connected = world.take(WRITE);
    world.fates.get(disconnected).answered = true;
    world.balancer.onClientDisconnected(world.now, disconnected);
    check(world.holds.heldStatements() == 1, "its hold is freed immediately");
    world.poll(0, Role.PRIMARY, world.now);
    check(
        world.sent.size() == 1 && world.last().statement() == connected,
        "nothing is sent for the disconnected client");
  }

  /** Each group tracks its own switchover. */
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
        "all groups hold: " + world.phases);
    for (int group = 0; group < 10; group++) {
      world.poll(3 * group, Role.REPLICA, world.now);
      world.poll(3 * group + 1, Role.PRIMARY, world.now);
    }
    for (int endpoint = 0; endpoint < 30; endpoint++) {
      world.poll(endpoint, endpoint % 3 == 1 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    check(
        world.phases.stream().filter(Phase.POST::equals).count() == 10,
        "all groups enter POST: " + world.phases);
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
    check(world.holds.heldStatements() <= 12, "held statements must stay within their budget");
  }

  /**
   * For any sequence of announcements and steps, phases never go back and one announcement holds
   * statements for a bounded time.
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
            "phases must not go back: " + entered);
      }
      heldSince = switchover.isHoldingStatements() ? heldSince.earlier(now) : Moment.NEVER;
      check(
          !now.since(heldSince).isLongerThan(ms(3_000 + 400)),
          "the hold must end within its time limit");
      check(
          switchover.nextStepAt().isAfter(now)
              || switchover.nextStepAt().equals(now)
              || !switchover.isHoldingStatements(),
          "a future step must be scheduled while holding");
    }
  }
}
