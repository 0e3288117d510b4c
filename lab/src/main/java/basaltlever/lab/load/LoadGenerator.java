package basaltlever.lab.load;

import basaltlever.lab.world.FaultInjector;
import basaltlever.lab.world.HistoryChecker;
import basaltlever.lab.world.ReplicaGroup;
import basaltlever.lab.world.SimulatedCluster;
import basaltlever.lab.world.Statement;
import basaltlever.lab.world.Statement.Outcome;
import basaltlever.lab.world.Workload;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/**
 * Open-loop load generator: statements arrive on schedule, independent of the responses, and are
 * timed from their scheduled send time. Rejected clients retry a limited number of times after the
 * delay that the router returned, some clients disconnect early, and sessions read their own
 * writes.
 */
public final class LoadGenerator {
  private static final int SESSIONS_PER_GROUP = 64;
  private static final int MAX_TRIES = 3;
  private static final double EARLY_DISCONNECT_SHARE = 0.01;
  private static final double OTHER_ROUTER_SHARE = 0.1;

  /**
   * A response up to this long after the client's deadline is late; beyond it, the statement counts
   * as unanswered. This is the half second of the standing test. With less time, delays of a busy
   * machine were at times counted against the router.
   */
  private static final Span RESPONSE_GRACE = Span.ofMillis(500);

  private static final Span RETENTION_PERIOD = Span.ofMillis(12_000);
  private static final Span MIN_REMAINING_TIME = Span.ofMillis(150);

  private final SimulatedCluster cluster;
  private final HistoryChecker checker;
  private final StatementTransport transport;
  private final FaultInjector faults;
  private final List<Workload> workloads;
  private final int routerCount;
  private final SplittableRandom random;
  private final long[] lastCommits;

  /** Returns a workload as the version of the settings that is in force defines it. */
  private UnaryOperator<Workload> workloadInForce = workload -> workload;

  /** Whether all reads carry their session's last commit, since any may become a session read. */
  private boolean allReadsCarryCommits;

  private Moment endTime;
  private long statementCount;
  private int openStatements;

  /** Creates a generator; each workload runs in every group of the cluster. */
  public LoadGenerator(
      SimulatedCluster cluster,
      StatementTransport transport,
      FaultInjector faults,
      List<Workload> workloads,
      int routerCount) {
    this.cluster = cluster;
    this.checker = cluster.checker;
    this.transport = transport;
    this.faults = faults;
    this.workloads = workloads;
    this.routerCount = routerCount;
    random = cluster.random.split();
    lastCommits = new long[SESSIONS_PER_GROUP * (cluster.groups().size() + 1)];
  }

  /** Makes the requirements of statements follow the version in force when they are sent. */
  public void followVersions(UnaryOperator<Workload> inForce) {
    workloadInForce = inForce;
    allReadsCarryCommits = true;
  }

  /** Schedules the arrivals of all workloads for the duration. */
  public void runFor(Span duration) {
    endTime = cluster.now().plus(duration);
    for (ReplicaGroup group : cluster.groups()) {
      for (Workload workload : workloads) {
        // A separate random generator for each workload makes arrivals independent of responses.
        scheduleNext(group.number, workload, cluster.now(), random.split());
      }
    }
  }

  /** Returns whether the duration has passed and no statement is open. */
  public boolean isFinished() {
    return openStatements == 0 && !cluster.now().isBefore(endTime);
  }

  private void scheduleNext(
      int group, Workload workload, Moment previousTime, SplittableRandom workloadRandom) {
    double rate = workload.ratePerSecond() * faults.loadFactor(group);
    // Exponential intervals, as from many independent clients.
    Moment dueTime =
        previousTime.plus(Span.ofMillis(-Math.log(1 - workloadRandom.nextDouble()) * 1e3 / rate));
    if (dueTime.isBefore(endTime)) {
      cluster
          .scheduler()
          .runAt(
              dueTime,
              () -> {
                sendFirst(group, workload, dueTime, workloadRandom);
                scheduleNext(group, workload, dueTime, workloadRandom);
              });
    }
  }

