package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

import basaltlever.config.WorkloadSlots;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Role;
import basaltlever.gateway.Workload;
import basaltlever.snapshot.StateDecay;
import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Seeded random runs over every mix of start values; {@link LoadBalancerHarness} checks the five
 * rules at each act.
 */
class RulesTest {
  @Property(tries = 150, seed = "4711", shrinking = ShrinkingMode.OFF)
  void theRulesHoldThroughFailures(
      @ForAll boolean check,
      @ForAll boolean positions,
      @ForAll boolean tokens,
      @ForAll boolean asked,
      @ForAll boolean copies,
      @ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    LoadBalancerHarness world =
        new LoadBalancerHarness(
            check, positions, tokens, asked, copies, seed % 2 == 0 ? 2 : 300, seed);
    world.simulateEndpoints(chance.split(), 3 + chance.nextInt(3));
    for (int step = 0; step < 800; step++) {
      world.runFor(chance.nextInt(1, 20));
      for (int n = chance.nextInt(3); n > 0; n--) {
        world.receiveStatement(
            chance.nextInt(6),
            chance.nextInt(5),
            chance.nextInt(3) == 0 ? Moment.LONG_AGO : world.now.minus(ms(chance.nextInt(400))),
            100 + chance.nextInt(1_500));
      }
      if (chance.nextInt(25) == 0) {
        upset(world, chance);
      }
    }
    world.runFor(4_000);
  }

  /**
   * Settings that rename, add and remove workloads while statements of them are open, held and out.
   */
  @Property(tries = 80, seed = "3412", shrinking = ShrinkingMode.OFF)
  void whatWasTakenEndsByItsOwnTermsThroughSettingsWithOtherWorkloads(
      @ForAll boolean check,
      @ForAll boolean positions,
      @ForAll boolean asked,
      @ForAll boolean copies,
      @ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    LoadBalancerHarness world =
        new LoadBalancerHarness(check, positions, true, asked, copies, 2, seed);
    world.simulateEndpoints(chance.split(), 3);
    Workload[] kinds = Arrays.copyOf(world.workloads, 6);
    List<Integer> named = new ArrayList<>(List.of(0, 1, 2, 3, 4, 5));
    for (int step = 0; step < 800; step++) {
      world.runFor(chance.nextInt(1, 20));
      for (int n = chance.nextInt(3); n > 0; n--) {
        world.receiveStatement(
            named.get(chance.nextInt(named.size())),
            chance.nextInt(5),
            chance.nextInt(3) == 0 ? Moment.LONG_AGO : world.now.minus(ms(chance.nextInt(400))),
            100 + chance.nextInt(1_500));
      }
      if (chance.nextInt(25) == 0) {
        upset(world, chance);
      }
      if (chance.nextInt(20) == 0) {
        Workload[] next =
            Arrays.copyOf(
                world.workloads, Math.min(14, world.workloads.length + chance.nextInt(2)));
        named.clear();
        for (int place = 0; place < next.length; place++) {
          boolean gone = place > 0 && chance.nextInt(4) == 0;
          next[place] = gone ? WorkloadSlots.REMOVED : kinds[chance.nextInt(kinds.length)];
          named.addAll(gone ? List.of() : List.of(place));
        }
        world.applyWorkloads(next);
      }
    }
    world.runFor(4_000);
  }

  static void upset(LoadBalancerHarness world, SplittableRandom chance) {
    int id = chance.nextInt(world.endpoints.size());
    LoadBalancerHarness.SimulatedEndpoint member = world.endpoints.get(id);
    switch (chance.nextInt(7)) {
      case 0 -> {
        member.alive = !member.alive;
        if (member.alive) {
          member.startedAt = world.now;
          member.primary = false;
          member.attemptTimes.clear();
        }
      }
      case 1 -> member.hanging = !member.hanging;
      case 2 -> member.errorRate = chance.nextBoolean() ? 0 : 0.7;
      case 3, 4 -> {
        if (member.alive && !member.hanging) {
          world.endpoints.forEach(
              other -> {
                other.position = other.primary && other.alive ? world.now : other.position;
                other.primary = false;
              });
          member.primary = true;
          member.wasPrimary = true;
          member.reportedAsReplica = false;
        }
      }
      case 5 -> {
        member.listedReady = !member.listedReady;
        world.listAllEndpoints();
      }
      default -> world.listAllEndpoints();
    }
  }

