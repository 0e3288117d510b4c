package basaltlever.gateway;

import basaltlever.time.Span;

/** How a node that has just started gains strength, and what topples it. */
public record SlowStartPolicy(
    double initialShare, Span warmUpTime, double overloadFactor, Span overloadTime) {
  /**
   * The least share of its strength that a node has at this age, taken to rise evenly; 1 once warm.
   */
  public double capacityShareAt(Span age) {
    return age.isShorterThan(warmUpTime)
        ? initialShare + (1 - initialShare) * Math.max(0, age.ratioTo(warmUpTime))
        : 1;
  }
}
