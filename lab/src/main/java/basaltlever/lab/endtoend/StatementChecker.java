package basaltlever.lab.endtoend;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records what clients and servers observe of each statement and checks it against the rules.
 * Reports by the routers themselves are not used. Not thread-safe: all methods are called on the
 * event loop of the run.
 */
final class StatementChecker {
  /** Outcome of a statement as its client observed it. */
  enum Outcome {
    SERVED,
    REFUSED,
    FAILED,
    LEFT,
    CLOSED_NEW,
    CLOSED_RESTING,
    NEVER
  }

  /** Time for which an attempt may still be in transit after its client disconnected. */
  private static final long ABANDONED_ATTEMPT_GRACE_MILLIS = 100;

  /** A response up to this long after the deadline counts as late, a later one as lost. */
  private static final long LATE_RESPONSE_GRACE_MILLIS = 500;

  private static final long CLOCK_TOLERANCE_MILLIS = 50;
  private static final long DEADLINE_TOLERANCE_MILLIS = 150;

  /**
   * Maximum time for which a statement and the router's close of an idle connection can cross. A
   * statement written earlier than this before the close had been received by the router.
   */
  private static final long CLOSE_RACE_MILLIS = 20;

  private static final int MAX_FAILURES = 20;

  /** State of one statement from the time its client wrote it. */
  static final class TrackedStatement {
    final String id;
    final StatementClass workload;
    final int routerIndex;

    /**
     * Start of its response time. A pipelined statement is timed only once the statement before it
     * on the same connection is answered.
     */
    long timerStartMillis;

    Outcome outcome;
    long abandonedAtMillis = Long.MAX_VALUE;
    long endedAtMillis;

    /** Local port of the connection it was last written on, which identifies it in router logs. */
    int clientPort;

    int attempts;
    int startedExecutions;
    long firstExecutionMillis;

    TrackedStatement(String id, StatementClass workload, int routerIndex, long sentAtMillis) {
      this.id = id;
      this.workload = workload;
      this.routerIndex = routerIndex;
      timerStartMillis = sentAtMillis;
    }

    long deadlineAtMillis() {
      return timerStartMillis + workload.deadlineMillis();
    }
  }

  private final Map<String, TrackedStatement> statementsById = new HashMap<>();
  private final Map<Outcome, Integer> outcomeCounts = new LinkedHashMap<>();
  private final Map<String, Integer> violationCounts = new LinkedHashMap<>();
  private final Map<String, String> failures = new LinkedHashMap<>();
  private final java.util.List<Long> servedLatenciesMillis = new java.util.ArrayList<>();
  private int statementCount;
  private int lateCount;
  private long maxCloseRaceMillis;

  StatementChecker() {
    for (Outcome outcome : Outcome.values()) {
      outcomeCounts.put(outcome, 0);
    }
    for (String rule :
        new String[] {
          "lost", "lost_resting", "drain_late", "doubled", "cold_toppled", "deadline"
        }) {
      violationCounts.put(rule, 0);
    }
  }

  TrackedStatement recordStart(
      String id, StatementClass workload, int routerIndex, long nowMillis) {
    TrackedStatement statement = new TrackedStatement(id, workload, routerIndex, nowMillis);
    statementsById.put(id, statement);
    statementCount++;
    return statement;
  }

  TrackedStatement find(String id) {
    return statementsById.get(id);
  }

  /** Records that a server received an attempt, possibly after its client disconnected. */
  void recordAttempt(TrackedStatement statement, long nowMillis) {
    statement.attempts++;
    if (nowMillis - ABANDONED_ATTEMPT_GRACE_MILLIS > statement.abandonedAtMillis) {
      recordViolation(
          "lost",
          statement,
          "received an attempt "
              + (nowMillis - statement.abandonedAtMillis)
              + " ms after its client disconnected");
    } else if (statement.outcome != null
        && statement.outcome != Outcome.LEFT
        && nowMillis > statement.endedAtMillis + CLOCK_TOLERANCE_MILLIS) {
      recordViolation(
          "lost",
          statement,
          "received an attempt "
              + (nowMillis - statement.endedAtMillis)
              + " ms after its final response");
    }
  }

  /** Checks the deadline sent with an attempt against the time remaining for its client. */
  void checkDeadline(TrackedStatement statement, long sentMillis, long nowMillis) {
    long remainingMillis = statement.deadlineAtMillis() - nowMillis;
    if (sentMillis > remainingMillis + DEADLINE_TOLERANCE_MILLIS) {
      recordViolation(
          "deadline",
          statement,
          "an attempt was sent with a deadline of "
              + sentMillis
              + " ms when "
              + remainingMillis
              + " ms remained");
    }
  }

