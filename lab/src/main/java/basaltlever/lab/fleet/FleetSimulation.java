package basaltlever.lab.fleet;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.membership.GroupAssignment;
import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.ListedEndpoint;
import basaltlever.membership.MembershipCoordinator;
import basaltlever.membership.MembershipUpdate;
import basaltlever.membership.MembershipView;
import basaltlever.settings.LeaseGrant;
import basaltlever.settings.LeaseHolder;
import basaltlever.settings.LeaseTable;
import basaltlever.settings.RouterHeartbeat;
import basaltlever.settings.SettingsVersion;
import basaltlever.settings.VersionRegister;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;

/**
 * Simulates the messages of a large fleet in virtual time. It runs the real decisions of routers
 * and leader, with delayed and lost messages, clock drift, and routers that stop and resume. The
 * Raft log is replaced by one register that answers after a fixed time. The processor time of the
 * leader's decisions is measured in real time.
 */
@Parameters(
    commandDescription =
        "Simulates large fleets in virtual time: latencies, messages, the leader's load")
public final class FleetSimulation {
  private static final Span LEASE = Span.ofMillis(400);
  private static final Span FENCING_TIME = Span.ofMillis(1_000);
  private static final Span ASSIGNMENT_LIFETIME = Span.ofMillis(30_000);
  private static final double MAX_CLOCK_DRIFT = 0.02;
  private static final int GROUP_COUNT = 20;

  /** The time to write and replicate an entry of the log. */
  private static final long LOG_WRITE_MICROS = 3_000;

  /** The probability that a message is lost. */
  private static final double MESSAGE_LOSS = 0.01;

  @Parameter(names = "--routers", description = "sizes of the fleets, separated by commas")
  private List<Integer> fleetSizes = List.of(50, 100, 200, 500);

  @Parameter(names = "--members", description = "number of endpoints in the list")
  private int memberCount = 200;

  @Parameter(names = "--seconds", description = "virtual time of each run, in seconds")
  private int durationSeconds = 30;

  @Parameter(names = "--seeds", description = "number of runs of each size")
  private int seedCount = 1;

  /** An action at a virtual time in microseconds; the sequence orders actions of equal times. */
  private record Event(long time, long sequence, Runnable action) {}

  /** A condition that is awaited; the histogram receives the time until it holds. */
  private record Expectation(long start, Histogram histogram, BooleanSupplier condition) {}

  private final class SimulatedRouter {
    final LeaseHolder leaseHolder = new LeaseHolder();
    final MembershipView membership = new MembershipView(FENCING_TIME, ASSIGNMENT_LIFETIME);
    final double clockSpeed = 1 + MAX_CLOCK_DRIFT / 2 * (2 * random.nextDouble() - 1);
    final long clockOffset = random.nextInt(1_000_000);
    final String name;
    long stoppedUntil;

    SimulatedRouter(String name) {
      this.name = name;
    }

    Moment clock() {
      return new Moment(clockOffset + (long) (nowMicros * clockSpeed));
    }
  }

  private SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
  private final List<SimulatedRouter> routers = new ArrayList<>();
  private final List<Expectation> expectations = new ArrayList<>();
  private VersionRegister register;
  private LeaseTable leases;
  private MembershipCoordinator coordinator;
  private TreeMap<String, ListedEndpoint> endpoints;
  private final Histogram inForceMicros = new Histogram(600_000_000L, 3);
  private final Histogram knownEverywhereMicros = new Histogram(600_000_000L, 3);
  private final Histogram drainKnownMicros = new Histogram(600_000_000L, 3);
  private final Histogram moveMicros = new Histogram(600_000_000L, 3);
  private long listGeneration;
  private long nowMicros;
  private long eventCount;
  private long heartbeatCount;
  private long leaderNanos;
  private int contradictionCount;
  private boolean stepInProgress;

