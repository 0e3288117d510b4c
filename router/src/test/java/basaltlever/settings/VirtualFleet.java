package basaltlever.settings;

import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.MembershipUpdate;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A fleet in virtual time: routers whose clocks drift, messages that are lost, late, repeated and
 * overtake each other, processes that stop and go on, leaders that are replaced with and without
 * knowing it. The engine is stood in for by one register, the order of elections, and the rule that
 * an old leader's commands are taken no more once another was elected.
 */
class VirtualFleet {
  static final Span LEASE = Span.ofMillis(400);
  static final double DRIFT = 0.02;

  /** Faults planted in the code under test, each of which a run must find. */
  enum Bug {
    NONE,
    NO_LEASE,
    STOPPED_CLOCK,
    EARLY,
    UNCONFIRMED,
    OLDER_TAKEN,
    SHARES,
    MARKS_KEPT_TO_ITSELF,
    MOVES_AT_ONCE,
    CLEARS_EARLY,
    LETS_GO_EARLY,
    NEVER_ADRIFT,
    OLDER_LIST_TAKEN
  }

  private record Event(long at, long order, Runnable action) {}

  /** A router and its process. */
  static final class Router {
    LeaseHolder lease = new LeaseHolder();
    long incarnation = 1;
    double speed;
    long offset;
    long pausedUntil;
    long pausedFor;
    long disconnectedUntil;
    int leader;
    final int number;

    Router(int number) {
      this.number = number;
    }
  }

  /** A voter that leads or led; one that was replaced may not know it. */
  static final class Leader {
    LeaseTable leases = new LeaseTable(LEASE, DRIFT);
    double speed;
    long offset;
    long term;
    boolean isDisconnected;

    /** What it knows since it was replaced. */
    VersionRegister stateWhenReplaced;
  }

  final SplittableRandom random;
  final Bug bug;
  final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  final List<Router> routers = new ArrayList<>();
  final Leader[] leaders = new Leader[3];
  final VersionRegister register = new VersionRegister();

  /** Versions that some router has kept to while they were on their way. */
  final Set<Long> acknowledgedVersions = new HashSet<>();

  long now;
  long eventCount;
  long term;
  int currentLeader;
  int versionsInForce;
  String violation = "";

  /** No leader is ever replaced: what waits for time since an election would wait for good else. */
  boolean keepsLeader;

  VirtualFleet(long seed, Bug bug, int count) {
    random = new SplittableRandom(seed);
    this.bug = bug;
    for (int i = 0; i < count; i++) {
      Router router = new Router(i);
      router.speed = 1 + DRIFT / 2 * (2 * random.nextDouble() - 1);
      router.offset = random.nextInt(1_000_000);
      routers.add(router);
      int number = i;
      after(random.nextInt(100_000), () -> sendHeartbeat(number));
    }
    for (int i = 0; i < 3; i++) {
      leaders[i] = new Leader();
      leaders[i].speed = 1 + DRIFT / 2 * (2 * random.nextDouble() - 1);
      leaders[i].offset = random.nextInt(1_000_000);
      int number = i;
      after(1_000 + i, () -> runLeader(number));
    }
    elect(0);
    after(300_000, this::proposeVersion);
    after(200_000, this::injectFault);
  }

  void after(long micros, Runnable what) {
    events.add(new Event(now + micros, eventCount++, what));
  }

  /** Lost, late, repeated. */
  void send(boolean cut, Runnable what) {
    for (int copies = random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
      if (!cut && random.nextInt(20) > 0) {
        after(
            200
                + (long)
                    (random.nextInt(10) == 0 ? random.nextInt(300_000) : random.nextInt(5_000)),
            what);
      }
    }
  }

  Moment clock(Router router) {
    long at = bug == Bug.STOPPED_CLOCK ? now - router.pausedFor : now;
    return new Moment(router.offset + (long) (at * router.speed));
  }

  Moment clock(Leader leader) {
    return new Moment(leader.offset + (long) (now * leader.speed));
  }

  void elect(int number) {
    if (number != currentLeader) {
      leaders[currentLeader].stateWhenReplaced = copy();
    }
    leaders[number].stateWhenReplaced = null;
    term++;
    currentLeader = number;
    leaders[number].term = term;
    leaders[number].leases.startLeading(clock(leaders[number]));
    onElected(leaders[number]);
  }

