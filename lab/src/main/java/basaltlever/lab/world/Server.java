package basaltlever.lab.world;

import basaltlever.lab.world.Ask.Execution;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A database server as routers see one: cores, a queue, a log it writes or applies, a role it
 * believes to have. Free of sockets; a front brings it statements that have come whole and carries
 * its answers away.
 */
public final class Server {
  /** What carries an answer to whoever asked. */
  public interface Reply {
    /**
     * The code is null for a row with the value; the position is in Unix milliseconds, 0 for none.
     */
    void answer(String code, String value, boolean primary, long position);

    /** The connection breaks off without an answer. */
    void breaks();
  }

  /** What its connections do, as fronts with sockets hear of it. */
  public interface Listener {
    void died();

    default void cameBack() {}

    /** It takes no new connections, and goes on with those it has. */
    default void refuses() {}

    /** What needs to hear no more is forgotten. */
    default boolean isOver() {
      return false;
    }
  }

  private static final String NOT_PRIMARY = "25006";
  private static final String BEHIND = "72000";
  private static final String FULL = "53300";
  private static final int QUEUE_FOR_CORE = 40;
  private static final Span FALLS_FOR = Span.ofMillis(2_000);
  private static final double COLD_FROM = 0.3;
  private static final double FALL_MULTIPLE = 3;

  private static final class Work {
    final Execution execution;
    final Reply reply;
    boolean dropped;

    Work(Execution execution, Reply reply) {
      this.execution = execution;
      this.reply = reply;
    }
  }

  public final String id;
  public final int number;
  Shard group;

  /** The group whose statement came last, and how often that was another than before. */
  private int lastGroup;

  private int turns;
  private int moves;
  private final World world;
  private final int cores;
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private final List<Work> stuck = new ArrayList<>();
  private final Set<Work> running = new HashSet<>();
  private final ArrayDeque<Moment> coldWork = new ArrayDeque<>();

  /** One for each router that can reach it. */
  private final List<Listener> listeners = new ArrayList<>();

  private int forgetsAt = 64;
  private boolean up = true;
  private boolean hung;
  private boolean refusing;
  private int life;

  /** It says that it is primary, whether or not its group agrees. */
  boolean claims;

  boolean refusesWrites;
  Span lag = Span.NONE;
  double slow = 1;
  boolean hangsAtCommit;
  int breaksAnswers;
  int spoilsAnswers;
  String listed = "in_service";
  Moment startedAt = Moment.LONG_AGO;
  private Moment frozenAt = Moment.LONG_AGO;
  private Moment catchesUpAt = Moment.LONG_AGO;
  private final Moment[] drainTold;

  Server(World world, Shard group, int number, int cores, int routers) {
    this.world = world;
    this.group = group;
    this.number = number;
    this.cores = cores;
    id = "db-" + number;
    drainTold = new Moment[routers];
    java.util.Arrays.fill(drainTold, Moment.NEVER);
  }

  public Shard group() {
    return group;
  }

  /** It has the data of both until its routers have let go of it. */
  void moves(Shard to) {
    group = to;
    moves++;
  }

  public void listens(Listener more) {
    if (listeners.size() >= forgetsAt) {
      listeners.removeIf(Listener::isOver);
      forgetsAt = Math.max(64, 2 * listeners.size());
    }
    listeners.add(more);
  }

  /** Counts its deaths. */
  public int life() {
    return life;
  }

  public String listed() {
    return listed;
  }

  public boolean isUp() {
    return up;
  }

  public boolean isHung() {
    return hung;
  }

  boolean isSound() {
    return up && !hung && listed.equals("in_service");
  }

  public long startedMillis() {
    return startedAt.isAfter(Moment.LONG_AGO) ? startedAt.micros() / 1_000 : 0;
  }

  // ---- The log.

  /** All commits up to here are in its data. */
  Moment applied(Moment now) {
    if (group.leader == this && up && !hung) {
      return now;
    }
    Moment told =
        now.isBefore(catchesUpAt) || !up || hung
            ? frozenAt
            : group.aliveUntil(now).earlier(now.minus(world.lag(this)).minus(lag));
    frozenAt = frozenAt.later(told);
    return frozenAt;
  }

