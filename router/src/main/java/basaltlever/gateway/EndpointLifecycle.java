package basaltlever.gateway;

/** What the member list says of a node. */
public enum EndpointLifecycle {
  READY,
  DRAINING,
  GONE
}
