package basaltlever.lab.world;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/** The clock that stand-ins live by: the machine's own, or one that jumps from act to act. */
public interface Scheduler {
  Moment now();

  void runAt(Moment time, Runnable action);

  default void runAfter(Span delay, Runnable action) {
    runAt(now().plus(delay), action);
  }
}