  private VersionRegister copy() {
    VersionRegister copy = new VersionRegister();
    copy.restore(
        register.inForce(),
        register.prepared(),
        register.lastNumber(),
        register.changeCount(),
        register.history());
    copy.restore(register.era(), register.assignmentsNumber(), register.assignmentsAfter(-1));
    return copy;
  }

  VersionRegister knownTo(Leader leader) {
    return leader.stateWhenReplaced == null ? register : leader.stateWhenReplaced;
  }

  void onElected(Leader leader) {}

  HeartbeatReport report(Router router) {
    return HeartbeatReport.NONE;
  }

  MembershipUpdate answer(Leader leader, Router router, HeartbeatReport report) {
    return null;
  }

  void receiveUpdate(Router router, MembershipUpdate update) {}

  void onLease(Router router) {}

  void carryOutMembershipStep(Leader leader) {}

  void onRestart(Router router) {}

  void sendHeartbeat(int number) {
    Router router = routers.get(number);
    after(80_000 + random.nextInt(40_000), () -> sendHeartbeat(number));
    if (now < router.pausedUntil) {
      return;
    }
    router.lease.noteExpiry(clock(router));
    long beat = router.lease.registerHeartbeat(clock(router));
    long force = router.lease.inForce() == null ? 0 : router.lease.inForce().number();
    long keeps = router.lease.acknowledgedVersion();
    long incarnation = router.incarnation;
    boolean holds = !router.lease.isRestricted();
    HeartbeatReport report = report(router);
    RouterHeartbeat heartbeat =
        new RouterHeartbeat("r" + number, incarnation, beat, force, keeps, 0, "", holds);
    Leader leader = leaders[router.leader];
    // The heartbeat goes to the leader that the router last heard of, which may be replaced by now.
    router.leader = random.nextInt(number % 2 == 0 ? 3 : 12) == 0 ? currentLeader : router.leader;
    send(now < router.disconnectedUntil, () -> receiveHeartbeat(leader, router, heartbeat, report));
  }

  private void receiveHeartbeat(
      Leader leader, Router router, RouterHeartbeat heartbeat, HeartbeatReport report) {
    if (leader.term == 0) {
      return;
    }
    LeaseGrant grant = leader.leases.heartbeat(clock(leader), heartbeat, knownTo(leader));
    MembershipUpdate update = answer(leader, router, report);
    Span lasts = bug == Bug.NO_LEASE ? Span.ofMillis(3_600_000) : grant.duration();
    LeaseGrant answer =
        new LeaseGrant(
            heartbeat.number(), lasts, grant.inForce(), grant.prepared(), grant.changeCount());
    send(
        now < router.disconnectedUntil,
        () -> {
          if (now >= router.pausedUntil && router.incarnation == heartbeat.incarnation()) {
            receiveGrant(router, answer, update);
          }
        });
  }

  private void receiveGrant(Router router, LeaseGrant grant, MembershipUpdate update) {
    receiveUpdate(router, update);
    router.lease.acceptGrant(clock(router), grant);
    if (grant.duration().micros() > 0) {
      onLease(router);
    }
  }

  /** A leader's own doings, whether or not it has been replaced. */
  void runLeader(int number) {
    Leader leader = leaders[number];
    after(40_000 + random.nextInt(20_000), () -> runLeader(number));
    if (leader.term == 0 || (leader.term < term && bug != Bug.UNCONFIRMED)) {
      return;
    }
    Moment sent = clock(leader);
    if (leader.isDisconnected && bug != Bug.UNCONFIRMED) {
      return;
    }
    after(
        3_000,
        () -> {
          if (leader.term == term || bug == Bug.UNCONFIRMED) {
            leader.leases.confirmLeadership(sent);
          }
        });
    if (leader.term != term) {
      return;
    }
    carryOutNextStep(leader);
  }

  private void carryOutNextStep(Leader leader) {
    LeaseTable.Step step = leader.leases.nextStep(clock(leader), register);
    SettingsVersion prepared = register.prepared();
    if (bug == Bug.EARLY && prepared != null) {
      step = new LeaseTable.Step(LeaseTable.Step.Kind.BRING_INTO_FORCE, prepared.number(), "", 0);
    }
    switch (step.kind()) {
      case BRING_INTO_FORCE -> {
        long next = step.number();
        if (!acknowledgedVersions.contains(next) && bug != Bug.EARLY) {
          violation = "version " + next + " came into force and nobody had checked it";
        }
        versionsInForce += register.bringIntoForce(next) ? 1 : 0;
      }
      case WITHDRAW -> register.withdraw(step.number(), step.reason());
      case SET_ROUTER_COUNT ->
          register.propose(
              step.number(), register.inForce().text(), step.routers(), "fleet", "", 0);
      default -> carryOutMembershipStep(leader);
    }
  }

