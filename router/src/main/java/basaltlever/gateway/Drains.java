package basaltlever.gateway;

import basaltlever.time.Span;

/** How the member list is followed. */
public record Drains(boolean askedFor, Span mustAskIn, boolean removalBinds) {}
