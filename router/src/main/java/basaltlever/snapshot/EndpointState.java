package basaltlever.snapshot;

import basaltlever.time.Span;

/**
 * The state that a router has learned about one endpoint. All times are durations before the time
 * of the snapshot, so that they don't depend on the clock of a process; {@link #NEVER} marks events
 * that have not happened.
 *
 * @param group the number of its replica group
 * @param listedStartMicros its start time in the endpoint list, in microseconds of Unix time; 0 if
 *     the list states none
 * @param draining whether it is draining in the endpoint list
 * @param primary whether the router considered it the primary of its group
 * @param sinceStart time since its start, as listed or as observed by the router, whichever is
 *     later
 * @param sinceNotPrimary time since it last reported that it is not the primary, or was lost as the
 *     primary; negative if that is after the snapshot
 * @param unresponsive whether it had pending requests and sent no response
 * @param downFor for how long it was unreachable
 * @param failureRate the fraction of its attempts that were lost or failed, 0 to 1
 * @param latencyStrain the ratio of response time to the latency objective, in excess of the usual
 *     ratio
 * @param capacity how many attempts may be in flight to it
 * @param consecutiveRejections the number of consecutive attempts that it rejected as full
 * @param remainingBackoff the remaining time until its backoff ends
 * @param lag its last observed replication lag
 * @param slowStartSpent the part of its slow-start budget that was spent and not yet refilled, in
 *     typical attempts; 0 if it was not warming up
 * @param sinceSlowStartSpent for how long the slow-start budget has been refilling
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
  /** The time since an event that has not happened. */
  public static final Span NEVER = new Span(Long.MAX_VALUE / 8);

  private static final double NEGLIGIBLE_LEVEL = 0.05;

  /** Returns whether the endpoint was unreachable. */
  public boolean isDown() {
    return downFor.isShorterThan(NEVER);
  }

  /**
   * Returns whether this state would not restrict a restarted router's use of the endpoint. Such
   * states are omitted before others if a snapshot would exceed its maximum size.
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

  /** Returns a builder that is initialized with this state. */
  public EndpointStateBuilder toBuilder() {
    return new EndpointStateBuilder(this);
  }
}