  /** Records that a server started executing an attempt, which may have an effect from now on. */
  void recordExecution(TrackedStatement statement, long nowMillis) {
    statement.startedExecutions++;
    if (statement.startedExecutions == 1) {
      statement.firstExecutionMillis = nowMillis;
    } else if (statement.workload.effect() == StatementClass.Effect.AT_MOST_ONCE) {
      recordViolation("doubled", statement, "executed by two attempts");
    } else if (statement.workload.effect() == StatementClass.Effect.DEDUPLICATED
        && nowMillis - statement.firstExecutionMillis
            > statement.workload.windowMillis() + CLOCK_TOLERANCE_MILLIS) {
      recordViolation(
          "doubled",
          statement,
          "executed again "
              + (nowMillis - statement.firstExecutionMillis)
              + " ms later; deduplication window in ms: "
              + statement.workload.windowMillis());
    }
  }

  void recordOutcome(TrackedStatement statement, Outcome outcome, long nowMillis) {
    if (statement.outcome != null) {
      return;
    }
    statement.outcome = outcome;
    statement.endedAtMillis = nowMillis;
    outcomeCounts.merge(outcome, 1, Integer::sum);
    boolean answered =
        outcome == Outcome.SERVED || outcome == Outcome.REFUSED || outcome == Outcome.FAILED;
    if (outcome == Outcome.SERVED) {
      servedLatenciesMillis.add(nowMillis - statement.timerStartMillis);
    }
    if (answered && nowMillis > statement.deadlineAtMillis()) {
      lateCount++;
    }
    if (answered && nowMillis > statement.deadlineAtMillis() + LATE_RESPONSE_GRACE_MILLIS) {
      recordViolation(
          "lost",
          statement,
          "answered " + (nowMillis - statement.deadlineAtMillis()) + " ms after its deadline");
    } else if (outcome == Outcome.CLOSED_NEW || outcome == Outcome.NEVER) {
      recordViolation(
          "lost",
          statement,
          outcome == Outcome.NEVER
              ? "never answered"
              : "a new connection was closed without a response");
    } else if (outcome == Outcome.CLOSED_RESTING && statement.attempts > 0) {
      recordViolation(
          "lost",
          statement,
          "received by a server, but its connection was closed without a response");
    } else if (outcome == Outcome.REFUSED
        && statement.startedExecutions > 0
        && statement.workload.effect() != StatementClass.Effect.IDEMPOTENT) {
      recordViolation("doubled", statement, "refused although it may have been executed");
    }
  }

  /**
   * Records that a router closed an idle connection on which the statement had been written. No
   * server has received the statement, and its client resends it.
   */
  void recordResend(TrackedStatement statement, long nowMillis) {
    long unansweredMillis = nowMillis - statement.timerStartMillis;
    maxCloseRaceMillis = Math.max(maxCloseRaceMillis, unansweredMillis);
    if (unansweredMillis > CLOSE_RACE_MILLIS) {
      recordViolation(
          "lost_resting",
          statement,
          "its idle connection was closed "
              + unansweredMillis
              + " ms after the statement was written");
    }
  }

  void recordAbandoned(TrackedStatement statement, long nowMillis) {
    statement.abandonedAtMillis = nowMillis;
    recordOutcome(statement, Outcome.LEFT, nowMillis);
  }

  void recordViolation(String rule, TrackedStatement statement, String description) {
    violationCounts.merge(rule, 1, Integer::sum);
    if (failures.size() < MAX_FAILURES) {
      failures.put(
          statement.id + " " + statement.workload.key() + " n" + statement.routerIndex + " " + rule,
          description
              + "; attempts "
              + statement.attempts
              + ", client port "
              + statement.clientPort
              + ", timed from "
              + java.time.Instant.ofEpochMilli(statement.timerStartMillis));
    }
  }

  void recordSlowStartOverload() {
    violationCounts.merge("cold_toppled", 1, Integer::sum);
  }

  int count(Outcome outcome) {
    return outcomeCounts.get(outcome);
  }

  Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("statements", statementCount);
    figures.putAll(violationCounts);
    figures.put("late", lateCount);
    figures.put("crossed_ms_most", maxCloseRaceMillis);
    outcomeCounts.forEach(
        (outcome, count) -> figures.put(outcome.name().toLowerCase(java.util.Locale.ROOT), count));
    figures.put(
        "served_share",
        statementCount == 0 ? 0.0 : count(Outcome.SERVED) / (double) statementCount);
    servedLatenciesMillis.sort(null);
    figures.put("p50_ms", quantile(0.5));
    figures.put("p99_ms", quantile(0.99));
    return figures;
  }

  private long quantile(double share) {
    return servedLatenciesMillis.isEmpty()
        ? 0
        : servedLatenciesMillis.get(
            (int) Math.min(servedLatenciesMillis.size() - 1, share * servedLatenciesMillis.size()));
  }

  /** Returns one line for each of the first statements that violated a rule. */
  java.util.List<String> failures() {
    return failures.entrySet().stream()
        .map(failure -> failure.getKey() + ": " + failure.getValue())
        .toList();
  }
}
