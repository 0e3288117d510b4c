package basaltlever.lab.virtual;

import basaltlever.lab.world.Scheduler;
import basaltlever.time.Moment;
import java.util.PriorityQueue;

/**
 * Time that jumps from one act to the next, in the order in which they fall due: the same on every
 * run.
 */
final class VirtualTimeline implements Scheduler {
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
