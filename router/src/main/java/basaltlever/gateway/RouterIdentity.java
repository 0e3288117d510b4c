package basaltlever.gateway;

/**
 * This router among the others: how many there are, its own number from 0 on, its zone, and what a
 * poll and a crossing between zones cost, as shares of a statement's worth.
 */
public record RouterIdentity(
    int routerCount, int index, int zone, double pollCost, double crossZoneCost) {
  /** The first of them, where the number does not matter. */
  public RouterIdentity(int routerCount, int zone, double pollCost, double crossZoneCost) {
    this(routerCount, 0, zone, pollCost, crossZoneCost);
  }

  /** Whether traffic to the zone crosses zones at a price. */
  public boolean hasCrossZoneCostTo(int targetZone) {
    return targetZone != zone && crossZoneCost > 0;
  }
}
