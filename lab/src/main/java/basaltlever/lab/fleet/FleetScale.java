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
public final class FleetScale {
  private static final Span LEASE = Span.ofMillis(400);
  private static final Span STATED = Span.ofMillis(1_000);
  private static final Span ASSIGNED = Span.ofMillis(30_000);
  private static final double DRIFT = 0.02;
  private static final int GROUPS = 20;
  private static final long LOG_MICROS = 3_000;
  private static final double LOST = 0.01;

  @Parameter(names = "--routers", description = "sizes of fleets, with commas")
  private List<Integer> sizes = List.of(50, 100, 200, 500);

  @Parameter(names = "--members", description = "of the list")
  private int memberCount = 200;

  @Parameter(names = "--seconds", description = "of virtual time for each fleet")
  private int seconds = 30;

  @Parameter(names = "--seeds", description = "how many runs of each size")
  private int seeds = 1;

  private record Due(long dueAt, long sequence, Runnable what) {}

  /** What is waited for until every router has it. */
  private record Awaited(long since, Histogram into, BooleanSupplier holds) {}

  private final class Instance {
    final LeaseHolder leaseHolder = new LeaseHolder();
    final MembershipView membership = new MembershipView(STATED, ASSIGNED);
    final double speed = 1 + DRIFT / 2 * (2 * chance.nextDouble() - 1);
    final long offset = chance.nextInt(1_000_000);
    final String name;
    long stoppedUntil;

    Instance(String name) {
      this.name = name;
    }

    Moment clock() {
      return new Moment(offset + (long) (now * speed));
    }
  }

