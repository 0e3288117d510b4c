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
 * Seeded random runs over all combinations of start values; {@link LoadBalancerHarness} checks the
 * five rules at each action.
 */
class RulesTest {
  @Property(tries = 150, seed = "4711", shrinking = ShrinkingMode.OFF)
  void rulesHoldDuringRandomFailures(
      @ForAll boolean check,
      @ForAll boolean positions,
      @ForAll boolean tokens,
      @ForAll boolean onRequest,
      @ForAll boolean copies,
      @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    LoadBalancerHarness world =
        new LoadBalancerHarness(
            check, positions, tokens, onRequest, copies, seed % 2 == 0 ? 2 : 300, seed);
    world.simulateEndpoints(random.split(), 3 + random.nextInt(3));
    for (int step = 0; step < 800; step++) {
      world.runFor(random.nextInt(1, 20));
      for (int n = random.nextInt(3); n > 0; n--) {
        world.receiveStatement(
            random.nextInt(6),
            random.nextInt(5),
            random.nextInt(3) == 0 ? Moment.LONG_AGO : world.now.minus(ms(random.nextInt(400))),
            100 + random.nextInt(1_500));
      }
      if (random.nextInt(25) == 0) {
        injectRandomFault(world, random);
      }
    }
    world.runFor(4_000);
  }

  /**
   * Settings rename, add and remove workloads while their statements are open, held or in flight.
   */
  @Property(tries = 80, seed = "3412", shrinking = ShrinkingMode.OFF)
  void openStatementsRetainTheirWorkloadWhenSettingsChangeTheWorkloads(
      @ForAll boolean check,
      @ForAll boolean positions,
      @ForAll boolean onRequest,
      @ForAll boolean copies,
      @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    LoadBalancerHarness world =
        new LoadBalancerHarness(check, positions, true, onRequest, copies, 2, seed);
    world.simulateEndpoints(random.split(), 3);
    Workload[] initialWorkloads = Arrays.copyOf(world.workloads, 6);
    List<Integer> usableWorkloads = new ArrayList<>(List.of(0, 1, 2, 3, 4, 5));
    for (int step = 0; step < 800; step++) {
      world.runFor(random.nextInt(1, 20));
      for (int n = random.nextInt(3); n > 0; n--) {
        world.receiveStatement(
            usableWorkloads.get(random.nextInt(usableWorkloads.size())),
            random.nextInt(5),
            random.nextInt(3) == 0 ? Moment.LONG_AGO : world.now.minus(ms(random.nextInt(400))),
            100 + random.nextInt(1_500));
      }
      if (random.nextInt(25) == 0) {
        injectRandomFault(world, random);
      }
      if (random.nextInt(20) == 0) {
        Workload[] next =
            Arrays.copyOf(
                world.workloads, Math.min(14, world.workloads.length + random.nextInt(2)));
        usableWorkloads.clear();
        for (int slot = 0; slot < next.length; slot++) {
          boolean removed = slot > 0 && random.nextInt(4) == 0;
          next[slot] =
              removed
                  ? WorkloadSlots.REMOVED
                  : initialWorkloads[random.nextInt(initialWorkloads.length)];
          usableWorkloads.addAll(removed ? List.of() : List.of(slot));
        }
        world.applyWorkloads(next);
      }
    }
    world.runFor(4_000);
  }

  static void injectRandomFault(LoadBalancerHarness world, SplittableRandom random) {
    int id = random.nextInt(world.endpoints.size());
    LoadBalancerHarness.SimulatedEndpoint endpoint = world.endpoints.get(id);
    switch (random.nextInt(7)) {
      case 0 -> {
        endpoint.alive = !endpoint.alive;
        if (endpoint.alive) {
          endpoint.startedAt = world.now;
          endpoint.primary = false;
          endpoint.attemptTimes.clear();
        }
      }
      case 1 -> endpoint.hanging = !endpoint.hanging;
      case 2 -> endpoint.errorRate = random.nextBoolean() ? 0 : 0.7;
      case 3, 4 -> {
        if (endpoint.alive && !endpoint.hanging) {
          world.endpoints.forEach(
              other -> {
                other.position = other.primary && other.alive ? world.now : other.position;
                other.primary = false;
              });
          endpoint.primary = true;
          endpoint.wasPrimary = true;
          endpoint.reportedAsReplica = false;
        }
      }
      case 5 -> {
        endpoint.listedReady = !endpoint.listedReady;
        world.listAllEndpoints();
      }
      default -> world.listAllEndpoints();
    }
  }

