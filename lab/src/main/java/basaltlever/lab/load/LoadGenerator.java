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

/**
 * Statements that arrive by the clock, whatever the answers do. Each is timed from when it should
 * have been sent. Clients that are rejected come back when they are told to, a few times; some
 * leave early; sessions read what they wrote.
 */
public final class LoadGenerator {
  private static final int SESSIONS_PER_GROUP = 64;
  private static final int MAX_TRIES = 3;
  private static final double EARLY_DISCONNECT_SHARE = 0.01;
  private static final double OTHER_ROUTER_SHARE = 0.1;

  /**
   * An answer that comes up to this much after its client's time is late; later it is none. The
   * standing test's own half second: less was a busy machine's own delay at times, and no router's.
   */
  private static final Span RESPONSE_GRACE = Span.ofMillis(500);

  private static final Span RETENTION_PERIOD = Span.ofMillis(12_000);
  private static final Span MIN_REMAINING_TIME = Span.ofMillis(150);

  private final SimulatedCluster world;
  private final HistoryChecker checker;
  private final StatementTransport transport;
  private final FaultInjector faults;
  private final List<Workload> workloads;
  private final int routerCount;
  private final SplittableRandom random;
  private final long[] lastCommits;
  private Moment endTime;
  private long statementCount;
  private int openStatements;

  public LoadGenerator(
      SimulatedCluster world,
      StatementTransport transport,
      FaultInjector faults,
      List<Workload> workloads,
      int routerCount) {
    this.world = world;
    this.checker = world.checker;
    this.transport = transport;
    this.faults = faults;
    this.workloads = workloads;
    this.routerCount = routerCount;
    random = world.random.split();
    lastCommits = new long[SESSIONS_PER_GROUP * (world.groups().size() + 1)];
  }

  public void runFor(Span duration) {
    endTime = world.now().plus(duration);
    for (ReplicaGroup group : world.groups()) {
      for (Workload workload : workloads) {
        // Each with its own source of chance: arrivals are the same whatever is answered.
        scheduleNext(group.number, workload, world.now(), random.split());
      }
    }
  }

  public boolean isFinished() {
    return openStatements == 0 && !world.now().isBefore(endTime);
  }

  private void scheduleNext(
      int group, Workload workload, Moment previousTime, SplittableRandom workloadRandom) {
    double rate = workload.ratePerSecond() * faults.loadFactor(group);
    // Arrivals of many clients that know nothing of each other.
    Moment dueTime =
        previousTime.plus(Span.ofMillis(-Math.log(1 - workloadRandom.nextDouble()) * 1e3 / rate));
    if (dueTime.isBefore(endTime)) {
      world
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
    for (int next = 1; next < routerCount && !transport.isReachable(routerIndex); next++) {
      routerIndex = (routerIndex + 1) % routerCount;
    }
    double early =
        workloadRandom.nextDouble() < EARLY_DISCONNECT_SHARE ? workloadRandom.nextDouble() : 1;
    long minCommit = workload.consistency().equals("session") ? lastCommits[session] : 0;
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
        early);
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
      double share) {
    Statement statement =
        new Statement(
            "t" + statementCount++,
            key,
            workload,
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
    boolean early = share < 1;
    Moment giveUpTime =
        early ? dueTime.plus(deadline.since(dueTime).times(share)) : deadline.plus(RESPONSE_GRACE);
    world
        .scheduler()
        .runAt(
            giveUpTime,
            () -> {
              if (statement.isOpen()) {
                transport.abandon(statement);
                finish(statement, early ? Outcome.LEFT : Outcome.UNANSWERED, null);
              }
            });
  }

  private void finish(Statement statement, Outcome outcome, String value) {
    if (statement.isOpen()) {
      openStatements--;
      // What may still run for it is written down a while longer.
      world.scheduler().runAfter(RETENTION_PERIOD, () -> checker.removeStatement(statement));
    }
    checker.onStatementEnded(statement, outcome, world.now(), value);
  }

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
      Moment retryTime = world.now().plus(retryAfter);
      if (statement.clientAttempt < MAX_TRIES
          && statement.deadline.since(retryTime).isLongerThan(MIN_REMAINING_TIME)) {
        world
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
                        world.now(),
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
