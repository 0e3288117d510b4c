package basaltlever.gateway;

import basaltlever.time.Span;

/** How many executions a connection carries at once, and after how long an idle one closes. */
public record PoolSettings(int streamsPerConnection, Span idleTimeout) {
  /** Whether one of a node's may carry one more execution. */
  public boolean hasCapacity(int inFlight, int idleConnections) {
    return streamsPerConnection > 1 ? inFlight < streamsPerConnection : idleConnections > 0;
  }
}
