package basaltlever.net;

import basaltlever.config.WorkloadSlots;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.StatementRequest;
import basaltlever.log.Counter;
import basaltlever.log.Counters;
import basaltlever.log.RateLimitedLog;
import basaltlever.log.StatementTracer;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.ProtocolCodes;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.Query;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.LinkedHashSet;

/** The clients' connections, and the way of their statements to the decisions. */
final class ClientSessions implements ClientHost {
  /** A client may rely on an idle connection for this long. */
  private static final Span MIN_IDLE_TIME = Span.ofMillis(2_000);

  /**
   * Of the longest time after which a client may be told to come back; descriptors are free again
   * much sooner.
   */
  private static final double RETRY_AFTER_FRACTION = 0.25;

  private final LoopIteration iteration;
  private final Descriptors descriptors;
  private WorkloadSlots slots;
  private final int maxOpenStatements;
  private final MemoryBudget budget;
  private final RateLimitedLog invalidInputLog;
  private final StatementTracer trace;
  private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();
  private StatementRouter<String> statementRouter;
  private AttemptExecutor executor;
  private long lastTicket;
  private long lastConnectionNumber;
  private Span retryAfter = Span.NONE;
  private final EndedConnectionLog endedConnectionLog;
  private boolean closingIdle;
  private boolean refusingAll;

  /** When this router ends, if it is known: no statement's time is longer than its own. */
  private Moment shutdownDeadline = Moment.NEVER;

  ClientSessions(
      LoopIteration iteration,
      Descriptors descriptors,
      WorkloadSlots slots,
      int maxOpenStatements,
      MemoryBudget budget,
      RateLimitedLog invalidInputLog,
      StatementTracer trace) {
    this.iteration = iteration;
    this.descriptors = descriptors;
    this.slots = slots;
    this.maxOpenStatements = maxOpenStatements;
    this.budget = budget;
    this.invalidInputLog = invalidInputLog;
    this.trace = trace;
    endedConnectionLog = new EndedConnectionLog(iteration.clock()::now);
  }

  void start(StatementRouter<String> router, AttemptExecutor attemptExecutor) {
    statementRouter = router;
    executor = attemptExecutor;
  }

  @Override
  public void onInvalidInput(Object client, String problem) {
    invalidInputLog.log(client, problem);
  }

  @Override
  public Counters counters() {
    return iteration.counters();
  }

  @Override
  public Descriptors descriptors() {
    return descriptors;
  }

  /**
   * A new connection, which may have waited in the listen queue since then, and has been silent
   * since the other moment if it has sent nothing; where there is no room it is told so.
   */
  ClientConnection admit(Moment queuedSince, Moment silentSince) {
    counters().increment(Counter.CLIENT_ACCEPTED);
    ClientConnection connection =
        new ClientConnection(
            this,
            budget,
            descriptors.admitClient(),
            ++lastConnectionNumber,
            queuedSince,
            silentSince);
    connections.add(connection);
    return connection;
  }

  /**
   * This router ends the connection, for this reason, with so many bytes of a message that had not
   * come whole.
   */
  @Override
  public void onEndBegun(
      long connectionNumber, Object client, CloseReason closeReason, int partialBytes) {
    counters().increment(closeReason.counter);
    if (closeReason != CloseReason.SHUTDOWN) {
      endedConnectionLog.log(connectionNumber, client, closeReason, partialBytes);
    }
  }

  @Override
  public void onMessageRead() {
    iteration.load().countMessage();
  }

  /** In the turn behind all reads of this look at the sockets. */
  @Override
  public void runAfterReads(Runnable step) {
    iteration.enqueue(now -> step.run());
  }

  /**
   * When a client that is turned away may come back; 0 where the settings do not let it be told.
   */
  @Override
  public long retryAfterMillis() {
    return retryAfter.micros() / 1_000;
  }

  void setMaxRetryAfter(Span maxRetryAfter) {
    retryAfter = maxRetryAfter.times(RETRY_AFTER_FRACTION);
  }

  /** For what is read from here on. */
  void setWorkloadSlots(WorkloadSlots newSlots) {
    slots = newSlots;
  }

