package basaltlever.lab.load;

import basaltlever.lab.world.Statement;
import basaltlever.time.Span;

/** The way of a client's statement to its router and of the answer back. */
public interface StatementTransport {
  /** What a client hears of its statement, once at most. */
  interface ResponseListener {
    void onCompleted(String value);

    /** The span is how long the router asks it to wait. */
    void onRejected(Span retryAfter);

    void onAborted();

    /** Its router was ended by force: nobody owes an answer any more. */
    void onRouterKilled();
  }

  void submit(Statement statement, ResponseListener listener);

  /** Whether clients can reach the router; those that can't go to the next. */
  default boolean isReachable(int routerIndex) {
    return true;
  }

  /** Its client waits no longer. */
  void abandon(Statement statement);
}
