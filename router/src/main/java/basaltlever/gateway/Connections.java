package basaltlever.gateway;

import basaltlever.time.Span;

/** How many executions a connection carries at once, and after how long an idle one closes. */
public record Connections(int streams, Span idleClose) {
}
