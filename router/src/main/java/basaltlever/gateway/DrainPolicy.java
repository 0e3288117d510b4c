package basaltlever.gateway;

import basaltlever.time.Span;

/**
 * Defines how changes of the endpoint list are applied.
 *
 * @param listWatchEnabled whether the router subscribes to the list
 * @param listRenewalInterval the time within which a change of the list has to be received
 * @param excludesRemovedEndpoints whether an endpoint that is no longer listed gets no new
 *     statements
 */
public record DrainPolicy(
    boolean listWatchEnabled, Span listRenewalInterval, boolean excludesRemovedEndpoints) {}