  private void freeze(Moment now) {
    frozenAt = frozenAt.later(applied(now));
  }

  /** A primary that has lost its lease stands where it lost it, whatever it still calls itself. */
  public double position(Moment now) {
    return applied(now).micros() / 1e6;
  }

  private long millis(Moment now) {
    return Math.floorDiv(applied(now).micros(), 1_000L);
  }

  public double util() {
    return Math.min(1, running.size() / (double) cores);
  }

  /** Read by polls. */
  public boolean saysPrimary() {
    return claims;
  }

  // ---- Statements.

  public void drainWasTold(int router, Moment now) {
    drainTold[router] = listed.equals("in_service") ? Moment.NEVER : drainTold[router].earlier(now);
  }

  /**
   * A statement whose last byte has come. Returns what takes back its waiting work when its client
   * is gone.
   */
  public Runnable ask(Ask ask, Reply reply) {
    Moment now = world.now();
    Work work =
        new Work(world.ledger.reached(ask, this, now, drainTold[ask.router], drainTold), reply);
    if (lastGroup != ask.group) {
      turns += lastGroup == 0 ? 0 : 1;
      lastGroup = ask.group;
    }
    if (turns > moves
        || running.stream()
            .anyMatch(other -> other.execution.of.group != ask.group && !other.dropped)) {
      turns = Math.min(turns, moves);
      world.ledger.servedTwo(ask, this);
    }
    if (hung) {
      stuck.add(work);
    } else {
      admit(work, now);
    }
    return () -> {
      work.dropped = true;
      queue.remove(work);
    };
  }

  private void notRun(Work work, String code) {
    work.execution.toldNotRun = true;
    work.reply.answer(code, null, claims, 0);
  }

  private void admit(Work work, Moment now) {
    Ask ask = work.execution.of;
    if (ask.kind.isWrite()
        && (!claims || refusesWrites || group.leader != this || ask.group != group.number)) {
      notRun(work, NOT_PRIMARY);
    } else if ((!listed.equals("in_service") && !ask.kind.isWrite())
        || queue.size() >= QUEUE_FOR_CORE * cores) {
      notRun(work, FULL);
    } else if (isBehind(ask, now)) {
      notRun(work, BEHIND);
    } else if (running.size() < cores) {
      begin(work, now);
    } else {
      queue.add(work);
    }
    if (warmth(now) < 1) {
      coldWork.add(now);
      while (now.since(coldWork.peek()).isLongerThan(world.fallWindow)) {
        coldWork.remove();
      }
      double able = cores * warmth(now) * world.fallWindow.ratioTo(ask.kind.work());
      if (coldWork.size() > Math.max(3, FALL_MULTIPLE * able)) {
        world.ledger.toppled(this);
        die(FALLS_FOR);
      }
    }
  }

  private boolean isBehind(Ask ask, Moment now) {
    if (!world.replicasCheck) {
      return false;
    }
    Moment has = applied(now);
    return switch (ask.kind.needs()) {
      case "session" -> ask.after * 1_000 > has.micros();
      case "bounded" -> now.since(has).isLongerThan(ask.kind.bound());
      case "fresh" -> group.leader != this || ask.group != group.number;
      default -> false;
    };
  }

  /** From the cold share up to 1. */
  private double warmth(Moment now) {
    Span age = now.since(startedAt);
    return age.isShorterThan(world.warmAfter)
        ? COLD_FROM + (1 - COLD_FROM) * Math.max(0, age.ratioTo(world.warmAfter))
        : 1;
  }

  private void begin(Work work, Moment now) {
    running.add(work);
    Moment has = applied(now);
    int began = life;
    Span takes = work.execution.of.kind.work().times(world.spread() * slow / warmth(now));
    world.time.after(
        takes,
        () -> {
          if (life == began && running.contains(work)) {
            if (hung) {
              running.remove(work);
              stuck.add(work);
            } else {
              done(work, has);
            }
          }
        });
  }

