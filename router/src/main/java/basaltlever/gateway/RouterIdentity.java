package basaltlever.gateway;

/**
 * Identifies this router among all routers.
 *
 * @param routerCount the number of routers
 * @param index the number of this router, from 0 on
 * @param zone the zone of this router
 * @param pollCost the cost of a poll, as a share of the value of a statement
 * @param crossZoneCost the cost of traffic between zones, as a share of the value of a statement
 */
public record RouterIdentity(
    int routerCount, int index, int zone, double pollCost, double crossZoneCost) {
  /** Creates the identity of router 0, for callers to whom the index does not matter. */
  public RouterIdentity(int routerCount, int zone, double pollCost, double crossZoneCost) {
    this(routerCount, 0, zone, pollCost, crossZoneCost);
  }

  /** Returns whether traffic to the zone crosses zones at a cost. */
  public boolean hasCrossZoneCostTo(int targetZone) {
    return targetZone != zone && crossZoneCost > 0;
  }
}
