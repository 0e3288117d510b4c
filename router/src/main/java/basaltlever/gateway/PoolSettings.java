package basaltlever.gateway;

import basaltlever.time.Span;

/** How many executions a connection carries at once, and after how long an idle one closes. */
public record PoolSettings(int streams, Span idleClose) {
  /** Whether one of a node's may carry one more execution. */
  public boolean hasRoom(int out, int idle) {
    return streams > 1 ? out < streams : idle > 0;
  }
}
