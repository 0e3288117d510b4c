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
import basaltlever.snapshot.KnownEndpoint;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateDecay;
import basaltlever.snapshot.StateRestore;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** What of a view counts, for which node, and that it only ever makes for more care. */
class StateRestoreTest {
  private static final long HOUR = 3_600_000_000L;

  private static EndpointState bad(boolean silent, boolean down, double failing) {
    return new EndpointStateBuilder()
        .listedStartMicros(77)
        .unresponsive(silent)
        .downFor(down ? ms(3_000) : EndpointState.NEVER)
        .failureRate(failing)
        .latencyStrain(0.4)
        .capacity(0.5)
        .consecutiveRejections(3)
        .remainingBackoff(ms(200))
        .lag(ms(900))
        .build();
  }

  /** One reason for care and no other. */
  private static EndpointState only(
      boolean drains, boolean silent, boolean down, double failing, double restsMillis) {
    return new EndpointStateBuilder()
        .listedStartMicros(77)
        .draining(drains)
        .unresponsive(silent)
        .downFor(down ? ms(3_000) : EndpointState.NEVER)
        .failureRate(failing)
        .capacity(9)
        .remainingBackoff(ms(restsMillis))
        .build();
  }

  private static EndpointState drained(boolean cold) {
    return new EndpointStateBuilder()
        .listedStartMicros(77)
        .draining(!cold)
        .sinceStart(ms(500))
        .capacity(5)
        .slowStartSpent(cold ? 7 : 0)
        .sinceSlowStartSpent(ms(100))
        .build();
  }

  private static LearnedState view(EndpointState node) {
    return new LearnedState(
        "fleet",
        "n3",
        5,
        1_000 * HOUR,
        50 * HOUR,
        "b1",
        40,
        List.of(new KnownEndpoint("s-1", "127.0.0.1:7001", node)),
        List.of());
  }

  private static StateRestore after(LearnedState view, long age, long steadily, String boot) {
    return StateRestore.of(
        view, "fleet", "n3", view.writtenAtMicros() + age, view.monotonicMicros() + steadily, boot);
  }

  private static EndpointState aged(EndpointState node, long age) {
    return after(view(node), age, age, "b1").of("s-1", "127.0.0.1:7001", 77, 41, true);
  }

  @Example
  void whatWasLearnedFadesByItsCurveAndDaysOldIsNothing() {
    EndpointState node = aged(bad(true, true, 0.8), 10_000_000);
    check(
        node.unresponsive()
            && node.downFor().equals(ms(13_000))
            && Math.abs(node.failureRate() - Math.exp(-10 / 120.0)) < 1e-9,
        "ten seconds: the states stand");
    check(
        Math.abs(node.latencyStrain() - 0.4 * Math.exp(-10 / 15.0)) < 1e-9
            && node.remainingBackoff().equals(Span.NONE),
        "load");
    EndpointState later = aged(bad(true, true, 0.8), 200_000_000);
    check(
        !later.unresponsive()
            && !later.isDown()
            && later.failureRate() > 0.1
            && later.failureRate() < 0.2,
        "minutes: a guess");
    EndpointState days = aged(bad(true, true, 1), 48 * HOUR);
    check(
        days.failureRate() < 0.01
            && days.latencyStrain() < 0.01
            && days.lag().micros() < 10_000
            && days.capacity() > 12,
        "days: nothing");
    check(
        StateDecay.weight(ms(553_000)) < 0.01
            && StateDecay.weight(ms(83_000)) > 0.5
            && StateDecay.weight(ms(-1)) == 0,
        "the curve");
    check(aged(drained(false), 0).draining() == false, "a live list has the later word on a drain");
  }

  @Example
  void aViewWithoutADateOrOfAnotherCountsForNothing() {
    LearnedState view = view(bad(true, false, 1));
    check(after(view, 5_000_000, 5_000_000, "b1").rejection().isEmpty(), "sound");
    check(after(view, 5_000_000, 5_000_000, "b1").age().equals(ms(5_000)), "dated");
    check(!after(view, -1, 5, "b1").rejection().isEmpty(), "the future");
    check(
        !after(view, 5_000_000, HOUR, "b1").rejection().isEmpty(),
        "stepped back since, though not past it");
    check(!after(view, HOUR, 5_000_000, "b1").rejection().isEmpty(), "stepped ahead");
    check(
        after(view, HOUR, 5, "b2").age().micros() == HOUR,
        "another run of the machine: the system's clock");
    check(
        !StateRestore.of(view, "other", "n3", 2_000 * HOUR, 0, "").rejection().isEmpty(),
        "deployment");
    check(
        !StateRestore.of(view, "fleet", "n4", 2_000 * HOUR, 0, "").rejection().isEmpty(), "router");
  }

