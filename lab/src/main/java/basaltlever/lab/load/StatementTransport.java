package basaltlever.lab.load;

import basaltlever.lab.world.Statement;
import basaltlever.time.Span;

/** Carries client statements to the routers and reports the responses. */
public interface StatementTransport {
  /** Receives the result of one statement; at most one method is called, at most once. */
  interface ResponseListener {
    /** Called if the statement completed with the value. */
    void onCompleted(String value);

    /** Called if the router rejected the statement and asks for a retry after the given time. */
    void onRejected(Span retryAfter);

    /** Called if the router aborted the statement. */
    void onAborted();

    /** Called if the router was killed; no response is expected any more. */
    void onRouterKilled();
  }

  /** Sends a statement to its router. */
  void submit(Statement statement, ResponseListener listener);

  /** Returns whether clients can connect to the router; otherwise they use the next one. */
  default boolean isReachable(int routerIndex) {
    return true;
  }

  /** Notifies the transport that the client no longer waits for the statement. */
  void abandon(Statement statement);
}
