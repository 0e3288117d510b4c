package basaltlever.membership;

import basaltlever.gateway.EndpointLifecycle;

/**
 * What a list says of one member, as far as routers may contradict each other by it. When it
 * started is not of that kind: lists of one generation that differ in it alone were taken for a
 * fork, and a router that was started then waited for its first grant in vain.
 */
public record ListedEndpoint(EndpointLifecycle listing, int group) {}