  private void sendFirst(
      int group, Workload workload, Moment dueTime, SplittableRandom workloadRandom) {
    int session = group * SESSIONS_PER_GROUP + workloadRandom.nextInt(SESSIONS_PER_GROUP);
    int otherRouter = workloadRandom.nextInt(routerCount);
    int routerIndex =
        workloadRandom.nextDouble() < OTHER_ROUTER_SHARE ? otherRouter : session % routerCount;
    for (int tried = 1; tried < routerCount && !transport.isReachable(routerIndex); tried++) {
      routerIndex = (routerIndex + 1) % routerCount;
    }
    double waitShare =
        workloadRandom.nextDouble() < EARLY_DISCONNECT_SHARE ? workloadRandom.nextDouble() : 1;
    boolean carriesCommit =
        workload.consistency().equals("session") || (allReadsCarryCommits && !workload.isWrite());
    long minCommit = carriesCommit ? lastCommits[session] : 0;
    send(
        "k" + statementCount,
        workload,
        group,
        routerIndex,
        session,
        dueTime,
        dueTime.plus(workload.timeout()),
        minCommit,
        1,
        waitShare);
  }

  private void send(
      String key,
      Workload workload,
      int group,
      int routerIndex,
      int session,
      Moment dueTime,
      Moment deadline,
      long minCommit,
      int tryNumber,
      double waitShare) {
    Statement statement =
        new Statement(
            "t" + statementCount++,
            key,
            workloadInForce.apply(workload),
            group,
            routerIndex,
            session,
            dueTime,
            deadline,
            minCommit,
            tryNumber);
    checker.onStatementStarted(statement);
    openStatements++;
    transport.submit(statement, new StatementListener(statement, session));
    boolean disconnectsEarly = waitShare < 1;
    Moment giveUpTime =
        disconnectsEarly
            ? dueTime.plus(deadline.since(dueTime).times(waitShare))
            : deadline.plus(RESPONSE_GRACE);
    cluster
        .scheduler()
        .runAt(
            giveUpTime,
            () -> {
              if (statement.isOpen()) {
                transport.abandon(statement);
                finish(statement, disconnectsEarly ? Outcome.LEFT : Outcome.UNANSWERED, null);
              }
            });
  }

  private void finish(Statement statement, Outcome outcome, String value) {
    if (statement.isOpen()) {
      openStatements--;
      // Executions that finish after the response are still recorded for a while.
      cluster.scheduler().runAfter(RETENTION_PERIOD, () -> checker.removeStatement(statement));
    }
    checker.onStatementEnded(statement, outcome, cluster.now(), value);
  }

  /** Records the result of one statement and schedules the retry of a rejected one. */
  private final class StatementListener implements StatementTransport.ResponseListener {
    private final Statement statement;
    private final int session;

    StatementListener(Statement statement, int session) {
      this.statement = statement;
      this.session = session;
    }

    @Override
    public void onCompleted(String value) {
      if (statement.isOpen() && statement.workload.isWrite()) {
        lastCommits[session] = Math.max(lastCommits[session], statement.commitMillis());
      }
      finish(statement, Outcome.COMPLETED, value);
    }

    @Override
    public void onRejected(Span retryAfter) {
      finish(statement, Outcome.REJECTED, null);
      Moment retryTime = cluster.now().plus(retryAfter);
      if (statement.clientAttempt < MAX_TRIES
          && statement.deadline.since(retryTime).isLongerThan(MIN_REMAINING_TIME)) {
        cluster
            .scheduler()
            .runAt(
                retryTime,
                () ->
                    send(
                        statement.idempotencyKey,
                        statement.workload,
                        statement.group,
                        statement.router,
                        session,
                        cluster.now(),
                        statement.deadline,
                        statement.requiredCommitMillis,
                        statement.clientAttempt + 1,
                        1));
      }
    }

    @Override
    public void onRouterKilled() {
      finish(statement, Outcome.LEFT, null);
    }

    @Override
    public void onAborted() {
      finish(statement, Outcome.ABORTED, null);
    }
  }
}
