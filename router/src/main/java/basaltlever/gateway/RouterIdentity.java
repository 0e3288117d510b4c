package basaltlever.gateway;

/**
 * Identifies this router among all routers.
 *
 * @param routerCount the number of routers
 * @param index the number of this router, from 0 on
 * @param zone the zone of this router
 */
public record RouterIdentity(int routerCount, int index, int zone) {
  /** Creates the identity of router 0, for callers to whom the index does not matter. */
  public RouterIdentity(int routerCount, int zone) {
    this(routerCount, 0, zone);
  }
}
