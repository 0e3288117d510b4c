package basaltlever.snapshot;

import basaltlever.time.Span;

/**
 * What a router has learned of one endpoint. All times are spans before the moment of the snapshot,
 * so that they mean the same on another process's clock; {@link #NEVER} stands for what has not
 * happened.
 *
 * @param group the number of its replica group
 * @param listedStartMicros when it started, in microseconds of Unix time, as the endpoint list
 *     says; 0 where the list does not say
 * @param draining whether the endpoint list says that it is draining
 * @param primary whether it was taken for the primary of its group
 * @param sinceStart since its start, as listed or as observed by the router, whichever is later
 * @param sinceNotPrimary since it last reported itself not primary, or was lost as the primary;
 *     negative where that lies ahead of the snapshot
 * @param unresponsive whether it owed responses and sent none
 * @param downFor since when it could not be reached
 * @param failureRate share of its attempts that were lost or failed, 0 to 1
 * @param latencyStrain latency strain: the ratio of response time to the latency objective, beyond
 *     the usual ratio
 * @param capacity capacity: how many attempts may be in flight at it
 * @param consecutiveRejections how many times in a row it rejected an attempt as full
 * @param remainingBackoff how much longer it was to be left alone
 * @param lag its replication lag when last observed
 * @param slowStartSpent the part of its slow-start budget that was spent and not refilled yet, in
 *     typical attempts; 0 where it was not warming up
 * @param sinceSlowStartSpent since when the slow-start budget has been refilling
 */
public record EndpointState(
    int group,
    long listedStartMicros,
    boolean draining,
    boolean primary,
    Span sinceStart,
    Span sinceNotPrimary,
    boolean unresponsive,
    Span downFor,
    double failureRate,
    double latencyStrain,
    double capacity,
    int consecutiveRejections,
    Span remainingBackoff,
    Span lag,
    double slowStartSpent,
    Span sinceSlowStartSpent) {
  /** The span since something that has not happened. */
  public static final Span NEVER = new Span(Long.MAX_VALUE / 8);

  private static final double NEGLIGIBLE_LEVEL = 0.05;

  /** Whether it could not be reached. */
  public boolean isDown() {
    return downFor.isShorterThan(NEVER);
  }

  /**
   * Whether nothing in it would make a restarted router more careful. Such states are left out
   * first when a snapshot must stay small.
   */
  public boolean isUnremarkable() {
    return !draining
        && !primary
        && !unresponsive
        && !isDown()
        && isHealthy()
        && slowStartSpent <= 0;
  }

  private boolean isHealthy() {
    return failureRate < NEGLIGIBLE_LEVEL && latencyStrain < NEGLIGIBLE_LEVEL;
  }

  /** A builder that starts from this state. */
  public EndpointStateBuilder toBuilder() {
    return new EndpointStateBuilder(this);
  }
}