  /**
   * Guards against overloading a cold endpoint: in a run at full size, one attempt at a time * from
   * each router was enough to do so.
   */
  @Property(tries = 10, seed = "1729", shrinking = ShrinkingMode.OFF)
  void unevenRoutersTogetherDoNotOverloadAColdEndpoint(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long[] coldSends = new long[120];
    long warmSends = 0;
    for (int router = 0; router < 150; router++) {
      LoadBalancerHarness world =
          new LoadBalancerHarness(true, true, true, false, true, 150, random.nextLong())
              .discoverGroup(20);
      int statementInterval = router % 10 == 0 ? 2 : 20;
      for (int i = random.nextInt(statementInterval), step = 0; step < 240; step++) {
        world.advance(50).completePoll(0, Role.PRIMARY, world.now);
        world.completePoll(1, Role.REPLICA, world.now);
        world.completePoll(2, Role.REPLICA, world.now);
        if (step == 120) {
          world.listEndpoint(1, EndpointLifecycle.READY, world.now);
        }
        if ((step + i) % statementInterval == 0) {
          world.receiveStatement(LoadBalancerHarness.ANY);
        }
        if (!world.attempts.isEmpty() && world.endedAttempts.add(world.lastAttempt())) {
          warmSends += step >= 80 && step < 120 && world.lastAttempt().endpoint() == 2 ? 1 : 0;
          coldSends[Math.max(0, step - 120)] +=
              step >= 120 && world.lastAttempt().endpoint() == 1 ? 1 : 0;
          world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
        }
      }
    }
    for (int from = 0; from + 20 <= 60; from++) {
      long inWindow = Arrays.stream(coldSends, from, from + 20).sum();
      LoadBalancerHarness.check(
          inWindow <= 2 * 0.2 * warmSends / 2.0,
          "expected a lower load of the cold endpoint: " + inWindow + " of " + warmSends / 2);
    }
    LoadBalancerHarness.check(
        Arrays.stream(coldSends).sum() > 5, "the cold endpoint gets statements to warm up");
  }

  /**
   * An endpoint restarts without a new start time in the list, and all routers restart halfway
   * through its slow-start budget. Without restored snapshots the routers treat the endpoint as
   * warm and overload it.
   */
  @Property(tries = 6, seed = "1730", shrinking = ShrinkingMode.OFF)
  void routersRestartedTogetherDoNotOverloadAColdEndpoint(@ForAll long seed) {
    LoadBalancerHarness.check(
        peakColdEndpointLoad(seed, true) <= 1,
        "with snapshots the cold endpoint must not be overloaded");
    LoadBalancerHarness.check(
        peakColdEndpointLoad(seed, false) > 1,
        "without snapshots the endpoint must be overloaded, else the case proves nothing");
  }

