package basaltlever.gateway;

/** The state of an endpoint in the endpoint list. */
public enum EndpointLifecycle {
  READY,
  DRAINING,
  GONE
}
