package basaltlever.lab.world;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/** The clock that stand-ins live by: the machine's own, or one that jumps from act to act. */
public interface Timeline {
  Moment now();

  void at(Moment when, Runnable act);

  default void after(Span wait, Runnable act) {
    at(now().plus(wait), act);
  }
}