  /**
   * Returns the peak load of the cold endpoint in any second after the restart, relative to the
   * load that overloads it.
   */
  private static double peakColdEndpointLoad(long seed, boolean withSnapshots) {
    SplittableRandom random = new SplittableRandom(seed);
    long[] coldSends = new long[60];
    long warmSends = 0;
    for (int router = 0; router < 150; router++) {
      LoadBalancerHarness world =
          new LoadBalancerHarness(true, true, true, false, true, 150, random.nextLong())
              .discoverGroup(20);
      int statementInterval = router % 10 == 0 ? 2 : 20;
      for (int i = random.nextInt(statementInterval), step = 0; step < 160; step++) {
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
          world = new LoadBalancerHarness(true, true, true, false, true, 150, random.nextLong());
          world.now = before.now.plus(LoadBalancerHarness.ms(1_000));
          world.balancer.onListStarted();
          for (int endpoint = 0; endpoint < 3; endpoint++) {
            world.balancer.onEndpointListed(
                world.now, endpoint, EndpointLifecycle.READY, 1, 0, 1, Moment.LONG_AGO);
            if (withSnapshots) {
              world
                  .balancer
                  .learnedState()
                  .restore(
                      world.now,
                      endpoint,
                      StateDecay.decay(
                          before.balancer.learnedState().endpointState(before.now, endpoint),
                          LoadBalancerHarness.ms(1_000)));
            }
          }
          world.balancer.onListFinished(world.now, true, true);
          for (int endpoint = 0; endpoint < 3; endpoint++) {
            world.completePoll(endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
          }
        }
        if ((step + i) % statementInterval == 0) {
          world.receiveStatement(LoadBalancerHarness.ANY);
        }
        if (!world.attempts.isEmpty() && world.endedAttempts.add(world.lastAttempt())) {
          warmSends += step >= 40 && step < 80 && world.lastAttempt().endpoint() == 2 ? 1 : 0;
          coldSends[Math.max(0, step - 120)] +=
              step >= 120 && world.lastAttempt().endpoint() == 1 ? 1 : 0;
          world.endAttempt(world.lastAttempt(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
        }
      }
    }
    double peakSends = 0;
    for (int from = 0; from + 20 <= 40; from++) {
      peakSends = Math.max(peakSends, (double) Arrays.stream(coldSends, from, from + 20).sum());
    }
    return peakSends / (2 * 0.2 * warmSends / 2.0);
  }

  /**
   * Reports that no correct endpoint sends cause no failure, and each statement still gets its one
   * answer.
   */
  @Property(tries = 100, seed = "815", shrinking = ShrinkingMode.OFF)
  void implausibleReportsCauseNoFailureAndNoMissingAnswer(
      @ForAll boolean check, @ForAll boolean tokens, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    LoadBalancerHarness world =
        new LoadBalancerHarness(
            check, true, tokens, true, true, random.nextBoolean() ? 2 : 500, seed);
    world.listEndpoints(seed % 2 == 0 ? 1 : 3).advance(60_000).listEndpoints(3);
    AttemptOutcome[] outcomes = AttemptOutcome.values();
    double[] implausible = {Double.NaN, Double.POSITIVE_INFINITY, -3, 0.5, 1e300};
    for (int step = 0; step < 600; step++) {
      world.advance(random.nextInt(10));
      world.timeOutAttemptsPastDeadline();
      if (random.nextInt(20) == 0) {
        world.balancer.onListRequestFailed(world.now);
      }
      Moment time =
          random.nextInt(9) == 0
              ? new Moment(random.nextLong() / 8)
              : world.now.plus(ms(random.nextInt(2_000) - 1_500));
      switch (random.nextInt(4)) {
        case 0 ->
            world.receiveStatement(
                random.nextInt(6), random.nextInt(3), world.now.minus(ms(50)), 400);
        case 1 ->
            world.balancer.onPollEnded(
                world.now,
                random.nextInt(3),
                outcomes[random.nextInt(outcomes.length)],
                Role.values()[random.nextInt(3)],
                time,
                implausible[random.nextInt(implausible.length)],
                Double.NaN);
        case 2 -> {
          if (!world.attempts.isEmpty()) {
            int stepsBack = Math.min(world.attempts.size(), 1 + random.nextInt(4));
            LoadBalancerHarness.SentAttempt earlier =
                world.attempts.get(world.attempts.size() - stepsBack);
            // Some of these attempts ended before: a second outcome must be ignored.
            LoadBalancerHarness.check(
                earlier.attempt() < world.statements.get(earlier.statement()).attempts,
                "the attempt must belong to its statement");
            if (!world.endedAttempts.add(earlier)) {
              LoadBalancerHarness.check(
                  !world.balancer.onAttemptEnded(
                      world.now,
                      earlier.statement(),
                      earlier.attempt(),
                      AttemptOutcome.MISS,
                      Role.REPLICA,
                      time,
                      false),
                  "a second outcome of an attempt must be ignored");
            } else {
              world.endAttempt(
                  earlier,
                  outcomes[random.nextInt(outcomes.length)],
                  Role.values()[random.nextInt(3)],
                  time);
            }
          }
        }
        default ->
            world.balancer.onClientDisconnected(world.now, world.disconnectRandomClient(random));
      }
    }
    for (int i = 0; i < 100; i++) {
      world.advance(5);
      world.timeOutAttemptsPastDeadline();
    }
    world.endAttempts(open -> true, AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    LoadBalancerHarness.check(
        world.statements.stream().allMatch(fate -> fate.answered),
        "each statement must have an answer");
  }
}
