package basaltlever.lab.endtoend;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What clients and servers saw of each statement, and the verdict on it. Everything is called on
 * the one loop of the day. A router's own word counts for nothing here.
 */
final class StatementLedger {
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
  private static final long LEAVE_SLACK_MILLIS = 100;

  /** An answer this much behind the deadline earns nothing; one still later is lost. */
  private static final long LATE_SLACK_MILLIS = 500;

  private static final long CLOCK_SLACK_MILLIS = 50;
  private static final long DEADLINE_SLACK_MILLIS = 150;

  /**
   * A statement that lay on a resting connection for longer when that was ended had been received.
   */
  private static final long CROSSING_MILLIS = 20;

  private static final int KEPT_FAILURES = 20;

  /** One statement from when its client wrote it. */
  static final class Entry {
    final String id;
    final StatementClass workload;
    final int router;

    /** Since when its time counts: not while one before it on the same connection is unanswered. */
    long countsFromMillis;

    Outcome outcome;
    long leftAtMillis = Long.MAX_VALUE;
    long endedAtMillis;

    /** From which it was written last, as the router's log names its clients. */
    int clientPort;

    int attempts;
    int mayHaveRun;
    long firstRunMillis;

    Entry(String id, StatementClass workload, int router, long sentAtMillis) {
      this.id = id;
      this.workload = workload;
      this.router = router;
      countsFromMillis = sentAtMillis;
    }

    long deadlineMillis() {
      return countsFromMillis + workload.deadlineMillis();
    }
  }

  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<Outcome, Integer> outcomes = new LinkedHashMap<>();
  private final Map<String, Integer> broken = new LinkedHashMap<>();
  private final Map<String, String> failures = new LinkedHashMap<>();
  private final java.util.List<Long> servedMillis = new java.util.ArrayList<>();
  private int statements;
  private int late;
  private long crossedMillisMost;

  StatementLedger() {
    for (Outcome outcome : Outcome.values()) {
      outcomes.put(outcome, 0);
    }
    for (String rule :
        new String[] {
          "lost", "lost_resting", "drain_late", "doubled", "cold_toppled", "deadline"
        }) {
      broken.put(rule, 0);
    }
  }

  Entry begins(String id, StatementClass workload, int router, long nowMillis) {
    Entry entry = new Entry(id, workload, router, nowMillis);
    entries.put(id, entry);
    statements++;
    return entry;
  }

  Entry find(String id) {
    return entries.get(id);
  }

  /** A server took the whole text of an attempt; its client may have gone long before. */
  void attempt(Entry entry, long nowMillis) {
    entry.attempts++;
    if (nowMillis - LEAVE_SLACK_MILLIS > entry.leftAtMillis) {
      breaks(
          "lost",
          entry,
          "an attempt " + (nowMillis - entry.leftAtMillis) + " ms after its client had gone");
    } else if (entry.outcome != null
        && entry.outcome != Outcome.LEFT
        && nowMillis > entry.endedAtMillis + CLOCK_SLACK_MILLIS) {
      breaks(
          "lost",
          entry,
          "an attempt " + (nowMillis - entry.endedAtMillis) + " ms after its final answer");
    }
  }

  /** The time that an attempt tells its server, against what its client has left. */
  void deadline(Entry entry, long toldMillis, long nowMillis) {
    long left = entry.deadlineMillis() - nowMillis;
    if (toldMillis > left + DEADLINE_SLACK_MILLIS) {
      breaks(
          "deadline",
          entry,
          "an attempt was given " + toldMillis + " ms where " + left + " were left");
    }
  }

  /** A server has begun an attempt: from here on it may have an effect. */
  void runs(Entry entry, long nowMillis) {
    entry.mayHaveRun++;
    if (entry.mayHaveRun == 1) {
      entry.firstRunMillis = nowMillis;
    } else if (entry.workload.effect() == StatementClass.Effect.AT_MOST_ONCE) {
      breaks("doubled", entry, "run by two attempts");
    } else if (entry.workload.effect() == StatementClass.Effect.DEDUPLICATED
        && nowMillis - entry.firstRunMillis > entry.workload.windowMillis() + CLOCK_SLACK_MILLIS) {
      breaks(
          "doubled",
          entry,
          "run again "
              + (nowMillis - entry.firstRunMillis)
              + " ms later, outside its window of "
              + entry.workload.windowMillis());
    }
  }

