package basaltlever.net;

import basaltlever.balancer.StatementIds;
import basaltlever.core.Effects;
import basaltlever.core.LoadReportFormat;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.log.Counter;
import basaltlever.log.Counters;
import basaltlever.log.Event;
import basaltlever.log.StatementTracer;
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

/** Carries out the core's effects on sockets and timers, and reports their outcomes to the core. */
final class AttemptExecutor implements Effects<String> {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptExecutor.class);

  /**
   * Delay after a statement's deadline, so that the core's own timers and the timeouts of attempts
   * cut to the same moment run first.
   */
  private static final Span DEADLINE_GUARD_DELAY = Span.ofMillis(10);

  /** Limit of the recently polled endpoints, which are queried for announced switchovers. */
  private static final int MAX_RECENTLY_POLLED = 128;

  private final LoopIteration iteration;
  private final EventLoop loop;
  private final Function<String, ConnectionPool> pools;
  private final Consumer<String> removedEndpointListener;
  private LoadReportFormat loadReport;
  private Span pollTimeout;
  private final MemoryBudget budget;
  private final StatementTracer trace;
  private final Counters counters;
  private final ClockOffset clockOffset;

  /** Publishes times given by the servers' clocks again after the clock offset has changed. */
  private Consumer<Moment> clockOffsetListener = now -> {};

  /** Returns the current fencing token. An attempt decided under another token is not sent. */
  private ToIntFunction<Moment> fencingTokenSource = now -> 0;

  private final StatementIds statementIds = new StatementIds();
  private final LongObjectHashMap<PendingStatement> statements = new LongObjectHashMap<>();

  /** Unanswered statements, ordered by answer deadline. */
  private final TreeSet<PendingStatement> unansweredByDeadline =
      new TreeSet<>(
          Comparator.comparingLong(
                  (PendingStatement pendingStatement) -> pendingStatement.answerDeadline.micros())
              .thenComparingLong(pendingStatement -> pendingStatement.ticket));

  private Future<?> deadlineTimer;
  private Moment deadlineTimerAt = Moment.NEVER;

  /** Empty if endpoints are not queried for announced switchovers. */
  private String switchoverTable = "";

  /**
   * Endpoints whose first poll has not ended. Startup waits for these, but not for unreachable
   * ones.
   */
  private final Set<String> pendingFirstPolls = new HashSet<>();

  private final Set<String> unreachableEndpoints = new HashSet<>();
  private boolean hasPolled;
  private final LinkedHashSet<String> recentlyPolled = new LinkedHashSet<>();
  private StatementRouter<String> core;
  private Runnable startWatch;

  AttemptExecutor(
      LoopIteration iteration,
      EventLoop loop,
      Function<String, ConnectionPool> pools,
      Consumer<String> removedEndpointListener,
      LoadReportFormat loadReport,
      Span pollTimeout,
      MemoryBudget budget,
      StatementTracer trace) {
    this.iteration = iteration;
    this.loop = loop;
    this.pools = pools;
    this.removedEndpointListener = removedEndpointListener;
    this.loadReport = loadReport;
    this.pollTimeout = pollTimeout;
    this.budget = budget;
    this.trace = trace;
    counters = iteration.counters();
    clockOffset = iteration.clockOffset();
  }

  void setCore(StatementRouter<String> statementRouter, Runnable watchStarter) {
    core = statementRouter;
    startWatch = watchStarter;
  }

  /**
   * Excludes an endpoint that did not answer the previous process from the polls startup waits for.
   */
  void excludeFromStartup(String endpoint) {
    unreachableEndpoints.add(endpoint);
    pendingFirstPolls.remove(endpoint);
  }

  /** Returns whether endpoints were polled and each poll has been answered or has failed. */
  boolean hasCompletedFirstPolls() {
    return hasPolled && pendingFirstPolls.isEmpty();
  }

  /** Ends startup: nothing waits for first polls any more. */
  void onServing() {
    unreachableEndpoints.clear();
  }

  /** Sets the format of load reports and the poll timeout. */
  void configurePolls(LoadReportFormat format, Span timeout) {
    loadReport = format;
    pollTimeout = timeout;
  }

  void onClockOffsetChanged(Consumer<Moment> listener) {
    clockOffsetListener = listener;
  }

  void setFencingTokenSource(ToIntFunction<Moment> source) {
    fencingTokenSource = source;
  }

  void setSwitchoverTable(String table) {
    switchoverTable = table;
  }

  /**
   * Returns recently polled endpoints, the latest last. These are queried for announced
   * switchovers.
   */
  Set<String> recentlyPolled() {
    return recentlyPolled;
  }

  /**
   * Queries the switchover table. Polls do not do this, since a router with little traffic sends
   * them too rarely to learn of a switchover in time.
   */
  void querySwitchoverTable(String endpoint) {
    if (!switchoverTable.isEmpty()) {
      startQuery(new AnnouncementQuery(endpoint), endpoint);
    }
  }

  // ---- Statements.

  int openStatements() {
    return statements.size();
  }

  /**
   * Opens a statement, which is answered by its deadline from now on; returns false if its id is
   * open or was executed before.
   */
  boolean open(PendingStatement pendingStatement) {
    if (!statementIds.open(pendingStatement.query.idHash)) {
      return false;
    }
    statements.put(pendingStatement.ticket, pendingStatement);
    unansweredByDeadline.add(pendingStatement);
    scheduleDeadlineCheck(pendingStatement.answerDeadline.plus(DEADLINE_GUARD_DELAY));
    return true;
  }

  private void scheduleDeadlineCheck(Moment checkAt) {
    if (checkAt.isBefore(deadlineTimerAt)) {
      if (deadlineTimer != null) {
        deadlineTimer.cancel(false);
      }
      deadlineTimerAt = checkAt;
      long delayMicros = Math.max(1, checkAt.since(iteration.clock().now()).micros());
      deadlineTimer =
          loop.schedule(
              () -> iteration.enqueue(now -> expireStatements(now, now)),
              delayMicros,
              TimeUnit.MICROSECONDS);
    }
  }

  /**
   * Ends statements whose deadline has passed. The core normally answers each in time, but only if
   * it is woken: after a stall of the loop this check may run before the core's own timer and
   * before queued outcomes of attempts. It therefore calls the core once more for each such
   * statement. A statement that the core still leaves unanswered is aborted, since nothing proves
   * here that it had no effect.
   */
  private void expireStatements(Moment now, Moment latestCheck) {
    deadlineTimerAt = Moment.NEVER;
    while (!unansweredByDeadline.isEmpty()
        && !unansweredByDeadline
            .first()
            .answerDeadline
            .plus(DEADLINE_GUARD_DELAY)
            .isAfter(latestCheck)) {
      PendingStatement pendingStatement = unansweredByDeadline.pollFirst();
      runGuarded(pendingStatement, () -> core.onDeadlinePassed(now, pendingStatement.ticket));
      iteration.addEffect(() -> abortUnanswered(pendingStatement));
    }
    if (!unansweredByDeadline.isEmpty()) {
      scheduleDeadlineCheck(unansweredByDeadline.first().answerDeadline.plus(DEADLINE_GUARD_DELAY));
    }
  }

  private void abortUnanswered(PendingStatement pendingStatement) {
    if (!pendingStatement.answered) {
      counters.increment(Counter.STATEMENT_OVERDUE);
      Event.OVERDUE.log(
          LOG,
          Level.WARN,
          "the core gave no answer by the deadline; aborting the statement",
          pendingStatement.query.id,
          pendingStatement.attempts.size(),
          pendingStatement.openAttempts);
      answerError(
          pendingStatement, ProtocolCodes.SYSTEM_ERROR, "the statement's time is over", null);
    }
  }

  /** Answers all open statements, as the router stops. */
  void answerAll(Moment now) {
    expireStatements(now, Moment.NEVER);
  }

  /** Rejects a statement before it reaches the core. */
  void rejectUnstarted(PendingStatement pendingStatement, Counter reason, String message) {
    counters.increment(reason);
    iteration.addEffect(
        () -> answerError(pendingStatement, ProtocolCodes.TOO_MANY_CONNECTIONS, message, null));
  }

  /** Answers a statement whose id was used before; nothing promises that a retry is harmless. */
  void rejectRepeatedId(PendingStatement pendingStatement) {
    counters.increment(Counter.REFUSED_REPEATED_ID);
    iteration.addEffect(
        () ->
            answerError(
                pendingStatement,
                ProtocolCodes.PROTOCOL_VIOLATION,
                "the id was used before, and nothing was done",
                null));
  }

  void onClientDisconnected(PendingStatement pendingStatement) {
    iteration.enqueue(
        now -> {
          trace.end(pendingStatement.trace, "left");
          pendingStatement.answered = true;
          runGuarded(
              pendingStatement, () -> core.onClientDisconnected(now, pendingStatement.ticket));
          releaseIfFinished(pendingStatement);
        });
  }

  /** Runs a step of the core. If the step throws, the statement is still answered. */
  void runGuarded(PendingStatement pendingStatement, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException fault) {
      Event.FAULT.logError(LOG, "", fault, "core step for statement " + pendingStatement.ticket);
      if (!pendingStatement.answered) {
        iteration.addEffect(
            () ->
                answerError(
                    pendingStatement, ProtocolCodes.SYSTEM_ERROR, "the router failed", null));
        onClientDisconnected(pendingStatement);
      }
    }
  }

  private void answerError(
      PendingStatement pendingStatement, String code, String message, String detail) {
    if (!pendingStatement.answered) {
      trace.recordStep(pendingStatement.trace, code);
      pendingStatement.answered = true;
      pendingStatement.client.sendError(code, message, detail);
    }
    releaseIfFinished(pendingStatement);
  }

  private void releaseIfFinished(PendingStatement pendingStatement) {
    if (pendingStatement.answered) {
      unansweredByDeadline.remove(pendingStatement);
    }
    if (pendingStatement.answered
        && pendingStatement.openAttempts == 0
        && !pendingStatement.released) {
      pendingStatement.released = true;
      if (statements.remove(pendingStatement.ticket) != null) {
        statementIds.close(pendingStatement.query.idHash);
      }
      budget.release(pendingStatement.text.capacity());
      pendingStatement.text.release();
    }
  }

  // ---- Effects requested by the core.

  /**
   * Counts the attempt as open from the decision on, so that its end is reported to the core
   * whatever happens in between.
   */
  @Override
  public void startAttempt(
      long ticket, int execution, String endpoint, Span timeout, Moment sendBy) {
    PendingStatement pendingStatement = statements.get(ticket);
    Span remaining = pendingStatement.answerDeadline.since(iteration.now());
    Span limit = timeout.micros() == 0 ? remaining : timeout.shorter(remaining);
    Attempt attempt = new Attempt(pendingStatement, execution, iteration.now().plus(limit), sendBy);
    pendingStatement.attempts.add(attempt);
    counters.increment(Counter.EXECUTION_SENT);
    if (execution > 0) {
      counters.increment(Counter.EXECUTION_RETRIED);
    }
    if (pendingStatement.trace != null) {
      trace.recordStep(pendingStatement.trace, execution + ">" + endpoint);
    }
    pendingStatement.openAttempts++;
    iteration.addEffect(
        () -> {
          // The timeout counts from the decision. Counted from here, it would end after the
          // statement's own deadline.
          Span remainingNow = attempt.deadline.since(iteration.clock().now());
          if (pendingStatement.answered || remainingNow.micros() <= 0) {
            attempt.fail(AttemptOutcome.NEVER_SENT, AttemptOutcome.NEVER_SENT);
            return;
          }
          sendAttempt(attempt, endpoint, remainingNow);
        });
  }

  private void sendAttempt(Attempt attempt, String endpoint, Span remainingNow) {
    attempt.setTimeout(
        loop.schedule(
            attempt::onTimeout, Math.max(1, remainingNow.micros()), TimeUnit.MICROSECONDS));
    pools.apply(endpoint).start(attempt);
  }

  /**
   * Starts a query that belongs to no client. It has no deadline, only the time allowed to the
   * server.
   */
  private void startQuery(ServerQuery query, String endpoint) {
    query.setTimeout(PeerTimeout.start(iteration, loop, pollTimeout, query::onTimeout));
    pools.apply(endpoint).start(query);
  }

  @Override
  public void cancel(long ticket, int execution) {
    PendingStatement pendingStatement = statements.get(ticket);
    iteration.addEffect(
        () -> pendingStatement.attempts.get(execution).cancel(AttemptOutcome.CANCELLED));
  }

  @Override
  public void reject(long ticket, Span retryAfter, RejectReason reason) {
    PendingStatement pendingStatement = statements.get(ticket);
    counters.increment(
        switch (reason) {
          case OVERDUE -> Counter.REFUSED_OVERDUE;
          case SHED -> Counter.REFUSED_SHED;
          case HOLD_FULL -> Counter.REFUSED_HOLD_FULL;
          case NO_ATTEMPT_LEFT -> Counter.REFUSED_NO_ATTEMPT_LEFT;
        });
    if (pendingStatement.trace != null) {
      trace.recordStep(pendingStatement.trace, reason.name());
    }
    long retryAfterMillis = retryAfter.micros() / 1_000;
    iteration.addEffect(
        () ->
            answerError(
                pendingStatement,
                ProtocolCodes.TOO_MANY_CONNECTIONS,
                "nothing was done, try again",
                retryAfterMillis > 0 ? "" + retryAfterMillis : null));
  }

  @Override
  public void abort(long ticket) {
    PendingStatement pendingStatement = statements.get(ticket);
    counters.increment(Counter.FAILED_EFFECT_UNKNOWN);
    iteration.addEffect(
        () ->
            answerError(
                pendingStatement,
                ProtocolCodes.SYSTEM_ERROR,
                "the statement may or may not have had an effect",
                null));
  }

  @Override
  public void poll(String endpoint) {
    counters.increment(Counter.POLL_SENT);
    if (!switchoverTable.isEmpty()) {
      recentlyPolled.remove(endpoint);
      recentlyPolled.add(endpoint);
      if (recentlyPolled.size() > MAX_RECENTLY_POLLED) {
        recentlyPolled.remove(recentlyPolled.iterator().next());
      }
    }
    if (!unreachableEndpoints.contains(endpoint)) {
      hasPolled = true;
      pendingFirstPolls.add(endpoint);
    }
    iteration.addEffect(() -> startQuery(new Poll(endpoint), endpoint));
  }

  @Override
  public void closeIdleConnections(String endpoint) {
    iteration.addEffect(() -> pools.apply(endpoint).closeIdle());
  }

  @Override
  public void onEndpointRemoved(String endpoint) {
    iteration.addEffect(() -> removedEndpointListener.accept(endpoint));
  }

  @Override
  public void watchEndpointList() {
    iteration.addEffect(startWatch);
  }

  @Override
  public void setTimer(Span fromNow) {
    Moment dueAt = iteration.now().plus(fromNow);
    iteration.addEffect(() -> scheduleCoreTimer(dueAt));
  }

  /**
   * Schedules the core's timer. A call before the due time would leave the core without a timer,
   * and inactive until the next input.
   */
  private void scheduleCoreTimer(Moment dueAt) {
    // The delay counts from the decision. After a stall of the loop, a delay counted from here
    // would fire late by the length of the stall.
    long delayMicros = dueAt.since(iteration.clock().now()).micros();
    loop.schedule(
        () ->
            iteration.enqueue(
                now -> {
                  if (now.isBefore(dueAt)) {
                    iteration.addEffect(() -> scheduleCoreTimer(dueAt));
                  } else {
                    core.onTimerFired(now);
                  }
                }),
        Math.max(1, delayMicros),
        TimeUnit.MICROSECONDS);
  }

  /**
   * Opens each connection by a query of its own: a connection that has answered one is known to
   * work.
   */
  @Override
  public void openConnections(String endpoint, int connections) {
    iteration.addEffect(
        () -> {
          for (int missing = pools.apply(endpoint).missingIdle(connections);
              missing > 0;
              missing--) {
            startQuery(new ConnectionWarmUp(), endpoint);
          }
        });
  }

  @Override
  public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, String target) {
    Event.CHANGE.log(LOG, Level.INFO, "", group, phase, target);
  }

  @Override
  public void onPolledGroupsChanged(int groups, int endpoints, int listedEndpoints) {
    Event.WATCHED.log(LOG, Level.INFO, "", groups, endpoints, listedEndpoints);
  }

  @Override
  public void onPrimaryChanged(int group, String endpoint, boolean found) {
    (found ? Event.PRIMARY_FOUND : Event.PRIMARY_LOST)
        .log(LOG, Level.INFO, "", group, pools.apply(endpoint));
  }

  // ---- Outcomes reported to the core.

  private Role toRole(QueryResponse response) {
    return response.role().equals("master")
        ? Role.PRIMARY
        : response.role().equals("replica") ? Role.REPLICA : Role.UNKNOWN;
  }

  private static AttemptOutcome toOutcome(QueryResponse response) {
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
    private final int attemptNumber;
    private final Moment deadline;
    private final Moment sendBy;
    private final int fencingToken = fencingTokenSource.applyAsInt(iteration.now());

    Attempt(PendingStatement pendingStatement, int attemptNumber, Moment deadline, Moment sendBy) {
      this.pendingStatement = pendingStatement;
      this.attemptNumber = attemptNumber;
      this.deadline = deadline;
      // No later than a connection attempt may take: the connect timer fires late if this process
      // was stalled, and the endpoint may have started to drain meanwhile.
      this.sendBy = sendBy.earlier(iteration.now().plus(pollTimeout).plus(DEADLINE_GUARD_DELAY));
    }

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.EXECUTION;
    }

    @Override
    boolean isObsolete(Moment now) {
      // The client's disconnect may be unread. Where attempts must not be cancelled, one that waits
      // for its connection can outlive its statement.
      pendingStatement.client.readIfStale();
      return pendingStatement.answered
          || !pendingStatement.client.isWaitingFor(pendingStatement)
          || now.isAfter(sendBy)
          || fencingTokenSource.applyAsInt(now) != fencingToken;
    }

    @Override
    boolean isReadyToSend() {
      return pendingStatement.client.isInputRead();
    }

    @Override
    void write(ByteBuf out) {
      if (pendingStatement.trace != null) {
        trace.recordStep(pendingStatement.trace, attemptNumber + "w");
      }
      statementIds.markExecuted(pendingStatement.query.idHash);
      long remainingMicros = Math.max(1, deadline.since(iteration.clock().now()).micros());
      MessageEncoder.writeQuery(
          out,
          pendingStatement.text,
          pendingStatement.query.timeoutStart,
          pendingStatement.query.timeoutEnd,
          (remainingMicros + 999) / 1_000);
    }

    @Override
    void onResponse(QueryResponse response) {
      iteration.enqueue(now -> onEnded(now, toOutcome(response), response));
    }

    @Override
    void onFailure(AttemptOutcome outcome) {
      iteration.enqueue(now -> onEnded(now, outcome, new QueryResponse()));
    }

    private void onEnded(Moment now, AttemptOutcome outcome, QueryResponse response) {
      pendingStatement.openAttempts--;
      // Builds the text only if the statement is traced: string concatenation is costly in a
      // freshly started JVM.
      if (pendingStatement.trace != null) {
        trace.recordStep(pendingStatement.trace, attemptNumber + "=" + outcome);
      }
      runGuarded(
          pendingStatement,
          () -> {
            if (core.onAttemptEnded(
                now,
                pendingStatement.ticket,
                attemptNumber,
                outcome,
                toRole(response),
                clockOffset.correctPosition(loadReport.momentAtMillis(response.positionMillis())),
                false)) {
              pendingStatement.answered = true;
              var row = response.takeRow();
              iteration.addEffect(() -> pendingStatement.client.sendRow(row));
            }
          });
      response.release();
      releaseIfFinished(pendingStatement);
    }
  }

  private final class Poll extends ServerQuery {
    private final String endpoint;

    Poll(String endpoint) {
      this.endpoint = endpoint;
    }

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.POLL;
    }

    @Override
    void write(ByteBuf out) {
      MessageEncoder.writeQuery(out, loadReport.fieldNames.isEmpty() ? "SELECT 1" : "SHOW gauges");
    }

    @Override
    void onResponse(QueryResponse response) {
      pendingFirstPolls.remove(endpoint);
      AttemptOutcome outcome = toOutcome(response);
      Role role = toRole(response);
      double[] values = loadReport.parseValues(response.value());
      Moment position =
          loadReport.positionIndex < 0
              ? loadReport.momentAtMillis(response.positionMillis())
              : loadReport.positionAt(
                  Math.nextDown(loadReport.valueAt(values, loadReport.positionIndex)));
      Role claimedRole =
          loadReport.primaryIndex < 0
              ? role
              : loadReport.roleOf(loadReport.valueAt(values, loadReport.primaryIndex));
      response.release();
      iteration.enqueue(
          now -> {
            updateClockOffset(now, claimedRole, position);
            core.onPollEnded(
                now,
                endpoint,
                outcome,
                claimedRole,
                clockOffset.correctPosition(position),
                loadReport.valueAt(values, loadReport.utilizationIndex),
                loadReport.valueAt(values, loadReport.queueIndex));
          });
    }

    private void updateClockOffset(Moment now, Role claimedRole, Moment position) {
      if (claimedRole == Role.PRIMARY
          && position.isAfter(Moment.LONG_AGO)
          && clockOffset.onPrimaryPosition(now, position)) {
        Event.CLOCK_OFF.log(
            LOG,
            Level.WARN,
            "",
            clockOffset.behind().micros() / 1_000,
            clockOffset.ahead().micros() / 1_000);
        core.resetPositions(now);
        clockOffsetListener.accept(now);
      }
    }

    @Override
    void onFailure(AttemptOutcome outcome) {
      pendingFirstPolls.remove(endpoint);
      iteration.enqueue(
          now ->
              core.onPollEnded(
                  now, endpoint, outcome, Role.UNKNOWN, Moment.LONG_AGO, Double.NaN, Double.NaN));
    }
  }

  /** Queries an endpoint's table for an announced switchover of its group's primary. */
  private final class AnnouncementQuery extends ServerQuery {
    private final String endpoint;

    AnnouncementQuery(String endpoint) {
      this.endpoint = endpoint;
    }

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.POLL;
    }

    @Override
    void write(ByteBuf out) {
      MessageEncoder.writeQuery(out, SwitchoverAnnouncement.latestQuery(switchoverTable));
    }

    @Override
    void onResponse(QueryResponse response) {
      SwitchoverAnnouncement announcement = SwitchoverAnnouncement.parse(response.value());
      response.release();
      if (announcement != null) {
        iteration.enqueue(
            now ->
                core.onSwitchoverAnnounced(
                    now,
                    endpoint,
                    announcement.number(),
                    announcement.target(),
                    new Moment(announcement.atMillis() * 1_000),
                    announcement.cancelled()));
      }
    }

    @Override
    void onFailure(AttemptOutcome outcome) {
      // Ignored: polls report the state of the endpoint.
    }
  }

  /** Opens a connection and checks that it answers a query. */
  private static final class ConnectionWarmUp extends ServerQuery {
    @Override
    Descriptors.Use use() {
      return Descriptors.Use.WARM_UP;
    }

    @Override
    void write(ByteBuf out) {
      MessageEncoder.writeQuery(out, "SELECT 1");
    }

    @Override
    void onResponse(QueryResponse response) {
      response.release();
    }

    @Override
    void onFailure(AttemptOutcome outcome) {
      // Nothing depends on a single warm-up connection.
    }
  }
}
