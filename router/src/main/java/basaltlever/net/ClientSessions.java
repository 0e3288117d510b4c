package basaltlever.net;

import basaltlever.config.WorkloadSlots;
import basaltlever.core.StatementRouter;
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

  private final LoopIteration turn;
  private final Descriptors descriptors;
  private WorkloadSlots places;
  private final int mostOpen;
  private final MemoryBudget budget;
  private final RateLimitedLog bad;
  private final StatementTrace lives;
  private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();
  private StatementRouter<String> core;
  private AttemptExecutor carrier;
  private long tickets;
  private long accepted;
  private Span comeBack = Span.NONE;
  private final EndedConnections ended;
  private boolean closesIdle;
  private boolean refusesAll;

  /** When this router ends, if it is known: no statement's time is longer than its own. */
  private Moment ends = Moment.NEVER;

  ClientSessions(
      LoopIteration turn,
      Descriptors descriptors,
      WorkloadSlots places,
      int mostOpen,
      MemoryBudget budget,
      RateLimitedLog bad,
      StatementTrace lives) {
    this.turn = turn;
    this.descriptors = descriptors;
    this.places = places;
    this.mostOpen = mostOpen;
    this.budget = budget;
    this.bad = bad;
    this.lives = lives;
    ended = new EndedConnections(turn.clock()::now);
  }

  void serve(StatementRouter<String> with, AttemptExecutor by) {
    core = with;
    carrier = by;
  }

  @Override
  public void spoilt(Object client, String what) {
    bad.note(client, what);
  }

  @Override
  public Counters counters() {
    return turn.counters();
  }

  @Override
  public Descriptors descriptors() {
    return descriptors;
  }

  /**
   * A new connection, which may have waited in the listen queue since then; where there is no room
   * it is told so.
   */
  ClientConnection admit(Moment queuedSince) {
    counters().add(Counter.CLIENT_ACCEPTED);
    ClientConnection connection =
        new ClientConnection(this, budget, descriptors.admitsClient(), ++accepted, queuedSince);
    connections.add(connection);
    return connection;
  }

  /**
   * This router ends the connection, for this reason, with so many bytes of a message that had not
   * come whole.
   */
  @Override
  public void ends(long connection, Object client, CloseReason why, int bytes) {
    counters().add(why.counter);
    if (why != CloseReason.SHUTDOWN) {
      ended.note(connection, client, why, bytes);
    }
  }

  @Override
  public void messageRead() {
    turn.load().reads();
  }

  /** In the turn behind all reads of this look at the sockets. */
  @Override
  public void later(Runnable step) {
    turn.hear(now -> step.run());
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
    places = now;
  }

  @Override
  public int workload(Query query) throws ProtocolException {
    int workload = places.of(query.workload);
    if (workload < 0) {
      throw new ProtocolException(
          ProtocolCodes.VIOLATION, "the workload " + query.workload + " is unknown");
    }
    return workload;
  }

  /** Takes the text over. */
  @Override
  public PendingStatement take(
      ClientConnection client, ByteBuf text, Query query, int workload, Moment arrived) {
    PendingStatement taken =
        new PendingStatement(
            ++tickets,
            client,
            text,
            query,
            arrived,
            lives.areFollowed()
                ? lives.begins(
                    query.id, arrived, arrived.plus(Span.ofMillis((double) query.waitMillis)))
                : null);
    boolean fits = budget.hold(text.capacity());
    turn.hear(
        now -> {
          // Its client waits since it sent, not since this loop came to read.
          taken.owedBy = arrived.plus(Span.ofMillis((double) query.waitMillis)).earlier(ends);
          // Where this loop was held up its client may have gone behind its statement, which nobody
          // has read yet.
          client.readBehind(arrived);
          if (!client.waitsFor(taken)) {
            return;
          }
          if (carrier.open() >= mostOpen || !fits) {
            carrier.turnAway(taken);
            return;
          }
          lives.step(taken.life, "taken");
          carrier.add(taken);
          carrier.guarded(
              taken,
              () ->
                  core.taken(
                      now,
                      taken.ticket,
                      workload,
                      query.group,
                      query.session,
                      taken.owedBy,
                      query.after == 0
                          ? Moment.LONG_AGO
                          : turn.clockOffset().committed(new Moment(query.after * 1_000)),
                      taken.text.capacity()));
        });
    return taken;
  }

  /**
   * Called every so often: ends what keeps this router waiting, and what it no longer needs to
   * keep.
   */
  void sweep() {
    Moment now = now();
    new ArrayList<>(connections).forEach(connection -> connection.endOverdue(now));
    descriptors.shed(now, KEPT);
    lives.sweep();
  }

  @Override
  public StatementTrace lives() {
    return lives;
  }

  /** When the bytes that are read now have come, at the latest. */
  @Override
  public Moment arrival() {
    return turn.arrival();
  }

  @Override
  public Moment now() {
    return turn.clock().now();
  }

  /** Its client has gone away, or must go. */
  @Override
  public void left(ClientConnection connection, PendingStatement taken) {
    descriptors.busy(connection);
    if (taken != null) {
      carrier.left(taken);
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
