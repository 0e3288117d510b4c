package basaltlever;

import static basaltlever.StandIn.check;
import static basaltlever.StandIn.ms;

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
 * Seeded random runs over all combinations of start values; {@link StandIn} checks the five rules
 * at each action.
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
    StandIn world =
        new StandIn(check, positions, tokens, onRequest, copies, seed % 2 == 0 ? 2 : 300, seed);
    world.playWith(random.split(), 3 + random.nextInt(3));
    for (int step = 0; step < 800; step++) {
      world.run(random.nextInt(1, 20));
      for (int n = random.nextInt(3); n > 0; n--) {
        world.take(
            random.nextInt(6),
            random.nextInt(5),
            random.nextInt(3) == 0 ? Moment.LONG_AGO : world.now.minus(ms(random.nextInt(400))),
            100 + random.nextInt(1_500));
      }
      if (random.nextInt(25) == 0) {
        injectRandomFault(world, random);
      }
    }
    world.run(4_000);
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
    StandIn world = new StandIn(check, positions, true, onRequest, copies, 2, seed);
    world.playWith(random.split(), 3);
    Workload[] initialWorkloads = Arrays.copyOf(world.workloads, 6);
    List<Integer> usableWorkloads = new ArrayList<>(List.of(0, 1, 2, 3, 4, 5));
    for (int step = 0; step < 800; step++) {
      world.run(random.nextInt(1, 20));
      for (int n = random.nextInt(3); n > 0; n--) {
        world.take(
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
        world.agree(next);
      }
    }
    world.run(4_000);
  }

  static void injectRandomFault(StandIn world, SplittableRandom random) {
    int id = random.nextInt(world.members.size());
    StandIn.Member endpoint = world.members.get(id);
    switch (random.nextInt(7)) {
      case 0 -> {
        endpoint.alive = !endpoint.alive;
        if (endpoint.alive) {
          endpoint.startedAt = world.now;
          endpoint.primary = false;
          endpoint.sends.clear();
        }
      }
      case 1 -> endpoint.hangs = !endpoint.hangs;
      case 2 -> endpoint.failing = random.nextBoolean() ? 0 : 0.7;
      case 3, 4 -> {
        if (endpoint.alive && !endpoint.hangs) {
          world.members.forEach(
              other -> {
                other.position = other.primary && other.alive ? world.now : other.position;
                other.primary = false;
              });
          endpoint.primary = true;
          endpoint.wasPrimary = true;
          endpoint.toldReplica = false;
        }
      }
      case 5 -> {
        endpoint.listedReady = !endpoint.listedReady;
        world.listAll();
      }
      default -> world.listAll();
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
      StandIn world = new StandIn(true, true, true, false, true, 150, random.nextLong()).steady(20);
      int statementInterval = router % 10 == 0 ? 2 : 20;
      for (int i = random.nextInt(statementInterval), step = 0; step < 240; step++) {
        world.later(50).poll(0, Role.PRIMARY, world.now);
        world.poll(1, Role.REPLICA, world.now);
        world.poll(2, Role.REPLICA, world.now);
        if (step == 120) {
          world.relist(1, EndpointLifecycle.READY, world.now);
        }
        if ((step + i) % statementInterval == 0) {
          world.take(StandIn.ANY);
        }
        if (!world.sent.isEmpty() && world.ended.add(world.last())) {
          warmSends += step >= 80 && step < 120 && world.last().node() == 2 ? 1 : 0;
          coldSends[Math.max(0, step - 120)] += step >= 120 && world.last().node() == 1 ? 1 : 0;
          world.end(world.last(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
        }
      }
    }
    for (int from = 0; from + 20 <= 60; from++) {
      long inWindow = Arrays.stream(coldSends, from, from + 20).sum();
      StandIn.check(
          inWindow <= 2 * 0.2 * warmSends / 2.0,
          "expected a lower load of the cold endpoint: " + inWindow + " of " + warmSends / 2);
    }
    StandIn.check(
        Arrays.stream(coldSends).sum() > 5, "the cold endpoint gets statements to warm up");
  }

  /**
   * An endpoint restarts without a new start time in the list, and all routers restart halfway
   * through its slow-start budget. Without restored snapshots the routers treat the endpoint as
   * warm and overload it.
   */
  @Property(tries = 6, seed = "1730", shrinking = ShrinkingMode.OFF)
  void routersRestartedTogetherDoNotOverloadAColdEndpoint(@ForAll long seed) {
    StandIn.check(
        peakColdEndpointLoad(seed, true) <= 1,
        "with snapshots the cold endpoint must not be overloaded");
    StandIn.check(
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
      StandIn world = new StandIn(true, true, true, false, true, 150, random.nextLong()).steady(20);
      int statementInterval = router % 10 == 0 ? 2 : 20;
      for (int i = random.nextInt(statementInterval), step = 0; step < 160; step++) {
        world.later(50).poll(0, Role.PRIMARY, world.now);
        if (step < 80 || step > 105) {
          world.poll(1, Role.REPLICA, world.now);
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
        world.poll(2, Role.REPLICA, world.now);
        if (step == 120) {
          StandIn before = world;
          world = new StandIn(true, true, true, false, true, 150, random.nextLong());
          world.now = before.now.plus(StandIn.ms(1_000));
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
                      StateDecay.aged(
                          before.balancer.learnedState().endpointState(before.now, endpoint),
                          StandIn.ms(1_000)));
            }
          }
          world.balancer.onListFinished(world.now, true, true);
          for (int endpoint = 0; endpoint < 3; endpoint++) {
            world.poll(endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, world.now);
          }
        }
        if ((step + i) % statementInterval == 0) {
          world.take(StandIn.ANY);
        }
        if (!world.sent.isEmpty() && world.ended.add(world.last())) {
          warmSends += step >= 40 && step < 80 && world.last().node() == 2 ? 1 : 0;
          coldSends[Math.max(0, step - 120)] += step >= 120 && world.last().node() == 1 ? 1 : 0;
          world.end(world.last(), AttemptOutcome.COMPLETED, Role.REPLICA, world.now);
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
    StandIn world =
        new StandIn(check, true, tokens, true, true, random.nextBoolean() ? 2 : 500, seed);
    world.list(seed % 2 == 0 ? 1 : 3).later(60_000).list(3);
    AttemptOutcome[] outcomes = AttemptOutcome.values();
    double[] implausible = {Double.NaN, Double.POSITIVE_INFINITY, -3, 0.5, 1e300};
    for (int step = 0; step < 600; step++) {
      world.later(random.nextInt(10));
      world.timeOutWhoseClientLeft();
      if (random.nextInt(20) == 0) {
        world.balancer.onListRequestFailed(world.now);
      }
      Moment time =
          random.nextInt(9) == 0
              ? new Moment(random.nextLong() / 8)
              : world.now.plus(ms(random.nextInt(2_000) - 1_500));
      switch (random.nextInt(4)) {
        case 0 -> world.take(random.nextInt(6), random.nextInt(3), world.now.minus(ms(50)), 400);
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
          if (!world.sent.isEmpty()) {
            int stepsBack = Math.min(world.sent.size(), 1 + random.nextInt(4));
            StandIn.Sent earlier = world.sent.get(world.sent.size() - stepsBack);
            // Some of these attempts ended before: a second outcome must be ignored.
            StandIn.check(
                earlier.execution() < world.fates.get(earlier.statement()).executions,
                "the attempt must belong to its statement");
            if (!world.ended.add(earlier)) {
              StandIn.check(
                  !world.balancer.onAttemptEnded(
                      world.now,
                      earlier.statement(),
                      earlier.execution(),
                      AttemptOutcome.MISS,
                      Role.REPLICA,
                      time,
                      false),
                  "a second outcome of an attempt must be ignored");
            } else {
              world.end(
                  earlier,
                  outcomes[random.nextInt(outcomes.length)],
                  Role.values()[random.nextInt(3)],
                  time);
            }
          }
        }
        default -> world.balancer.onClientDisconnected(world.now, world.leave(random));
      }
    }
    for (int i = 0; i < 100; i++) {
      world.later(5);
      world.timeOutWhoseClientLeft();
    }
    world.endThose(open -> true, AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
    StandIn.check(
        world.fates.stream().allMatch(fate -> fate.answered), "each statement must have an answer");
  }
}
