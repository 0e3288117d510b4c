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

  private final LoopIteration turn;
  private final EventLoop loop;
  private final Function<String, ConnectionPool> links;
  private final Consumer<String> forgotten;
  private LoadReportFormat gauges;
  private Span pollTimeout;
  private final MemoryBudget budget;
  private final StatementTrace lives;
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
          Comparator.comparingLong((PendingStatement taken) -> taken.owedBy.micros())
              .thenComparingLong(taken -> taken.ticket));

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
      LoopIteration turn,
      EventLoop loop,
      Function<String, ConnectionPool> links,
      Consumer<String> forgotten,
      LoadReportFormat gauges,
      Span pollTimeout,
      MemoryBudget budget,
      StatementTrace lives) {
    this.turn = turn;
    this.loop = loop;
    this.links = links;
    this.forgotten = forgotten;
    this.gauges = gauges;
    this.pollTimeout = pollTimeout;
    this.budget = budget;
    this.lives = lives;
    counters = turn.counters();
    clockOffset = turn.clockOffset();
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
    gauges = by;
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
      start(new AnnouncementQuery(node), node, pollTimeout);
    }
  }

  // ---- Statements.

  int open() {
    return statements.size();
  }

  void add(PendingStatement taken) {
    statements.put(taken.ticket, taken);
    owed.add(taken);
    lookAt(taken.owedBy.plus(GUARD));
  }

  private void lookAt(Moment at) {
    if (at.isBefore(looksAt)) {
      if (look != null) {
        look.cancel(false);
      }
      looksAt = at;
      long left = Math.max(1, at.since(turn.clock().now()).micros());
      look = loop.schedule(() -> turn.hear(now -> overdue(now, now)), left, TimeUnit.MICROSECONDS);
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
      PendingStatement taken = owed.pollFirst();
      guarded(taken, () -> core.timeIsOver(now, taken.ticket));
      turn.act(() -> abortForgotten(taken));
    }
    if (!owed.isEmpty()) {
      lookAt(owed.first().owedBy.plus(GUARD));
    }
  }

  private void abortForgotten(PendingStatement taken) {
    if (!taken.answered) {
      counters.add(Counter.STATEMENT_OVERDUE);
      Event.OVERDUE.log(
          LOG,
          Level.WARN,
          "aborted by the guard",
          taken.query.id,
          taken.executions.size(),
          taken.out);
      settle(taken, ProtocolCodes.UNKNOWN_EFFECT, "the statement's time is over", null);
    }
  }

  /** A router that stops leaves nobody without an answer. */
  void answerAll(Moment now) {
    overdue(now, Moment.NEVER);
  }

  /** Beyond what the settings allow to be open, before the decisions hear of it. */
  void turnAway(PendingStatement taken) {
    counters.add(Counter.REFUSED_TOO_MANY_OPEN);
    turn.act(() -> settle(taken, ProtocolCodes.TOO_MANY, "too many statements are open", null));
  }

  void left(PendingStatement taken) {
    turn.hear(
        now -> {
          lives.ends(taken.life, "left");
          taken.answered = true;
          guarded(taken, () -> core.clientLeft(now, taken.ticket));
          forget(taken);
        });
  }

  /** A fault in the decisions must not cost the statement its answer. */
  void guarded(PendingStatement taken, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException fault) {
      Event.FAULT.fault(LOG, "", fault, "deciding on statement " + taken.ticket);
      if (!taken.answered) {
        turn.act(() -> settle(taken, ProtocolCodes.UNKNOWN_EFFECT, "the router failed", null));
        left(taken);
      }
    }
  }

  private void settle(PendingStatement taken, String code, String message, String detail) {
    if (!taken.answered) {
      lives.step(taken.life, code);
      taken.answered = true;
      taken.client.answerError(code, message, detail);
    }
    forget(taken);
  }

  private void forget(PendingStatement taken) {
    if (taken.answered) {
      owed.remove(taken);
    }
    if (taken.answered && taken.out == 0 && !taken.forgotten) {
      taken.forgotten = true;
      statements.remove(taken.ticket);
      budget.release(taken.text.capacity());
      taken.text.release();
    }
  }

  // ---- What the decisions want.

  /**
   * Counted as out from the decision on, so that the core hears of its end whatever comes between.
   */
  @Override
  public void execute(long ticket, int execution, String node, Span timeout, Moment sendBy) {
    PendingStatement taken = statements.get(ticket);
    Span owed = taken.owedBy.since(turn.now());
    Span limit = timeout.micros() == 0 ? owed : timeout.shorter(owed);
    Attempt job = new Attempt(taken, execution, turn.now().plus(limit), sendBy);
    taken.executions.add(job);
    counters.add(Counter.EXECUTION_SENT);
    if (execution > 0) {
      counters.add(Counter.EXECUTION_RETRIED);
    }
    if (taken.life != null) {
      lives.step(taken.life, execution + ">" + node);
    }
    taken.out++;
    turn.act(
        () -> {
          // From when it was decided: counted anew from here, its end comes behind that of the
          // statement.
          Span left = job.until.since(turn.clock().now());
          if (taken.answered || left.micros() <= 0) {
            job.endLost(AttemptOutcome.NEVER_SENT, AttemptOutcome.NEVER_SENT);
            return;
          }
          start(job, node, left);
        });
  }

  private void start(ServerQuery job, String node, Span limit) {
    job.endsBy(loop.schedule(job::timeIsOver, Math.max(1, limit.micros()), TimeUnit.MICROSECONDS));
    links.apply(node).start(job);
  }

  @Override
  public void cancel(long ticket, int execution) {
    PendingStatement taken = statements.get(ticket);
    turn.act(() -> taken.executions.get(execution).giveUp(AttemptOutcome.CANCELLED));
  }

  @Override
  public void reject(long ticket, Span comeBackAfter, RejectReason why) {
    PendingStatement taken = statements.get(ticket);
    counters.add(
        switch (why) {
          case OVERDUE -> Counter.REFUSED_OVERDUE;
          case SHED -> Counter.REFUSED_SHED;
          case HOLD_FULL -> Counter.REFUSED_HOLD_FULL;
          case NO_ATTEMPT_LEFT -> Counter.REFUSED_NO_ATTEMPT_LEFT;
        });
    if (taken.life != null) {
      lives.step(taken.life, why.name());
    }
    long millis = comeBackAfter.micros() / 1_000;
    turn.act(
        () ->
            settle(
                taken,
                ProtocolCodes.TOO_MANY,
                "nothing was done, try again",
                millis > 0 ? "" + millis : null));
  }

  @Override
  public void abort(long ticket) {
    PendingStatement taken = statements.get(ticket);
    counters.add(Counter.FAILED_EFFECT_UNKNOWN);
    turn.act(
        () ->
            settle(
                taken,
                ProtocolCodes.UNKNOWN_EFFECT,
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
    turn.act(() -> start(new Poll(node), node, pollTimeout));
  }

  @Override
  public void letGo(String node) {
    turn.act(() -> links.apply(node).letGo());
  }

  @Override
  public void forget(String node) {
    turn.act(() -> forgotten.accept(node));
  }

  @Override
  public void watch() {
    turn.act(watch);
  }

  @Override
  public void wake(Span fromNow) {
    Moment due = turn.now().plus(fromNow);
    turn.act(() -> wakeAt(due));
  }

  /**
   * Woken too early, the decisions would wait for a timer that is gone, and look at nothing until
   * spoken to.
   */
  private void wakeAt(Moment due) {
    // From when it was decided: a loop that was held up since would come to it that much late.
    long left = due.since(turn.clock().now()).micros();
    loop.schedule(
        () ->
            turn.hear(
                now -> {
                  if (now.isBefore(due)) {
                    turn.act(() -> wakeAt(due));
                  } else {
                    core.woken(now);
                  }
                }),
        Math.max(1, left),
        TimeUnit.MICROSECONDS);
  }

  /**
   * Each is opened by a poll of its own: a connection that has answered one is known to be good.
   */
  @Override
  public void prepare(String node, int connections) {
    turn.act(
        () -> {
          for (int more = links.apply(node).missing(connections); more > 0; more--) {
            start(new ConnectionWarmUp(), node, pollTimeout);
          }
        });
  }

  @Override
  public void change(int group, PlannedSwitchover.Phase phase, String target) {
    Event.CHANGE.log(LOG, Level.INFO, "", group, phase, target);
  }

  @Override
  public void watched(int groups, int members, int listed) {
    Event.WATCHED.log(LOG, Level.INFO, "", groups, members, listed);
  }

  @Override
  public void primary(int group, String node, boolean found) {
    (found ? Event.PRIMARY_FOUND : Event.PRIMARY_LOST)
        .log(LOG, Level.INFO, "", group, links.apply(node));
  }

  // ---- What became of it.

  private Role role(QueryResponse answer) {
    return answer.role.equals("master")
        ? Role.PRIMARY
        : answer.role.equals("replica") ? Role.REPLICA : Role.UNTOLD;
  }

  private static AttemptOutcome ending(QueryResponse answer) {
    String code = answer.error();
    return answer.isRow()
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
    private final PendingStatement taken;
    private final int number;
    private final Moment until;
    private final Moment sendBy;
    private final int decidedUnder = stance.applyAsInt(turn.now());

    Attempt(PendingStatement taken, int number, Moment until, Moment sendBy) {
      this.taken = taken;
      this.number = number;
      this.until = until;
      // No later than a connection may take: its own timer comes late where this process was held
      // up, and the
      // member may have been told to drain meanwhile.
      this.sendBy = sendBy.earlier(turn.now().plus(pollTimeout).plus(GUARD));
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
      taken.client.readAgain();
      return taken.answered
          || !taken.client.waitsFor(taken)
          || now.isAfter(sendBy)
          || stance.applyAsInt(now) != decidedUnder;
    }

    @Override
    void write(ByteBuf out) {
      if (taken.life != null) {
        lives.step(taken.life, number + "w");
      }
      long left = Math.max(1, until.since(turn.clock().now()).micros());
      MessageEncoder.query(
          out, taken.text, taken.query.waitFrom, taken.query.waitTo, (left + 999) / 1_000);
    }

    @Override
    void answered(QueryResponse answer) {
      turn.hear(now -> ended(now, ending(answer), answer));
    }

    @Override
    void lost(AttemptOutcome ending) {
      turn.hear(now -> ended(now, ending, new QueryResponse()));
    }

    private void ended(Moment now, AttemptOutcome ending, QueryResponse answer) {
      taken.out--;
      // Text put together for nobody costs a process that has just started most.
      if (taken.life != null) {
        lives.step(taken.life, number + "=" + ending);
      }
      guarded(
          taken,
          () -> {
            if (core.ended(
                now,
                taken.ticket,
                number,
                ending,
                role(answer),
                clockOffset.position(gauges.afterMillis(answer.position)),
                false)) {
              taken.answered = true;
              var row = answer.takeRow();
              turn.act(() -> taken.client.answer(row));
            }
          });
      answer.release();
      forget(taken);
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
      MessageEncoder.query(out, gauges.names.isEmpty() ? "SELECT 1" : "SHOW gauges");
    }

    @Override
    void answered(QueryResponse answer) {
      firstLook.remove(node);
      AttemptOutcome ending = ending(answer);
      Role role = role(answer);
      double[] values = gauges.values(answer.text());
      Moment told =
          gauges.position < 0
              ? gauges.afterMillis(answer.position)
              : gauges.position(Math.nextDown(gauges.value(values, gauges.position)));
      Role claimed = gauges.primary < 0 ? role : gauges.role(gauges.value(values, gauges.primary));
      answer.release();
      turn.hear(
          now -> {
            heedClock(now, claimed, told);
            core.polled(
                now,
                node,
                ending,
                claimed,
                clockOffset.position(told),
                gauges.value(values, gauges.util),
                gauges.value(values, gauges.queue));
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
    void lost(AttemptOutcome ending) {
      firstLook.remove(node);
      turn.hear(
          now ->
              core.polled(now, node, ending, Role.UNTOLD, Moment.LONG_AGO, Double.NaN, Double.NaN));
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
    void answered(QueryResponse answer) {
      SwitchoverAnnouncement note = SwitchoverAnnouncement.read(answer.text());
      answer.release();
      if (note != null) {
        turn.hear(
            now ->
                core.announced(
                    now,
                    node,
                    note.number(),
                    note.target(),
                    new Moment(note.atMillis() * 1_000),
                    note.off()));
      }
    }

    @Override
    void lost(AttemptOutcome ending) {
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
    void answered(QueryResponse answer) {
      answer.release();
    }

    @Override
    void lost(AttemptOutcome ending) {
      // One more or less.
    }
  }
}
