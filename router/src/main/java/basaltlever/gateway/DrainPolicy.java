package basaltlever.gateway;

import basaltlever.time.Span;

/** How the member list is followed. */
public record DrainPolicy(boolean listIsWatched, Span listRenewalInterval, boolean removalBinds) {}
