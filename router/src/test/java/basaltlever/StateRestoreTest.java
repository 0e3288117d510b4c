package basaltlever;

import static basaltlever.LoadBalancerHarness.BOUNDED;
import static basaltlever.LoadBalancerHarness.WRITE;
import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Role;
import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.EndpointStateBuilder;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateDecay;
import basaltlever.snapshot.StateRestore;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Tests which parts of a snapshot are restored for which endpoint, and that restored state only
 * ever restricts an endpoint.
 */
class StateRestoreTest {
  private static final long HOUR_MICROS = 3_600_000_000L;

  private static EndpointState impairedState(
      boolean unresponsive, boolean down, double failureRate) {
    return new EndpointStateBuilder()
        .listedStartMicros(77)
        .unresponsive(unresponsive)
        .downFor(down ? ms(3_000) : EndpointState.NEVER)
        .failureRate(failureRate)
        .latencyStrain(0.4)
        .capacity(0.5)
        .consecutiveRejections(3)
        .remainingBackoff(ms(200))
        .lag(ms(900))
        .build();
  }

  /** Returns a state with the given reasons to restrict the endpoint and no others. */
  private static EndpointState stateWith(
      boolean draining,
      boolean unresponsive,
      boolean down,
      double failureRate,
      double backoffMillis) {
    return new EndpointStateBuilder()
        .listedStartMicros(77)
        .draining(draining)
        .unresponsive(unresponsive)
        .downFor(down ? ms(3_000) : EndpointState.NEVER)
        .failureRate(failureRate)
        .capacity(9)
        .remainingBackoff(ms(backoffMillis))
        .build();
  }

  private static EndpointState drainingOrColdState(boolean cold) {
    return new EndpointStateBuilder()
        .listedStartMicros(77)
        .draining(!cold)
        .sinceStart(ms(500))
        .capacity(5)
        .slowStartSpent(cold ? 7 : 0)
        .sinceSlowStartSpent(ms(100))
        .build();
  }

  private static LearnedState snapshotOf(EndpointState state) {
    return new LearnedState(
        "fleet",
        "n3",
        5,
        1_000 * HOUR_MICROS,
        50 * HOUR_MICROS,
        "b1",
        40,
        List.of(new StoredEndpoint("s-1", "127.0.0.1:7001", state)),
        List.of());
  }

  private static StateRestore restoreAfter(
      LearnedState snapshot, long wallClockMicros, long monotonicMicros, String bootId) {
    return StateRestore.evaluate(
        snapshot,
        "fleet",
        "n3",
        snapshot.writtenAtMicros() + wallClockMicros,
        snapshot.monotonicMicros() + monotonicMicros,
        bootId);
  }

  private static EndpointState stateAfter(EndpointState state, long ageMicros) {
    return restoreAfter(snapshotOf(state), ageMicros, ageMicros, "b1")
        .takeEndpoint("s-1", "127.0.0.1:7001", 77, 41, true);
  }

  @Example
  void restoredStateDecaysWithAgeAndIsNegligibleAfterDays() {
    EndpointState afterSeconds = stateAfter(impairedState(true, true, 0.8), 10_000_000);
    check(
        afterSeconds.unresponsive()
            && afterSeconds.downFor().equals(ms(13_000))
            && Math.abs(afterSeconds.failureRate() - Math.exp(-10 / 120.0)) < 1e-9,
        "after 10 s the states still apply");
    check(
        Math.abs(afterSeconds.latencyStrain() - 0.4 * Math.exp(-10 / 15.0)) < 1e-9
            && afterSeconds.remainingBackoff().equals(Span.NONE),
        "the load decays faster and the backoff ends");
    EndpointState afterMinutes = stateAfter(impairedState(true, true, 0.8), 200_000_000);
    check(
        !afterMinutes.unresponsive()
            && !afterMinutes.isDown()
            && afterMinutes.failureRate() > 0.1
            && afterMinutes.failureRate() < 0.2,
        "after minutes only a reduced failure rate remains");
    EndpointState afterDays = stateAfter(impairedState(true, true, 1), 48 * HOUR_MICROS);
    check(
        afterDays.failureRate() < 0.01
            && afterDays.latencyStrain() < 0.01
            && afterDays.lag().micros() < 10_000
            && afterDays.capacity() > 12,
        "after days nothing significant remains");
    check(
        StateDecay.weight(ms(553_000)) < 0.01
            && StateDecay.weight(ms(83_000)) > 0.5
            && StateDecay.weight(ms(-1)) == 0,
        "the weight decays exponentially and is 0 for a negative age");
    check(
        stateAfter(drainingOrColdState(false), 0).draining() == false,
        "a requested list overrides the stored drain");
  }

