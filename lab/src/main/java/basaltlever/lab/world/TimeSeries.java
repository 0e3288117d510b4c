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
 * Counts outcomes and open statements in steps of 100 ms for the charts of the report, and measures
 * how long the writes of a group pause when its primary changes.
 */
public final class TimeSeries {
  private static final Span STEP_LENGTH = Span.ofMillis(100);
  private static final int RECOVERY_WINDOW_STEPS = 5;
  private final Moment start;

  /** For each step: completed, rejected, failed, and the maximum of open statements. */
  private final List<int[]> steps = new ArrayList<>();

  private int openCount;

  /** Executions by server. */
  private final Map<String, Integer> executionCounts = new TreeMap<>();

  /** Labels of faults and changes, by seconds from the start. */
  private final Map<Double, String> marks = new LinkedHashMap<>();

  /** When a write of each group last completed. */
  private final Map<Integer, Moment> lastWrites = new HashMap<>();

  /** Groups with a new primary that has not completed a write yet. */
  private final Map<Integer, Moment> primaryChanges = new HashMap<>();

  private final List<Double> pausesMillis = new ArrayList<>();

  public TimeSeries(Moment start) {
    this.start = start;
  }

  Moment start() {
    return start;
  }

  private int[] stepAt(Moment time) {
    int index = (int) Math.max(0, time.since(start).micros() / STEP_LENGTH.micros());
    while (steps.size() <= index) {
      steps.add(new int[] {0, 0, 0, openCount});
    }
    return steps.get(index);
  }

  void onStatementStarted(Moment time) {
    openCount++;
    int[] step = stepAt(time);
    step[3] = Math.max(step[3], openCount);
  }

  void onStatementEnded(Statement statement, Moment now) {
    openCount--;
    int[] step = stepAt(now);
    switch (statement.outcome) {
      case COMPLETED -> step[0]++;
      case REJECTED -> step[1]++;
      case ABORTED, UNANSWERED -> step[2]++;
      default -> {}
    }
    if (statement.outcome == Statement.Outcome.COMPLETED && statement.workload.isWrite()) {
      Moment lastWrite = lastWrites.put(statement.group, now);
      if (lastWrite != null && primaryChanges.remove(statement.group) != null) {
        pausesMillis.add(now.since(lastWrite).micros() / 1e3);
      }
    }
  }

  void onExecution(Server server, Moment now) {
    executionCounts.merge(server.id, 1, Integer::sum);
  }

  /** Records a fault or a change of a group, for the charts. */
  void addMark(Moment now, String label) {
    marks.put(now.since(start).micros() / 1e6, label);
  }

  /**
   * Records that the group's new primary accepts writes. The time from the last write before it to
   * the first write after it is a pause.
   */
  void onPrimaryChanged(int group, Moment now) {
    primaryChanges.put(group, now);
  }

  double pausePercentileMillis(double percentile) {
    List<Double> sorted = pausesMillis.stream().sorted().toList();
    return sorted.isEmpty()
        ? 0
        : sorted.get(
            Math.min(sorted.size() - 1, (int) Math.ceil(percentile / 100 * sorted.size()) - 1));
  }

  /**
   * Returns the seconds from the first mark until completions stay at 95 % of the rate before it or
   * above; 0 if they never fell below.
   */
  public double recoverySeconds(double endSeconds) {
    if (marks.isEmpty()) {
      return 0;
    }
    int firstStep = (int) (marks.keySet().iterator().next() / stepSeconds());
    int endStep = Math.min(steps.size(), (int) (endSeconds / stepSeconds()));
    double baseline = 0;
    for (int i = 0; i < firstStep; i++) {
      baseline += steps.get(i)[0] / (double) firstStep;
    }
    int recoveredStep = firstStep;
    for (int i = firstStep; i + RECOVERY_WINDOW_STEPS <= endStep; i++) {
      double average = 0;
      for (int k = i; k < i + RECOVERY_WINDOW_STEPS; k++) {
        average += steps.get(k)[0] / (double) RECOVERY_WINDOW_STEPS;
      }
      recoveredStep = average < 0.95 * baseline ? i + RECOVERY_WINDOW_STEPS : recoveredStep;
    }
    return (recoveredStep - firstStep) * stepSeconds();
  }

  int pauseCount() {
    return pausesMillis.size();
  }

  public List<int[]> steps() {
    return steps;
  }

  public Map<String, Integer> executionCounts() {
    return executionCounts;
  }

  public Map<Double, String> marks() {
    return marks;
  }

  public static double stepSeconds() {
    return STEP_LENGTH.micros() / 1e6;
  }
}
