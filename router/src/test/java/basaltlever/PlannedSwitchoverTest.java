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
 * Tests planned switchovers: the phase sequence, holding and releasing of statements, and seeded
 * runs with random faults.
 */
class PlannedSwitchoverTest {
  private static LoadBalancerHarness worldWithAnnouncement(double delayMillis) {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    check(
        world.balancer.onSwitchoverAnnounced(
            world.now, 2, 1, 1, world.now.plus(ms(delayMillis)), false),
        "the announcement is accepted");
    return world;
  }

  private static Phase lastPhase(LoadBalancerHarness world) {
    return world.phases.get(world.phases.size() - 1);
  }

  /** Advances the time while all endpoints answer polls with their current role. */
  private static void pollFor(LoadBalancerHarness world, double millis, int primary) {
    for (Moment end = world.now.plus(ms(millis)); world.now.isBefore(end); ) {
      world.advance(50);
      for (int endpoint = 0; endpoint < 3; endpoint++) {
        world.completePoll(endpoint, endpoint == primary ? Role.PRIMARY : Role.REPLICA, world.now);
      }
    }
  }

  @Example
  void statementsAreHeldAtTheAnnouncedTimeAndReleasedWhenTheTargetReportsPrimary() {
    LoadBalancerHarness world = worldWithAnnouncement(5_000);
    pollFor(world, 2_500, 0);
    check(
        world.phases.equals(List.of(Phase.CREATED)), "no preparation this early: " + world.phases);
    pollFor(world, 1_000, 0);
    check(
        lastPhase(world) == Phase.PREPARATION && world.preparedConnections >= 0,
        "prepared before the announced time: " + world.phases);
    int earlyWrite = world.receiveStatement(WRITE);
    check(
        world.lastAttempt().statement() == earlyWrite && world.lastAttempt().endpoint() == 0,
        "the old primary serves until the announced time");
    world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    pollFor(world, 1_600, 0);
    check(lastPhase(world) == Phase.IN_PROGRESS, "expected IN_PROGRESS: " + world.phases);
    int sentBefore = world.attempts.size();
    int heldWrite = world.receiveStatement(WRITE);
    int heldRead = world.receiveStatement(FRESH);
    world.completePoll(0, Role.PRIMARY, world.now);
    check(
        world.attempts.size() == sentBefore,
        "held although the old primary still reports its role");
    int read = world.receiveStatement(ANY);
    check(world.lastAttempt().statement() == read, "other reads are still sent");
    world.advance(100).completePoll(0, Role.REPLICA, world.now);
    world.completePoll(1, Role.PRIMARY, world.now);
    List<Integer> released =
        world.attempts.subList(world.attempts.size() - 2, world.attempts.size()).stream()
            .map(LoadBalancerHarness.SentAttempt::statement)
            .toList();
    check(
        released.equals(List.of(heldWrite, heldRead)) && world.lastAttempt().endpoint() == 1,
        "released in order to the target: " + released);
    pollFor(world, 100, 1);
    check(lastPhase(world) == Phase.POST, "expected POST: " + world.phases);
    pollFor(world, 5_500, 1);
    check(lastPhase(world) == Phase.COMPLETED, "expected COMPLETED: " + world.phases);
  }

  @Example
  void overdueOrWithdrawnSwitchoverReleasesHeldStatementsToTheOldPrimary() {
    for (boolean withdrawn : new boolean[] {true, false}) {
      LoadBalancerHarness world = worldWithAnnouncement(1_000);
      pollFor(world, 1_200, 0);
      check(lastPhase(world) == Phase.IN_PROGRESS, "expected IN_PROGRESS: " + world.phases);
      int held = world.receiveStatement(WRITE, 9, Moment.LONG_AGO, 9_000);
      int sentBefore = world.attempts.size();
      if (withdrawn) {
        check(
            world.balancer.onSwitchoverAnnounced(world.now, 1, 1, 1, world.now, true),
            "the withdrawal is accepted");
      }
      pollFor(world, withdrawn ? 100 : 3_200, 0);
      check(lastPhase(world) == Phase.CALLED_OFF, "expected CALLED_OFF: " + world.phases);
      check(
          world.attempts.subList(sentBefore, world.attempts.size()).stream()
              .anyMatch(sent -> sent.statement() == held && sent.endpoint() == 0),
          "released to the old primary, which is still primary");
    }
  }

  /**
   * Guards against a replacing announcement being called off by a poll of the old primary. This
   * happened because the replacement lost the record of which primary it replaces.
   */
  @Example
  void announcementReplacingOneInProgressContinuesTheHold() {
    LoadBalancerHarness world = worldWithAnnouncement(1_000);
    pollFor(world, 1_200, 0);
    check(lastPhase(world) == Phase.IN_PROGRESS, "expected IN_PROGRESS: " + world.phases);
    check(
        world.balancer.onSwitchoverAnnounced(world.now, 1, 2, 2, world.now, false),
        "the replacing announcement is accepted");
    int held = world.receiveStatement(WRITE);
    int sentBefore = world.attempts.size();
    pollFor(world, 300, 0);
    check(
        lastPhase(world) == Phase.IN_PROGRESS && world.attempts.size() == sentBefore,
        "statements are still held: " + world.phases);
    world.completePoll(0, Role.REPLICA, world.now);
    world.advance(20).completePoll(2, Role.PRIMARY, world.now);
    check(
        world.lastAttempt().statement() == held && world.lastAttempt().endpoint() == 2,
        "released to the target of the replacing announcement");
  }

