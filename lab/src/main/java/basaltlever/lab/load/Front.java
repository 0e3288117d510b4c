package basaltlever.lab.load;

import basaltlever.lab.world.Ask;
import basaltlever.time.Span;

/** The way of a client's statement to its router and of the answer back. */
public interface Front {
  /** What a client hears of its statement, once at most. */
  interface Told {
    void completed(String value);

    /** The span is how long the router asks it to wait. */
    void rejected(Span comeBackAfter);

    void aborted();

    /** Its router was ended by force: nobody owes an answer any more. */
    void lost();
  }

  void ask(Ask ask, Told told);

  /** Whether clients can reach the router; those that can't go to the next. */
  default boolean serves(int router) {
    return true;
  }

  /** Its client waits no longer. */
  void leave(Ask ask);
}
