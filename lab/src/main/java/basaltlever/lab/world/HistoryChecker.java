package basaltlever.lab.world;

import basaltlever.lab.world.Statement.Execution;
import basaltlever.lab.world.Statement.Outcome;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/**
 * Checks the guarantees of the routers from the outside. Simulated servers and clients record every
 * statement here, and violations and latencies follow from these records alone; nothing is taken
 * from a router. The checked properties are those of the five rules that can be observed this way.
 */
public final class HistoryChecker {
  /** How long after its deadline an answer is not late yet, for delays of a busy machine. */
  private static final Span LATENESS_TOLERANCE = Span.ofMillis(70);

  private static final int MAX_FINDINGS = 20;

  /** Longer than any client waits for a statement. */
  private static final Span STALL_RETENTION = Span.ofMillis(20_000);

  private static final int MAX_RECORDED_REPEATS = 1_000_000;

  private final ReadLedger readLedger = new ReadLedger();
  private final ReadPlacement readPlacement = new ReadPlacement();
  private final Span drainGrace;

  /**
   * Statements due before are checked but not measured, since a runtime is slow after its start.
   */
  private final Moment measureFrom;

  /** How often each operation took effect, by idempotency key. */
  private final Map<String, Integer> effectCounts = new HashMap<>();

  /** When each group last lost a server or a connection to one. */
  private final Map<Integer, Moment> lastDisruptions = new HashMap<>();

  private final Map<String, Statement> openStatements = new HashMap<>();
  private final Map<String, Integer> counts = new LinkedHashMap<>();
  private final Histogram latencies = new Histogram(60_000_000L, 3);
  private final Map<String, Histogram> latenciesByWorkload = new LinkedHashMap<>();
  private final List<String> findings = new ArrayList<>();

  /** When second and later executions of statements reached a server. */
  private final List<Moment> repeatArrivals = new ArrayList<>();

  /**
   * Returns until when the router of a statement was stopped while the statement was open; a
   * stopped router cannot answer.
   */
  private Function<Statement, Moment> routerStopEnd = statement -> Moment.LONG_AGO;

  /** When the process of this checker stalled, so that lateness cannot be attributed. */
  private final ArrayDeque<Moment[]> stalls = new ArrayDeque<>();

  private Span longestStall = Span.NONE;
  private final TimeSeries timeSeries;
  private Span longestWrite = Span.NONE;
  private Span longestDrainDelay = Span.NONE;

  /** Null if drains are not checked over all routers. */
  private Span fleetAgreementBound;

  public HistoryChecker(Span drainGrace, Moment measureFrom, TimeSeries timeSeries) {
    this.measureFrom = measureFrom;
    this.drainGrace = drainGrace;
    this.timeSeries = timeSeries;
    for (String name :
        List.of(
            "statements",
            "completed",
            "rejected",
            "aborted",
            "left",
            "unanswered",
            "lost",
            "doubled",
            "rejected_ran",
            "aborts_unjustified",
            "stale",
            "late_to_draining",
            "cold_toppled",
            "copied",
            "drained_beyond",
            "two_groups",
            "answered_late",
            "at_stopped",
            "late_after_stop",
            "at_late_judge",
            "in_time")) {
      counts.put(name, 0);
    }
  }

  private void increment(String figure) {
    counts.merge(figure, 1, Integer::sum);
  }

  private void recordViolation(String figure, String description) {
    increment(figure);
    if (findings.size() < MAX_FINDINGS) {
      findings.add(figure + ": " + description);
    }
  }

  // ---- Records of servers

  /** Returns the statement with the id, or null if none was sent or it has been removed. */
  public Statement findStatement(String id) {
    return openStatements.get(id);
  }

  Execution onArrival(
      Statement statement,
      Server server,
      Moment sentAt,
      Moment now,
      Moment drainNoticeTime,
      Moment[] allDrainNoticeTimes) {
    Execution execution = new Execution(statement, statement.executions.size(), server, sentAt);
    statement.executions.add(execution);
    if (execution.number > 0 && repeatArrivals.size() < MAX_RECORDED_REPEATS) {
      repeatArrivals.add(now);
    }
    timeSeries.onExecution(server, now);
    if (!statement.workload.isWrite()) {
      readPlacement.record(server.group.primary == server);
    }
    if (now.since(drainNoticeTime).isLongerThan(drainGrace)) {
      recordViolation(
          "late_to_draining",
          statement.id
              + " reached "
              + server.id
              + " "
              + now.since(drainNoticeTime).micros() / 1_000
              + " ms after its router was notified of the drain");
    }
    // The median over the routers: by then most of them have been notified.
    Moment[] sorted = allDrainNoticeTimes.clone();
    Arrays.sort(sorted, Comparator.comparingLong(Moment::micros));
    Span delay = now.since(sorted[sorted.length / 2]);
    if (delay.micros() > 0) {
      longestDrainDelay = longestDrainDelay.longer(delay);
      if (fleetAgreementBound != null && delay.isLongerThan(fleetAgreementBound)) {
        recordViolation(
            "drained_beyond",
            statement.id
                + " of router "
                + statement.router
                + " reached "
                + server.id
                + " "
                + delay.micros() / 1_000
                + " ms after most routers were notified of its drain");
      }
    }
    return execution;
  }