  @Example
  void snapshotOfUnknownAgeOrAnotherRouterIsRejected() {
    LearnedState snapshot = snapshotOf(impairedState(true, false, 1));
    check(
        restoreAfter(snapshot, 5_000_000, 5_000_000, "b1").rejection().isEmpty(),
        "a valid snapshot is accepted");
    check(
        restoreAfter(snapshot, 5_000_000, 5_000_000, "b1").age().equals(ms(5_000)),
        "the age is known");
    check(
        !restoreAfter(snapshot, -1, 5, "b1").rejection().isEmpty(),
        "a snapshot from the future is rejected");
    check(
        !restoreAfter(snapshot, 5_000_000, HOUR_MICROS, "b1").rejection().isEmpty(),
        "a snapshot is rejected after the clock was set back");
    check(
        !restoreAfter(snapshot, HOUR_MICROS, 5_000_000, "b1").rejection().isEmpty(),
        "a snapshot is rejected after the clock was set forward");
    check(
        restoreAfter(snapshot, HOUR_MICROS, 5, "b2").age().micros() == HOUR_MICROS,
        "after a reboot the age follows the system clock");
    check(
        !StateRestore.evaluate(snapshot, "other", "n3", 2_000 * HOUR_MICROS, 0, "")
            .rejection()
            .isEmpty(),
        "a snapshot of another deployment is rejected");
    check(
        !StateRestore.evaluate(snapshot, "fleet", "n4", 2_000 * HOUR_MICROS, 0, "")
            .rejection()
            .isEmpty(),
        "a snapshot of another router is rejected");
  }

  @Example
  void otherStartIdOrAddressRestoresNothingAndAnOlderListDoesNotUndoADrain() {
    LearnedState snapshot = snapshotOf(drainingOrColdState(false));
    check(
        restoreAfter(snapshot, 1, 1, "b1").takeEndpoint("s-2", "127.0.0.1:7001", 77, 40, false)
            == null,
        "another id restores nothing");
    check(
        restoreAfter(snapshot, 1, 1, "b1").takeEndpoint("s-1", "127.0.0.1:7002", 77, 40, false)
            == null,
        "another address restores nothing");
    check(
        restoreAfter(snapshot, 1, 1, "b1").takeEndpoint("s-1", "127.0.0.1:7001", 78, 39, false)
            == null,
        "a later start restores nothing");
    check(
        restoreAfter(snapshot, 1, 1, "b1").takeEndpoint("s-1", "127.0.0.1:7001", 76, 40, false)
            == null,
        "an earlier start in a list of the same version restores nothing");
    check(
        restoreAfter(snapshot, 1, 1, "b1").takeEndpoint("s-1", "127.0.0.1:7001", 76, 39, false)
            != null,
        "an earlier start in an older list is restored");
    StateRestore restore = restoreAfter(snapshot, 1, 1, "b1");
    check(
        restore.takeEndpoint("s-1", "127.0.0.1:7001", 77, 39, false).draining(),
        "an older list does not undo the drain");
    check(
        restore.takeEndpoint("s-1", "127.0.0.1:7001", 77, 39, false) == null,
        "the state is handed out once");
    check(
        !restoreAfter(snapshot, 1, 1, "b1")
            .takeEndpoint("s-1", "127.0.0.1:7001", 77, 40, false)
            .draining(),
        "a list of the same version undoes the drain");
  }

  /**
   * Creates a new router with three listed endpoints and restored states, before any poll has
   * ended.
   */
  private static LoadBalancerHarness worldRestoredFrom(EndpointState... states) {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults();
    world.balancer.onListStarted();
    for (int i = 0; i < 3; i++) {
      world.balancer.onEndpointListed(
          world.now, i, EndpointLifecycle.READY, 1, 0, 1, Moment.LONG_AGO);
      if (i < states.length && states[i] != null) {
        world.balancer.learnedState().restore(world.now, i, states[i]);
      }
    }
    world.balancer.onListFinished(world.now, true, true);
    return world;
  }

