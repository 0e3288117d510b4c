package basaltlever.endpoints;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.balancer.LoadBalancer;
import basaltlever.gateway.AttemptLimits;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.DecisionSink;
import basaltlever.gateway.DrainPolicy;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.PoolSettings;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Replication;
import basaltlever.gateway.Role;
import basaltlever.gateway.RouterIdentity;
import basaltlever.gateway.Settings;
import basaltlever.gateway.SlowStartPolicy;
import basaltlever.gateway.StatementRequest;
import basaltlever.gateway.Workload;
import basaltlever.hold.HoldBudget;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Tests in virtual time that endpoints which have just started are not overloaded by the sum of
 * what all routers send: a hundred routers use subsets of large groups, or many small groups, and
 * the arrivals at each restarted server are compared with its budget.
 */
class SlowStartFleetTest {
  private static final int ROUTERS = 100;
  private static final double STATEMENTS_PER_SECOND = 10;
  private static final Span MEAN_WORK_TIME = Span.ofMillis(80);
  private static final Span WARM_UP_TIME = Span.ofMillis(9_000);
  private static final double INITIAL_SHARE = 0.25;
  private static final double OVERLOAD_FACTOR = 4;
  private static final double WRITE_SHARE = 0.15;
  private static final long RESTART_MILLIS = 8_000;
  private static final long END_MILLIS = 18_000;

  private record Event(Moment at, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong((Event one) -> one.at.micros()).thenComparingLong(Event::order));
  private final Moment start = new Moment(1_000_000_000_000L);
  private Moment now = start;
  private long nextOrder;

  private static final Workload READ =
      new Workload(
          Workload.ReadConsistency.ANY,
          Span.NONE,
          Workload.Idempotency.IDEMPOTENT,
          Workload.DeduplicationScope.GROUP,
          Span.NONE,
          Span.ofMillis(600),
          Span.ofMillis(2_000),
          1,
          0,
          true);

  private static final Workload WRITE =
      new Workload(
          Workload.ReadConsistency.WRITE,
          Span.NONE,
          Workload.Idempotency.NON_IDEMPOTENT,
          Workload.DeduplicationScope.GROUP,
          Span.NONE,
          Span.ofMillis(1_000),
          Span.ofMillis(2_000),
          4,
          0.5,
          true);

  private final class Router implements DecisionSink {
    private final LoadBalancer balancer;
    private final SplittableRandom random;
    private final List<List<Moment>> arrivals;
    private final int groups;
    private final int groupSize;
    private int statements;
    private int served;
    private int rejected;

    Router(
        int index,
        int groups,
        int groupSize,
        SplittableRandom random,
        List<List<Moment>> arrivals) {
      this.random = random;
      this.arrivals = arrivals;
      this.groups = groups;
      this.groupSize = groupSize;
      balancer =
          new LoadBalancer(
              this,
              random.split(),
              new Settings(
                  new RouterIdentity(ROUTERS, index, 0),
                  new Workload[] {READ, WRITE},
                  new Replication(true, true, true),
                  new DrainPolicy(false, Span.ofMillis(10_000), true),
                  new SlowStartPolicy(
                      INITIAL_SHARE, WARM_UP_TIME, OVERLOAD_FACTOR, Span.ofMillis(1_000)),
                  new AttemptLimits(4, true, true, true, Span.ofMillis(1_000), Span.ofMillis(20)),
                  new PoolSettings(1, Span.ofMillis(15_000), Span.ofMillis(250))),
              new HoldBudget(1_000, 1 << 20),
              now);
      sendList(groups, groupSize, Moment.LONG_AGO, endpoint -> false);
    }

    void sendList(
        int groups, int groupSize, Moment startedAt, java.util.function.IntPredicate restarted) {
      balancer.onListStarted();
      for (int endpoint = 0; endpoint < groups * groupSize; endpoint++) {
        balancer.onEndpointListed(
            now,
            endpoint,
            EndpointLifecycle.READY,
            endpoint / groupSize,
            0,
            1,
            restarted.test(endpoint) ? startedAt : Moment.LONG_AGO);
        balancer.setRingOrder(endpoint, endpoint * 0x9E3779B1);
      }
      balancer.onListFinished(now, true, true);
    }

    void sendNextStatement() {
      balancer.onStatementReceived(
          now,
          statements++,
          new StatementRequest(
              random.nextDouble() < WRITE_SHARE ? 1 : 0,
              random.nextInt(groups),
              0,
              now.plus(Span.ofMillis(2_000)),
              Moment.LONG_AGO,
              100));
      schedule(
          new Span((long) (-Math.log(1 - random.nextDouble()) / STATEMENTS_PER_SECOND * 1e6)),
          this::sendNextStatement);
    }

    @Override
    public void startAttempt(int statement, int endpoint, Span timeout, Moment sendBy) {
      arrivals.get(endpoint).add(now);
      schedule(
          MEAN_WORK_TIME.times(0.5 + random.nextDouble()),
          () -> {
            served +=
                balancer.onAttemptEnded(
                        now,
                        statement,
                        0,
                        AttemptOutcome.COMPLETED,
                        role(endpoint),
                        Moment.LONG_AGO,
                        true)
                    ? 1
                    : 0;
          });
    }

    @Override
    public void poll(int endpoint) {
      schedule(
          Span.ofMillis(5),
          () ->
              balancer.onPollEnded(
                  now, endpoint, AttemptOutcome.COMPLETED, role(endpoint), now, 0.3, Double.NaN));
    }

    private Role role(int endpoint) {
      return endpoint % groupSize == 0 ? Role.PRIMARY : Role.REPLICA;
    }