  private void done(Work work, Moment has) {
    running.remove(work);
    Moment now = world.now();
    Execution execution = work.execution;
    if (execution.of.kind.isWrite()) {
      if (group.leader != this) {
        // Its group has a new primary: the log takes nothing from this one.
        notRun(work, NOT_PRIMARY);
      } else {
        long commit = group.commits(now);
        execution.of.commit = commit;
        execution.served = true;
        world.ledger.ran(execution);
        if (hangsAtCommit) {
          hangsAtCommit = false;
          stuck.add(work);
          hang(world.hangsFor());
          return;
        }
        answer(work, commit);
      }
    } else {
      execution.served = true;
      execution.stale = world.shard(execution.of.group).isStale(execution, has);
      answer(work, millis(now));
    }
    next(now);
  }

  private void answer(Work work, long position) {
    if (work.dropped) {
      return;
    }
    if (breaksAnswers > 0) {
      breaksAnswers--;
      world.ledger.troubled(group, world.now());
      work.reply.breaks();
    } else if (spoilsAnswers > 0) {
      spoilsAnswers--;
      work.reply.answer(null, null, claims, position);
    } else {
      work.reply.answer(null, work.execution.value(), claims, position);
    }
  }

  private void next(Moment now) {
    while (running.size() < cores && !queue.isEmpty()) {
      begin(queue.poll(), now);
    }
  }

  /**
   * Its connections with writes are cut, as a switch does that waits for nobody; some of them have
   * taken effect.
   */
  void cutWrites() {
    List<Work> writes = new ArrayList<>(running);
    writes.addAll(queue);
    for (Work work : writes) {
      if (work.execution.of.kind.isWrite()) {
        if (running.remove(work) && world.chance.nextBoolean()) {
          work.execution.of.commit = group.commits(world.now());
          work.execution.served = true;
          world.ledger.ran(work.execution);
        }
        queue.remove(work);
        work.reply.breaks();
        world.ledger.troubled(group, world.now());
      }
    }
    next(world.now());
  }

  int writesRunning() {
    return (int)
        (running.stream().filter(work -> work.execution.of.kind.isWrite()).count()
            + queue.stream().filter(work -> work.execution.of.kind.isWrite()).count());
  }

  // ---- What befalls it.

  void die(Span lasts) {
    if (!up) {
      return;
    }
    freeze(world.now());
    world.ledger.troubled(group, world.now());
    up = false;
    hung = false;
    claims = false;
    refusesWrites = false;
    life++;
    queue.clear();
    stuck.clear();
    running.clear();
    coldWork.clear();
    group.lost(this);
    List.copyOf(listeners).forEach(Listener::died);
    world.time.after(
        lasts,
        () -> {
          up = true;
          startedAt = world.now();
          catchesUpAt = world.now().plus(Span.ofMillis(300));
          listeners.forEach(Listener::cameBack);
        });
  }

  void refuse(Span lasts) {
    int now = life;
    refusing = true;
    List.copyOf(listeners).forEach(Listener::refuses);
    world.time.after(
        lasts,
        () -> {
          refusing = false;
          if (life == now) {
            listeners.forEach(Listener::cameBack);
          }
        });
  }

  public boolean isRefusing() {
    return refusing;
  }

  void hang(Span lasts) {
    if (!up || hung) {
      return;
    }
    freeze(world.now());
    world.ledger.troubled(group, world.now());
    hung = true;
    group.lost(this);
    int now = life;
    world.time.after(
        lasts,
        () -> {
          if (life == now) {
            wake();
          }
        });
  }

  private void wake() {
    hung = false;
    catchesUpAt = world.now().plus(Span.ofMillis(300));
    List<Work> waited = new ArrayList<>(stuck);
    stuck.clear();
    for (Work work : waited) {
      if (work.execution.effect) {
        answer(work, millis(world.now()));
      } else if (!work.dropped) {
        admit(work, world.now());
      }
    }
    next(world.now());
    if (group.leader != this && claims) {
      // It learns only now that another has taken its place.
      world.time.after(world.zombieFor(), () -> claims = group.leader == this);
    }
  }
}