  void ends(Entry entry, Outcome outcome, long nowMillis) {
    if (entry.outcome != null) {
      return;
    }
    entry.outcome = outcome;
    entry.endedAtMillis = nowMillis;
    outcomes.merge(outcome, 1, Integer::sum);
    boolean answered =
        outcome == Outcome.SERVED || outcome == Outcome.REFUSED || outcome == Outcome.FAILED;
    if (outcome == Outcome.SERVED) {
      servedMillis.add(nowMillis - entry.countsFromMillis);
    }
    if (answered && nowMillis > entry.deadlineMillis()) {
      late++;
    }
    if (answered && nowMillis > entry.deadlineMillis() + LATE_SLACK_MILLIS) {
      breaks(
          "lost",
          entry,
          "answered " + (nowMillis - entry.deadlineMillis()) + " ms behind its deadline");
    } else if (outcome == Outcome.CLOSED_NEW || outcome == Outcome.NEVER) {
      breaks(
          "lost",
          entry,
          outcome == Outcome.NEVER ? "never answered" : "a new connection closed with no answer");
    } else if (outcome == Outcome.CLOSED_RESTING && entry.attempts > 0) {
      breaks("lost", entry, "read, then its connection closed with no answer");
    } else if (outcome == Outcome.REFUSED
        && entry.mayHaveRun > 0
        && entry.workload.effect() != StatementClass.Effect.IDEMPOTENT) {
      breaks("doubled", entry, "refused though it may have run");
    }
  }

  /**
   * Its resting connection was ended with no answer; no server has seen it, and its client sends it
   * once more.
   */
  void crosses(Entry entry, long nowMillis) {
    long lay = nowMillis - entry.countsFromMillis;
    crossedMillisMost = Math.max(crossedMillisMost, lay);
    if (lay > CROSSING_MILLIS) {
      breaks(
          "lost_resting",
          entry,
          "a resting connection was closed " + lay + " ms after it was written");
    }
  }

  void leaves(Entry entry, long nowMillis) {
    entry.leftAtMillis = nowMillis;
    ends(entry, Outcome.LEFT, nowMillis);
  }

  void breaks(String rule, Entry entry, String how) {
    broken.merge(rule, 1, Integer::sum);
    if (failures.size() < KEPT_FAILURES) {
      failures.put(
          entry.id + " " + entry.workload.key() + " n" + entry.router + " " + rule,
          how
              + "; attempts "
              + entry.attempts
              + ", client port "
              + entry.clientPort
              + ", counted from "
              + java.time.Instant.ofEpochMilli(entry.countsFromMillis));
    }
  }

  void coldToppled() {
    broken.merge("cold_toppled", 1, Integer::sum);
  }

  int count(Outcome outcome) {
    return outcomes.get(outcome);
  }

  Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("statements", statements);
    figures.putAll(broken);
    figures.put("late", late);
    figures.put("crossed_ms_most", crossedMillisMost);
    outcomes.forEach(
        (outcome, count) -> figures.put(outcome.name().toLowerCase(java.util.Locale.ROOT), count));
    figures.put(
        "served_share", statements == 0 ? 0.0 : count(Outcome.SERVED) / (double) statements);
    servedMillis.sort(null);
    figures.put("p50_ms", quantile(0.5));
    figures.put("p99_ms", quantile(0.99));
    return figures;
  }

  private long quantile(double share) {
    return servedMillis.isEmpty()
        ? 0
        : servedMillis.get((int) Math.min(servedMillis.size() - 1, share * servedMillis.size()));
  }

  /** One line for each of the first statements that broke a rule. */
  java.util.List<String> failures() {
    return failures.entrySet().stream()
        .map(failure -> failure.getKey() + ": " + failure.getValue())
        .toList();
  }
}