  /**
   * Found on kigali-cards at full size: each router's single execution at once toppled a cold node.
   */
  @Property(tries = 10, seed = "1729", shrinking = ShrinkingMode.OFF)
  void manyUnevenRoutersTogetherPushNoColdNodeOver(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    long[] cold = new long[120];
    long warm = 0;
    for (int router = 0; router < 150; router++) {
      LoadBalancerHarness world =
          new LoadBalancerHarness(true, true, true, false, true, 150, chance.nextLong())
              .discoverGroup(20);
      int every = router % 10 == 0 ? 2 : 20;
      for (int i = chance.nextInt(every), step = 0; step < 240; step++) {
        world.advance(50).completePoll(0, Role.PRIMARY, world.now);
        world.completePoll(1, Role.REPLICA, world.now);
        world.completePoll(2, Role.REPLICA, world.now);
        if (step == 120) {
          world.listEndpoint(1, EndpointLifecycle.READY, world.now);
        }
        if ((step + i) % every == 0) {
          world.receiveStatement(LoadBalancerHarness.ANY);
        }
        if (!world.attempts.isEmpty() && world.endedAttempts.add(world.lastAttempt())) {
          warm += step >= 80 && step < 120 && world.lastAttempt().endpoint() == 2 ? 1 : 0;
          cold[Math.max(0, step - 120)] +=
              step >= 120 && world.lastAttempt().endpoint() == 1 ? 1 : 0;
          world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
        }
      }
    }
    for (int from = 0; from + 20 <= 60; from++) {
      long inWindow = Arrays.stream(cold, from, from + 20).sum();
      LoadBalancerHarness.check(
          inWindow <= 2 * 0.2 * warm / 2.0, "cold node got " + inWindow + " of " + warm / 2);
    }
    LoadBalancerHarness.check(Arrays.stream(cold).sum() > 5, "it warms up by what it gets");
  }

  /**
   * A node whose restart only the routers saw, no list: each starts anew half-way through its
   * budget. Without the views they would take it for warm.
   */
  @Property(tries = 6, seed = "1730", shrinking = ShrinkingMode.OFF)
  void routersThatRestartTogetherPushNoColdNodeOver(@ForAll long seed) {
    LoadBalancerHarness.check(
        coldSends(seed, true) <= 1, "with views the cold node was pushed over");
    LoadBalancerHarness.check(
        coldSends(seed, false) > 1, "the case shows nothing: it was safe without views as well");
  }