  @Override
  public int workloadIndex(Query query) throws ProtocolException {
    int workload = slots.of(query.workload);
    if (workload < 0) {
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "the workload " + query.workload + " is unknown");
    }
    return workload;
  }

  /** Takes the text over. */
  @Override
  public PendingStatement submit(
      ClientConnection client, ByteBuf text, Query query, int workload, Moment arrivedAt) {
    PendingStatement pendingStatement =
        new PendingStatement(
            ++lastTicket,
            client,
            text,
            query,
            arrivedAt,
            trace.isEnabled()
                ? trace.begin(
                    query.id,
                    arrivedAt,
                    arrivedAt.plus(Span.ofMillis((double) query.timeoutMillis)))
                : null);
    boolean fits = budget.reserve(text.capacity());
    iteration.enqueue(
        now -> {
          // Its client waits since it sent, not since this loop came to read.
          pendingStatement.answerDeadline =
              arrivedAt.plus(Span.ofMillis((double) query.timeoutMillis)).earlier(shutdownDeadline);
          // Where this loop was held up its client may have gone behind its statement, which nobody
          // has read yet.
          client.readIfStatementWaited(arrivedAt);
          if (!client.isWaitingFor(pendingStatement)) {
            return;
          }
          if (executor.openStatements() >= maxOpenStatements || !fits) {
            executor.rejectTooManyOpen(pendingStatement);
            return;
          }
          trace.recordStep(pendingStatement.trace, "taken");
          executor.add(pendingStatement);
          executor.runGuarded(
              pendingStatement,
              () ->
                  statementRouter.onStatementReceived(
                      now,
                      pendingStatement.ticket,
                      new StatementRequest(
                          workload,
                          query.group,
                          query.sessionHash,
                          pendingStatement.answerDeadline,
                          query.lastCommitMillis == 0
                              ? Moment.LONG_AGO
                              : iteration
                                  .clockOffset()
                                  .correctCommit(new Moment(query.lastCommitMillis * 1_000)),
                          pendingStatement.text.capacity())));
        });
    return pendingStatement;
  }

  /**
   * Called every so often: ends what keeps this router waiting, and what it no longer needs to
   * keep.
   */
  void sweep() {
    Moment now = now();
    new ArrayList<>(connections).forEach(connection -> connection.endIfTimedOut(now));
    descriptors.shedIdleClients(now, MIN_IDLE_TIME);
    trace.logOverdueStatements();
  }

  @Override
  public StatementTracer trace() {
    return trace;
  }

  /** When the bytes that are read now have come, at the latest. */
  @Override
  public Moment earliestArrival() {
    return iteration.earliestArrival();
  }

  @Override
  public Moment now() {
    return iteration.clock().now();
  }

  /** Its client has gone away, or must go. */
  @Override
  public void onClientLeft(ClientConnection connection, PendingStatement pendingStatement) {
    descriptors.markBusy(connection);
    if (pendingStatement != null) {
      executor.clientDisconnected(pendingStatement);
    }
  }

  @Override
  public void onClosed(ClientConnection connection) {
    if (connections.remove(connection)) {
      descriptors.onClientClosed(connection);
    }
  }

  /** What is taken from here on is answered by then. */
  void setShutdownDeadline(Moment deadline) {
    shutdownDeadline = deadline;
  }

  /**
   * From here on connections end with their statements. One that has just come has its first
   * statement on the way, and closed unread it would be lost: it is taken, or the time for it runs
   * out.
   */
  void closeIdleClients() {
    closingIdle = true;
    for (ClientConnection connection : new ArrayList<>(connections)) {
      if (!connection.isBusy() && connection.hasReceivedMessage()) {
        connection.endIfIdle(CloseReason.SHUTDOWN);
      }
    }
  }

  /** Nothing is read any more but to be thrown away. */
  void endAllImmediately() {
    closingIdle = true;
    new ArrayList<>(connections).forEach(ClientConnection::endImmediately);
  }

  @Override
  public boolean isClosingIdle() {
    return closingIdle;
  }

  /**
   * The decisions have answered for the last time: what is read from here on is rejected where it
   * is.
   */
  void refuseAllStatements() {
    refusingAll = true;
  }

  @Override
  public boolean isRefusingAll() {
    return refusingAll;
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }
}
