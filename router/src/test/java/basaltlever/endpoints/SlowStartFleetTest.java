package basaltlever.endpoints;

import static basaltlever.StandIn.check;

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
 * Rule 4 under the sum of a whole fleet, in virtual time: a hundred routers with subsets of large
 * groups, or with many small groups, send to servers that have just started. Each server's arrivals
 * are held against its budget.
 */
class SlowStartFleetTest {
  private static final int ROUTERS = 100;
  private static final double STATEMENTS_PER_SECOND = 10;
  private static final Span WORK = Span.ofMillis(80);
  private static final Span WARMS_IN = Span.ofMillis(9_000);
  private static final double COLD_FROM = 0.25;
  private static final double FALL_MULTIPLE = 4;
  private static final double WRITES = 0.15;
  private static final long STARTED_MILLIS = 8_000;
  private static final long ENDS_MILLIS = 18_000;

  private record Due(Moment at, long order, Runnable act) {}

  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          Comparator.comparingLong((Due one) -> one.at.micros()).thenComparingLong(Due::order));
  private final Moment start = new Moment(1_000_000_000_000L);
  private Moment now = start;
  private long order;

  /** One router, and what its decisions want done. */
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
          0);

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
          0.5);

  private final class Router implements DecisionSink {
    private final LoadBalancer balancer;
    private final SplittableRandom random;
    private final List<List<Moment>> arrivals;
    private final int groups;
    private final int members;
    private int statements;
    private int served;
    private int refused;

    Router(
        int index, int groups, int members, SplittableRandom random, List<List<Moment>> arrivals) {
      this.random = random;
      this.arrivals = arrivals;
      this.groups = groups;
      this.members = members;
      balancer =
          new LoadBalancer(
              this,
              random.split(),
              new Settings(
                  new RouterIdentity(ROUTERS, index, 0, 0.01, 0.02),
                  new Workload[] {READ, WRITE},
                  new Replication(true, true, true),
                  new DrainPolicy(false, Span.ofMillis(10_000), true),
                  new SlowStartPolicy(COLD_FROM, WARMS_IN, FALL_MULTIPLE, Span.ofMillis(1_000)),
                  new AttemptLimits(4, true, true, true, Span.ofMillis(1_000), Span.ofMillis(20)),
                  new PoolSettings(1, Span.ofMillis(15_000))),
              new HoldBudget(1_000, 1 << 20),
              now);
      list(groups, members, Moment.LONG_AGO, node -> false);
    }

    void list(
        int groups, int members, Moment startedAt, java.util.function.IntPredicate restarted) {
      balancer.listStarted();
      for (int node = 0; node < groups * members; node++) {
        balancer.endpointListed(
            now,
            node,
            EndpointLifecycle.READY,
            node / members,
            0,
            1,
            restarted.test(node) ? startedAt : Moment.LONG_AGO);
        balancer.ringOrderKnown(node, node * 0x9E3779B1);
      }
      balancer.listFinished(now, true, true);
    }

    void traffic() {
      balancer.statementReceived(
          now,
          statements++,
          new StatementRequest(
              random.nextDouble() < WRITES ? 1 : 0,
              random.nextInt(groups),
              0,
              now.plus(Span.ofMillis(2_000)),
              Moment.LONG_AGO,
              100));
      after(
          new Span((long) (-Math.log(1 - random.nextDouble()) / STATEMENTS_PER_SECOND * 1e6)),
          this::traffic);
    }

    @Override
    public void startAttempt(int statement, int node, Span timeout, Moment sendBy) {
      arrivals.get(node).add(now);
      after(
          WORK.times(0.5 + random.nextDouble()),
          () -> {
            served +=
                balancer.attemptEnded(
                        now,
                        statement,
                        0,
                        AttemptOutcome.COMPLETED,
                        role(node),
                        Moment.LONG_AGO,
                        true)
                    ? 1
                    : 0;
          });
    }

    @Override
    public void poll(int node) {
      after(
          Span.ofMillis(5),
          () ->
              balancer.pollEnded(
                  now, node, AttemptOutcome.COMPLETED, role(node), now, 0.3, Double.NaN));
    }

    private Role role(int node) {
      return node % members == 0 ? Role.PRIMARY : Role.REPLICA;
    }

    @Override
    public void setTimer(Span fromNow) {
      after(fromNow.longer(Span.ofMillis(1)), () -> balancer.timerFired(now));
    }

    @Override
    public void reject(int statement, Span comeBackAfter, RejectReason reason) {
      refused++;
    }

    @Override
    public void abort(int statement) {
      refused++;
    }

    @Override
    public void cancel(int statement, int execution) {}

    @Override
    public void closeIdleConnections(int node) {}

    @Override
    public void onEndpointRemoved(int node) {}

    @Override
    public void watchEndpointList() {}

    @Override
    public void openConnections(int node, int connections) {}

    @Override
    public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, int target) {}

    @Override
    public void onPrimaryChanged(int group, int node, boolean found) {}
  }

  private void after(Span span, Runnable act) {
    due.add(new Due(now.plus(span), order++, act));
  }

  private void runUntil(Moment end) {
    while (!due.isEmpty() && !due.peek().at.isAfter(end)) {
      Due next = due.poll();
      now = next.at;
      next.act.run();
    }
    now = end;
  }

  /** Statements beyond the budget of a server at its worst moment; 0 where it bore all. */
  private static double beyondBudget(
      List<Moment> arrivals, Moment startedAt, double capacityPerSecond) {
    ArrayDeque<Moment> window = new ArrayDeque<>();
    double worst = 0;
    for (Moment at : arrivals) {
      if (at.isBefore(startedAt) || !at.since(startedAt).isShorterThan(WARMS_IN)) {
        continue;
      }
      window.add(at);
      while (at.since(window.peek()).isLongerThan(Span.ofMillis(1_000))) {
        window.poll();
      }
      double warmth = COLD_FROM + (1 - COLD_FROM) * at.since(startedAt).over(WARMS_IN);
      double allowed = FALL_MULTIPLE * warmth * capacityPerSecond;
      double budget =
          allowed < 30
              ? allowed + 3 * Math.sqrt(allowed) + 3
              : allowed + 2 * Math.sqrt(allowed) + 2;
      worst = Math.max(worst, window.size() - budget);
    }
    return worst;
  }

  private void play(int groups, int members, double restartedShare, long seed) {
    now = start;
    due.clear();
    SplittableRandom random = new SplittableRandom(seed);
    List<List<Moment>> arrivals = new ArrayList<>();
    for (int node = 0; node < groups * members; node++) {
      arrivals.add(new ArrayList<>());
    }
    List<Router> routers = new ArrayList<>();
    for (int i = 0; i < ROUTERS; i++) {
      routers.add(new Router(i, groups, members, random.split(), arrivals));
      after(new Span(random.nextLong(1_000_000)), routers.get(i)::traffic);
    }
    runUntil(start.plus(Span.ofMillis(STARTED_MILLIS)));
    Moment startedAt = now;
    boolean[] restarted = new boolean[arrivals.size()];
    for (int node = 0; node < restarted.length; node++) {
      restarted[node] = random.nextDouble() < restartedShare;
    }
    for (Router router : routers) {
      router.list(groups, members, startedAt, node -> restarted[node]);
    }
    runUntil(start.plus(Span.ofMillis(ENDS_MILLIS)));
    int toCold = checkBudgets(groups, members, arrivals, restarted, startedAt);
    check(toCold > served(routers) / 50, "they were used: " + toCold);
    int served = served(routers);
    int refused = routers.stream().mapToInt(router -> router.refused).sum();
    check(
        refused < served / 20,
        "served " + served + ", refused " + refused + ", to cold ones " + toCold);
  }

  /** Checks that no restarted server got too much; returns what all of them got. */
  private int checkBudgets(
      int groups, int members, List<List<Moment>> arrivals, boolean[] restarted, Moment startedAt) {
    double all = ROUTERS * STATEMENTS_PER_SECOND;
    double reader = 1.6 * all / arrivals.size();
    double primary = reader + 1.6 * WRITES * all / groups;
    int toCold = 0;
    for (int node = 0; node < restarted.length; node++) {
      double beyond =
          restarted[node]
              ? beyondBudget(arrivals.get(node), startedAt, node % members == 0 ? primary : reader)
              : 0;
      check(
          beyond <= 0,
          "server " + node + " of " + groups + "x" + members + " got " + beyond + " too many");
      toCold +=
          restarted[node]
              ? (int) arrivals.get(node).stream().filter(at -> at.isAfter(startedAt)).count()
              : 0;
    }
    return toCold;
  }

  private static int served(List<Router> routers) {
    return routers.stream().mapToInt(router -> router.served).sum();
  }

  @Property(tries = 2, seed = "4101", shrinking = ShrinkingMode.OFF)
  void aThirdOfLargeGroupsStartsAtOnce(@ForAll long seed) {
    play(8, 64, 0.33, seed);
  }

  @Property(tries = 2, seed = "4102", shrinking = ShrinkingMode.OFF)
  void aThirdOfManySmallGroupsStartsAtOnce(@ForAll long seed) {
    play(160, 6, 0.33, seed);
  }
}
