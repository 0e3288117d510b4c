package basaltlever.gateway;

import basaltlever.time.Span;

/**
 * Describes how the capacity of a restarted endpoint grows, and which load overwhelms it.
 *
 * @param initialShare the share of its capacity that an endpoint has right after its start
 * @param warmUpTime the time until an endpoint has its full capacity
 * @param overloadFactor the load relative to the present capacity above which an endpoint is
 *     overloaded
 * @param overloadTime the duration of such a load after which the endpoint fails
 * @param guaranteedInterval the interval at which all routers together may send an endpoint one
 *     statement, however small its capacity is estimated to be
 */
public record SlowStartPolicy(
    double initialShare,
    Span warmUpTime,
    double overloadFactor,
    Span overloadTime,
    Span guaranteedInterval) {
  /** Creates a policy that guarantees one statement in the overload time. */
  public SlowStartPolicy(
      double initialShare, Span warmUpTime, double overloadFactor, Span overloadTime) {
    this(initialShare, warmUpTime, overloadFactor, overloadTime, overloadTime);
  }

  /**
   * Returns the minimum share of its capacity that an endpoint of the given age has, assuming a
   * linear increase; 1 once it has warmed up.
   */
  public double capacityShareAt(Span age) {
    return age.isShorterThan(warmUpTime)
        ? initialShare + (1 - initialShare) * Math.max(0, age.ratioTo(warmUpTime))
        : 1;
  }
}
