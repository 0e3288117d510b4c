package basaltlever.lab.world;

import basaltlever.lab.world.Ask.End;
import basaltlever.lab.world.Ask.Execution;
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
 * What really happened, written by the servers and the clients as it happens. It judges; no router
 * is asked. The properties are those of the five rules, as far as they can be seen from outside.
 */
public final class Ledger {
  /**
   * What an answer may take beyond its client's patience before it is late: a busy machine's own
   * delays.
   */
  private static final Span SLACK = Span.ofMillis(70);

  private static final int MOST_TOLD = 20;

  /** Longer than any statement is waited for. */
  private static final Span REMEMBERED = Span.ofMillis(20_000);

  private static final int MOST_REPEATS = 1_000_000;

  private final Span drainGrace;

  /** What is due before is judged by the rules, but not timed: runtimes begin slowly. */
  private final Moment countsFrom;

  private final Map<String, Integer> effects = new HashMap<>();

  /** When a member of a group was last lost, or a connection to one. */
  private final Map<Integer, Moment> troubles = new HashMap<>();

  private final Map<String, Ask> open = new HashMap<>();
  private final Map<String, Integer> counts = new LinkedHashMap<>();
  private final Histogram times = new Histogram(60_000_000L, 3);
  private final Map<String, Histogram> timesOf = new LinkedHashMap<>();
  private final List<String> told = new ArrayList<>();

  /** When executions of statements reached a server that were not their first. */
  private final List<Moment> repeats = new ArrayList<>();

  /** Up to when a statement's router was stopped during its time: nobody can answer then. */
  private Function<Ask, Moment> stopped = ask -> Moment.LONG_AGO;

  /** When this ledger's own process was held up: it can't tell then who was late. */
  private final ArrayDeque<Moment[]> heldUp = new ArrayDeque<>();

  private Span longestHeldUp = Span.NONE;
  private final Series series;
  private Span longestWrite = Span.NONE;
  private Span longestKnown = Span.NONE;

  /** Null where routers agree on nothing. */
  private Span fleetWithin;

