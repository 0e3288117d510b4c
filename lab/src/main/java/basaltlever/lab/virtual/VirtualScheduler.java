package basaltlever.lab.virtual;

import basaltlever.lab.world.Scheduler;
import basaltlever.time.Moment;
import java.util.PriorityQueue;

/**
 * Virtual time that advances from one task to the next, in the order in which they are due, so that
 * each run is the same.
 */
final class VirtualScheduler implements Scheduler {
  private record ScheduledTask(Moment when, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          (a, b) ->
              a.when.equals(b.when)
                  ? Long.compare(a.sequence, b.sequence)
                  : a.when.isBefore(b.when) ? -1 : 1);
  private Moment now = new Moment(1_700_000_000_000_000L);
  private long nextSequence;

  @Override
  public Moment now() {
    return now;
  }

  @Override
  public void runAt(Moment when, Runnable action) {
    tasks.add(new ScheduledTask(when.later(now), nextSequence++, action));
  }

  void runUntil(Moment end) {
    while (!tasks.isEmpty() && !tasks.peek().when.isAfter(end)) {
      ScheduledTask task = tasks.poll();
      now = task.when;
      task.action.run();
    }
    now = end;
  }
}
