package basaltlever.lab.endtoend;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What clients and servers saw of each statement, and the verdict on it. Everything is called on
 * the one loop of the day. A router's own word counts for nothing here.
 */
final class StatementChecker {
  /** How a client saw its statement end. */
  enum Outcome {
    SERVED,
    REFUSED,
    FAILED,
    LEFT,
    CLOSED_NEW,
    CLOSED_RESTING,
    NEVER
  }

  /** After its client has gone, an attempt may be on its way for so long. */
  private static final long ABANDONED_ATTEMPT_GRACE_MILLIS = 100;

  /** An answer this much behind the deadline earns nothing; one still later is lost. */
  private static final long LATE_RESPONSE_GRACE_MILLIS = 500;

  private static final long CLOCK_TOLERANCE_MILLIS = 50;
  private static final long DEADLINE_TOLERANCE_MILLIS = 150;

  /**
   * A statement that lay on a resting connection for longer when that was ended had been received.
   */
  private static final long CLOSE_RACE_MILLIS = 20;

  private static final int MAX_FAILURES = 20;

  /** One statement from when its client wrote it. */
  static final class TrackedStatement {
    final String id;
    final StatementClass workload;
    final int routerIndex;

    /** Since when its time counts: not while one before it on the same connection is unanswered. */
    long timerStartMillis;

    Outcome outcome;
    long abandonedAtMillis = Long.MAX_VALUE;
    long endedAtMillis;

    /** From which it was written last, as the router's log names its clients. */
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

  /** A server took the whole text of an attempt; its client may have gone long before. */
  void recordAttempt(TrackedStatement statement, long nowMillis) {
    statement.attempts++;
    if (nowMillis - ABANDONED_ATTEMPT_GRACE_MILLIS > statement.abandonedAtMillis) {
      recordViolation(
          "lost",
          statement,
          "an attempt "
              + (nowMillis - statement.abandonedAtMillis)
              + " ms after its client had gone");
    } else if (statement.outcome != null
        && statement.outcome != Outcome.LEFT
        && nowMillis > statement.endedAtMillis + CLOCK_TOLERANCE_MILLIS) {
      recordViolation(
          "lost",
          statement,
          "an attempt " + (nowMillis - statement.endedAtMillis) + " ms after its final answer");
    }
  }

  /** The time that an attempt tells its server, against what its client has left. */
  void checkDeadline(TrackedStatement statement, long sentMillis, long nowMillis) {
    long remainingMillis = statement.deadlineAtMillis() - nowMillis;
    if (sentMillis > remainingMillis + DEADLINE_TOLERANCE_MILLIS) {
      recordViolation(
          "deadline",
          statement,
          "an attempt was given " + sentMillis + " ms where " + remainingMillis + " were left");
    }
  }

  /** A server has begun an attempt: from here on it may have an effect. */
  void recordExecution(TrackedStatement statement, long nowMillis) {
    statement.startedExecutions++;
    if (statement.startedExecutions == 1) {
      statement.firstExecutionMillis = nowMillis;
    } else if (statement.workload.effect() == StatementClass.Effect.AT_MOST_ONCE) {
      recordViolation("doubled", statement, "run by two attempts");
    } else if (statement.workload.effect() == StatementClass.Effect.DEDUPLICATED
        && nowMillis - statement.firstExecutionMillis
            > statement.workload.windowMillis() + CLOCK_TOLERANCE_MILLIS) {
      recordViolation(
          "doubled",
          statement,
          "run again "
              + (nowMillis - statement.firstExecutionMillis)
              + " ms later, outside its window of "
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
          "answered " + (nowMillis - statement.deadlineAtMillis()) + " ms behind its deadline");
    } else if (outcome == Outcome.CLOSED_NEW || outcome == Outcome.NEVER) {
      recordViolation(
          "lost",
          statement,
          outcome == Outcome.NEVER ? "never answered" : "a new connection closed with no answer");
    } else if (outcome == Outcome.CLOSED_RESTING && statement.attempts > 0) {
      recordViolation("lost", statement, "read, then its connection closed with no answer");
    } else if (outcome == Outcome.REFUSED
        && statement.startedExecutions > 0
        && statement.workload.effect() != StatementClass.Effect.IDEMPOTENT) {
      recordViolation("doubled", statement, "refused though it may have run");
    }
  }

  /**
   * Its resting connection was ended with no answer; no server has seen it, and its client sends it
   * once more.
   */
  void recordResend(TrackedStatement statement, long nowMillis) {
    long unansweredMillis = nowMillis - statement.timerStartMillis;
    maxCloseRaceMillis = Math.max(maxCloseRaceMillis, unansweredMillis);
    if (unansweredMillis > CLOSE_RACE_MILLIS) {
      recordViolation(
          "lost_resting",
          statement,
          "a resting connection was closed " + unansweredMillis + " ms after it was written");
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
              + ", counted from "
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

  /** One line for each of the first statements that broke a rule. */
  java.util.List<String> failures() {
    return failures.entrySet().stream()
        .map(failure -> failure.getKey() + ": " + failure.getValue())
        .toList();
  }
}
