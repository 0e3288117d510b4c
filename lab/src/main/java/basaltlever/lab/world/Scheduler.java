package basaltlever.lab.world;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * The clock and timer of the simulated servers: either real time, or virtual time that advances to
 * the next scheduled action.
 */
public interface Scheduler {
  Moment now();

  /** Runs the action at the given time. */
  void runAt(Moment time, Runnable action);

  /** Runs the action after the delay. */
  default void runAfter(Span delay, Runnable action) {
    runAt(now().plus(delay), action);
  }
}
