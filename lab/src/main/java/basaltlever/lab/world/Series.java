package basaltlever.lab.world;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What happened when, in steps of a tenth of a second: for the report, and for pauses of a group's
 * writes.
 */
public final class Series {
  private static final Span STEP = Span.ofMillis(100);
  private static final int LOOKED = 5;
  private final Moment start;
  private final List<int[]> steps = new ArrayList<>();
  private int open;
  private final Map<String, Integer> executions = new TreeMap<>();
  private final Map<Double, String> marks = new LinkedHashMap<>();

  /** Of each group, when a write last completed, and a new primary that has completed none yet. */
  private final Map<Integer, Moment> wrote = new HashMap<>();

  private final Map<Integer, Moment> changing = new HashMap<>();
  private final List<Double> pauses = new ArrayList<>();

  public Series(Moment start) {
    this.start = start;
  }

  Moment start() {
    return start;
  }

  private int[] step(Moment at) {
    int index = (int) Math.max(0, at.since(start).micros() / STEP.micros());
    while (steps.size() <= index) {
      steps.add(new int[] {0, 0, 0, open});
    }
    return steps.get(index);
  }

  void opened(Moment at) {
    open++;
    int[] step = step(at);
    step[3] = Math.max(step[3], open);
  }

  void ended(Ask ask, Moment now) {
    open--;
    int[] step = step(now);
    switch (ask.end) {
      case COMPLETED -> step[0]++;
      case REJECTED -> step[1]++;
      case ABORTED, UNANSWERED -> step[2]++;
      default -> {}
    }
    if (ask.end == Ask.End.COMPLETED && ask.kind.isWrite()) {
      Moment last = wrote.put(ask.group, now);
      if (last != null && changing.remove(ask.group) != null) {
        pauses.add(now.since(last).micros() / 1e3);
      }
    }
  }

  void executed(Server server, Moment now) {
    executions.merge(server.id, 1, Integer::sum);
  }

  /** A fault, or a new primary where writes may go on from here. */
  void mark(Moment now, String what) {
    marks.put(now.since(start).micros() / 1e6, what);
  }

  /**
   * The group's primary can write from now on: the time between the two writes around it is a
   * pause.
   */
  void changes(int group, Moment now) {
    changing.put(group, now);
  }

  double pause(double percentile) {
    List<Double> sorted = pauses.stream().sorted().toList();
    return sorted.isEmpty()
        ? 0
        : sorted.get(
            Math.min(sorted.size() - 1, (int) Math.ceil(percentile / 100 * sorted.size()) - 1));
  }

  /**
   * Seconds from the first mark until completions are back at 95 % of what they were, for good; 0
   * where they never fell.
   */
  public double recovery(double until) {
    if (marks.isEmpty()) {
      return 0;
    }
    int from = (int) (marks.keySet().iterator().next() / stepSeconds());
    int end = Math.min(steps.size(), (int) (until / stepSeconds()));
    double usual = 0;
    for (int i = 0; i < from; i++) {
      usual += steps.get(i)[0] / (double) from;
    }
    int last = from;
    for (int i = from; i + LOOKED <= end; i++) {
      double now = 0;
      for (int k = i; k < i + LOOKED; k++) {
        now += steps.get(k)[0] / (double) LOOKED;
      }
      last = now < 0.95 * usual ? i + LOOKED : last;
    }
    return (last - from) * stepSeconds();
  }

  int pauses() {
    return pauses.size();
  }

  public List<int[]> steps() {
    return steps;
  }

  public Map<String, Integer> executions() {
    return executions;
  }

  public Map<Double, String> marks() {
    return marks;
  }

  public static double stepSeconds() {
    return STEP.micros() / 1e6;
  }
}
