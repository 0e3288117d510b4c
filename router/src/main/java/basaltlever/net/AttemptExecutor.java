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
  private static final Span DEADLINE_GUARD_DELAY = Span.ofMillis(10);

  /** Members that are asked for planned changes. */
  private static final int MAX_RECENTLY_POLLED = 128;

  private final LoopIteration iteration;
  private final EventLoop loop;
  private final Function<String, ConnectionPool> pools;
  private final Consumer<String> removedEndpointListener;
  private LoadReportFormat loadReport;
  private Span pollTimeout;
  private final MemoryBudget budget;
  private final StatementTrace trace;
  private final Counters counters;
  private final ClockOffset clockOffset;

  /** What was told in the servers' time is to be taken in again. */
  private Consumer<Moment> clockOffsetListener = now -> {};

  /** What is kept to, by number: what was decided under another is not sent. */
  private ToIntFunction<Moment> fencingTokenSource = now -> 0;

  private final LongObjectHashMap<PendingStatement> statements = new LongObjectHashMap<>();

  /** All that are unanswered, by the time at which they are owed an answer. */
  private final TreeSet<PendingStatement> unansweredByDeadline =
      new TreeSet<>(
          Comparator.comparingLong(
                  (PendingStatement pendingStatement) -> pendingStatement.answerDeadline.micros())
              .thenComparingLong(pendingStatement -> pendingStatement.ticket));

  private Future<?> deadlineTimer;
  private Moment deadlineTimerAt = Moment.NEVER;

  /** Empty where members are not asked for planned changes. */
  private String switchoverTable = "";

  /** Members that are being polled, and those that a start does not wait for. */
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
      StatementTrace trace) {
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

  /** An earlier process had no answer from it: a start does not wait for one. */
  void excludeFromStartup(String endpoint) {
    unreachableEndpoints.add(endpoint);
    pendingFirstPolls.remove(endpoint);
  }

  /** Whether members were polled, and each of them has answered or failed. */
  boolean hasCompletedFirstPolls() {
    return hasPolled && pendingFirstPolls.isEmpty();
  }

  /** The start is over: nobody waits for a first look any more. */
  void onServing() {
    unreachableEndpoints.clear();
  }

  /** What members' reports hold from now on, and how long one may take. */
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

  /** Members polled lately, the latest last: those that are asked for planned changes. */
  Set<String> recentlyPolled() {
    return recentlyPolled;
  }

  /**
   * Apart from polls, which a router with little traffic sends too rarely to hear of a change in
   * time.
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

  void add(PendingStatement pendingStatement) {
    statements.put(pendingStatement.ticket, pendingStatement);
    unansweredByDeadline.add(pendingStatement);
    scheduleDeadlineCheck(pendingStatement.answerDeadline.plus(DEADLINE_GUARD_DELAY));
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
   * The decisions answer everything in time by their own rules, unless nobody wakes them: a loop
   * that was held up may come to this before their own timer, and before the ends of executions
   * that wait to be heard. So they are asked for their last word on each statement whose time is
   * over. What they forget even so is aborted: nothing is proven of it here.
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
      counters.add(Counter.STATEMENT_OVERDUE);
      Event.OVERDUE.log(
          LOG,
          Level.WARN,
          "aborted by the guard",
          pendingStatement.query.id,
          pendingStatement.attempts.size(),
          pendingStatement.openAttempts);
      answerError(
          pendingStatement, ProtocolCodes.SYSTEM_ERROR, "the statement's time is over", null);
    }
  }

  /** A router that stops leaves nobody without an answer. */
  void answerAll(Moment now) {
    expireStatements(now, Moment.NEVER);
  }

  /** Beyond what the settings allow to be open, before the decisions hear of it. */
  void rejectTooManyOpen(PendingStatement pendingStatement) {
    counters.add(Counter.REFUSED_TOO_MANY_OPEN);
    iteration.addEffect(
        () ->
            answerError(
                pendingStatement,
                ProtocolCodes.TOO_MANY_CONNECTIONS,
                "too many statements are open",
                null));
  }

  void clientDisconnected(PendingStatement pendingStatement) {
    iteration.enqueue(
        now -> {
          trace.ends(pendingStatement.trace, "left");
          pendingStatement.answered = true;
          runGuarded(
              pendingStatement, () -> core.onClientDisconnected(now, pendingStatement.ticket));
          releaseIfFinished(pendingStatement);
        });
  }

  /** A fault in the decisions must not cost the statement its answer. */
  void runGuarded(PendingStatement pendingStatement, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException fault) {
      Event.FAULT.fault(LOG, "", fault, "deciding on statement " + pendingStatement.ticket);
      if (!pendingStatement.answered) {
        iteration.addEffect(
            () ->
                answerError(
                    pendingStatement, ProtocolCodes.SYSTEM_ERROR, "the router failed", null));
        clientDisconnected(pendingStatement);
      }
    }
  }

  private void answerError(
      PendingStatement pendingStatement, String code, String message, String detail) {
    if (!pendingStatement.answered) {
      trace.step(pendingStatement.trace, code);
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
  public void startAttempt(
      long ticket, int execution, String endpoint, Span timeout, Moment sendBy) {
    PendingStatement pendingStatement = statements.get(ticket);
    Span remaining = pendingStatement.answerDeadline.since(iteration.now());
    Span limit = timeout.micros() == 0 ? remaining : timeout.shorter(remaining);
    Attempt attempt = new Attempt(pendingStatement, execution, iteration.now().plus(limit), sendBy);
    pendingStatement.attempts.add(attempt);
    counters.add(Counter.EXECUTION_SENT);
    if (execution > 0) {
      counters.add(Counter.EXECUTION_RETRIED);
    }
    if (pendingStatement.trace != null) {
      trace.step(pendingStatement.trace, execution + ">" + endpoint);
    }
    pendingStatement.openAttempts++;
    iteration.addEffect(
        () -> {
          // From when it was decided: counted anew from here, its end comes behind that of the
          // statement.
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

  /** What is no client's has no deadline, only the time that the server may take. */
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
    counters.add(
        switch (reason) {
          case OVERDUE -> Counter.REFUSED_OVERDUE;
          case SHED -> Counter.REFUSED_SHED;
          case HOLD_FULL -> Counter.REFUSED_HOLD_FULL;
          case NO_ATTEMPT_LEFT -> Counter.REFUSED_NO_ATTEMPT_LEFT;
        });
    if (pendingStatement.trace != null) {
      trace.step(pendingStatement.trace, reason.name());
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
    counters.add(Counter.FAILED_EFFECT_UNKNOWN);
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
    counters.add(Counter.POLL_SENT);
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
   * Woken too early, the decisions would wait for a timer that is gone, and look at nothing until
   * spoken to.
   */
  private void scheduleCoreTimer(Moment dueAt) {
    // From when it was decided: a loop that was held up since would come to it that much late.
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
   * Each is opened by a poll of its own: a connection that has answered one is known to be good.
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
  public void onPolledGroupsChanged(int groups, int members, int listed) {
    Event.WATCHED.log(LOG, Level.INFO, "", groups, members, listed);
  }

  @Override
  public void onPrimaryChanged(int group, String endpoint, boolean found) {
    (found ? Event.PRIMARY_FOUND : Event.PRIMARY_LOST)
        .log(LOG, Level.INFO, "", group, pools.apply(endpoint));
  }

  // ---- What became of it.

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
      // No later than a connection may take: its own timer comes late where this process was held
      // up, and the
      // member may have been told to drain meanwhile.
      this.sendBy = sendBy.earlier(iteration.now().plus(pollTimeout).plus(DEADLINE_GUARD_DELAY));
    }

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.EXECUTION;
    }

    @Override
    boolean isObsolete(Moment now) {
      // Its client's end may lie unread; and where executions may not be called off, one that waits
      // for its
      // connection outlives its statement.
      pendingStatement.client.readIfStale();
      return pendingStatement.answered
          || !pendingStatement.client.isWaitingFor(pendingStatement)
          || now.isAfter(sendBy)
          || fencingTokenSource.applyAsInt(now) != fencingToken;
    }

    @Override
    void write(ByteBuf out) {
      if (pendingStatement.trace != null) {
        trace.step(pendingStatement.trace, attemptNumber + "w");
      }
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
      // Text put together for nobody costs a process that has just started most.
      if (pendingStatement.trace != null) {
        trace.step(pendingStatement.trace, attemptNumber + "=" + outcome);
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
                clockOffset.position(loadReport.momentAtMillis(response.positionMillis())),
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
                clockOffset.position(position),
                loadReport.valueAt(values, loadReport.utilizationIndex),
                loadReport.valueAt(values, loadReport.queueIndex));
          });
    }

    private void updateClockOffset(Moment now, Role claimedRole, Moment position) {
      if (claimedRole == Role.PRIMARY
          && position.isAfter(Moment.LONG_AGO)
          && clockOffset.primaryAt(now, position)) {
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

  /** What a member's table says of a planned change of its group's primary. */
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
      MessageEncoder.writeQuery(out, "SELECT 1");
    }

    @Override
    void onResponse(QueryResponse response) {
      response.release();
    }

    @Override
    void onFailure(AttemptOutcome outcome) {
      // One more or less.
    }
  }
}
