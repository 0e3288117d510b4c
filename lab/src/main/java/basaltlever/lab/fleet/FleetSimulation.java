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
 * A large fleet's talk in virtual time: the routers' and the leader's own decisions, with messages
 * that take a while and get lost, clocks that drift, routers that stop and start anew. The engine
 * is stood in for by one register that answers after a fixed while. What the leader's decisions
 * cost is measured as they run.
 */
@Parameters(
    commandDescription =
        "Plays the talk of large fleets in virtual time: times, messages, the leader's load")
public final class FleetSimulation {
  private static final Span LEASE = Span.ofMillis(400);
  private static final Span FENCING_TIME = Span.ofMillis(1_000);
  private static final Span ASSIGNMENT_LIFETIME = Span.ofMillis(30_000);
  private static final double MAX_CLOCK_DRIFT = 0.02;
  private static final int GROUP_COUNT = 20;
  private static final long LOG_WRITE_MICROS = 3_000;
  private static final double MESSAGE_LOSS = 0.01;

  @Parameter(names = "--routers", description = "sizes of fleets, with commas")
  private List<Integer> fleetSizes = List.of(50, 100, 200, 500);

  @Parameter(names = "--members", description = "of the list")
  private int memberCount = 200;

  @Parameter(names = "--seconds", description = "of virtual time for each fleet")
  private int durationSeconds = 30;

  @Parameter(names = "--seeds", description = "how many runs of each size")
  private int seedCount = 1;

  private record Event(long time, long sequence, Runnable action) {}

