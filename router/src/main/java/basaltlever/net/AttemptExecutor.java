package basaltlever.net;

import basaltlever.core.Effects;
import basaltlever.core.LoadReportFormat;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.log.Counter;
import basaltlever.log.Counters;
import basaltlever.log.Event;
import basaltlever.log.StatementTrace;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolCodes;
import basaltlever.pg.QueryResponse;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.switchover.SwitchoverAnnouncement;
import basaltlever.time.ClockOffset;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Carries out on sockets what the decisions want, and brings them what became of it. */
final class AttemptExecutor implements Effects<String> {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptExecutor.class);

  /** The decisions' own timers, and executions cut to the same moment, come first. */
  private static final Span GUARD = Span.ofMillis(10);

  /** Members that are asked for planned changes. */
  private static final int MOST_ASKED = 128;

  private final LoopIteration iteration;
  private final EventLoop loop;
  private final Function<String, ConnectionPool> links;
  private final Consumer<String> forgotten;
  private LoadReportFormat loadReport;
  private Span pollTimeout;
  private final MemoryBudget budget;
  private final StatementTrace trace;
  private final Counters counters;
  private final ClockOffset clockOffset;

  /** What was told in the servers' time is to be taken in again. */
  private Consumer<Moment> clockMoved = now -> {};

  /** What is kept to, by number: what was decided under another is not sent. */
  private ToIntFunction<Moment> stance = now -> 0;

  private final LongObjectHashMap<PendingStatement> statements = new LongObjectHashMap<>();

  /** All that are unanswered, by the time at which they are owed an answer. */
  private final TreeSet<PendingStatement> owed =
      new TreeSet<>(
          Comparator.comparingLong(
                  (PendingStatement pendingStatement) -> pendingStatement.owedBy.micros())
              .thenComparingLong(pendingStatement -> pendingStatement.ticket));

  private Future<?> look;
  private Moment looksAt = Moment.NEVER;

  /** Empty where members are not asked for planned changes. */
  private String changeTable = "";

  /** Members that are being polled, and those that a start does not wait for. */
  private final Set<String> firstLook = new HashSet<>();

  private final Set<String> absent = new HashSet<>();
  private boolean looked;
  private final LinkedHashSet<String> polledLately = new LinkedHashSet<>();
  private StatementRouter<String> core;
  private Runnable watch;

  AttemptExecutor(
      LoopIteration iteration,
      EventLoop loop,
      Function<String, ConnectionPool> links,
      Consumer<String> forgotten,
      LoadReportFormat loadReport,
      Span pollTimeout,
      MemoryBudget budget,
      StatementTrace trace) {
    this.iteration = iteration;
    this.loop = loop;
    this.links = links;
    this.forgotten = forgotten;
    this.loadReport = loadReport;
    this.pollTimeout = pollTimeout;
    this.budget = budget;
    this.trace = trace;
    counters = iteration.counters();
    clockOffset = iteration.clockOffset();
  }

  void serve(StatementRouter<String> with, Runnable watchStarts) {
    core = with;
    watch = watchStarts;
  }

  /** An earlier process had no answer from it: a start does not wait for one. */
  void isAbsent(String node) {
    absent.add(node);
    firstLook.remove(node);
  }

  /** Whether members were polled, and each of them has answered or failed. */
  boolean hasLookedAround() {
    return looked && firstLook.isEmpty();
  }

  /** The start is over: nobody waits for a first look any more. */
  void serves() {
    absent.clear();
  }

  /** What members' reports hold from now on, and how long one may take. */
  void reads(LoadReportFormat by, Span within) {
    loadReport = by;
    pollTimeout = within;
  }

  void onClockMoved(Consumer<Moment> then) {
    clockMoved = then;
  }

  void keepsTo(ToIntFunction<Moment> numbered) {
    stance = numbered;
  }

  void asksFor(String table) {
    changeTable = table;
  }

  /** Members polled lately, the latest last: those that are asked for planned changes. */
  Set<String> polledLately() {
    return polledLately;
  }

  /**
   * Apart from polls, which a router with little traffic sends too rarely to hear of a change in
   * time.
   */
  void readTable(String node) {
    if (!changeTable.isEmpty()) {
      start(new AnnouncementQuery(node), node);
    }
  }

  // ---- Statements.

  int open() {
    return statements.size();
  }

  void add(PendingStatement pendingStatement) {
    statements.put(pendingStatement.ticket, pendingStatement);
    owed.add(pendingStatement);
    lookAt(pendingStatement.owedBy.plus(GUARD));
  }

  private void lookAt(Moment at) {
    if (at.isBefore(looksAt)) {
      if (look != null) {
        look.cancel(false);
      }
      looksAt = at;
      long left = Math.max(1, at.since(iteration.clock().now()).micros());
      look =
          loop.schedule(
              () -> iteration.hear(now -> overdue(now, now)), left, TimeUnit.MICROSECONDS);
    }
  }

  /**
   * The decisions answer everything in time by their own rules, unless nobody wakes them: a loop
   * that was held up may come to this before their own timer, and before the ends of executions
   * that wait to be heard. So they are asked for their last word on each statement whose time is
   * over. What they forget even so is aborted: nothing is proven of it here.
   */
  private void overdue(Moment now, Moment upTo) {
    looksAt = Moment.NEVER;
    while (!owed.isEmpty() && !owed.first().owedBy.plus(GUARD).isAfter(upTo)) {
      PendingStatement pendingStatement = owed.pollFirst();
      guarded(pendingStatement, () -> core.deadlinePassed(now, pendingStatement.ticket));
      iteration.act(() -> abortForgotten(pendingStatement));
    }
    if (!owed.isEmpty()) {
      lookAt(owed.first().owedBy.plus(GUARD));
    }
  }

  private void abortForgotten(PendingStatement pendingStatement) {
    if (!pendingStatement.answered) {
      counters.add(Counter.STATEMENT_OVERDUE);
      Event.OVERDUE.log(
          LOG,
          Level.WARN,
          "aborted by the guard",
          pendingStatement.query.id,
          pendingStatement.executions.size(),
          pendingStatement.out);
      settle(pendingStatement, ProtocolCodes.SYSTEM_ERROR, "the statement's time is over", null);
    }
  }

  /** A router that stops leaves nobody without an answer. */
  void answerAll(Moment now) {
    overdue(now, Moment.NEVER);
  }

  /** Beyond what the settings allow to be open, before the decisions hear of it. */
  void turnAway(PendingStatement pendingStatement) {
    counters.add(Counter.REFUSED_TOO_MANY_OPEN);
    iteration.act(
        () ->
            settle(
                pendingStatement,
                ProtocolCodes.TOO_MANY_CONNECTIONS,
                "too many statements are open",
                null));
  }

  void left(PendingStatement pendingStatement) {
    iteration.hear(
        now -> {
          trace.ends(pendingStatement.life, "left");
          pendingStatement.answered = true;
          guarded(pendingStatement, () -> core.clientDisconnected(now, pendingStatement.ticket));
          forget(pendingStatement);
        });
  }

  /** A fault in the decisions must not cost the statement its answer. */
  void guarded(PendingStatement pendingStatement, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException fault) {
      Event.FAULT.fault(LOG, "", fault, "deciding on statement " + pendingStatement.ticket);
      if (!pendingStatement.answered) {
        iteration.act(
            () -> settle(pendingStatement, ProtocolCodes.SYSTEM_ERROR, "the router failed", null));
        left(pendingStatement);
      }
    }
  }

  private void settle(
      PendingStatement pendingStatement, String code, String message, String detail) {
    if (!pendingStatement.answered) {
      trace.step(pendingStatement.life, code);
      pendingStatement.answered = true;
      pendingStatement.client.sendError(code, message, detail);
    }
    forget(pendingStatement);
  }

  private void forget(PendingStatement pendingStatement) {
    if (pendingStatement.answered) {
      owed.remove(pendingStatement);
    }
    if (pendingStatement.answered && pendingStatement.out == 0 && !pendingStatement.forgotten) {
      pendingStatement.forgotten = true;
      statements.remove(pendingStatement.ticket);
      budget.release(pendingStatement.text.capacity());
      pendingStatement.text.release();
    }
  }

  // ---- What the decisions want.

  /**
   * Counted as out from the decision on, so that the core hears of its end whatever comes between.
   */
  @Override
  public void startAttempt(long ticket, int execution, String node, Span timeout, Moment sendBy) {
    PendingStatement pendingStatement = statements.get(ticket);
    Span owed = pendingStatement.owedBy.since(iteration.now());
    Span limit = timeout.micros() == 0 ? owed : timeout.shorter(owed);
    Attempt job = new Attempt(pendingStatement, execution, iteration.now().plus(limit), sendBy);
    pendingStatement.executions.add(job);
    counters.add(Counter.EXECUTION_SENT);
    if (execution > 0) {
      counters.add(Counter.EXECUTION_RETRIED);
    }
    if (pendingStatement.life != null) {
      trace.step(pendingStatement.life, execution + ">" + node);
    }
    pendingStatement.out++;
    iteration.act(
        () -> {
          // From when it was decided: counted anew from here, its end comes behind that of the
          // statement.
          Span left = job.until.since(iteration.clock().now());
          if (pendingStatement.answered || left.micros() <= 0) {
            job.endLost(AttemptOutcome.NEVER_SENT, AttemptOutcome.NEVER_SENT);
            return;
          }
          startAttempt(job, node, left);
        });
  }

  private void startAttempt(Attempt attempt, String node, Span left) {
    attempt.endsBy(
        loop.schedule(attempt::timeIsOver, Math.max(1, left.micros()), TimeUnit.MICROSECONDS));
    links.apply(node).start(attempt);
  }

  /** What is no client's has no deadline, only the time that the server may take. */
  private void start(ServerQuery query, String node) {
    query.endsBy(PeerTimeout.start(iteration, loop, pollTimeout, query::timeIsOver));
    links.apply(node).start(query);
  }

  @Override
  public void cancel(long ticket, int execution) {
    PendingStatement pendingStatement = statements.get(ticket);
    iteration.act(
        () -> pendingStatement.executions.get(execution).giveUp(AttemptOutcome.CANCELLED));
  }

  @Override
  public void reject(long ticket, Span comeBackAfter, RejectReason reason) {
    PendingStatement pendingStatement = statements.get(ticket);
    counters.add(
        switch (reason) {
          case OVERDUE -> Counter.REFUSED_OVERDUE;
          case SHED -> Counter.REFUSED_SHED;
          case HOLD_FULL -> Counter.REFUSED_HOLD_FULL;
          case NO_ATTEMPT_LEFT -> Counter.REFUSED_NO_ATTEMPT_LEFT;
        });
    if (pendingStatement.life != null) {
      trace.step(pendingStatement.life, reason.name());
    }
    long millis = comeBackAfter.micros() / 1_000;
    iteration.act(
        () ->
            settle(
                pendingStatement,
                ProtocolCodes.TOO_MANY_CONNECTIONS,
                "nothing was done, try again",
                millis > 0 ? "" + millis : null));
  }

  @Override
  public void abort(long ticket) {
    PendingStatement pendingStatement = statements.get(ticket);
    counters.add(Counter.FAILED_EFFECT_UNKNOWN);
    iteration.act(
        () ->
            settle(
                pendingStatement,
                ProtocolCodes.SYSTEM_ERROR,
                "the statement may or may not have had an effect",
                null));
  }

  @Override
  public void poll(String node) {
    counters.add(Counter.POLL_SENT);
    if (!changeTable.isEmpty()) {
      polledLately.remove(node);
      polledLately.add(node);
      if (polledLately.size() > MOST_ASKED) {
        polledLately.remove(polledLately.iterator().next());
      }
    }
    if (!absent.contains(node)) {
      looked = true;
      firstLook.add(node);
    }
    iteration.act(() -> start(new Poll(node), node));
  }

  @Override
  public void closeIdleConnections(String node) {
    iteration.act(() -> links.apply(node).letGo());
  }

  @Override
  public void endpointRemoved(String node) {
    iteration.act(() -> forgotten.accept(node));
  }

  @Override
  public void watchEndpointList() {
    iteration.act(watch);
  }

  @Override
  public void setTimer(Span fromNow) {
    Moment due = iteration.now().plus(fromNow);
    iteration.act(() -> wakeAt(due));
  }

  /**
   * Woken too early, the decisions would wait for a timer that is gone, and look at nothing until
   * spoken to.
   */
  private void wakeAt(Moment due) {
    // From when it was decided: a loop that was held up since would come to it that much late.
    long left = due.since(iteration.clock().now()).micros();
    loop.schedule(
        () ->
            iteration.hear(
                now -> {
                  if (now.isBefore(due)) {
                    iteration.act(() -> wakeAt(due));
                  } else {
                    core.timerFired(now);
                  }
                }),
        Math.max(1, left),
        TimeUnit.MICROSECONDS);
  }

  /**
   * Each is opened by a poll of its own: a connection that has answered one is known to be good.
   */
  @Override
  public void openConnections(String node, int connections) {
    iteration.act(
        () -> {
          for (int more = links.apply(node).missing(connections); more > 0; more--) {
            start(new ConnectionWarmUp(), node);
          }
        });
  }

  @Override
  public void switchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, String target) {
    Event.CHANGE.log(LOG, Level.INFO, "", group, phase, target);
  }

  @Override
  public void polledGroupsChanged(int groups, int members, int listed) {
    Event.WATCHED.log(LOG, Level.INFO, "", groups, members, listed);
  }

  @Override
  public void primaryChanged(int group, String node, boolean found) {
    (found ? Event.PRIMARY_FOUND : Event.PRIMARY_LOST)
        .log(LOG, Level.INFO, "", group, links.apply(node));
  }

  // ---- What became of it.

  private Role role(QueryResponse response) {
    return response.role().equals("master")
        ? Role.PRIMARY
        : response.role().equals("replica") ? Role.REPLICA : Role.UNTOLD;
  }

  private static AttemptOutcome ending(QueryResponse response) {
    String code = response.sqlState();
    return response.isSingleRow()
        ? AttemptOutcome.COMPLETED
        : code == null
            ? AttemptOutcome.UNKNOWN
            : switch (code) {
              case "25006", "72000" -> AttemptOutcome.MISS;
              case "53300" -> AttemptOutcome.FULL;
              case "XX000" -> AttemptOutcome.ERROR;
              default -> AttemptOutcome.UNKNOWN;
            };
  }

  private final class Attempt extends ServerQuery {
    private final PendingStatement pendingStatement;
    private final int number;
    private final Moment until;
    private final Moment sendBy;
    private final int decidedUnder = stance.applyAsInt(iteration.now());

    Attempt(PendingStatement pendingStatement, int number, Moment until, Moment sendBy) {
      this.pendingStatement = pendingStatement;
      this.number = number;
      this.until = until;
      // No later than a connection may take: its own timer comes late where this process was held
      // up, and the
      // member may have been told to drain meanwhile.
      this.sendBy = sendBy.earlier(iteration.now().plus(pollTimeout).plus(GUARD));
    }

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.EXECUTION;
    }

    @Override
    boolean isTooLate(Moment now) {
      // Its client's end may lie unread; and where executions may not be called off, one that waits
      // for its
      // connection outlives its statement.
      pendingStatement.client.readIfStale();
      return pendingStatement.answered
          || !pendingStatement.client.isWaitingFor(pendingStatement)
          || now.isAfter(sendBy)
          || stance.applyAsInt(now) != decidedUnder;
    }

    @Override
    void write(ByteBuf out) {
      if (pendingStatement.life != null) {
        trace.step(pendingStatement.life, number + "w");
      }
      long left = Math.max(1, until.since(iteration.clock().now()).micros());
      MessageEncoder.query(
          out,
          pendingStatement.text,
          pendingStatement.query.timeoutStart,
          pendingStatement.query.timeoutEnd,
          (left + 999) / 1_000);
    }

    @Override
    void answered(QueryResponse response) {
      iteration.hear(now -> ended(now, ending(response), response));
    }

    @Override
    void lost(AttemptOutcome outcome) {
      iteration.hear(now -> ended(now, outcome, new QueryResponse()));
    }

    private void ended(Moment now, AttemptOutcome outcome, QueryResponse response) {
      pendingStatement.out--;
      // Text put together for nobody costs a process that has just started most.
      if (pendingStatement.life != null) {
        trace.step(pendingStatement.life, number + "=" + outcome);
      }
      guarded(
          pendingStatement,
          () -> {
            if (core.attemptEnded(
                now,
                pendingStatement.ticket,
                number,
                outcome,
                role(response),
                clockOffset.position(loadReport.afterMillis(response.positionMillis())),
                false)) {
              pendingStatement.answered = true;
              var row = response.takeRow();
              iteration.act(() -> pendingStatement.client.sendRow(row));
            }
          });
      response.release();
      forget(pendingStatement);
    }
  }

  private final class Poll extends ServerQuery {
    private final String node;

    Poll(String node) {
      this.node = node;
    }

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.POLL;
    }

    @Override
    void write(ByteBuf out) {
      MessageEncoder.query(out, loadReport.names.isEmpty() ? "SELECT 1" : "SHOW gauges");
    }

    @Override
    void answered(QueryResponse response) {
      firstLook.remove(node);
      AttemptOutcome outcome = ending(response);
      Role role = role(response);
      double[] values = loadReport.values(response.value());
      Moment told =
          loadReport.position < 0
              ? loadReport.afterMillis(response.positionMillis())
              : loadReport.position(Math.nextDown(loadReport.value(values, loadReport.position)));
      Role claimed =
          loadReport.primary < 0
              ? role
              : loadReport.role(loadReport.value(values, loadReport.primary));
      response.release();
      iteration.hear(
          now -> {
            heedClock(now, claimed, told);
            core.pollEnded(
                now,
                node,
                outcome,
                claimed,
                clockOffset.position(told),
                loadReport.value(values, loadReport.util),
                loadReport.value(values, loadReport.queue));
          });
    }

    private void heedClock(Moment now, Role claimed, Moment told) {
      if (claimed == Role.PRIMARY
          && told.isAfter(Moment.LONG_AGO)
          && clockOffset.primaryAt(now, told)) {
        Event.CLOCK_OFF.log(
            LOG,
            Level.WARN,
            "",
            clockOffset.behind().micros() / 1_000,
            clockOffset.ahead().micros() / 1_000);
        core.forgetPositions(now);
        clockMoved.accept(now);
      }
    }

    @Override
    void lost(AttemptOutcome outcome) {
      firstLook.remove(node);
      iteration.hear(
          now ->
              core.pollEnded(
                  now, node, outcome, Role.UNTOLD, Moment.LONG_AGO, Double.NaN, Double.NaN));
    }
  }

  /** What a member's table says of a planned change of its group's primary. */
  private final class AnnouncementQuery extends ServerQuery {
    private final String node;

    AnnouncementQuery(String node) {
      this.node = node;
    }

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.POLL;
    }

    @Override
    void write(ByteBuf out) {
      MessageEncoder.query(out, SwitchoverAnnouncement.query(changeTable));
    }

    @Override
    void answered(QueryResponse response) {
      SwitchoverAnnouncement announcement = SwitchoverAnnouncement.read(response.value());
      response.release();
      if (announcement != null) {
        iteration.hear(
            now ->
                core.switchoverAnnounced(
                    now,
                    node,
                    announcement.number(),
                    announcement.target(),
                    new Moment(announcement.atMillis() * 1_000),
                    announcement.off()));
      }
    }

    @Override
    void lost(AttemptOutcome outcome) {
      // Polls tell what there is to tell.
    }
  }

  /** Opens a connection, and has it answer something. */
  private static final class ConnectionWarmUp extends ServerQuery {
    @Override
    Descriptors.Use use() {
      return Descriptors.Use.WARM_UP;
    }

    @Override
    void write(ByteBuf out) {
      MessageEncoder.query(out, "SELECT 1");
    }

    @Override
    void answered(QueryResponse response) {
      response.release();
    }

    @Override
    void lost(AttemptOutcome outcome) {
      // One more or less.
    }
  }
}
