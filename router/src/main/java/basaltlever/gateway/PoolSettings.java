package basaltlever.gateway;

import basaltlever.time.Span;

/**
 * Settings of the connection pool.
 *
 * @param streamsPerConnection the number of attempts that one connection carries concurrently
 * @param idleTimeout the time after which an idle connection is closed
 * @param connectTimeout the time within which a connection must be open, and a poll answered
 */
public record PoolSettings(int streamsPerConnection, Span idleTimeout, Span connectTimeout) {
  /** Returns whether some connection to an endpoint can carry one more attempt. */
  public boolean hasCapacity(int inFlight, int idleConnections) {
    return streamsPerConnection > 1 ? inFlight < streamsPerConnection : idleConnections > 0;
  }
}
