package basaltlever.lab.virtual;

import basaltlever.lab.world.Timeline;
import basaltlever.time.Moment;
import java.util.PriorityQueue;

/**
 * Time that jumps from one act to the next, in the order in which they fall due: the same on every
 * run.
 */
final class VirtualTime implements Timeline {
  private record Act(Moment when, long order, Runnable what) {}

  private final PriorityQueue<Act> acts =
      new PriorityQueue<>(
          (a, b) ->
              a.when.equals(b.when)
                  ? Long.compare(a.order, b.order)
                  : a.when.isBefore(b.when) ? -1 : 1);
  private Moment now = new Moment(1_700_000_000_000_000L);
  private long order;

  @Override
  public Moment now() {
    return now;
  }

  @Override
  public void at(Moment when, Runnable act) {
    acts.add(new Act(when.later(now), order++, act));
  }

  void runUntil(Moment end) {
    while (!acts.isEmpty() && !acts.peek().when.isAfter(end)) {
      Act next = acts.poll();
      now = next.when;
      next.what.run();
    }
    now = end;
  }
}