  private SplittableRandom chance;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::dueAt).thenComparingLong(Due::sequence));
  private final List<Instance> routers = new ArrayList<>();
  private final List<Awaited> awaited = new ArrayList<>();
  private VersionRegister register;
  private LeaseTable leases;
  private MembershipCoordinator coordinator;
  private TreeMap<String, ListedEndpoint> list;
  private final Histogram inForce = new Histogram(600_000_000L, 3);
  private final Histogram everywhere = new Histogram(600_000_000L, 3);
  private final Histogram drained = new Histogram(600_000_000L, 3);
  private final Histogram moved = new Histogram(600_000_000L, 3);
  private long generation;
  private long now;
  private long orders;
  private long beats;
  private long leaderNanos;
  private int contradictions;
  private boolean stepping;

  /**
   * The figures of each size; contradictions count pairs that acted on versions neither of which
   * keeps.
   */
  public List<Map<String, Object>> play() {
    List<Map<String, Object>> all = new ArrayList<>();
    for (int size : sizes) {
      inForce.reset();
      everywhere.reset();
      drained.reset();
      moved.reset();
      beats = 0;
      leaderNanos = 0;
      contradictions = 0;
      for (int seed = 1; seed <= seeds; seed++) {
        play(size, seed);
      }
      Map<String, Object> told = new LinkedHashMap<>();
      double virtual = (double) seconds * seeds;
      told.put("routers", size);
      told.put("members", memberCount);
      told.put("contradictions", contradictions);
      tell(told, "in_force_ms", inForce);
      tell(told, "known_everywhere_ms", everywhere);
      tell(told, "drain_known_ms", drained);
      tell(told, "moved_ms", moved);
      told.put("beats_a_router_s", beats / virtual / size);
      told.put("messages_at_leader_s", 2 * beats / virtual);
      told.put("leader_us_a_beat", leaderNanos / 1e3 / Math.max(1, beats));
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

  private void play(int size, long seed) {
    chance = new SplittableRandom(seed);
    due.clear();
    routers.clear();
    awaited.clear();
    now = 0;
    stepping = false;
    generation = 1;
    register = new VersionRegister();
    leases = new LeaseTable(LEASE, DRIFT);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      names.add("n" + i);
      routers.add(new Instance("n" + i));
    }
    coordinator = new MembershipCoordinator(leases, names, ASSIGNED);
    list = new TreeMap<>();
    for (int i = 0; i < memberCount; i++) {
      list.put("db-" + i, new ListedEndpoint(EndpointLifecycle.READY, 1 + i % GROUPS));
    }
    leases.startLeading(new Moment(0));
    coordinator.startLeading(new Moment(0), seed);
    for (Instance router : routers) {
      tell(router, generation, list);
      after(chance.nextInt(100_000), () -> beat(router));
    }
    after(1_000, this::pulse);
    after(3_000_000, this::propose);
    after(3_500_000, this::drain);
    after(4_000_000, this::move);
    after(2_000_000, this::trouble);
    long ends = seconds * 1_000_000L;
    while (!due.isEmpty() && due.peek().dueAt <= ends) {
      Due next = due.poll();
      now = next.dueAt;
      next.what.run();
    }
  }

  private void after(long micros, Runnable what) {
    due.add(new Due(now + micros, orders++, what));
  }

  private void sends(Runnable what) {
    if (chance.nextDouble() >= LOST) {
      after(200 + chance.nextInt(2_000), what);
    }
  }

  private void beat(Instance router) {
    after(80_000 + chance.nextInt(40_000), () -> beat(router));
    if (now < router.stoppedUntil) {
      return;
    }
    LeaseHolder leaseHolder = router.leaseHolder;
    leaseHolder.restrictIfExpired(router.clock());
    long number = leaseHolder.registerHeartbeat(router.clock());
    long force = leaseHolder.inForce() == null ? 0 : leaseHolder.inForce().number();
    long keeps = leaseHolder.acknowledgedVersion();
    boolean holds = !leaseHolder.isRestricted();
    HeartbeatReport report = router.membership.createReport(router.clock(), member -> true);
    sends(
        () -> {
          beats++;
          long started = System.nanoTime();
          LeaseGrant grant =
              leases.answerHeartbeat(
                  new Moment(now),
                  new RouterHeartbeat(router.name, 1, number, force, keeps, 0, "", holds),
                  register);
          MembershipUpdate update =
              coordinator.answerHeartbeat(new Moment(now), router.name, report, register);
          leaderNanos += System.nanoTime() - started;
          sends(
              () -> {
                if (now >= router.stoppedUntil) {
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
  private void pulse() {
    after(LEASE.micros() / 4, this::pulse);
    Moment sent = new Moment(now);
    after(
        LOG_MICROS,
        () -> {
          leases.confirmLeadership(sent);
          if (stepping) {
            return;
          }
          long started = System.nanoTime();
          LeaseTable.Step step = leases.nextStep(new Moment(now), register);
          MembershipCoordinator.Step lists = coordinator.nextStep(new Moment(now), register);
          leaderNanos += System.nanoTime() - started;
          stepping = true;
          after(
              LOG_MICROS,
              () -> {
                stepping = false;
                carryOut(step, lists);
              });
        });
    check();
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

  private void await(Histogram into, BooleanSupplier holds) {
    awaited.add(new Awaited(now, into, holds));
  }

  private boolean isActing(Instance router) {
    return now >= router.stoppedUntil && !router.leaseHolder.isRestricted();
  }

  private void check() {
    awaited.removeIf(
        one -> {
          boolean holds = one.holds.getAsBoolean();
          if (holds) {
            one.into.recordValue(Math.max(1, now - one.since));
          }
          return holds;
        });
    Set<List<Long>> acted = new HashSet<>();
    for (Instance router : routers) {
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
        contradictions += kept ? 0 : 1;
      }
    }
  }

  private void propose() {
    after(2_000_000, this::propose);
    if (register
        .propose(
            register.inForce().number(),
            "v" + orders,
            register.inForce().routers(),
            "operator",
            "",
            0)
        .isEmpty()) {
      long number = register.lastNumber();
      await(inForce, () -> register.inForce().number() >= number);
      await(
          everywhere,
          () ->
              routers.stream()
                  .allMatch(
                      router ->
                          !isActing(router) || router.leaseHolder.inForce().number() >= number));
    }
  }

  private void tell(Instance router, long of, SortedMap<String, ListedEndpoint> told) {
    router.membership.receiveList(router.clock(), true, of, told);
  }

  private void change(String member, ListedEndpoint listed) {
    list = new TreeMap<>(list);
    list.put(member, listed);
    generation++;
  }

  private String ready() {
    List<String> ready =
        list.entrySet().stream()
            .filter(entry -> entry.getValue().lifecycle() == EndpointLifecycle.READY)
            .map(Map.Entry::getKey)
            .toList();
    return ready.get(chance.nextInt(ready.size()));
  }

  /** One router hears of a drain at once, the others seconds later. */
  private void drain() {
    after(3_000_000, this::drain);
    String member = ready();
    change(member, new ListedEndpoint(EndpointLifecycle.DRAINING, list.get(member).group()));
    long of = generation;
    TreeMap<String, ListedEndpoint> told = list;
    boolean first = true;
    for (Instance router : routers) {
      if (first && isActing(router)) {
        first = false;
        tell(router, of, told);
      } else {
        after(1_500_000, () -> tell(router, of, told));
      }
    }
    await(
        drained,
        () ->
            routers.stream()
                .noneMatch(
                    router ->
                        isActing(router)
                            && router.membership.determineUse(router.clock(), member).lifecycle()
                                == EndpointLifecycle.READY));
  }

  private void move() {
    after(6_000_000, this::move);
    String member = ready();
    int group = 1 + list.get(member).group() % GROUPS;
    change(member, new ListedEndpoint(EndpointLifecycle.READY, group));
    long of = generation;
    TreeMap<String, ListedEndpoint> told = list;
    routers.forEach(router -> after(chance.nextInt(50_000), () -> tell(router, of, told)));
    await(
        moved,
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

  private void trouble() {
    after(1_000_000, this::trouble);
    routers.get(chance.nextInt(routers.size())).stoppedUntil =
        now + 200_000 + chance.nextInt(600_000);
  }
}