  /** The fullest window of a second on the cold node after the restart, over what topples it. */
  private static double coldSends(long seed, boolean withViews) {
    SplittableRandom chance = new SplittableRandom(seed);
    long[] cold = new long[60];
    long warm = 0;
    for (int router = 0; router < 150; router++) {
      LoadBalancerHarness world =
          new LoadBalancerHarness(true, true, true, false, true, 150, chance.nextLong())
              .discoverGroup(20);
      int every = router % 10 == 0 ? 2 : 20;
      for (int i = chance.nextInt(every), step = 0; step < 160; step++) {
        world.advance(50).completePoll(0, Role.PRIMARY, world.now);
        if (step < 80 || step > 105) {
          world.completePoll(1, Role.REPLICA, world.now);
        } else {
          world.balancer.onPollEnded(
              world.now,
              1,
              AttemptOutcome.NO_CONNECTION,
              Role.UNKNOWN,
              Moment.LONG_AGO,
              0,
              Double.NaN);
        }
        world.completePoll(2, Role.REPLICA, world.now);
        if (step == 120) {
          LoadBalancerHarness before = world;
          world = new LoadBalancerHarness(true, true, true, false, true, 150, chance.nextLong());
          world.now = before.now.plus(LoadBalancerHarness.ms(1_000));
          world.balancer.onListStarted();
          for (int node = 0; node < 3; node++) {
            world.balancer.onEndpointListed(
                world.now, node, EndpointLifecycle.READY, 1, 0, 1, Moment.LONG_AGO);
            if (withViews) {
              world
                  .balancer
                  .learnedState()
                  .restore(
                      world.now,
                      node,
                      StateDecay.aged(
                          before.balancer.learnedState().endpointState(before.now, node),
                          LoadBalancerHarness.ms(1_000)));
            }
          }
          world.balancer.onListFinished(world.now, true, true);
          for (int node = 0; node < 3; node++) {
            world.completePoll(node, node == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
          }
        }
        if ((step + i) % every == 0) {
          world.receiveStatement(LoadBalancerHarness.ANY);
        }
        if (!world.attempts.isEmpty() && world.endedAttempts.add(world.lastAttempt())) {
          warm += step >= 40 && step < 80 && world.lastAttempt().endpoint() == 2 ? 1 : 0;
          cold[Math.max(0, step - 120)] +=
              step >= 120 && world.lastAttempt().endpoint() == 1 ? 1 : 0;
          world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
        }
      }
    }
    double fullest = 0;
    for (int from = 0; from + 20 <= 40; from++) {
      fullest = Math.max(fullest, (double) Arrays.stream(cold, from, from + 20).sum());
    }
    return fullest / (2 * 0.2 * warm / 2.0);
  }

  /**
   * Nothing crashes on reports that no sound node gives, and each statement gets its one answer.
   */
  @Property(tries = 100, seed = "815", shrinking = ShrinkingMode.OFF)
  void nonsenseBreaksNothing(@ForAll boolean check, @ForAll boolean tokens, @ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    LoadBalancerHarness world =
        new LoadBalancerHarness(
            check, true, tokens, true, true, chance.nextBoolean() ? 2 : 500, seed);
    world.listEndpoints(seed % 2 == 0 ? 1 : 3).advance(60_000).listEndpoints(3);
    AttemptOutcome[] endings = AttemptOutcome.values();
    double[] odd = {Double.NaN, Double.POSITIVE_INFINITY, -3, 0.5, 1e300};
    for (int step = 0; step < 600; step++) {
      world.advance(chance.nextInt(10));
      world.timeOutAttemptsPastDeadline();
      if (chance.nextInt(20) == 0) {
        world.balancer.onListRequestFailed(world.now);
      }
      Moment when =
          chance.nextInt(9) == 0
              ? new Moment(chance.nextLong() / 8)
              : world.now.plus(ms(chance.nextInt(2_000) - 1_500));
      switch (chance.nextInt(4)) {
        case 0 ->
            world.receiveStatement(
                chance.nextInt(6), chance.nextInt(3), world.now.minus(ms(50)), 400);
        case 1 ->
            world.balancer.onPollEnded(
                world.now,
                chance.nextInt(3),
                endings[chance.nextInt(endings.length)],
                Role.values()[chance.nextInt(3)],
                when,
                odd[chance.nextInt(odd.length)],
                Double.NaN);
        case 2 -> {
          if (!world.attempts.isEmpty()) {
            int back = Math.min(world.attempts.size(), 1 + chance.nextInt(4));
            LoadBalancerHarness.SentAttempt old = world.attempts.get(world.attempts.size() - back);
            // Some of these ended before: a second outcome must be passed over.
            LoadBalancerHarness.check(
                old.attempt() < world.statements.get(old.statement()).attempts, "unknown");
            if (!world.endedAttempts.add(old)) {
              LoadBalancerHarness.check(
                  !world.balancer.onAttemptEnded(
                      world.now,
                      old.statement(),
                      old.attempt(),
                      AttemptOutcome.MISS,
                      Role.REPLICA,
                      when,
                      false),
                  "an outcome counted twice");
            } else {
              world.endAttempt(
                  old,
                  endings[chance.nextInt(endings.length)],
                  Role.values()[chance.nextInt(3)],
                  when);
            }
          }
        }
        default ->
            world.balancer.onClientDisconnected(world.now, world.disconnectRandomClient(chance));
      }
    }
    for (int i = 0; i < 100; i++) {
      world.advance(5);
      world.timeOutAttemptsPastDeadline();
    }
    world.endAttempts(open -> true, AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    LoadBalancerHarness.check(
        world.statements.stream().allMatch(fate -> fate.answered), "a statement without an answer");
  }
}