  /**
   * Runs the simulation and returns the figures of each size. The contradictions count pairs of
   * versions in use at the same time of which neither is compatible with the other.
   */
  public List<Map<String, Object>> run() {
    List<Map<String, Object>> all = new ArrayList<>();
    for (int size : fleetSizes) {
      inForceMicros.reset();
      knownEverywhereMicros.reset();
      drainKnownMicros.reset();
      moveMicros.reset();
      heartbeatCount = 0;
      leaderNanos = 0;
      contradictionCount = 0;
      for (int seed = 1; seed <= seedCount; seed++) {
        run(size, seed);
      }
      Map<String, Object> figures = new LinkedHashMap<>();
      double virtualSeconds = (double) durationSeconds * seedCount;
      figures.put("routers", size);
      figures.put("members", memberCount);
      figures.put("contradictions", contradictionCount);
      addLatencies(figures, "in_force_ms", inForceMicros);
      addLatencies(figures, "known_everywhere_ms", knownEverywhereMicros);
      addLatencies(figures, "drain_known_ms", drainKnownMicros);
      addLatencies(figures, "moved_ms", moveMicros);
      figures.put("beats_a_router_s", heartbeatCount / virtualSeconds / size);
      figures.put("messages_at_leader_s", 2 * heartbeatCount / virtualSeconds);
      figures.put("leader_us_a_beat", leaderNanos / 1e3 / Math.max(1, heartbeatCount));
      figures.put("leader_share_of_a_core", leaderNanos / 1e9 / virtualSeconds);
      all.add(figures);
    }
    return all;
  }

  private static void addLatencies(Map<String, Object> figures, String name, Histogram histogram) {
    figures.put(name + "_p50", histogram.getValueAtPercentile(50) / 1e3);
    figures.put(name + "_most", histogram.getMaxValue() / 1e3);
    figures.put(name + "_count", histogram.getTotalCount());
  }

