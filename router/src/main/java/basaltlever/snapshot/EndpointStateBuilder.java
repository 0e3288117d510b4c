package basaltlever.snapshot;

import basaltlever.time.Span;

/**
 * Builds an {@link EndpointState} value by value. What is not set is as for an endpoint of which
 * nothing is known: healthy, of unlimited capacity, never seen to start or to fail.
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

  /** Starts from an endpoint of which nothing is known. */
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

  /** The number of its replica group. */
  public EndpointStateBuilder group(int value) {
    group = value;
    return this;
  }

  /** When it started, as listed, in microseconds of Unix time; 0 where the list does not say. */
  public EndpointStateBuilder listedStartMicros(long value) {
    listedStartMicros = value;
    return this;
  }

  /** Whether the endpoint list says that it is draining. */
  public EndpointStateBuilder draining(boolean value) {
    draining = value;
    return this;
  }

  /** Whether it was taken for the primary of its group. */
  public EndpointStateBuilder primary(boolean value) {
    primary = value;
    return this;
  }

  /** How long ago it started. */
  public EndpointStateBuilder sinceStart(Span value) {
    sinceStart = value;
    return this;
  }

  /** How long ago it last reported itself not primary. */
  public EndpointStateBuilder sinceNotPrimary(Span value) {
    sinceNotPrimary = value;
    return this;
  }

  /** Whether it owed responses and sent none. */
  public EndpointStateBuilder unresponsive(boolean value) {
    unresponsive = value;
    return this;
  }

  /** Since when it could not be reached. */
  public EndpointStateBuilder downFor(Span value) {
    downFor = value;
    return this;
  }

  /** Share of its attempts that were lost or failed, 0 to 1. */
  public EndpointStateBuilder failureRate(double value) {
    failureRate = value;
    return this;
  }

  /** Ratio of response time to the latency objective, beyond the usual ratio. */
  public EndpointStateBuilder latencyStrain(double value) {
    latencyStrain = value;
    return this;
  }

  /** How many attempts may be in flight at it. */
  public EndpointStateBuilder capacity(double value) {
    capacity = value;
    return this;
  }

  /** How many times in a row it rejected an attempt as full. */
  public EndpointStateBuilder consecutiveRejections(int value) {
    consecutiveRejections = value;
    return this;
  }

  /** How much longer it was to be left alone. */
  public EndpointStateBuilder remainingBackoff(Span value) {
    remainingBackoff = value;
    return this;
  }

  /** Its replication lag when last observed. */
  public EndpointStateBuilder lag(Span value) {
    lag = value;
    return this;
  }

  /** The spent part of its slow-start budget, in typical attempts. */
  public EndpointStateBuilder slowStartSpent(double value) {
    slowStartSpent = value;
    return this;
  }

  /** Since when the slow-start budget has been refilling. */
  public EndpointStateBuilder sinceSlowStartSpent(Span value) {
    sinceSlowStartSpent = value;
    return this;
  }

  /** The state as built so far. */
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