  void onTwoGroupsServed(Statement statement, Server server) {
    recordViolation(
        "two_groups",
        statement.id
            + " of router "
            + statement.router
            + " reached "
            + server.id
            + " for group "
            + statement.group
            + " while it serves another group");
  }

  /**
   * Sets the time within which a router has to apply a drain that most routers were notified of. It
   * is checked only from this call on.
   */
  public void setFleetAgreementBound(Span bound) {
    fleetAgreementBound = bound;
  }

  void onEffect(Execution execution) {
    execution.tookEffect = true;
    int earlierEffects =
        effectCounts.merge(execution.statement.idempotencyKey, 1, Integer::sum) - 1;
    if (earlierEffects > 0) {
      recordViolation(
          "doubled",
          execution.statement.idempotencyKey
              + " took effect again, at "
              + execution.server.id
              + " for "
              + execution.statement.id);
    }
    if (execution.statement.outcome == Outcome.REJECTED) {
      recordViolation(
          "rejected_ran",
          execution.statement.id
              + " took effect at "
              + execution.server.id
              + " after it was rejected");
    }
  }

  /** Records a second attempt in progress where the settings allow only one. */
  public void onParallelAttempt(Statement statement) {
    recordViolation("copied", statement.id + " had two attempts in progress where one is allowed");
  }

  void onDisruption(ReplicaGroup group, Moment now) {
    lastDisruptions.put(group.number, now);
  }

  void onColdOverload(Server server) {
    recordViolation(
        "cold_toppled", server.id + " received more load than a cold server can process");
  }

  private boolean isMeasured(Statement statement) {
    return !statement.dueAt.isBefore(measureFrom);
  }

  // ---- Records of clients

  /** Records that a client sends a statement. */
  public void onStatementStarted(Statement statement) {
    if (isMeasured(statement)) {
      increment("statements");
      if (statement.clientAttempt == 1) {
        increment("first_tries." + statement.workload.name());
      }
    }
    openStatements.put(statement.id, statement);
    timeSeries.onStatementStarted(statement.dueAt);
  }

  /** Records the outcome of a statement; the value is the one that its client received, or null. */
  public void onStatementEnded(Statement statement, Outcome outcome, Moment now, String value) {
    if (!statement.isOpen()) {
      recordViolation("lost", statement.id + " was answered twice");
      return;
    }
    statement.outcome = outcome;
    timeSeries.onStatementEnded(statement, now);
    Span latency = now.since(statement.dueAt);
    if (isMeasured(statement)) {
      recordTiming(statement, outcome, now, latency);
    }
    switch (outcome) {
      case COMPLETED -> checkResult(statement, value);
      case REJECTED -> {
        if (statement.executions.stream().anyMatch(execution -> execution.tookEffect)) {
          recordViolation(
              "rejected_ran", statement.id + " was rejected although it had taken effect");
        }
      }
      case ABORTED -> {
        // If a server or a connection was lost meanwhile, the statement or its answer may have been
        // lost, and the router cannot know whether it ran.
        boolean disrupted =
            !lastDisruptions
                .getOrDefault(statement.group, Moment.LONG_AGO)
                .isBefore(statement.dueAt);
        if (!disrupted
            && statement.executions.stream().allMatch(execution -> execution.reportedNotRun)) {
          recordViolation(
              "aborts_unjustified", statement.id + " was aborted although it cannot have run");
        }
      }
      default -> {}
    }
  }

