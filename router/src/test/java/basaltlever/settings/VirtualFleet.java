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
 * Simulates a fleet in virtual time: routers with drifting clocks, messages that are lost, delayed,
 * duplicated and reordered, processes that are paused and resumed, and leaders that are replaced,
 * some without noticing. In place of the consensus log there is one register, a sequence of
 * elections, and the rule that commands of a replaced leader are not applied.
 */
class VirtualFleet {
  static final Span LEASE_DURATION = Span.ofMillis(400);
  static final double MAX_CLOCK_DRIFT = 0.02;

  /** Faults injected into the code under test, each of which a run must detect. */
  enum Bug {
    NONE,
    LEASE_DOES_NOT_EXPIRE,
    CLOCK_STOPS_DURING_PAUSE,
    IN_FORCE_BEFORE_ACKNOWLEDGED,
    LEADERSHIP_NOT_CONFIRMED,
    OLDER_VERSION_ACCEPTED,
    SHARES_TOO_LARGE,
    DRAIN_MARKS_NOT_REPORTED,
    MOVE_USED_BEFORE_CLEARED,
    MOVE_CLEARED_BEFORE_RELEASED,
    RELEASED_WHILE_IN_FLIGHT,
    ASSIGNMENTS_NEVER_EXPIRE,
    OLDER_LIST_ACCEPTED
  }

  private record Event(long atMicros, long order, Runnable action) {}

  /** A router and its current process. All times are in microseconds. */
  static final class Router {
    LeaseHolder lease = new LeaseHolder();
    long incarnation = 1;
    double clockSpeed;
    long clockOffset;
    long pausedUntil;
    long totalPaused;
    long disconnectedUntil;
    int lastKnownLeader;
    final int number;

    Router(int number) {
      this.number = number;
    }
  }

  /** A voter that leads or has led; a replaced leader may not have noticed. */
  static final class Leader {
    LeaseTable leases = new LeaseTable(LEASE_DURATION, MAX_CLOCK_DRIFT);
    double clockSpeed;
    long clockOffset;
    long term;
    boolean isDisconnected;

    /** Copy of the register as of the replacement of this leader; null while it leads. */
    VersionRegister registerWhenReplaced;
  }