  /** What is waited for until every router has it. */
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
   * The figures of each size; contradictions count pairs that acted on versions neither of which
   * keeps.
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
      Map<String, Object> told = new LinkedHashMap<>();
      double virtual = (double) durationSeconds * seedCount;
      told.put("routers", size);
      told.put("members", memberCount);
      told.put("contradictions", contradictionCount);
      tell(told, "in_force_ms", inForceMicros);
      tell(told, "known_everywhere_ms", knownEverywhereMicros);
      tell(told, "drain_known_ms", drainKnownMicros);
      tell(told, "moved_ms", moveMicros);
      told.put("beats_a_router_s", heartbeatCount / virtual / size);
      told.put("messages_at_leader_s", 2 * heartbeatCount / virtual);
      told.put("leader_us_a_beat", leaderNanos / 1e3 / Math.max(1, heartbeatCount));
      told.put("leader_share_of_a_core", leaderNanos / 1e9 / virtual);
      all.add(told);
    }
    return all;
  }

  private static void tell(Map<String, Object> told, String name, Histogram times) {
    told.put(name + "_p50", times.getValueAtPercentile(50) / 1e3);
    told.put(name + "_most", times.getMaxValue() / 1e3);
    told.put(name + "_count", times.getTotalCount());
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
      tell(router, listGeneration, endpoints);
      schedule(random.nextInt(100_000), () -> sendHeartbeat(router));
    }
    schedule(1_000, this::runLeaderStep);
    schedule(3_000_000, this::proposeVersion);
    schedule(3_500_000, this::drainEndpoint);
    schedule(4_000_000, this::moveEndpoint);
    schedule(2_000_000, this::stopRouter);
    long ends = durationSeconds * 1_000_000L;
    while (!events.isEmpty() && events.peek().time <= ends) {
      Event next = events.poll();
      nowMicros = next.time;
      next.action.run();
    }
  }

  private void schedule(long micros, Runnable what) {
    events.add(new Event(nowMicros + micros, eventCount++, what));
  }

  private void sendMessage(Runnable what) {
    if (random.nextDouble() >= MESSAGE_LOSS) {
      schedule(200 + random.nextInt(2_000), what);
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
    long force = leaseHolder.inForce() == null ? 0 : leaseHolder.inForce().number();
    long keeps = leaseHolder.acknowledgedVersion();
    boolean holds = !leaseHolder.isRestricted();
    HeartbeatReport report = router.membership.createReport(router.clock(), member -> true);
    sendMessage(
        () -> {
          heartbeatCount++;
          long started = System.nanoTime();
          LeaseGrant grant =
              leases.answerHeartbeat(
                  new Moment(nowMicros),
                  new RouterHeartbeat(router.name, 1, number, force, keeps, 0, "", holds),
                  register);
          MembershipUpdate update =
              coordinator.answerHeartbeat(new Moment(nowMicros), router.name, report, register);
          leaderNanos += System.nanoTime() - started;
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

  /** The leader's own: what a majority has confirmed, and the step that follows. */
  private void runLeaderStep() {
    schedule(LEASE.micros() / 4, this::runLeaderStep);
    Moment sent = new Moment(nowMicros);
    schedule(
        LOG_WRITE_MICROS,
        () -> {
          leases.confirmLeadership(sent);
          if (stepInProgress) {
            return;
          }
          long started = System.nanoTime();
          LeaseTable.Step step = leases.nextStep(new Moment(nowMicros), register);
          MembershipCoordinator.Step lists = coordinator.nextStep(new Moment(nowMicros), register);
          leaderNanos += System.nanoTime() - started;
          stepInProgress = true;
          schedule(
              LOG_WRITE_MICROS,
              () -> {
                stepInProgress = false;
                carryOut(step, lists);
              });
        });
    checkRouters();
  }

  private void carryOut(LeaseTable.Step step, MembershipCoordinator.Step lists) {
    switch (step.kind()) {
      case BRING_INTO_FORCE -> register.bringIntoForce(step.number());
      case WITHDRAW -> register.withdraw(step.number(), step.reason());
      case SET_ROUTER_COUNT ->
          register.propose(
              step.number(), register.inForce().settingsJson(), step.routers(), "fleet", "", 0);
      default -> {
        switch (lists.kind()) {
          case ASSIGN ->
              lists
                  .assignments()
                  .forEach(
                      assignment ->
                          register.assignGroup(
                              assignment.endpoint(), assignment.group(), assignment.listVersion()));
          case CLEAR ->
              lists
                  .assignments()
                  .forEach(assignment -> register.clearAssignment(assignment.endpoint()));
          case START_NEW_ERA -> register.startNewEra(register.era());
          default -> {}
        }
      }
    }
  }

  private void expect(Histogram into, BooleanSupplier holds) {
    expectations.add(new Expectation(nowMicros, into, holds));
  }

  private boolean isActing(SimulatedRouter router) {
    return nowMicros >= router.stoppedUntil && !router.leaseHolder.isRestricted();
  }

  private void checkRouters() {
    expectations.removeIf(
        one -> {
          boolean holds = one.condition.getAsBoolean();
          if (holds) {
            one.histogram.recordValue(Math.max(1, nowMicros - one.start));
          }
          return holds;
        });
    Set<List<Long>> acted = new HashSet<>();
    for (SimulatedRouter router : routers) {
      router.leaseHolder.restrictIfExpired(router.clock());
      if (isActing(router)) {
        SettingsVersion prepared = router.leaseHolder.prepared();
        acted.add(
            List.of(
                router.leaseHolder.inForce().number(), prepared == null ? -1 : prepared.number()));
      }
    }
    for (List<Long> one : acted) {
      for (List<Long> other : acted) {
        boolean kept =
            one.get(0).equals(other.get(0))
                || one.get(1).equals(other.get(0))
                || other.get(1).equals(one.get(0));
        contradictionCount += kept ? 0 : 1;
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
                          !isActing(router) || router.leaseHolder.inForce().number() >= number));
    }
  }

  private void tell(
      SimulatedRouter router, long generation, SortedMap<String, ListedEndpoint> told) {
    router.membership.receiveList(router.clock(), true, generation, told);
  }

  private void changeEndpoint(String member, ListedEndpoint listed) {
    endpoints = new TreeMap<>(endpoints);
    endpoints.put(member, listed);
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

  /** One router hears of a drain at once, the others seconds later. */
  private void drainEndpoint() {
    schedule(3_000_000, this::drainEndpoint);
    String member = chooseReadyEndpoint();
    changeEndpoint(
        member, new ListedEndpoint(EndpointLifecycle.DRAINING, endpoints.get(member).group()));
    long generation = listGeneration;
    TreeMap<String, ListedEndpoint> told = endpoints;
    boolean first = true;
    for (SimulatedRouter router : routers) {
      if (first && isActing(router)) {
        first = false;
        tell(router, generation, told);
      } else {
        schedule(1_500_000, () -> tell(router, generation, told));
      }
    }
    expect(
        drainKnownMicros,
        () ->
            routers.stream()
                .noneMatch(
                    router ->
                        isActing(router)
                            && router.membership.determineUse(router.clock(), member).lifecycle()
                                == EndpointLifecycle.READY));
  }

  private void moveEndpoint() {
    schedule(6_000_000, this::moveEndpoint);
    String member = chooseReadyEndpoint();
    int group = 1 + endpoints.get(member).group() % GROUP_COUNT;
    changeEndpoint(member, new ListedEndpoint(EndpointLifecycle.READY, group));
    long generation = listGeneration;
    TreeMap<String, ListedEndpoint> told = endpoints;
    routers.forEach(
        router -> schedule(random.nextInt(50_000), () -> tell(router, generation, told)));
    expect(
        moveMicros,
        () -> {
          GroupAssignment assignment = register.groupAssignment(member);
          return assignment.cleared()
              && assignment.group() == group
              && routers.stream()
                  .allMatch(
                      router ->
                          !isActing(router)
                              || router
                                  .membership
                                  .determineUse(router.clock(), member)
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