    @Override
    public void setTimer(Span fromNow) {
      schedule(fromNow.longer(Span.ofMillis(1)), () -> balancer.onTimerFired(now));
    }

    @Override
    public void reject(int statement, Span retryAfter, RejectReason reason) {
      rejected++;
    }

    @Override
    public void abort(int statement) {
      rejected++;
    }

    @Override
    public void cancel(int statement, int attempt) {}

    @Override
    public void closeIdleConnections(int endpoint) {}

    @Override
    public void onEndpointRemoved(int endpoint) {}

    @Override
    public void watchEndpointList() {}

    @Override
    public void openConnections(int endpoint, int connections) {}

    @Override
    public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, int target) {}

    @Override
    public void onPrimaryChanged(int group, int endpoint, boolean found) {}
  }

  private void schedule(Span delay, Runnable action) {
    events.add(new Event(now.plus(delay), nextOrder++, action));
  }

  private void runUntil(Moment end) {
    while (!events.isEmpty() && !events.peek().at.isAfter(end)) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
    }
    now = end;
  }

  /**
   * Returns the largest excess of statements over the server's budget in any second of its warm-up;
   * 0 if there was none.
   */
  private static double excessOverBudget(
      List<Moment> arrivals, Moment startedAt, double capacityPerSecond) {
    ArrayDeque<Moment> window = new ArrayDeque<>();
    double maxExcess = 0;
    for (Moment at : arrivals) {
      if (at.isBefore(startedAt) || !at.since(startedAt).isShorterThan(WARM_UP_TIME)) {
        continue;
      }
      window.add(at);
      while (at.since(window.peek()).isLongerThan(Span.ofMillis(1_000))) {
        window.poll();
      }
      double warmUpShare =
          INITIAL_SHARE + (1 - INITIAL_SHARE) * at.since(startedAt).ratioTo(WARM_UP_TIME);
      double allowed = OVERLOAD_FACTOR * warmUpShare * capacityPerSecond;
      double budget =
          allowed < 30
              ? allowed + 3 * Math.sqrt(allowed) + 3
              : allowed + 2 * Math.sqrt(allowed) + 2;
      maxExcess = Math.max(maxExcess, window.size() - budget);
    }
    return maxExcess;
  }

  private void checkFleet(int groups, int groupSize, double restartedShare, long seed) {
    now = start;
    events.clear();
    SplittableRandom random = new SplittableRandom(seed);
    List<List<Moment>> arrivals = new ArrayList<>();
    for (int endpoint = 0; endpoint < groups * groupSize; endpoint++) {
      arrivals.add(new ArrayList<>());
    }
    List<Router> routers = new ArrayList<>();
    for (int i = 0; i < ROUTERS; i++) {
      routers.add(new Router(i, groups, groupSize, random.split(), arrivals));
      schedule(new Span(random.nextLong(1_000_000)), routers.get(i)::sendNextStatement);
    }
    runUntil(start.plus(Span.ofMillis(RESTART_MILLIS)));
    Moment startedAt = now;
    boolean[] restarted = new boolean[arrivals.size()];
    for (int endpoint = 0; endpoint < restarted.length; endpoint++) {
      restarted[endpoint] = random.nextDouble() < restartedShare;
    }
    for (Router router : routers) {
      router.sendList(groups, groupSize, startedAt, endpoint -> restarted[endpoint]);
    }
    runUntil(start.plus(Span.ofMillis(END_MILLIS)));
    int toRestarted = checkBudgets(groups, groupSize, arrivals, restarted, startedAt);
    check(
        toRestarted > served(routers) / 50,
        "expected more than 2% of the statements at restarted servers, got " + toRestarted);
    int served = served(routers);
    int rejected = routers.stream().mapToInt(router -> router.rejected).sum();
    check(
        rejected < served / 20,
        "expected less than 5% rejected: served "
            + served
            + ", rejected "
            + rejected
            + ", sent to restarted servers: "
            + toRestarted);
  }

  /**
   * Checks that no restarted server got more than its budget; returns the statements sent to all
   * restarted servers.
   */
  private int checkBudgets(
      int groups,
      int groupSize,
      List<List<Moment>> arrivals,
      boolean[] restarted,
      Moment startedAt) {
    double totalRate = ROUTERS * STATEMENTS_PER_SECOND;
    double readRate = 1.6 * totalRate / arrivals.size();
    double primaryRate = readRate + 1.6 * WRITE_SHARE * totalRate / groups;
    int toRestarted = 0;
    for (int endpoint = 0; endpoint < restarted.length; endpoint++) {
      double excess =
          restarted[endpoint]
              ? excessOverBudget(
                  arrivals.get(endpoint),
                  startedAt,
                  endpoint % groupSize == 0 ? primaryRate : readRate)
              : 0;
      check(
          excess <= 0,
          "server "
              + endpoint
              + " of "
              + groups
              + "x"
              + groupSize
              + " got "
              + excess
              + " statements over its budget");
      toRestarted +=
          restarted[endpoint]
              ? (int) arrivals.get(endpoint).stream().filter(at -> at.isAfter(startedAt)).count()
              : 0;
    }
    return toRestarted;
  }

  private static int served(List<Router> routers) {
    return routers.stream().mapToInt(router -> router.served).sum();
  }

  @Property(tries = 2, seed = "4101", shrinking = ShrinkingMode.OFF)
  void restartOfAThirdOfLargeGroupsStaysWithinBudgets(@ForAll long seed) {
    checkFleet(8, 64, 0.33, seed);
  }

  @Property(tries = 2, seed = "4102", shrinking = ShrinkingMode.OFF)
  void restartOfAThirdOfManySmallGroupsStaysWithinBudgets(@ForAll long seed) {
    checkFleet(160, 6, 0.33, seed);
  }
}
