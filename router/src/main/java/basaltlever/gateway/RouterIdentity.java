package basaltlever.gateway;

/**
 * This router among the others: how many there are, its own number from 0 on, its zone, and what a
 * poll and a crossing between zones cost, as shares of a statement's worth.
 */
public record RouterIdentity(
    int routers, int index, int zone, double pollPrice, double crossingPrice) {
  /** The first of them, where the number does not matter. */
  public RouterIdentity(int routers, int zone, double pollPrice, double crossingPrice) {
    this(routers, 0, zone, pollPrice, crossingPrice);
  }

  /** Whether traffic to the zone crosses zones at a price. */
  public boolean hasCrossingPriceTo(int other) {
    return other != zone && crossingPrice > 0;
  }
}
