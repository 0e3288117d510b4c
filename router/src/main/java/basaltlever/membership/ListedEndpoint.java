package basaltlever.membership;

import basaltlever.gateway.EndpointLifecycle;

/**
 * What a list says of one endpoint, as far as the fleet has to agree on it. The endpoint's start
 * time is no part of it: routers may legitimately see different ones under the same list version.
 *
 * @param lifecycle whether the endpoint is ready, draining or gone
 * @param group that it belongs to
 */
public record ListedEndpoint(EndpointLifecycle lifecycle, int group) {}
