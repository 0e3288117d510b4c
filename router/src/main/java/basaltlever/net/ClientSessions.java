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

/** Manages the client connections and submits their statements to the router core. */
final class ClientSessions implements ClientHost {
  /** Time for which an idle connection is not shed. */
  private static final Span MIN_IDLE_TIME = Span.ofMillis(2_000);

  /**
   * Longest time for which a statement waits until its client's input is read to the end. A client
   * that sends faster than it is read is rejected then.
   */
  private static final Span MAX_UNREAD_TIME = Span.ofMillis(250);

  private final LoopIteration iteration;
  private final Descriptors descriptors;
  private WorkloadSlots slots;
  private final int maxOpenStatements;
  private final MemoryBudget budget;
  private final InputMemory inputMemory;
  private final RateLimitedLog invalidInputLog;
  private final StatementTracer trace;
  private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();
  private StatementRouter<String> statementRouter;
  private AttemptExecutor executor;
  private long countedIteration;
  private int messagesInIteration;
  private long lastTicket;
  private long lastConnectionNumber;
  private Span retryAfter = Span.NONE;
  private final EndedConnectionLog endedConnectionLog;
  private boolean closingIdle;
  private boolean refusingAll;

  /** When this router shuts down, if known; no statement's deadline is later. */
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
    // The other half is left for texts of statements in progress and for answers.
    inputMemory = new InputMemory(budget.maxBytes() / 2);
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
  public InputMemory inputMemory() {
    return inputMemory;
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
   * Creates a connection that may have been in the listen queue since {@code queuedSince}, and
   * silent since {@code silentSince} if it has sent nothing. Without room it will be rejected.
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

  /** Counts and logs the end of a connection; ends at shutdown are only counted. */
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
    messagesInIteration = messagesReadInIteration() + 1;
    countedIteration = iteration.number();
  }

  @Override
  public int messagesReadInIteration() {
    return countedIteration == iteration.number() ? messagesInIteration : 0;
  }

  @Override
  public void runAfterReads(Runnable step) {
    iteration.enqueue(now -> step.run());
  }

  @Override
  public long retryAfterMillis() {
    return retryAfter.micros() / 1_000;
  }

  /**
   * A client that is rejected for lack of a descriptor finds one once a connection that is being
   * ended has given its own to another client.
   */
  void setMaxRetryAfter(Span maxRetryAfter) {
    retryAfter = ClientConnection.MAX_TIME_TO_FREE_DESCRIPTOR.shorter(maxRetryAfter);
  }

  /** Sets the workloads for statements that are read from now on. */
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
          // The deadline counts from the arrival of the statement, not from when it was read.
          pendingStatement.answerDeadline =
              arrivedAt.plus(Span.ofMillis((double) query.timeoutMillis)).earlier(shutdownDeadline);
          Moment latestStart = now.plus(MAX_UNREAD_TIME).earlier(pendingStatement.answerDeadline);
          startOnceInputIsRead(now, pendingStatement, workload, fits, latestStart);
        });
    return pendingStatement;
  }

  /**
   * Starts the statement once its client's input is read to the end, in this iteration or a later
   * one: until then the client may have disconnected, with its end of stream behind unread input.
   */
  private void startOnceInputIsRead(
      Moment now,
      PendingStatement pendingStatement,
      int workload,
      boolean fits,
      Moment latestStart) {
    ClientConnection client = pendingStatement.client;
    // If the event loop was stalled, the client's end of stream may have arrived since the read.
    client.readIfStatementWaited(pendingStatement.arrivedAt);
    if (!client.isWaitingFor(pendingStatement)) {
      return;
    }
    if (refusingAll) {
      // All open statements are answered now, and nobody would answer one that waits.
      executor.rejectUnstarted(
          pendingStatement, Counter.REFUSED_SHUTDOWN, "this router ends, and nothing was done");
    } else if (client.isInputRead()) {
      start(now, pendingStatement, workload, fits);
    } else if (now.isBefore(latestStart)) {
      iteration.enqueue(
          next -> startOnceInputIsRead(next, pendingStatement, workload, fits, latestStart));
    } else {
      executor.rejectUnstarted(
          pendingStatement, Counter.REFUSED_UNREAD_INPUT, "the client sends without a pause");
    }
  }

  private void start(Moment now, PendingStatement pendingStatement, int workload, boolean fits) {
    if (executor.openStatements() >= maxOpenStatements || !fits) {
      executor.rejectUnstarted(
          pendingStatement, Counter.REFUSED_TOO_MANY_OPEN, "too many statements are open");
      return;
    }
    if (!executor.open(pendingStatement)) {
      invalidInputLog.log("id " + pendingStatement.query.id, "the id was used before");
      executor.rejectRepeatedId(pendingStatement);
      return;
    }
    trace.recordStep(pendingStatement.trace, "taken");
    Query query = pendingStatement.query;
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
  }

  /** Ends connections that have timed out and sheds idle ones; called periodically. */
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

  @Override
  public Moment earliestArrival() {
    return iteration.earliestArrival();
  }

  @Override
  public Moment now() {
    return iteration.clock().now();
  }

  @Override
  public long iteration() {
    return iteration.number();
  }

  /** The client has disconnected or its connection is being ended. */
  @Override
  public void onClientLeft(ClientConnection connection, PendingStatement pendingStatement) {
    descriptors.markBusy(connection);
    if (pendingStatement != null) {
      executor.onClientDisconnected(pendingStatement);
    }
  }

  @Override
  public void onClosed(ClientConnection connection) {
    if (connections.remove(connection)) {
      descriptors.onClientClosed(connection);
    }
  }

  /** Bounds the deadlines of statements that are submitted from now on. */
  void setShutdownDeadline(Moment deadline) {
    shutdownDeadline = deadline;
  }

  /**
   * Ends idle connections, and from now on each connection after its statement. A new connection
   * stays open until its first statement is answered or times out: that statement may be under way,
   * and a close would lose it.
   */
  void closeIdleClients() {
    closingIdle = true;
    for (ClientConnection connection : new ArrayList<>(connections)) {
      if (!connection.isBusy() && connection.hasReceivedMessage()) {
        connection.endIfIdle(CloseReason.SHUTDOWN);
      }
    }
  }

  /** Ends all connections; further input is read and discarded. */
  void endAllImmediately() {
    closingIdle = true;
    new ArrayList<>(connections).forEach(ClientConnection::endImmediately);
  }

  @Override
  public boolean isClosingIdle() {
    return closingIdle;
  }

  /**
   * Refuses statements that are read from now on, since the router core has given its last answers.
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
