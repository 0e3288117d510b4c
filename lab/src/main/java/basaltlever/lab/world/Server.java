package basaltlever.lab.world;

import basaltlever.lab.world.Statement.Execution;
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
    void sendAnswer(String code, String value, boolean primary, long position);

    /** The connection breaks off without an answer. */
    void breakConnection();
  }

  /** What its connections do, as fronts with sockets hear of it. */
  public interface Listener {
    void onCrashed();

    default void onAccepting() {}

    /** It takes no new connections, and goes on with those it has. */
    default void onRefusing() {}

    /** What needs to hear no more is forgotten. */
    default boolean isFinished() {
      return false;
    }
  }

  private static final String SQLSTATE_NOT_PRIMARY = "25006";
  private static final String SQLSTATE_BEHIND = "72000";
  private static final String SQLSTATE_FULL = "53300";
  private static final int MAX_QUEUED_PER_CORE = 40;
  private static final Span OVERLOAD_DOWN_TIME = Span.ofMillis(2_000);
  private static final double INITIAL_WARMTH = 0.3;
  private static final double OVERLOAD_FACTOR = 3;

  private static final class Request {
    final Execution execution;
    final Reply reply;
    boolean abandoned;

    Request(Execution execution, Reply reply) {
      this.execution = execution;
      this.reply = reply;
    }
  }

  public final String id;
  public final int number;
  ReplicaGroup group;

  /** The group whose statement came last, and how often that was another than before. */
  private int lastGroup;

  private int groupChanges;
  private int moveCount;
  private final SimulatedCluster cluster;
  private final int cores;
  private final ArrayDeque<Request> queue = new ArrayDeque<>();
  private final List<Request> stalled = new ArrayList<>();
  private final Set<Request> running = new HashSet<>();
  private final ArrayDeque<Moment> coldArrivals = new ArrayDeque<>();

  /** One for each router that can reach it. */
  private final List<Listener> listeners = new ArrayList<>();

  private int listenerCleanupSize = 64;
  private boolean up = true;
  private boolean hung;
  private boolean refusing;
  private int incarnation;

  /** It says that it is primary, whether or not its group agrees. */
  boolean claimsPrimary;

  boolean refusesWrites;
  Span extraLag = Span.NONE;
  double slowdown = 1;
  boolean hangsAtNextCommit;
  int answersToBreak;
  int answersToCorrupt;
  String listedState = "in_service";
  Moment startedAt = Moment.LONG_AGO;
  private Moment frozenPosition = Moment.LONG_AGO;
  private Moment catchUpEnd = Moment.LONG_AGO;
  private final Moment[] drainNoticeTimes;

  Server(SimulatedCluster cluster, ReplicaGroup group, int number, int cores, int routerCount) {
    this.cluster = cluster;
    this.group = group;
    this.number = number;
    this.cores = cores;
    id = "db-" + number;
    drainNoticeTimes = new Moment[routerCount];
    java.util.Arrays.fill(drainNoticeTimes, Moment.NEVER);
  }

  public ReplicaGroup group() {
    return group;
  }

  /** It has the data of both until its routers have let go of it. */
  void moveTo(ReplicaGroup newGroup) {
    group = newGroup;
    moveCount++;
  }

  public void addListener(Listener listener) {
    if (listeners.size() >= listenerCleanupSize) {
      listeners.removeIf(Listener::isFinished);
      listenerCleanupSize = Math.max(64, 2 * listeners.size());
    }
    listeners.add(listener);
  }

  /** Counts its deaths. */
  public int incarnation() {
    return incarnation;
  }

  public String listedState() {
    return listedState;
  }

  public boolean isUp() {
    return up;
  }

  public boolean isHung() {
    return hung;
  }

  boolean isHealthy() {
    return up && !hung && listedState.equals("in_service");
  }

  public long startedAtMillis() {
    return startedAt.isAfter(Moment.LONG_AGO) ? startedAt.micros() / 1_000 : 0;
  }

  // ---- The log.

  /** All commits up to here are in its data. */
  Moment appliedPosition(Moment now) {
    if (group.primary == this && up && !hung) {
      return now;
    }
    Moment position =
        now.isBefore(catchUpEnd) || !up || hung
            ? frozenPosition
            : group.logEnd(now).earlier(now.minus(cluster.replicationLag(this)).minus(extraLag));
    frozenPosition = frozenPosition.later(position);
    return frozenPosition;
  }

  private void freezePosition(Moment now) {
    frozenPosition = frozenPosition.later(appliedPosition(now));
  }

  /** A primary that has lost its lease stands where it lost it, whatever it still calls itself. */
  public double positionSeconds(Moment now) {
    return appliedPosition(now).micros() / 1e6;
  }

  private long positionMillis(Moment now) {
    return Math.floorDiv(appliedPosition(now).micros(), 1_000L);
  }

  public double utilization() {
    return Math.min(1, running.size() / (double) cores);
  }

  /** Read by polls. */
  public boolean claimsPrimary() {
    return claimsPrimary;
  }

  // ---- Statements.

  public void onListReceived(int router, Moment now) {
    drainNoticeTimes[router] =
        listedState.equals("in_service") ? Moment.NEVER : drainNoticeTimes[router].earlier(now);
  }

  /**
   * A statement whose last byte has come. Returns what takes back its waiting work when its client
   * is gone.
   */
  public Runnable execute(Statement statement, Reply reply) {
    Moment now = cluster.now();
    Request request =
        new Request(
            cluster.checker.onArrival(
                statement, this, now, drainNoticeTimes[statement.router], drainNoticeTimes),
            reply);
    if (lastGroup != statement.group) {
      groupChanges += lastGroup == 0 ? 0 : 1;
      lastGroup = statement.group;
    }
    if (groupChanges > moveCount
        || running.stream()
            .anyMatch(
                other -> other.execution.statement.group != statement.group && !other.abandoned)) {
      groupChanges = Math.min(groupChanges, moveCount);
      cluster.checker.onTwoGroupsServed(statement, this);
    }
    if (hung) {
      stalled.add(request);
    } else {
      admit(request, now);
    }
    return () -> {
      request.abandoned = true;
      queue.remove(request);
    };
  }

  private void rejectUnexecuted(Request request, String code) {
    request.execution.reportedNotRun = true;
    request.reply.sendAnswer(code, null, claimsPrimary, 0);
  }

  private void admit(Request request, Moment now) {
    Statement statement = request.execution.statement;
    if (statement.workload.isWrite()
        && (!claimsPrimary
            || refusesWrites
            || group.primary != this
            || statement.group != group.number)) {
      rejectUnexecuted(request, SQLSTATE_NOT_PRIMARY);
    } else if ((!listedState.equals("in_service") && !statement.workload.isWrite())
        || queue.size() >= MAX_QUEUED_PER_CORE * cores) {
      rejectUnexecuted(request, SQLSTATE_FULL);
    } else if (isBehind(statement, now)) {
      rejectUnexecuted(request, SQLSTATE_BEHIND);
    } else if (running.size() < cores) {
      start(request, now);
    } else {
      queue.add(request);
    }
    if (computeWarmth(now) < 1) {
      coldArrivals.add(now);
      while (now.since(coldArrivals.peek()).isLongerThan(cluster.overloadWindow)) {
        coldArrivals.remove();
      }
      double capacity =
          cores
              * computeWarmth(now)
              * cluster.overloadWindow.ratioTo(statement.workload.serviceTime());
      if (coldArrivals.size() > Math.max(3, OVERLOAD_FACTOR * capacity)) {
        cluster.checker.onColdOverload(this);
        crash(OVERLOAD_DOWN_TIME);
      }
    }
  }

  private boolean isBehind(Statement statement, Moment now) {
    if (!cluster.replicasCheckPosition) {
      return false;
    }
    Moment position = appliedPosition(now);
    return switch (statement.workload.consistency()) {
      case "session" -> statement.requiredCommitMillis * 1_000 > position.micros();
      case "bounded" -> now.since(position).isLongerThan(statement.workload.stalenessBound());
      case "fresh" -> group.primary != this || statement.group != group.number;
      default -> false;
    };
  }

  /** From the cold share up to 1. */
  private double computeWarmth(Moment now) {
    Span age = now.since(startedAt);
    return age.isShorterThan(cluster.warmUpTime)
        ? INITIAL_WARMTH + (1 - INITIAL_WARMTH) * Math.max(0, age.ratioTo(cluster.warmUpTime))
        : 1;
  }

  private void start(Request request, Moment now) {
    running.add(request);
    Moment position = appliedPosition(now);
    int startIncarnation = incarnation;
    Span duration =
        request
            .execution
            .statement
            .workload
            .serviceTime()
            .times(cluster.drawServiceTimeFactor() * slowdown / computeWarmth(now));
    cluster.scheduler.runAfter(
        duration,
        () -> {
          if (incarnation == startIncarnation && running.contains(request)) {
            if (hung) {
              running.remove(request);
              stalled.add(request);
            } else {
              finish(request, position);
            }
          }
        });
  }

  private void finish(Request request, Moment position) {
    running.remove(request);
    Moment now = cluster.now();
    Execution execution = request.execution;
    if (execution.statement.workload.isWrite()) {
      if (group.primary != this) {
        // Its group has a new primary: the log takes nothing from this one.
        rejectUnexecuted(request, SQLSTATE_NOT_PRIMARY);
      } else {
        long commitMillis = group.appendCommit(now);
        execution.statement.commitMillis = commitMillis;
        execution.completed = true;
        cluster.checker.onEffect(execution);
        if (hangsAtNextCommit) {
          hangsAtNextCommit = false;
          stalled.add(request);
          hang(cluster.drawHangDuration());
          return;
        }
        sendAnswer(request, commitMillis);
      }
    } else {
      execution.completed = true;
      execution.stale = cluster.group(execution.statement.group).isStale(execution, position);
      sendAnswer(request, positionMillis(now));
    }
    startQueued(now);
  }

  private void sendAnswer(Request request, long position) {
    if (request.abandoned) {
      return;
    }
    if (answersToBreak > 0) {
      answersToBreak--;
      cluster.checker.onDisruption(group, cluster.now());
      request.reply.breakConnection();
    } else if (answersToCorrupt > 0) {
      answersToCorrupt--;
      request.reply.sendAnswer(null, null, claimsPrimary, position);
    } else {
      request.reply.sendAnswer(null, request.execution.resultValue(), claimsPrimary, position);
    }
  }

  private void startQueued(Moment now) {
    while (running.size() < cores && !queue.isEmpty()) {
      start(queue.poll(), now);
    }
  }

  /**
   * Its connections with writes are cut, as a switch does that waits for nobody; some of them have
   * taken effect.
   */
  void abortWrites() {
    List<Request> writes = new ArrayList<>(running);
    writes.addAll(queue);
    for (Request request : writes) {
      if (request.execution.statement.workload.isWrite()) {
        if (running.remove(request) && cluster.random.nextBoolean()) {
          request.execution.statement.commitMillis = group.appendCommit(cluster.now());
          request.execution.completed = true;
          cluster.checker.onEffect(request.execution);
        }
        queue.remove(request);
        request.reply.breakConnection();
        cluster.checker.onDisruption(group, cluster.now());
      }
    }
    startQueued(cluster.now());
  }

  int pendingWriteCount() {
    return (int)
        (running.stream().filter(request -> request.execution.statement.workload.isWrite()).count()
            + queue.stream()
                .filter(request -> request.execution.statement.workload.isWrite())
                .count());
  }

  // ---- What befalls it.

  void crash(Span duration) {
    if (!up) {
      return;
    }
    freezePosition(cluster.now());
    cluster.checker.onDisruption(group, cluster.now());
    up = false;
    hung = false;
    claimsPrimary = false;
    refusesWrites = false;
    incarnation++;
    queue.clear();
    stalled.clear();
    running.clear();
    coldArrivals.clear();
    group.onServerLost(this);
    List.copyOf(listeners).forEach(Listener::onCrashed);
    cluster.scheduler.runAfter(
        duration,
        () -> {
          up = true;
          startedAt = cluster.now();
          catchUpEnd = cluster.now().plus(Span.ofMillis(300));
          listeners.forEach(Listener::onAccepting);
        });
  }

  void refuseConnections(Span duration) {
    int now = incarnation;
    refusing = true;
    List.copyOf(listeners).forEach(Listener::onRefusing);
    cluster.scheduler.runAfter(
        duration,
        () -> {
          refusing = false;
          if (incarnation == now) {
            listeners.forEach(Listener::onAccepting);
          }
        });
  }

  public boolean isRefusing() {
    return refusing;
  }

  void hang(Span duration) {
    if (!up || hung) {
      return;
    }
    freezePosition(cluster.now());
    cluster.checker.onDisruption(group, cluster.now());
    hung = true;
    group.onServerLost(this);
    int now = incarnation;
    cluster.scheduler.runAfter(
        duration,
        () -> {
          if (incarnation == now) {
            resume();
          }
        });
  }

  private void resume() {
    hung = false;
    catchUpEnd = cluster.now().plus(Span.ofMillis(300));
    List<Request> resumed = new ArrayList<>(stalled);
    stalled.clear();
    for (Request request : resumed) {
      if (request.execution.tookEffect) {
        sendAnswer(request, positionMillis(cluster.now()));
      } else if (!request.abandoned) {
        admit(request, cluster.now());
      }
    }
    startQueued(cluster.now());
    if (group.primary != this && claimsPrimary) {
      // It learns only now that another has taken its place.
      cluster.scheduler.runAfter(
          cluster.drawStaleClaimDuration(), () -> claimsPrimary = group.primary == this);
    }
  }
}