  private void run(int size, long seed) {
    random = new SplittableRandom(seed);
    events.clear();
    routers.clear();
    expectations.clear();
    nowMicros = 0;
    stepInProgress = false;
    listGeneration = 1;
    register = new VersionRegister();
    leases = new LeaseTable(LEASE, MAX_CLOCK_DRIFT);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      names.add("n" + i);
      routers.add(new SimulatedRouter("n" + i));
    }
    coordinator = new MembershipCoordinator(leases, names, ASSIGNMENT_LIFETIME);
    endpoints = new TreeMap<>();
    for (int i = 0; i < memberCount; i++) {
      endpoints.put("db-" + i, new ListedEndpoint(EndpointLifecycle.READY, 1 + i % GROUP_COUNT));
    }
    leases.startLeading(new Moment(0));
    coordinator.startLeading(new Moment(0), seed);
    for (SimulatedRouter router : routers) {
      deliverList(router, listGeneration, endpoints);
      schedule(random.nextInt(100_000), () -> sendHeartbeat(router));
    }
    schedule(1_000, this::runLeaderStep);
    schedule(3_000_000, this::proposeVersion);
    schedule(3_500_000, this::drainEndpoint);
    schedule(4_000_000, this::moveEndpoint);
    schedule(2_000_000, this::stopRouter);
    long endMicros = durationSeconds * 1_000_000L;
    while (!events.isEmpty() && events.peek().time <= endMicros) {
      Event next = events.poll();
      nowMicros = next.time;
      next.action.run();
    }
  }

  private void schedule(long delayMicros, Runnable action) {
    events.add(new Event(nowMicros + delayMicros, eventCount++, action));
  }

  private void sendMessage(Runnable action) {
    if (random.nextDouble() >= MESSAGE_LOSS) {
      schedule(200 + random.nextInt(2_000), action);
    }
  }

  private void sendHeartbeat(SimulatedRouter router) {
    schedule(80_000 + random.nextInt(40_000), () -> sendHeartbeat(router));
    if (nowMicros < router.stoppedUntil) {
      return;
    }
    LeaseHolder leaseHolder = router.leaseHolder;
    leaseHolder.restrictIfExpired(router.clock());
    long number = leaseHolder.registerHeartbeat(router.clock());
    long versionInForce = leaseHolder.inForce() == null ? 0 : leaseHolder.inForce().number();
    long acknowledgedVersion = leaseHolder.acknowledgedVersion();
    boolean active = !leaseHolder.isRestricted();
    HeartbeatReport report = router.membership.createReport(router.clock(), endpoint -> true);
    sendMessage(
        () -> {
          heartbeatCount++;
          long startNanos = System.nanoTime();
          LeaseGrant grant =
              leases.answerHeartbeat(
                  new Moment(nowMicros),
                  new RouterHeartbeat(
                      router.name, 1, number, versionInForce, acknowledgedVersion, 0, "", active),
                  register);
          MembershipUpdate update =
              coordinator.answerHeartbeat(new Moment(nowMicros), router.name, report, register);
          leaderNanos += System.nanoTime() - startNanos;
          sendMessage(
              () -> {
                if (nowMicros >= router.stoppedUntil) {
                  router.membership.receiveUpdate(router.clock(), update);
                  leaseHolder.acceptGrant(router.clock(), grant);
                  if (grant.duration().micros() > 0) {
                    router.membership.extendLease(leaseHolder.leaseEnd());
                  }
                }
              });
        });
  }

  /** Confirms the leadership as a majority would, and carries out the leader's next step. */
  private void runLeaderStep() {
    schedule(LEASE.micros() / 4, this::runLeaderStep);
    Moment sentAt = new Moment(nowMicros);
    schedule(
        LOG_WRITE_MICROS,
        () -> {
          leases.confirmLeadership(sentAt);
          if (stepInProgress) {
            return;
          }
          long startNanos = System.nanoTime();
          LeaseTable.Step step = leases.nextStep(new Moment(nowMicros), register);
          MembershipCoordinator.Step membershipStep =
              coordinator.nextStep(new Moment(nowMicros), register);
          leaderNanos += System.nanoTime() - startNanos;
          stepInProgress = true;
          schedule(
              LOG_WRITE_MICROS,
              () -> {
                stepInProgress = false;
                applyStep(step, membershipStep);
              });
        });
    checkRouters();
  }

  private void applyStep(LeaseTable.Step step, MembershipCoordinator.Step membershipStep) {
    switch (step.kind()) {
      case BRING_INTO_FORCE -> register.bringIntoForce(step.number());
      case WITHDRAW -> register.withdraw(step.number(), step.reason());
      case SET_ROUTER_COUNT ->
          register.propose(
              step.number(), register.inForce().settingsJson(), step.routers(), "fleet", "", 0);
      default -> {
        switch (membershipStep.kind()) {
          case ASSIGN ->
              membershipStep
                  .assignments()
                  .forEach(
                      assignment ->
                          register.assignGroup(
                              assignment.endpoint(), assignment.group(), assignment.listVersion()));
          case CLEAR ->
              membershipStep
                  .assignments()
                  .forEach(assignment -> register.clearAssignment(assignment.endpoint()));
          case START_NEW_ERA -> register.startNewEra(register.era());
          default -> {}
        }
      }
    }
  }

  private void expect(Histogram histogram, BooleanSupplier condition) {
    expectations.add(new Expectation(nowMicros, histogram, condition));
  }

  private boolean isActive(SimulatedRouter router) {
    return nowMicros >= router.stoppedUntil && !router.leaseHolder.isRestricted();
  }

  private void checkRouters() {
    expectations.removeIf(
        expectation -> {
          boolean holds = expectation.condition.getAsBoolean();
          if (holds) {
            expectation.histogram.recordValue(Math.max(1, nowMicros - expectation.start));
          }
          return holds;
        });
    Set<List<Long>> appliedVersions = new HashSet<>();
    for (SimulatedRouter router : routers) {
      router.leaseHolder.restrictIfExpired(router.clock());
      if (isActive(router)) {
        SettingsVersion prepared = router.leaseHolder.prepared();
        appliedVersions.add(
            List.of(
                router.leaseHolder.inForce().number(), prepared == null ? -1 : prepared.number()));
      }
    }
    for (List<Long> first : appliedVersions) {
      for (List<Long> second : appliedVersions) {
        boolean consistent =
            first.get(0).equals(second.get(0))
                || first.get(1).equals(second.get(0))
                || second.get(1).equals(first.get(0));
        contradictionCount += consistent ? 0 : 1;
      }
    }
  }

  private void proposeVersion() {
    schedule(2_000_000, this::proposeVersion);
    if (register
        .propose(
            register.inForce().number(),
            "v" + eventCount,
            register.inForce().routers(),
            "operator",
            "",
            0)
        .isEmpty()) {
      long number = register.lastNumber();
      expect(inForceMicros, () -> register.inForce().number() >= number);
      expect(
          knownEverywhereMicros,
          () ->
              routers.stream()
                  .allMatch(
                      router ->
                          !isActive(router) || router.leaseHolder.inForce().number() >= number));
    }
  }

  private void deliverList(
      SimulatedRouter router, long generation, SortedMap<String, ListedEndpoint> list) {
    router.membership.receiveList(router.clock(), true, generation, list);
  }

  private void changeEndpoint(String endpoint, ListedEndpoint listed) {
    endpoints = new TreeMap<>(endpoints);
    endpoints.put(endpoint, listed);
    listGeneration++;
  }

  private String chooseReadyEndpoint() {
    List<String> ready =
        endpoints.entrySet().stream()
            .filter(entry -> entry.getValue().lifecycle() == EndpointLifecycle.READY)
            .map(Map.Entry::getKey)
            .toList();
    return ready.get(random.nextInt(ready.size()));
  }

  /** Drains an endpoint: one router is notified at once, the others 1.5 s later. */
  private void drainEndpoint() {
    schedule(3_000_000, this::drainEndpoint);
    String endpoint = chooseReadyEndpoint();
    changeEndpoint(
        endpoint, new ListedEndpoint(EndpointLifecycle.DRAINING, endpoints.get(endpoint).group()));
    long generation = listGeneration;
    TreeMap<String, ListedEndpoint> list = endpoints;
    boolean first = true;
    for (SimulatedRouter router : routers) {
      if (first && isActive(router)) {
        first = false;
        deliverList(router, generation, list);
      } else {
        schedule(1_500_000, () -> deliverList(router, generation, list));
      }
    }
    expect(
        drainKnownMicros,
        () ->
            routers.stream()
                .noneMatch(
                    router ->
                        isActive(router)
                            && router.membership.determineUse(router.clock(), endpoint).lifecycle()
                                == EndpointLifecycle.READY));
  }

  private void moveEndpoint() {
    schedule(6_000_000, this::moveEndpoint);
    String endpoint = chooseReadyEndpoint();
    int group = 1 + endpoints.get(endpoint).group() % GROUP_COUNT;
    changeEndpoint(endpoint, new ListedEndpoint(EndpointLifecycle.READY, group));
    long generation = listGeneration;
    TreeMap<String, ListedEndpoint> list = endpoints;
    routers.forEach(
        router -> schedule(random.nextInt(50_000), () -> deliverList(router, generation, list)));
    expect(
        moveMicros,
        () -> {
          GroupAssignment assignment = register.groupAssignment(endpoint);
          return assignment.cleared()
              && assignment.group() == group
              && routers.stream()
                  .allMatch(
                      router ->
                          !isActive(router)
                              || router
                                  .membership
                                  .determineUse(router.clock(), endpoint)
                                  .equals(
                                      new MembershipView.EndpointUse(
                                          EndpointLifecycle.READY, group)));
        });
  }

  private void stopRouter() {
    schedule(1_000_000, this::stopRouter);
    routers.get(random.nextInt(routers.size())).stoppedUntil =
        nowMicros + 200_000 + random.nextInt(600_000);
  }
}