  @Example
  void restoredPrimaryIsPolledFirstButNotTrusted() {
    EndpointState formerPrimary = new EndpointStateBuilder().primary(true).capacity(1e9).build();
    LoadBalancerHarness world = worldRestoredFrom(null, null, formerPrimary);
    check(
        world.polledEndpoints.equals(List.of(2, 0, 1)),
        "the restored primary is polled first and each endpoint once: " + world.polledEndpoints);
    world.receiveStatement(WRITE);
    check(world.attempts.isEmpty(), "held: a restored role is no proof");
    world.completePoll(0, Role.PRIMARY, world.now);
    check(
        world.attempts.size() == 1 && world.lastAttempt().endpoint() == 0,
        "the endpoint that reports primary gets the statement");
  }

  @Example
  void unresponsiveFailingOrDrainingEndpointsAreAvoidedFromTheStart() {
    for (EndpointState state :
        List.of(
            stateWith(true, false, false, 0, 0),
            stateWith(false, true, false, 0, 0),
            stateWith(false, false, true, 0, 0),
            stateWith(false, false, false, 0.9, 0),
            stateWith(false, false, false, 0, 300))) {
      LoadBalancerHarness world = worldRestoredFrom(null, state, null);
      world.completePoll(0, Role.PRIMARY, world.now);
      world.completePoll(2, Role.REPLICA, world.now);
      if (!state.isDown()) {
        world.completePoll(1, Role.REPLICA, world.now);
      }
      for (int i = 0; i < 6; i++) {
        world.receiveStatement(BOUNDED);
        check(
            world.lastAttempt().endpoint() != 1,
            "expected no statement for the restricted endpoint: " + state);
        world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
      }
    }
  }

  @Example
  void spentSlowStartBudgetIsNotSpentAgain() {
    int[] sent = new int[2];
    for (int withSnapshot = 0; withSnapshot < 2; withSnapshot++) {
      LoadBalancerHarness world =
          worldRestoredFrom(null, withSnapshot == 1 ? drainingOrColdState(true) : null, null);
      if (withSnapshot == 0) {
        world.listEndpoint(1, EndpointLifecycle.READY, world.now.minus(ms(500)));
      }
      world.completePoll(0, Role.REPLICA, Moment.LONG_AGO);
      for (int step = 0; step < 400; step++) {
        world.advance(10).completePoll(1, Role.REPLICA, world.now);
        world.receiveStatement(BOUNDED);
        if (!world.attempts.isEmpty() && world.endedAttempts.add(world.lastAttempt())) {
          sent[withSnapshot] += world.lastAttempt().endpoint() == 1 ? 1 : 0;
          world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
        }
      }
    }
    check(
        sent[0] > 0 && sent[1] == 0,
        "expected cold statements only without a snapshot; without: "
            + sent[0]
            + ", with: "
            + sent[1]);
  }

  /**
   * With any restored snapshot, no rule is broken and no endpoint gets statements that a new router
   * would not send to it.
   */
  @Property(tries = 60, seed = "1207", shrinking = ShrinkingMode.OFF)
  void rulesHoldWithAnyRestoredState(
      @ForAll boolean positions, @ForAll boolean tokens, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    LoadBalancerHarness world =
        new LoadBalancerHarness(random.nextBoolean(), positions, tokens, true, true, 2, seed);
    world.simulateEndpoints(random.split(), 4);
    world.balancer.onListStarted();
    for (int i = 0; i < 4; i++) {
      world
          .balancer
          .learnedState()
          .restore(
              world.now,
              i,
              LearnedStateFixtures.createLearnedState(seed & 0xFFFF, 4).endpoints().get(i).state());
    }
    world.listAllEndpoints();
    for (int step = 0; step < 500; step++) {
      world.runFor(random.nextInt(1, 20));
      world.receiveStatement(
          random.nextInt(6), random.nextInt(5), Moment.LONG_AGO, 100 + random.nextInt(1_500));
      if (random.nextInt(25) == 0) {
        RulesTest.injectRandomFault(world, random);
      }
    }
    world.runFor(4_000);
    for (int i = 0; i < 4; i++) {
      check(
          world.balancer.learnedState().endpointState(world.now, i) != null,
          "the learned state can be exported");
    }
  }
}