  public Ledger(Span drainGrace, Moment countsFrom, Series series) {
    this.countsFrom = countsFrom;
    this.drainGrace = drainGrace;
    this.series = series;
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

  private void count(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  private void broken(String what, String how) {
    count(what);
    if (told.size() < MOST_TOLD) {
      told.add(what + ": " + how);
    }
  }

  // ---- What servers write.

  /** Null where no client asked for it, or not any more. */
  public Ask ask(String id) {
    return open.get(id);
  }

  Execution reached(Ask ask, Server server, Moment now, Moment drainTold, Moment[] toldAll) {
    Execution execution = new Execution(ask, ask.executions.size(), server, now);
    ask.executions.add(execution);
    if (execution.number > 0 && repeats.size() < MOST_REPEATS) {
      repeats.add(now);
    }
    series.executed(server, now);
    if (now.since(drainTold).isLongerThan(drainGrace)) {
      broken(
          "late_to_draining",
          ask.id
              + " reached "
              + server.id
              + " "
              + now.since(drainTold).micros() / 1_000
              + " ms after its drain was told");
    }
    // Of all routers: most have been told by then.
    Moment[] sorted = toldAll.clone();
    Arrays.sort(sorted, Comparator.comparingLong(Moment::micros));
    Span known = now.since(sorted[sorted.length / 2]);
    if (known.micros() > 0) {
      longestKnown = longestKnown.longer(known);
      if (fleetWithin != null && known.isLongerThan(fleetWithin)) {
        broken(
            "drained_beyond",
            ask.id
                + " of router "
                + ask.router
                + " reached "
                + server.id
                + " "
                + known.micros() / 1_000
                + " ms after most routers were told of its drain");
      }
    }
    return execution;
  }

  void servedTwo(Ask ask, Server server) {
    broken(
        "two_groups",
        ask.id
            + " of router "
            + ask.router
            + " reached "
            + server.id
            + " for group "
            + ask.group
            + " beside another's");
  }

  /** Routers are held to know within so long what most were told; judged only from here on. */
  public void agreesWithin(Span span) {
    fleetWithin = span;
  }

  void ran(Execution execution) {
    execution.effect = true;
    int before = effects.merge(execution.of.key, 1, Integer::sum) - 1;
    if (before > 0) {
      broken(
          "doubled",
          execution.of.key
              + " took effect again, at "
              + execution.server.id
              + " for "
              + execution.of.id);
    }
    if (execution.of.end == End.REJECTED) {
      broken(
          "rejected_ran",
          execution.of.id + " took effect at " + execution.server.id + " after it was rejected");
    }
  }

  public void copied(Ask ask) {
    broken("copied", ask.id + " was out twice where that is not allowed");
  }

  void troubled(Shard group, Moment now) {
    troubles.put(group.number, now);
  }

  void toppled(Server server) {
    broken("cold_toppled", server.id + " got more than a cold node can bear");
  }

  private boolean isCounted(Ask ask) {
    return !ask.due.isBefore(countsFrom);
  }

  // ---- What clients write.

  public void begins(Ask ask) {
    if (isCounted(ask)) {
      count("statements");
    }
    open.put(ask.id, ask);
    series.opened(ask.due);
  }

  /** The value is what its client was given, null where none. */
  public void ends(Ask ask, End end, Moment now, String value) {
    if (!ask.isOpen()) {
      broken("lost", ask.id + " was answered twice");
      return;
    }
    ask.end = end;
    series.ended(ask, now);
    Span took = now.since(ask.due);
    if (isCounted(ask)) {
      timed(ask, end, now, took);
    }
    switch (end) {
      case COMPLETED -> judgeValue(ask, value);
      case REJECTED -> {
        if (ask.executions.stream().anyMatch(execution -> execution.effect)) {
          broken("rejected_ran", ask.id + " took effect and was rejected");
        }
      }
      case ABORTED -> {
        // What was written to a node that was lost in the same moment reached nobody, or its answer
        // did not.
        boolean troubled = !troubles.getOrDefault(ask.group, Moment.LONG_AGO).isBefore(ask.due);
        if (!troubled && ask.executions.stream().allMatch(execution -> execution.toldNotRun)) {
          broken("aborts_unjustified", ask.id + " was aborted, though nothing of it can have run");
        }
      }
      default -> {}
    }
  }

  private void timed(Ask ask, End end, Moment now, Span took) {
    boolean late = end != End.UNANSWERED && end != End.LEFT && now.isAfter(ask.leaves.plus(SLACK));
    if ((late || end == End.UNANSWERED)
        && heldUp.stream().anyMatch(span -> !span[1].isBefore(ask.due) && !span[0].isAfter(now))) {
      count("at_late_judge");
      return;
    }
    Moment excused = late || end == End.UNANSWERED ? stopped.apply(ask) : Moment.LONG_AGO;
    if (excused.isAfter(ask.due)) {
      count("at_stopped");
      if (end == End.UNANSWERED
          ? excused.isBefore(ask.leaves)
          : now.isAfter(excused.later(ask.leaves).plus(SLACK))) {
        broken(
            "late_after_stop",
            ask.id
                + " of router "
                + ask.router
                + " "
                + now.since(excused).micros() / 1_000
                + " ms after its router went on");
      }
      return;
    }
    count(end.name().toLowerCase(java.util.Locale.ROOT));
    if (late) {
      broken("answered_late", ask.id + " after " + took.micros() / 1_000 + " ms");
    }
    if (end == End.UNANSWERED) {
      told.add("unanswered: " + ask.id + " " + ask.kind.name() + " of router " + ask.router);
    } else if (ask.kind.isWrite() && end != End.LEFT) {
      longestWrite = longestWrite.longer(took);
    }
    if (end == End.COMPLETED) {
      times.recordValue(Math.max(1, took.micros()));
      timesOf
          .computeIfAbsent(ask.kind.name(), name -> new Histogram(60_000_000L, 3))
          .recordValue(Math.max(1, took.micros()));
      if (!took.isLongerThan(ask.kind.slo())) {
        count("in_time");
      }
    }
  }

  private void judgeValue(Ask ask, String value) {
    for (Execution execution : ask.executions) {
      if (execution.value().equals(value)) {
        if (!execution.served || (ask.kind.isWrite() && !execution.effect)) {
          broken("lost", ask.id + " completed without an effect");
        } else if (execution.stale) {
          broken("stale", ask.id + " at " + execution.server.id);
        }
        return;
      }
    }
    broken("lost", ask.id + " completed with what no server made for it: " + value);
  }

  /** Late effects still count against it; long after, nothing of it can come any more. */
  public void forgets(Ask ask) {
    open.remove(ask.id);
  }

  // ---- The verdict.

  public List<String> told() {
    return told;
  }

  public Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>(counts);
    figures.put("p50_ms", times.getValueAtPercentile(50) / 1e3);
    figures.put("p99_ms", times.getValueAtPercentile(99) / 1e3);
    figures.put("p999_ms", times.getValueAtPercentile(99.9) / 1e3);
    timesOf.forEach(
        (name, own) -> {
          figures.put("p50_ms." + name, own.getValueAtPercentile(50) / 1e3);
          figures.put("p99_ms." + name, own.getValueAtPercentile(99) / 1e3);
        });
    figures.put("judge_late_ms_most", longestHeldUp.micros() / 1e3);
    figures.put("drain_known_ms_most", longestKnown.micros() / 1e3);
    figures.put("longest_write_ms", longestWrite.micros() / 1e3);
    figures.put("write_pause_p99_ms", series.pause(99));
    figures.put("write_pauses", series.pauses());
    return figures;
  }

  /**
   * From here on these count apart: what a stopped process owes is owed by whoever stopped it, up
   * to some time after it went on. Long ago for those that are not excused.
   */
  public void excuses(Function<Ask, Moment> wereStopped) {
    stopped = wereStopped;
  }

  /** The loop on which servers and clients run was held up between these; in order of time. */
  public void wasHeldUp(Moment from, Moment to) {
    longestHeldUp = longestHeldUp.longer(to.since(from));
    heldUp.add(new Moment[] {from, to});
    while (to.since(heldUp.peekFirst()[1]).isLongerThan(REMEMBERED)) {
      heldUp.removeFirst();
    }
  }

  public List<Moment> repeats() {
    return repeats;
  }

  public Histogram times() {
    return times;
  }
}