  @Example
  void switchoverIsCalledOffWhenItsTargetFailsOrDrainsAndHeldStatementsGoToTheNewPrimary() {
    LoadBalancerHarness world = worldWithAnnouncement(1_000);
    world.listEndpoint(1, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    check(lastPhase(world) == Phase.CALLED_OFF, "called off because the target drains");
    world = worldWithAnnouncement(1_000);
    pollFor(world, 1_200, 0);
    world.receiveStatement(WRITE);
    world.advance(700).completePoll(0, Role.REPLICA, world.now);
    int held = world.receiveStatement(WRITE);
    world.balancer.onPollEnded(
        world.now, 1, AttemptOutcome.NO_CONNECTION, Role.UNKNOWN, Moment.LONG_AGO, 0, Double.NaN);
    check(lastPhase(world) == Phase.CALLED_OFF, "called off because the target failed");
    world.advance(20).completePoll(2, Role.PRIMARY, world.now);
    check(
        world.lastAttempt().statement() == held && world.lastAttempt().endpoint() == 2,
        "held statements go to the endpoint that proves to be primary");
  }

  @Example
  void invalidAnnouncementsAreIgnored() {
    LoadBalancerHarness world = worldWithAnnouncement(5_000);
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
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(WRITE);
    world.advance(20).endAttempt(world.lastAttempt(), AttemptOutcome.NO_CONNECTION, Role.UNKNOWN);
    world.advance(300).completePoll(1, Role.PRIMARY, world.now);
    world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    world.advance(900).completePoll(0, Role.PRIMARY, world.now);
    world.receiveStatement(WRITE);
    check(world.lastAttempt().endpoint() == 1, "the successor remains primary");
    world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, world.now);
    world.advance(50).completePoll(0, Role.REPLICA, world.now);
    world.advance(900).completePoll(0, Role.PRIMARY, world.now);
    world.receiveStatement(WRITE);
    check(
        world.lastAttempt().endpoint() == 0,
        "the claim counts after the endpoint has reported replica");
  }

  /**
   * Guards against an immediate retry at the same endpoint: an endpoint that rejected a write but
   * reported the primary role in the same response received the write again.
   */
  @Example
  void rejectedWriteOverridesThePrimaryRoleInTheSameResponse() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    world.receiveStatement(WRITE);
    world.advance(5).endAttempt(world.lastAttempt(), AttemptOutcome.MISS, Role.PRIMARY);
    check(world.attempts.size() == 1, "held until an endpoint proves to be primary");
  }

  @Example
  void statementSurvivesThreePrimaryChangesWithinItsDeadline() {
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
        "the statement completes exactly once");
  }

  @Example
  void disconnectedClientFreesItsHeldStatement() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().listEndpoints(3);
    int disconnected = world.receiveStatement(WRITE);
    int connected = world.receiveStatement(WRITE);
    world.statements.get(disconnected).answered = true;
    world.balancer.onClientDisconnected(world.now, disconnected);
    check(world.holdBudget.heldStatements() == 1, "its hold is freed immediately");
    world.completePoll(0, Role.PRIMARY, world.now);
    check(
        world.attempts.size() == 1 && world.lastAttempt().statement() == connected,
        "nothing is sent for the disconnected client");
  }

  /** Each group tracks its own switchover. */
  @Example
  void allGroupsCanSwitchOverConcurrently() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults();
    world.balancer.onListStarted();
    for (int endpoint = 0; endpoint < 30; endpoint++) {
      world.balancer.onEndpointListed(
          world.now, endpoint, EndpointLifecycle.READY, endpoint / 3, 0, 1, Moment.LONG_AGO);
    }
    world.balancer.onListFinished(world.now, true, true);
    for (int endpoint = 0; endpoint < 30; endpoint++) {
      world.completePoll(endpoint, endpoint % 3 == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    for (int group = 0; group < 10; group++) {
      world.balancer.onSwitchoverAnnounced(
          world.now, 3 * group, 1, 3 * group + 1, world.now.plus(ms(50)), false);
    }
    world.advance(100);
    check(
        world.phases.stream().filter(Phase.IN_PROGRESS::equals).count() == 10,
        "all groups hold: " + world.phases);
    for (int group = 0; group < 10; group++) {
      world.completePoll(3 * group, Role.REPLICA, world.now);
      world.completePoll(3 * group + 1, Role.PRIMARY, world.now);
    }
    for (int endpoint = 0; endpoint < 30; endpoint++) {
      world.completePoll(endpoint, endpoint % 3 == 1 ? Role.PRIMARY : Role.REPLICA, world.now);
    }
    check(
        world.phases.stream().filter(Phase.POST::equals).count() == 10,
        "all groups enter POST: " + world.phases);
  }

  @Property(tries = 120, seed = "99", shrinking = ShrinkingMode.OFF)
  void rulesHoldDuringRandomSwitchovers(
      @ForAll boolean check, @ForAll boolean tokens, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    LoadBalancerHarness world = new LoadBalancerHarness(check, true, tokens, true, true, 2, seed);
    world.holdBudget.setLimits(random.nextInt(1, 12), 2_000);
    int endpoints = 3 + random.nextInt(3);
    world.simulateEndpoints(random.split(), endpoints);
    List<int[]> announcements = new ArrayList<>();
    for (int step = 0; step < 700; step++) {
      world.runFor(random.nextInt(1, 20));
      for (int n = random.nextInt(3); n > 0; n--) {
        world.receiveStatement(
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
    world.runFor(4_000);
    check(world.holdBudget.heldStatements() <= 12, "held statements must stay within their budget");
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
