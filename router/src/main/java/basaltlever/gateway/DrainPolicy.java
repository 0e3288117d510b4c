package basaltlever.gateway;

import basaltlever.time.Span;

/** How the member list is followed. */
public record DrainPolicy(
    boolean listWatchEnabled, Span listRenewalInterval, boolean excludesRemovedEndpoints) {}
