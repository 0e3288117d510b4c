package basaltlever.snapshot;

import basaltlever.time.Span;

/**
 * Builds an {@link EndpointState}. Values that are not set are those of an unknown endpoint:
 * healthy, with unlimited capacity, and without an observed start or failure.
 */
public final class EndpointStateBuilder {
  private int group;
  private long listedStartMicros;
  private boolean draining;
  private boolean primary;
  private Span sinceStart = EndpointState.NEVER;
  private Span sinceNotPrimary = EndpointState.NEVER;
  private boolean unresponsive;
  private Span downFor = EndpointState.NEVER;
  private double failureRate;
  private double latencyStrain;
  private double capacity = Double.MAX_VALUE;
  private int consecutiveRejections;
  private Span remainingBackoff = Span.NONE;
  private Span lag = Span.NONE;
  private double slowStartSpent;
  private Span sinceSlowStartSpent = EndpointState.NEVER;

  /** Creates a builder with the state of an unknown endpoint. */
  public EndpointStateBuilder() {}

  EndpointStateBuilder(EndpointState state) {
    group = state.group();
    listedStartMicros = state.listedStartMicros();
    draining = state.draining();
    primary = state.primary();
    sinceStart = state.sinceStart();
    sinceNotPrimary = state.sinceNotPrimary();
    unresponsive = state.unresponsive();
    downFor = state.downFor();
    failureRate = state.failureRate();
    latencyStrain = state.latencyStrain();
    capacity = state.capacity();
    consecutiveRejections = state.consecutiveRejections();
    remainingBackoff = state.remainingBackoff();
    lag = state.lag();
    slowStartSpent = state.slowStartSpent();
    sinceSlowStartSpent = state.sinceSlowStartSpent();
  }

  /** Sets the number of its replica group. */
  public EndpointStateBuilder group(int value) {
    group = value;
    return this;
  }

  /** Sets its listed start time in microseconds of Unix time; 0 if the list states none. */
  public EndpointStateBuilder listedStartMicros(long value) {
    listedStartMicros = value;
    return this;
  }

  /** Sets whether it is draining in the endpoint list. */
  public EndpointStateBuilder draining(boolean value) {
    draining = value;
    return this;
  }

  /** Sets whether the router considered it the primary of its group. */
  public EndpointStateBuilder primary(boolean value) {
    primary = value;
    return this;
  }

  /** Sets the time since its start. */
  public EndpointStateBuilder sinceStart(Span value) {
    sinceStart = value;
    return this;
  }

  /** Sets the time since it last reported that it is not the primary. */
  public EndpointStateBuilder sinceNotPrimary(Span value) {
    sinceNotPrimary = value;
    return this;
  }

  /** Sets whether it had pending requests and sent no response. */
  public EndpointStateBuilder unresponsive(boolean value) {
    unresponsive = value;
    return this;
  }

  /** Sets for how long it was unreachable. */
  public EndpointStateBuilder downFor(Span value) {
    downFor = value;
    return this;
  }

  /** Sets the fraction of its attempts that were lost or failed, 0 to 1. */
  public EndpointStateBuilder failureRate(double value) {
    failureRate = value;
    return this;
  }

  /** Sets the ratio of response time to the latency objective, in excess of the usual ratio. */
  public EndpointStateBuilder latencyStrain(double value) {
    latencyStrain = value;
    return this;
  }

  /** Sets how many attempts may be in flight to it. */
  public EndpointStateBuilder capacity(double value) {
    capacity = value;
    return this;
  }

  /** Sets the number of consecutive attempts that it rejected as full. */
  public EndpointStateBuilder consecutiveRejections(int value) {
    consecutiveRejections = value;
    return this;
  }

  /** Sets the remaining time until its backoff ends. */
  public EndpointStateBuilder remainingBackoff(Span value) {
    remainingBackoff = value;
    return this;
  }

  /** Sets its last observed replication lag. */
  public EndpointStateBuilder lag(Span value) {
    lag = value;
    return this;
  }

  /** Sets the spent part of its slow-start budget, in typical attempts. */
  public EndpointStateBuilder slowStartSpent(double value) {
    slowStartSpent = value;
    return this;
  }

  /** Sets for how long the slow-start budget has been refilling. */
  public EndpointStateBuilder sinceSlowStartSpent(Span value) {
    sinceSlowStartSpent = value;
    return this;
  }

  /** Returns a state with the current values. */
  public EndpointState build() {
    return new EndpointState(
        group,
        listedStartMicros,
        draining,
        primary,
        sinceStart,
        sinceNotPrimary,
        unresponsive,
        downFor,
        failureRate,
        latencyStrain,
        capacity,
        consecutiveRejections,
        remainingBackoff,
        lag,
        slowStartSpent,
        sinceSlowStartSpent);
  }
}