  private void recordTiming(Statement statement, Outcome outcome, Moment now, Span latency) {
    boolean late =
        outcome != Outcome.UNANSWERED
            && outcome != Outcome.LEFT
            && now.isAfter(statement.deadline.plus(LATENESS_TOLERANCE));
    if ((late || outcome == Outcome.UNANSWERED)
        && stalls.stream()
            .anyMatch(stall -> !stall[1].isBefore(statement.dueAt) && !stall[0].isAfter(now))) {
      increment("at_late_judge");
      return;
    }
    Moment stopEnd =
        late || outcome == Outcome.UNANSWERED ? routerStopEnd.apply(statement) : Moment.LONG_AGO;
    if (stopEnd.isAfter(statement.dueAt)) {
      increment("at_stopped");
      if (outcome == Outcome.UNANSWERED
          ? stopEnd.isBefore(statement.deadline)
          : now.isAfter(stopEnd.later(statement.deadline).plus(LATENESS_TOLERANCE))) {
        recordViolation(
            "late_after_stop",
            statement.id
                + " of router "
                + statement.router
                + " "
                + now.since(stopEnd).micros() / 1_000
                + " ms after its router was resumed");
      }
      return;
    }
    increment(outcome.name().toLowerCase(java.util.Locale.ROOT));
    if (late) {
      recordViolation("answered_late", statement.id + " after " + latency.micros() / 1_000 + " ms");
    }
    if (outcome == Outcome.UNANSWERED) {
      findings.add(
          "unanswered: "
              + statement.id
              + " "
              + statement.workload.name()
              + " of router "
              + statement.router);
    } else if (statement.workload.isWrite() && outcome != Outcome.LEFT) {
      longestWrite = longestWrite.longer(latency);
    }
    if (outcome == Outcome.COMPLETED) {
      latencies.recordValue(Math.max(1, latency.micros()));
      latenciesByWorkload
          .computeIfAbsent(statement.workload.name(), name -> new Histogram(60_000_000L, 3))
          .recordValue(Math.max(1, latency.micros()));
      if (!latency.isLongerThan(statement.workload.slo())) {
        increment("in_time");
      }
      // A client counts from its first try, whose deadline its retries share.
      Moment firstDueAt = statement.deadline.minus(statement.workload.timeout());
      if (!now.since(firstDueAt).isLongerThan(statement.workload.slo())) {
        increment("in_time." + statement.workload.name());
      }
      increment("completed." + statement.workload.name());
    }
  }

  private void checkResult(Statement statement, String value) {
    for (Execution execution : statement.executions) {
      if (execution.resultValue().equals(value)) {
        if (!execution.completed || (statement.workload.isWrite() && !execution.tookEffect)) {
          recordViolation("lost", statement.id + " completed although it was not executed");
        } else if (execution.stale && !readLedger.isEnabled()) {
          recordViolation(
              "stale",
              statement.id
                  + ", a "
                  + statement.workload.consistency()
                  + " read of router "
                  + statement.router
                  + " due at "
                  + statement.dueAt.micros()
                  + ", at "
                  + execution.server.id
                  + ", sent at "
                  + execution.sentAt.micros());
        }
        if (!wasStalledSince(statement.dueAt)) {
          readLedger.record(statement, execution);
        }
        return;
      }
    }
    recordViolation(
        "lost", statement.id + " completed with a value that no server returned: " + value);
  }

  /** Whether this checker stalled since then, so that times of arrival are unreliable. */
  private boolean wasStalledSince(Moment since) {
    return stalls.stream().anyMatch(stall -> !stall[1].isBefore(since));
  }

  /** Returns the ledger of answered reads; while it is enabled, it replaces the check of reads. */
  public ReadLedger readLedger() {
    return readLedger;
  }

  /** Returns the counts of reads by the role of the servers that receive them. */
  public ReadPlacement readPlacement() {
    return readPlacement;
  }

  /** Removes a statement; called so late that no further execution of it is possible. */
  public void removeStatement(Statement statement) {
    openStatements.remove(statement.id);
  }

  // ---- Results

  /** Returns descriptions of violations, limited in number, and of unanswered statements. */
  public List<String> findings() {
    return findings;
  }

  /** Returns the results by name. */
  public Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>(counts);
    figures.put("p50_ms", latencies.getValueAtPercentile(50) / 1e3);
    figures.put("p99_ms", latencies.getValueAtPercentile(99) / 1e3);
    figures.put("p999_ms", latencies.getValueAtPercentile(99.9) / 1e3);
    latenciesByWorkload.forEach(
        (name, histogram) -> {
          figures.put("p50_ms." + name, histogram.getValueAtPercentile(50) / 1e3);
          figures.put("p99_ms." + name, histogram.getValueAtPercentile(99) / 1e3);
        });
    figures.put("judge_late_ms_most", longestStall.micros() / 1e3);
    figures.put("drain_known_ms_most", longestDrainDelay.micros() / 1e3);
    figures.put("longest_write_ms", longestWrite.micros() / 1e3);
    figures.put("write_pause_p99_ms", timeSeries.pausePercentileMillis(99));
    figures.put("write_pauses", timeSeries.pauseCount());
    return figures;
  }

  /**
   * Sets how to find until when the router of a statement was stopped. Late answers of a stopped
   * router are counted separately, since the test stopped it. The function returns {@link
   * Moment#LONG_AGO} if the router was not stopped.
   */
  public void setRouterStopEnd(Function<Statement, Moment> stopEndOf) {
    routerStopEnd = stopEndOf;
  }

  /** Records a stall of the event loop of servers and clients; calls are in order of time. */
  public void onStall(Moment start, Moment end) {
    longestStall = longestStall.longer(end.since(start));
    stalls.add(new Moment[] {start, end});
    while (end.since(stalls.peekFirst()[1]).isLongerThan(STALL_RETENTION)) {
      stalls.removeFirst();
    }
  }

  /** Returns when second and later executions of statements reached a server. */
  public List<Moment> repeatArrivals() {
    return repeatArrivals;
  }

  /** Returns the latencies of completed statements, in microseconds. */
  public Histogram latencies() {
    return latencies;
  }
}