  void proposeVersion() {
    after(300_000 + random.nextInt(500_000), this::proposeVersion);
    register.propose(
        register.inForce().number(), "v" + eventCount, register.inForce().routers(), "o", "", 0);
  }

  void injectFault() {
    after(100_000 + random.nextInt(300_000), this::injectFault);
    Router router = routers.get(random.nextInt(routers.size()));
    int fault = random.nextInt(5);
    switch (fault) {
      case 0 -> pauseRouter(router);
      case 1 ->
          router.disconnectedUntil =
              Math.max(router.disconnectedUntil, now + random.nextInt(1_500_000));
      case 2 -> restart(router);
      case 3 -> {
        if (keepsLeader) {
          return;
        }
        replaceLeader();
      }
      default -> {}
    }
    if (bug == Bug.OLDER_TAKEN && router.lease.inForce() != null) {
      grantOlderVersion(router);
    }
  }

  private void pauseRouter(Router router) {
    long lasts = 100_000L + random.nextInt(1_500_000);
    router.pausedUntil = Math.max(router.pausedUntil, now + lasts);
    router.pausedFor += lasts;
  }

  private void restart(Router router) {
    router.incarnation++;
    router.lease = new LeaseHolder();
    onRestart(router);
  }

  /** Cut off from the majority, the old leader does not learn that another was elected. */
  private void replaceLeader() {
    Leader old = leaders[currentLeader];
    old.isDisconnected = true;
    after(200_000 + random.nextInt(600_000), () -> elect((currentLeader + 1) % 3));
    after(2_000_000, () -> old.isDisconnected = false);
  }

  /** As if a router accepted any grant, however old the version that it names. */
  private void grantOlderVersion(Router router) {
    router.lease = new LeaseHolder();
    long beat = router.lease.registerHeartbeat(clock(router));
    router.lease.acceptGrant(
        clock(router),
        new LeaseGrant(beat, LEASE, new SettingsVersion(0, "", 99, "", "", 0), null, 0));
  }

  /** Versions that a router may act on as if they held alone: none while it is careful. */
  static boolean contradictEachOther(Router a, Router b) {
    LeaseHolder one = a.lease;
    LeaseHolder two = b.lease;
    long force = one.inForce().number();
    long other = two.inForce().number();
    boolean sees =
        force == other
            || (one.prepared() != null && one.prepared().number() == other)
            || (two.prepared() != null && two.prepared().number() == force);
    return !sees;
  }

  void checkInvariants() {
    List<Router> acting = routersUnderLease();
    double shares = 0;
    for (Router one : acting) {
      shares += shareOf(one);
      for (Router other : acting) {
        if (contradictEachOther(one, other)) {
          violation =
              "contradiction at "
                  + now
                  + " us: "
                  + one.lease.inForce().number()
                  + " and "
                  + other.lease.inForce().number();
        }
      }
    }
    if (shares > 1 + 1e-9 && violation.isEmpty()) {
      violation = "shares sum to " + shares + " at " + now + " us";
    }
  }

  private List<Router> routersUnderLease() {
    List<Router> acting = new ArrayList<>();
    for (Router router : routers) {
      acknowledgedVersions.add(router.lease.acknowledgedVersion());
      if (now >= router.pausedUntil) {
        router.lease.noteExpiry(clock(router));
        if (!router.lease.isRestricted()) {
          acting.add(router);
        }
      }
    }
    return acting;
  }

  private double shareOf(Router router) {
    SettingsVersion prepared = router.lease.prepared();
    int inForceRouters = router.lease.inForce().routers();
    int by = Math.max(inForceRouters, prepared == null ? 0 : prepared.routers());
    return 1.0 / (bug == Bug.SHARES ? inForceRouters - 1.5 : by);
  }

  String run(long until) {
    while (violation.isEmpty() && now < until) {
      Event next = events.poll();
      now = next.at();
      next.action().run();
      checkInvariants();
    }
    return violation;
  }
}
