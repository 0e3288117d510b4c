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
 * A simulated database server as routers see it: cores, a queue of statements, a log that it writes
 * or applies, and the role that it claims. It uses no sockets: the caller passes complete
 * statements and delivers the answers.
 */
public final class Server {
  /** Delivers the answer to the sender of a statement. */
  public interface Reply {
    /**
     * Sends an error with the SQLSTATE, or a row with the value if the code is null, or an invalid
     * answer if both are null. The position is in Unix milliseconds, or 0 if there is none.
     */
    void sendAnswer(String code, String value, boolean primary, long position);

    /** Closes the connection without a complete answer. */
    void breakConnection();
  }

  /** Receives the changes of the server that affect its connections. */
  public interface Listener {
    /** The server has crashed: all connections to it are reset. */
    void onCrashed();

    /** The server accepts new connections again. */
    default void onAccepting() {}

    /** The server refuses new connections and keeps the existing ones. */
    default void onRefusing() {}

    /** Returns whether the listener needs no further calls, so that it can be removed. */
    default boolean isFinished() {
      return false;
    }
  }

  private static final String SQLSTATE_NOT_PRIMARY = "25006";
  private static final String SQLSTATE_BEHIND = "72000";
  private static final String SQLSTATE_FULL = "53300";
  private static final int MAX_QUEUED_PER_CORE = 40;
  private static final Span OVERLOAD_DOWN_TIME = Span.ofMillis(2_000);

  /** The share of its capacity that a server has at its start. */
  private static final double INITIAL_WARMTH = 0.3;

  /** A cold server crashes under this multiple of its present capacity. */
  private static final double OVERLOAD_FACTOR = 3;

  /** A statement that is queued, running or stalled by a hang. */
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

  /** The group of the last statement, and how often it differed from the one before. */
  private int lastGroup;

  private int groupChanges;
  private int moveCount;
  private final SimulatedCluster cluster;
  private final int cores;
  private final ArrayDeque<Request> queue = new ArrayDeque<>();
  private final List<Request> stalled = new ArrayList<>();
  private final Set<Request> running = new HashSet<>();
  private final ArrayDeque<Moment> coldArrivals = new ArrayDeque<>();

  private final List<Listener> listeners = new ArrayList<>();

  /** The number of listeners at which finished ones are removed. */
  private int listenerCleanupSize = 64;

  private boolean up = true;
  private boolean hung;
  private boolean refusing;
  private int incarnation;

  /** Whether the server reports that it is primary, even if its group has another one. */
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

  /** By router: when it was notified that the server drains; NEVER if it was not. */
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

  /** The server keeps the data of its former group, as its routers may not have released it. */
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

  /** Returns the number of crashes so far, which identifies the present process. */
  public int incarnation() {
    return incarnation;
  }

  public String listedState() {
    return listedState;
  }

  public boolean isUp() {
    return up;
  }

  /** Whether connections stay open without answers. */
  public boolean isHung() {
    return hung;
  }

  boolean isHealthy() {
    return up && !hung && listedState.equals("in_service");
  }

  /** Returns the start time in Unix milliseconds; 0 before the first restart. */
  public long startedAtMillis() {
    return startedAt.isAfter(Moment.LONG_AGO) ? startedAt.micros() / 1_000 : 0;
  }

  // ---- Replication log

  /** Returns the position up to which all commits are in the server's data. */
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

  /**
   * Returns the applied position in seconds. A primary that has lost its lease stays at the
   * position where it lost it, even if it still claims to be primary.
   */
  public double positionSeconds(Moment now) {
    return appliedPosition(now).micros() / 1e6;
  }

  private long positionMillis(Moment now) {
    return Math.floorDiv(appliedPosition(now).micros(), 1_000L);
  }

  public double utilization() {
    return Math.min(1, running.size() / (double) cores);
  }

  /** Returns the role that polls receive. */
  public boolean claimsPrimary() {
    return claimsPrimary;
  }

  // ---- Statements

  /** Records that a router has received the current endpoint list. */
  public void onListReceived(int router, Moment now) {
    drainNoticeTimes[router] =
        listedState.equals("in_service") ? Moment.NEVER : drainNoticeTimes[router].earlier(now);
  }

  /** Accepts a complete statement. Returns an action that withdraws it if its sender is gone. */
  public Runnable execute(Statement statement, Moment sentAt, Reply reply) {
    Moment now = cluster.now();
    Request request =
        new Request(
            cluster.checker.onArrival(
                statement, this, sentAt, now, drainNoticeTimes[statement.router], drainNoticeTimes),
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

  /** Returns the share of the full capacity, which rises from the initial share to 1. */
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
        // The group has a new primary, so the log accepts no commit of this server.
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
      execution.position = position;
      execution.atPrimary = group.primary == this;
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
   * Closes the connections with pending writes, as an abrupt switchover does. Some of the running
   * writes take effect.
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

  // ---- Faults

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
    int faultIncarnation = incarnation;
    refusing = true;
    List.copyOf(listeners).forEach(Listener::onRefusing);
    cluster.scheduler.runAfter(
        duration,
        () -> {
          refusing = false;
          if (incarnation == faultIncarnation) {
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
    int faultIncarnation = incarnation;
    cluster.scheduler.runAfter(
        duration,
        () -> {
          if (incarnation == faultIncarnation) {
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
      // The server detects only after this delay that another one is primary.
      cluster.scheduler.runAfter(
          cluster.drawStaleClaimDuration(), () -> claimsPrimary = group.primary == this);
    }
  }
}
