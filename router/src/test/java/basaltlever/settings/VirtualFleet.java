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

  private record Due(long at, long order, Runnable what) {}

  static final class Router {
    LeaseHolder follower = new LeaseHolder();
    long incarnation = 1;
    double speed;
    long offset;
    long stoppedUntil;
    long stoppedFor;
    long cutUntil;
    int leader;
    final int number;

    Router(int number) {
      this.number = number;
    }
  }

  static final class Leader {
    LeaseTable leases = new LeaseTable(LEASE, DRIFT);
    double speed;
    long offset;
    long term;
    boolean cut;

    /** What it knows since it was replaced. */
    VersionRegister former;
  }

  final SplittableRandom chance;
  final Bug bug;
  final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
  final List<Router> routers = new ArrayList<>();
  final Leader[] leaders = new Leader[3];
  final VersionRegister register = new VersionRegister();

  /** Versions that some router has kept to while they were on their way. */
  final Set<Long> kept = new HashSet<>();

  long now;
  long orders;
  long term;
  int leads;
  int inForce;
  String broken = "";

  /** No leader is ever replaced: what waits for time since an election would wait for good else. */
  boolean steady;

  VirtualFleet(long seed, Bug bug, int count) {
    chance = new SplittableRandom(seed);
    this.bug = bug;
    for (int i = 0; i < count; i++) {
      Router router = new Router(i);
      router.speed = 1 + DRIFT / 2 * (2 * chance.nextDouble() - 1);
      router.offset = chance.nextInt(1_000_000);
      routers.add(router);
      int number = i;
      after(chance.nextInt(100_000), () -> beats(number));
    }
    for (int i = 0; i < 3; i++) {
      leaders[i] = new Leader();
      leaders[i].speed = 1 + DRIFT / 2 * (2 * chance.nextDouble() - 1);
      leaders[i].offset = chance.nextInt(1_000_000);
      int number = i;
      after(1_000 + i, () -> leads(number));
    }
    elects(0);
    after(300_000, this::proposes);
    after(200_000, this::faults);
  }

  void after(long micros, Runnable what) {
    due.add(new Due(now + micros, orders++, what));
  }

  /** Lost, late, repeated. */
  void sends(boolean cut, Runnable what) {
    for (int copies = chance.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
      if (!cut && chance.nextInt(20) > 0) {
        after(
            200
                + (long)
                    (chance.nextInt(10) == 0 ? chance.nextInt(300_000) : chance.nextInt(5_000)),
            what);
      }
    }
  }

  Moment clock(Router router) {
    long at = bug == Bug.STOPPED_CLOCK ? now - router.stoppedFor : now;
    return new Moment(router.offset + (long) (at * router.speed));
  }

  Moment clock(Leader leader) {
    return new Moment(leader.offset + (long) (now * leader.speed));
  }

  void elects(int number) {
    if (number != leads) {
      leaders[leads].former = copy();
    }
    leaders[number].former = null;
    term++;
    leads = number;
    leaders[number].term = term;
    leaders[number].leases.elected(clock(leaders[number]));
    elected(leaders[number]);
  }

  private VersionRegister copy() {
    VersionRegister copy = new VersionRegister();
    copy.restore(
        register.inForce(),
        register.prepared(),
        register.last(),
        register.changes(),
        register.history());
    copy.restore(register.era(), register.seatsNumber(), register.seats(-1));
    return copy;
  }

  VersionRegister knownTo(Leader leader) {
    return leader.former == null ? register : leader.former;
  }

  // ---- For what is said beside leases.

  void elected(Leader leader) {}

  HeartbeatReport says(Router router) {
    return HeartbeatReport.NONE;
  }

  MembershipUpdate answers(Leader leader, Router router, HeartbeatReport report) {
    return null;
  }

  void hears(Router router, MembershipUpdate sight) {}

  void leased(Router router) {}

  void steps(Leader leader) {}

  void restarted(Router router) {}

  // ---- Leases.

  void beats(int number) {
    Router router = routers.get(number);
    after(80_000 + chance.nextInt(40_000), () -> beats(number));
    if (now < router.stoppedUntil) {
      return;
    }
    router.follower.hasJustEnded(clock(router));
    long beat = router.follower.beat(clock(router));
    long force = router.follower.inForce() == null ? 0 : router.follower.inForce().number();
    long keeps = router.follower.keepsTo();
    long incarnation = router.incarnation;
    boolean holds = !router.follower.isCareful();
    HeartbeatReport report = says(router);
    Leader leader = leaders[router.leader];
    // It goes on to the leader that it last heard of, which may have been replaced.
    router.leader = chance.nextInt(number % 2 == 0 ? 3 : 12) == 0 ? leads : router.leader;
    sends(
        now < router.cutUntil,
        () -> {
          if (leader.term > 0) {
            LeaseGrant grant =
                leader.leases.beat(
                    clock(leader),
                    "r" + number,
                    incarnation,
                    beat,
                    force,
                    keeps,
                    0,
                    "",
                    holds,
                    knownTo(leader));
            MembershipUpdate sight = answers(leader, router, report);
            Span lasts = bug == Bug.NO_LEASE ? Span.ofMillis(3_600_000) : grant.lasts();
            sends(
                now < router.cutUntil,
                () -> {
                  if (now >= router.stoppedUntil && router.incarnation == incarnation) {
                    hears(router, sight);
                    router.follower.granted(
                        clock(router),
                        new LeaseGrant(
                            beat, lasts, grant.inForce(), grant.prepared(), grant.changes()));
                    if (lasts.micros() > 0) {
                      leased(router);
                    }
                  }
                });
          }
        });
  }

  /** A leader's own doings, whether or not it has been replaced. */
  void leads(int number) {
    Leader leader = leaders[number];
    after(40_000 + chance.nextInt(20_000), () -> leads(number));
    if (leader.term == 0 || (leader.term < term && bug != Bug.UNCONFIRMED)) {
      return;
    }
    Moment sent = clock(leader);
    if (leader.cut && bug != Bug.UNCONFIRMED) {
      return;
    }
    after(
        3_000,
        () -> {
          if (leader.term == term || bug == Bug.UNCONFIRMED) {
            leader.leases.confirmed(sent);
          }
        });
    if (leader.term != term) {
      return;
    }
    LeaseTable.Step step = leader.leases.next(clock(leader), register);
    SettingsVersion prepared = register.prepared();
    if (bug == Bug.EARLY && prepared != null) {
      step = new LeaseTable.Step(LeaseTable.Step.Kind.BRING_INTO_FORCE, prepared.number(), "", 0);
    }
    switch (step.kind()) {
      case BRING_INTO_FORCE -> {
        long next = step.number();
        if (!kept.contains(next) && bug != Bug.EARLY) {
          broken = "version " + next + " came into force and nobody had checked it";
        }
        inForce += register.bringIntoForce(next) ? 1 : 0;
      }
      case WITHDRAW -> register.withdraw(step.number(), step.reason());
      case COUNT_ROUTERS ->
          register.propose(
              step.number(), register.inForce().text(), step.routers(), "fleet", "", 0);
      default -> steps(leader);
    }
  }

  void proposes() {
    after(300_000 + chance.nextInt(500_000), this::proposes);
    register.propose(
        register.inForce().number(), "v" + orders, register.inForce().routers(), "o", "", 0);
  }

  void faults() {
    after(100_000 + chance.nextInt(300_000), this::faults);
    Router router = routers.get(chance.nextInt(routers.size()));
    switch (chance.nextInt(5)) {
      case 0 -> {
        long lasts = 100_000L + chance.nextInt(1_500_000);
        router.stoppedUntil = Math.max(router.stoppedUntil, now + lasts);
        router.stoppedFor += lasts;
      }
      case 1 -> {
        router.cutUntil = Math.max(router.cutUntil, now + chance.nextInt(1_500_000));
      }
      case 2 -> {
        router.incarnation++;
        router.follower = new LeaseHolder();
        restarted(router);
      }
      case 3 -> {
        if (steady) {
          return;
        }
        // Cut from the majority, it does not hear that another was elected.
        Leader old = leaders[leads];
        old.cut = true;
        after(200_000 + chance.nextInt(600_000), () -> elects((leads + 1) % 3));
        after(2_000_000, () -> old.cut = false);
      }
      default -> {}
    }
    if (bug == Bug.OLDER_TAKEN && router.follower.inForce() != null) {
      // As if a follower took any grant, however old what it names.
      router.follower = new LeaseHolder();
      long beat = router.follower.beat(clock(router));
      router.follower.granted(
          clock(router),
          new LeaseGrant(beat, LEASE, new SettingsVersion(0, "", 99, "", "", 0), null, 0));
    }
  }

  /** Versions that a router may act on as if they held alone: none while it is careful. */
  static boolean contradict(Router a, Router b) {
    LeaseHolder one = a.follower;
    LeaseHolder two = b.follower;
    long force = one.inForce().number();
    long other = two.inForce().number();
    boolean sees =
        force == other
            || (one.prepared() != null && one.prepared().number() == other)
            || (two.prepared() != null && two.prepared().number() == force);
    return !sees;
  }

  void check() {
    List<Router> acting = new ArrayList<>();
    for (Router router : routers) {
      kept.add(router.follower.keepsTo());
      if (now >= router.stoppedUntil) {
        router.follower.hasJustEnded(clock(router));
        if (!router.follower.isCareful()) {
          acting.add(router);
        }
      }
    }
    double shares = 0;
    for (Router one : acting) {
      SettingsVersion prepared = one.follower.prepared();
      int by =
          Math.max(one.follower.inForce().routers(), prepared == null ? 0 : prepared.routers());
      shares += 1.0 / (bug == Bug.SHARES ? one.follower.inForce().routers() - 1.5 : by);
      for (Router other : acting) {
        if (contradict(one, other)) {
          broken =
              "contradiction at "
                  + now
                  + " us: "
                  + one.follower.inForce().number()
                  + " and "
                  + other.follower.inForce().number();
        }
      }
    }
    if (shares > 1 + 1e-9 && broken.isEmpty()) {
      broken = "shares sum to " + shares + " at " + now + " us";
    }
  }

  String play(long until) {
    while (broken.isEmpty() && now < until) {
      Due next = due.poll();
      now = next.at();
      next.what().run();
      check();
    }
    return broken;
  }
}
