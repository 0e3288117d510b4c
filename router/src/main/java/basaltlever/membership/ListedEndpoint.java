package basaltlever.membership;

import basaltlever.gateway.EndpointLifecycle;

/**
 * Entry of an endpoint in a list, as far as the fleet has to agree on it. The endpoint's start time
 * is not included: routers may legitimately receive different ones for the same list version.
 *
 * @param lifecycle whether the endpoint is ready, draining or gone
 * @param group group of the endpoint
 */
public record ListedEndpoint(EndpointLifecycle lifecycle, int group) {}
