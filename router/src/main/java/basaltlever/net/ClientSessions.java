package basaltlever.net;

import basaltlever.config.WorkloadSlots;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.StatementRequest;
import basaltlever.log.Counter;
import basaltlever.log.Counters;
import basaltlever.log.RateLimitedLog;
import basaltlever.log.StatementTrace;
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
  private static final Span KEPT = Span.ofMillis(2_000);

  /**
   * Of the longest time after which a client may be told to come back; descriptors are free again
   * much sooner.
   */
  private static final double COMES_BACK = 0.25;

  private final LoopIteration iteration;
  private final Descriptors descriptors;
  private WorkloadSlots slots;
  private final int mostOpen;
  private final MemoryBudget budget;
  private final RateLimitedLog bad;
  private final StatementTrace trace;
  private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();
  private StatementRouter<String> core;
  private AttemptExecutor executor;
  private long tickets;
  private long accepted;
  private Span comeBack = Span.NONE;
  private final EndedConnections ended;
  private boolean closesIdle;
  private boolean refusesAll;

  /** When this router ends, if it is known: no statement's time is longer than its own. */
  private Moment ends = Moment.NEVER;

  ClientSessions(
      LoopIteration iteration,
      Descriptors descriptors,
      WorkloadSlots slots,
      int mostOpen,
      MemoryBudget budget,
      RateLimitedLog bad,
      StatementTrace trace) {
    this.iteration = iteration;
    this.descriptors = descriptors;
    this.slots = slots;
    this.mostOpen = mostOpen;
    this.budget = budget;
    this.bad = bad;
    this.trace = trace;
    ended = new EndedConnections(iteration.clock()::now);
  }

  void serve(StatementRouter<String> with, AttemptExecutor by) {
    core = with;
    executor = by;
  }

  @Override
  public void spoilt(Object client, String what) {
    bad.note(client, what);
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
    counters().add(Counter.CLIENT_ACCEPTED);
    ClientConnection connection =
        new ClientConnection(
            this, budget, descriptors.admitsClient(), ++accepted, queuedSince, silentSince);
    connections.add(connection);
    return connection;
  }

  /**
   * This router ends the connection, for this reason, with so many bytes of a message that had not
   * come whole.
   */
  @Override
  public void ends(long connection, Object client, CloseReason closeReason, int bytes) {
    counters().add(closeReason.counter);
    if (closeReason != CloseReason.SHUTDOWN) {
      ended.note(connection, client, closeReason, bytes);
    }
  }

  @Override
  public void messageRead() {
    iteration.load().countMessage();
  }

  /** In the turn behind all reads of this look at the sockets. */
  @Override
  public void later(Runnable step) {
    iteration.enqueue(now -> step.run());
  }

  /**
   * When a client that is turned away may come back; 0 where the settings do not let it be told.
   */
  @Override
  public long comeBackMillis() {
    return comeBack.micros() / 1_000;
  }

  void comeBackWithin(Span longest) {
    comeBack = longest.times(COMES_BACK);
  }

  /** For what is read from here on. */
  void goBy(WorkloadSlots now) {
    slots = now;
  }

  @Override
  public int workload(Query query) throws ProtocolException {
    int workload = slots.of(query.workload);
    if (workload < 0) {
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "the workload " + query.workload + " is unknown");
    }
    return workload;
  }

  /** Takes the text over. */
  @Override
  public PendingStatement take(
      ClientConnection client, ByteBuf text, Query query, int workload, Moment arrived) {
    PendingStatement pendingStatement =
        new PendingStatement(
            ++tickets,
            client,
            text,
            query,
            arrived,
            trace.areFollowed()
                ? trace.begins(
                    query.id, arrived, arrived.plus(Span.ofMillis((double) query.timeoutMillis)))
                : null);
    boolean fits = budget.reserve(text.capacity());
    iteration.enqueue(
        now -> {
          // Its client waits since it sent, not since this loop came to read.
          pendingStatement.answerDeadline =
              arrived.plus(Span.ofMillis((double) query.timeoutMillis)).earlier(ends);
          // Where this loop was held up its client may have gone behind its statement, which nobody
          // has read yet.
          client.readBehind(arrived);
          if (!client.waitsFor(pendingStatement)) {
            return;
          }
          if (executor.openStatements() >= mostOpen || !fits) {
            executor.rejectTooManyOpen(pendingStatement);
            return;
          }
          trace.step(pendingStatement.trace, "taken");
          executor.add(pendingStatement);
          executor.runGuarded(
              pendingStatement,
              () ->
                  core.statementReceived(
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
                                  .committed(new Moment(query.lastCommitMillis * 1_000)),
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
    new ArrayList<>(connections).forEach(connection -> connection.endOverdue(now));
    descriptors.shed(now, KEPT);
    trace.sweep();
  }

  @Override
  public StatementTrace lives() {
    return trace;
  }

  /** When the bytes that are read now have come, at the latest. */
  @Override
  public Moment arrival() {
    return iteration.earliestArrival();
  }

  @Override
  public Moment now() {
    return iteration.clock().now();
  }

  /** Its client has gone away, or must go. */
  @Override
  public void left(ClientConnection connection, PendingStatement pendingStatement) {
    descriptors.busy(connection);
    if (pendingStatement != null) {
      executor.onClientDisconnected(pendingStatement);
    }
  }

  @Override
  public void closed(ClientConnection connection) {
    if (connections.remove(connection)) {
      descriptors.clientClosed(connection);
    }
  }

  /** What is taken from here on is answered by then. */
  void endBy(Moment end) {
    ends = end;
  }

  /**
   * From here on connections end with their statements. One that has just come has its first
   * statement on the way, and closed unread it would be lost: it is taken, or the time for it runs
   * out.
   */
  void closeIdle() {
    closesIdle = true;
    for (ClientConnection connection : new ArrayList<>(connections)) {
      if (!connection.isBusy() && connection.hasAsked()) {
        connection.endIdle(CloseReason.SHUTDOWN);
      }
    }
  }

  /** Nothing is read any more but to be thrown away. */
  void endAll() {
    closesIdle = true;
    new ArrayList<>(connections).forEach(ClientConnection::endAtOnce);
  }

  @Override
  public boolean closesIdle() {
    return closesIdle;
  }

  /**
   * The decisions have answered for the last time: what is read from here on is rejected where it
   * is.
   */
  void refuseAll() {
    refusesAll = true;
  }

  @Override
  public boolean refusesAll() {
    return refusesAll;
  }

  boolean areGone() {
    return connections.isEmpty();
  }
}