  @Example
  void anotherStartIdOrAddressIsNewAndAnOlderListDoesNotUndoADrain() {
    LearnedState view = view(drained(false));
    check(after(view, 1, 1, "b1").of("s-2", "127.0.0.1:7001", 77, 40, false) == null, "id");
    check(after(view, 1, 1, "b1").of("s-1", "127.0.0.1:7002", 77, 40, false) == null, "address");
    check(
        after(view, 1, 1, "b1").of("s-1", "127.0.0.1:7001", 78, 39, false) == null,
        "a later start");
    check(
        after(view, 1, 1, "b1").of("s-1", "127.0.0.1:7001", 76, 40, false) == null,
        "an earlier one, as new");
    check(
        after(view, 1, 1, "b1").of("s-1", "127.0.0.1:7001", 76, 39, false) != null,
        "an older list");
    StateRestore restore = after(view, 1, 1, "b1");
    check(restore.of("s-1", "127.0.0.1:7001", 77, 39, false).draining(), "told since: binds");
    check(restore.of("s-1", "127.0.0.1:7001", 77, 39, false) == null, "once");
    check(
        !after(view, 1, 1, "b1").of("s-1", "127.0.0.1:7001", 77, 40, false).draining(),
        "as new a list");
  }

  /** A fresh router of three members, before it has heard anything else. */
  private static LoadBalancerHarness fresh(EndpointState... views) {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults();
    world.balancer.onListStarted();
    for (int i = 0; i < 3; i++) {
      world.balancer.onEndpointListed(
          world.now, i, EndpointLifecycle.READY, 1, 0, 1, Moment.LONG_AGO);
      if (i < views.length && views[i] != null) {
        world.balancer.learnedState().restore(world.now, i, views[i]);
      }
    }
    world.balancer.onListFinished(world.now, true, true);
    return world;
  }

  @Example
  void aPrimaryOfTheViewIsAskedFirstAndNotBelieved() {
    EndpointState was = new EndpointStateBuilder().primary(true).capacity(1e9).build();
    LoadBalancerHarness world = fresh(null, null, was);
    check(
        world.polledEndpoints.equals(List.of(2, 0, 1)),
        "asked first, and each once: " + world.polledEndpoints);
    world.receiveStatement(WRITE);
    check(world.attempts.isEmpty(), "held: a role from a file is no proof");
    world.completePoll(0, Role.PRIMARY, world.now);
    check(
        world.attempts.size() == 1 && world.lastAttempt().endpoint() == 0,
        "it has died since: another is believed");
  }

  @Example
  void silentFailingAndDrainingMembersAreSparedFromTheStart() {
    for (EndpointState view :
        List.of(
            only(true, false, false, 0, 0),
            only(false, true, false, 0, 0),
            only(false, false, true, 0, 0),
            only(false, false, false, 0.9, 0),
            only(false, false, false, 0, 300))) {
      LoadBalancerHarness world = fresh(null, view, null);
      world.completePoll(0, Role.PRIMARY, world.now);
      world.completePoll(2, Role.REPLICA, world.now);
      if (!view.isDown()) {
        world.completePoll(1, Role.REPLICA, world.now);
      }
      for (int i = 0; i < 6; i++) {
        world.receiveStatement(BOUNDED);
        check(world.lastAttempt().endpoint() != 1, "sent to the bad one: " + view);
        world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
      }
    }
  }

  @Example
  void aColdBudgetThatWasSpentIsNotSpentAgain() {
    int[] sent = new int[2];
    for (int with = 0; with < 2; with++) {
      LoadBalancerHarness world = fresh(null, with == 1 ? drained(true) : null, null);
      if (with == 0) {
        world.listEndpoint(1, EndpointLifecycle.READY, world.now.minus(ms(500)));
      }
      world.completePoll(0, Role.REPLICA, Moment.LONG_AGO);
      for (int step = 0; step < 400; step++) {
        world.advance(10).completePoll(1, Role.REPLICA, world.now);
        world.receiveStatement(BOUNDED);
        if (!world.attempts.isEmpty() && world.endedAttempts.add(world.lastAttempt())) {
          sent[with] += world.lastAttempt().endpoint() == 1 ? 1 : 0;
          world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
        }
      }
    }
    check(sent[0] > 0 && sent[1] == 0, "without a view " + sent[0] + ", with one " + sent[1]);
  }

  /**
   * Whatever a view says, no rule breaks and no node is let have what a fresh router would have
   * kept from it.
   */
  @Property(tries = 60, seed = "1207", shrinking = ShrinkingMode.OFF)
  void theRulesHoldWithAnyView(
      @ForAll boolean positions, @ForAll boolean tokens, @ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    LoadBalancerHarness world =
        new LoadBalancerHarness(chance.nextBoolean(), positions, tokens, true, true, 2, seed);
    world.simulateEndpoints(chance.split(), 4);
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
      world.runFor(chance.nextInt(1, 20));
      world.receiveStatement(
          chance.nextInt(6), chance.nextInt(5), Moment.LONG_AGO, 100 + chance.nextInt(1_500));
      if (chance.nextInt(25) == 0) {
        RulesTest.upset(world, chance);
      }
    }
    world.runFor(4_000);
    for (int i = 0; i < 4; i++) {
      check(
          world.balancer.learnedState().endpointState(world.now, i) != null,
          "what was learned can be told");
    }
  }
}
