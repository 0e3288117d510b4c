package basaltlever.log;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.LinkedHashSet;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Traces the steps of single statements if tracing is enabled. Logs one line for each statement
 * that took longer than a given duration, and one for each statement that has no response after its
 * deadline. When disabled, tracing costs the check of one field. When enabled, the number of traced
 * statements, the steps of each and the lines a second are bounded, since clients can cause any
 * number of them.
 */
public final class StatementTracer {
  private static final Logger LOG = LoggerFactory.getLogger(StatementTracer.class);
  private static final int MAX_ACTIVE_TRACES = 4_096;
  private static final int MAX_STEPS_CHARS = 1_200;
  private static final int MAX_LINES_PER_SECOND = 200;
  private static final Span RATE_WINDOW = Span.ofMillis(1_000);

  /** A timer of the event loop that fires later than this is logged. */
  private static final Span MIN_LOGGED_LOOP_DELAY = Span.ofMillis(50);

  private final Span minDuration;
  private final Supplier<Moment> clock;
  private final LinkedHashSet<Trace> activeTraces = new LinkedHashSet<>();
  private Moment windowStart = Moment.LONG_AGO;
  private int linesInWindow;
  private int suppressedLines;

  /** The recorded steps of one statement. */
  public final class Trace {
    private final String id;
    private final Moment startedAt;
    private final Moment deadline;
    private final StringBuilder steps = new StringBuilder();
    private boolean overdueLogged;

    private Trace(String id, Moment startedAt, Moment deadline) {
      this.id = id;
      this.startedAt = startedAt;
      this.deadline = deadline;
    }

    private void appendStep(String step) {
      if (steps.length() < MAX_STEPS_CHARS) {
        steps
            .append(steps.isEmpty() ? "" : " ")
            .append(formatMillis(clock.get().since(startedAt)))
            .append(':')
            .append(step);
      }
    }
  }

  /**
   * Creates a tracer.
   *
   * @param minDuration traces statements that take at least this long; null for none
   */
  public StatementTracer(Span minDuration, Supplier<Moment> clock) {
    this.minDuration = minDuration;
    this.clock = clock;
  }

  /** Returns whether any statements are traced. */
  public boolean isEnabled() {
    return minDuration != null;
  }

  /**
   * Starts the trace of a statement; returns null if tracing is disabled or too many statements are
   * being traced.
   */
  public Trace begin(String id, Moment startedAt, Moment deadline) {
    if (minDuration == null || activeTraces.size() >= MAX_ACTIVE_TRACES) {
      return null;
    }
    Trace trace = new Trace(id, startedAt, deadline);
    activeTraces.add(trace);
    return trace;
  }

  /**
   * Records a step.
   *
   * @param trace the statement's trace; may be null
   * @param step contains no blanks, as these separate the steps
   */
  public void recordStep(Trace trace, String step) {
    if (trace != null) {
      trace.appendStep(step);
    }
  }

  /** Ends a trace: the last byte of the response was written, or the client has disconnected. */
  public void end(Trace trace, String step) {
    if (trace != null && activeTraces.remove(trace)) {
      trace.appendStep(step);
      if (trace.overdueLogged || !clock.get().since(trace.startedAt).isShorterThan(minDuration)) {
        logStatement(trace, "ended");
      }
    }
  }

  /** Logs statements that have passed their deadline; to be called periodically. */
  public void logOverdueStatements() {
    Moment now = minDuration == null ? null : clock.get();
    for (Trace trace : minDuration == null ? new LinkedHashSet<Trace>() : activeTraces) {
      if (!trace.overdueLogged && now.isAfter(trace.deadline)) {
        trace.overdueLogged = true;
        logStatement(trace, "past_its_time");
      }
    }
  }

  /** Logs the delay of a timer of the event loop if it is long. */
  public void logLoopDelay(Span delay) {
    if (minDuration != null && delay.isLongerThan(MIN_LOGGED_LOOP_DELAY) && acquireLine()) {
      Event.LOOP_LATE.log(LOG, Level.INFO, "", formatMillis(delay));
    }
  }

  /** Logs that a client closed its connection. */
  public void logClientDisconnect(Object client, Object reason, int bytes) {
    if (minDuration != null && acquireLine()) {
      Event.CLIENT_LEFT.log(LOG, Level.INFO, "", client, reason, bytes);
    }
  }

  private void logStatement(Trace trace, String outcome) {
    if (acquireLine()) {
      Event.STATEMENT.log(
          LOG,
          Level.INFO,
          "",
          trace.id,
          outcome,
          formatMillis(clock.get().since(trace.startedAt)),
          formatMillis(trace.deadline.since(trace.startedAt)),
          suppressedLines,
          trace.steps);
      suppressedLines = 0;
    }
  }

  private boolean acquireLine() {
    if (!clock.get().since(windowStart).isShorterThan(RATE_WINDOW)) {
      windowStart = clock.get();
      linesInWindow = 0;
    }
    suppressedLines += linesInWindow >= MAX_LINES_PER_SECOND ? 1 : 0;
    return linesInWindow++ < MAX_LINES_PER_SECOND;
  }

  private static String formatMillis(Span span) {
    return "" + span.micros() / 1_000;
  }
}
