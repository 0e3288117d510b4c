package basaltlever.gateway;

import basaltlever.time.Span;

/** How a node that has just started gains strength, and what topples it. */
public record SlowStartPolicy(double coldFrom, Span warmAfter, double topplesAt, Span topplesIn) {
  /**
   * The least share of its strength that a node has at this age, taken to rise evenly; 1 once warm.
   */
  public double at(Span age) {
    return age.isShorterThan(warmAfter)
        ? coldFrom + (1 - coldFrom) * Math.max(0, age.over(warmAfter))
        : 1;
  }
}