  final SplittableRandom random;
  final Bug bug;
  final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::order));
  final List<Router> routers = new ArrayList<>();
  final Leader[] leaders = new Leader[3];
  final VersionRegister register = new VersionRegister();

  /** Numbers of prepared versions that some router has acknowledged. */
  final Set<Long> acknowledgedVersions = new HashSet<>();

  long now;
  long eventCount;
  long term;
  int currentLeader;
  int versionsBroughtIntoForce;
  String violation = "";

  /**
   * Whether the leader is never replaced. With frequent elections, steps that wait for some time
   * since the last election would never be reached.
   */
  boolean hasStableLeader;

  VirtualFleet(long seed, Bug bug, int routerCount) {
    random = new SplittableRandom(seed);
    this.bug = bug;
    for (int i = 0; i < routerCount; i++) {
      Router router = new Router(i);
      router.clockSpeed = 1 + MAX_CLOCK_DRIFT / 2 * (2 * random.nextDouble() - 1);
      router.clockOffset = random.nextInt(1_000_000);
      routers.add(router);
      int number = i;
      schedule(random.nextInt(100_000), () -> sendHeartbeat(number));
    }
    for (int i = 0; i < 3; i++) {
      leaders[i] = new Leader();
      leaders[i].clockSpeed = 1 + MAX_CLOCK_DRIFT / 2 * (2 * random.nextDouble() - 1);
      leaders[i].clockOffset = random.nextInt(1_000_000);
      int number = i;
      schedule(1_000 + i, () -> runLeader(number));
    }
    elect(0);
    schedule(300_000, this::proposeVersion);
    schedule(200_000, this::injectFault);
  }

  void schedule(long delayMicros, Runnable action) {
    events.add(new Event(now + delayMicros, eventCount++, action));
  }

  /** Delivers a message never, once or twice, each time with a random delay. */
  void send(boolean isDisconnected, Runnable action) {
    for (int copies = random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
      if (!isDisconnected && random.nextInt(20) > 0) {
        schedule(
            200
                + (long)
                    (random.nextInt(10) == 0 ? random.nextInt(300_000) : random.nextInt(5_000)),
            action);
      }
    }
  }

  Moment clock(Router router) {
    long nowMicros = bug == Bug.CLOCK_STOPS_DURING_PAUSE ? now - router.totalPaused : now;
    return new Moment(router.clockOffset + (long) (nowMicros * router.clockSpeed));
  }

  Moment clock(Leader leader) {
    return new Moment(leader.clockOffset + (long) (now * leader.clockSpeed));
  }

  void elect(int number) {
    if (number != currentLeader) {
      leaders[currentLeader].registerWhenReplaced = copyRegister();
    }
    leaders[number].registerWhenReplaced = null;
    term++;
    currentLeader = number;
    leaders[number].term = term;
    leaders[number].leases.startLeading(clock(leaders[number]));
    onElected(leaders[number]);
  }

  private VersionRegister copyRegister() {
    VersionRegister copy = new VersionRegister();
    copy.restore(
        register.inForce(),
        register.prepared(),
        register.lastNumber(),
        register.changeCount(),
        register.history());
    copy.restore(
        register.era(), register.assignmentChangeNumber(), register.assignmentsChangedAfter(-1));
    return copy;
  }

  VersionRegister registerOf(Leader leader) {
    return leader.registerWhenReplaced == null ? register : leader.registerWhenReplaced;
  }

  void onElected(Leader leader) {}

  HeartbeatReport createReport(Router router) {
    return HeartbeatReport.NONE;
  }

  MembershipUpdate createUpdate(Leader leader, Router router, HeartbeatReport report) {
    return null;
  }

  void receiveUpdate(Router router, MembershipUpdate update) {}

  void onLeaseGranted(Router router) {}

  void applyMembershipStep(Leader leader) {}

  void onRestart(Router router) {}

  void sendHeartbeat(int number) {
    Router router = routers.get(number);
    schedule(80_000 + random.nextInt(40_000), () -> sendHeartbeat(number));
    if (now < router.pausedUntil) {
      return;
    }
    router.lease.restrictIfExpired(clock(router));
    long heartbeatNumber = router.lease.registerHeartbeat(clock(router));
    long inForce = router.lease.inForce() == null ? 0 : router.lease.inForce().number();
    long acknowledged = router.lease.acknowledgedVersion();
    long incarnation = router.incarnation;
    boolean holdsLease = !router.lease.isRestricted();
    HeartbeatReport report = createReport(router);
    RouterHeartbeat heartbeat =
        new RouterHeartbeat(
            "r" + number, incarnation, heartbeatNumber, inForce, acknowledged, 0, "", holdsLease);
    Leader leader = leaders[router.lastKnownLeader];
    // The heartbeat goes to the last leader that the router discovered, which may be replaced.
    router.lastKnownLeader =
        random.nextInt(number % 2 == 0 ? 3 : 12) == 0 ? currentLeader : router.lastKnownLeader;
    send(now < router.disconnectedUntil, () -> receiveHeartbeat(leader, router, heartbeat, report));
  }

  private void receiveHeartbeat(
      Leader leader, Router router, RouterHeartbeat heartbeat, HeartbeatReport report) {
    if (leader.term == 0) {
      return;
    }
    LeaseGrant grant = leader.leases.answerHeartbeat(clock(leader), heartbeat, registerOf(leader));
    MembershipUpdate update = createUpdate(leader, router, report);
    Span duration = bug == Bug.LEASE_DOES_NOT_EXPIRE ? Span.ofMillis(3_600_000) : grant.duration();
    LeaseGrant answer =
        new LeaseGrant(
            heartbeat.number(), duration, grant.inForce(), grant.prepared(), grant.changeCount());
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
      onLeaseGranted(router);
    }
  }

  /** Runs the periodic work of a leader, whether or not it has been replaced. */
  void runLeader(int number) {
    Leader leader = leaders[number];
    schedule(40_000 + random.nextInt(20_000), () -> runLeader(number));
    if (leader.term == 0 || (leader.term < term && bug != Bug.LEADERSHIP_NOT_CONFIRMED)) {
      return;
    }
    Moment sentAt = clock(leader);
    if (leader.isDisconnected && bug != Bug.LEADERSHIP_NOT_CONFIRMED) {
      return;
    }
    schedule(
        3_000,
        () -> {
          if (leader.term == term || bug == Bug.LEADERSHIP_NOT_CONFIRMED) {
            leader.leases.confirmLeadership(sentAt);
          }
        });
    if (leader.term != term) {
      return;
    }
    applyNextStep(leader);
  }

  private void applyNextStep(Leader leader) {
    LeaseTable.Step step = leader.leases.nextStep(clock(leader), register);
    SettingsVersion prepared = register.prepared();
    if (bug == Bug.IN_FORCE_BEFORE_ACKNOWLEDGED && prepared != null) {
      step = new LeaseTable.Step(LeaseTable.Step.Kind.BRING_INTO_FORCE, prepared.number(), "", 0);
    }
    switch (step.kind()) {
      case BRING_INTO_FORCE -> {
        long preparedNumber = step.number();
        if (!acknowledgedVersions.contains(preparedNumber)
            && bug != Bug.IN_FORCE_BEFORE_ACKNOWLEDGED) {
          violation =
              "version "
                  + preparedNumber
                  + " came into force without an acknowledgement by any router";
        }
        versionsBroughtIntoForce += register.bringIntoForce(preparedNumber) ? 1 : 0;
      }
      case WITHDRAW -> register.withdraw(step.number(), step.reason());
      case SET_ROUTER_COUNT ->
          register.propose(
              step.number(), register.inForce().settingsJson(), step.routers(), "fleet", "", 0);
      default -> applyMembershipStep(leader);
    }
  }

  void proposeVersion() {
    schedule(300_000 + random.nextInt(500_000), this::proposeVersion);
    register.propose(
        register.inForce().number(), "v" + eventCount, register.inForce().routers(), "o", "", 0);
  }

  void injectFault() {
    schedule(100_000 + random.nextInt(300_000), this::injectFault);
    Router router = routers.get(random.nextInt(routers.size()));
    int fault = random.nextInt(5);
    switch (fault) {
      case 0 -> pauseRouter(router);
      case 1 ->
          router.disconnectedUntil =
              Math.max(router.disconnectedUntil, now + random.nextInt(1_500_000));
      case 2 -> restart(router);
      case 3 -> {
        if (hasStableLeader) {
          return;
        }
        replaceLeader();
      }
      default -> {}
    }
    if (bug == Bug.OLDER_VERSION_ACCEPTED && router.lease.inForce() != null) {
      grantOlderVersion(router);
    }
  }

  private void pauseRouter(Router router) {
    long pauseMicros = 100_000L + random.nextInt(1_500_000);
    router.pausedUntil = Math.max(router.pausedUntil, now + pauseMicros);
    router.totalPaused += pauseMicros;
  }

  private void restart(Router router) {
    router.incarnation++;
    router.lease = new LeaseHolder();
    onRestart(router);
  }

  /** Disconnects the leader from the majority, so that it does not notice the next election. */
  private void replaceLeader() {
    Leader former = leaders[currentLeader];
    former.isDisconnected = true;
    schedule(200_000 + random.nextInt(600_000), () -> elect((currentLeader + 1) % 3));
    schedule(2_000_000, () -> former.isDisconnected = false);
  }

  /** Simulates a router that accepts any grant, however old the version in it. */
  private void grantOlderVersion(Router router) {
    router.lease = new LeaseHolder();
    long heartbeatNumber = router.lease.registerHeartbeat(clock(router));
    router.lease.acceptGrant(
        clock(router),
        new LeaseGrant(
            heartbeatNumber, LEASE_DURATION, new SettingsVersion(0, "", 99, "", "", 0), null, 0));
  }

  /**
   * Whether two routers with leases act on contradicting versions: neither complies with the
   * version that the other has in force.
   */
  static boolean haveContradictingVersions(Router a, Router b) {
    LeaseHolder one = a.lease;
    LeaseHolder two = b.lease;
    long oneInForce = one.inForce().number();
    long twoInForce = two.inForce().number();
    boolean isCompatible =
        oneInForce == twoInForce
            || (one.prepared() != null && one.prepared().number() == twoInForce)
            || (two.prepared() != null && two.prepared().number() == oneInForce);
    return !isCompatible;
  }

  void checkInvariants() {
    List<Router> acting = routersUnderLease();
    double shares = 0;
    for (Router one : acting) {
      shares += shareOf(one);
      for (Router other : acting) {
        if (haveContradictingVersions(one, other)) {
          violation =
              "contradicting versions at "
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
        router.lease.restrictIfExpired(clock(router));
        if (!router.lease.isRestricted()) {
          acting.add(router);
        }
      }
    }
    return acting;
  }

  private double shareOf(Router router) {
    SettingsVersion prepared = router.lease.prepared();
    int routersInForce = router.lease.inForce().routers();
    int routerCount = Math.max(routersInForce, prepared == null ? 0 : prepared.routers());
    return 1.0 / (bug == Bug.SHARES_TOO_LARGE ? routersInForce - 1.5 : routerCount);
  }

  String run(long endMicros) {
    while (violation.isEmpty() && now < endMicros) {
      Event next = events.poll();
      now = next.atMicros();
      next.action().run();
      checkInvariants();
    }
    return violation;
  }
}
