package basaltlever.model;

import basaltlever.time.Moment;

/** Tracks the attempts that this router has in flight at an endpoint, and the endpoint's load. */
public final class LoadState {
  private int inFlight;
  private boolean hasReceivedStatement;
  private Moment unansweredSince = Moment.NEVER;
  private int idleConnections;
  private Moment lastIdleConnectionAt = Moment.LONG_AGO;
  private Moment connectionRefusedAt = Moment.LONG_AGO;
  private double cpuUtilization;
  private boolean hasCpuUtilization;
  private double capacity;
  private double unqueuedCapacity;
  private Moment capacityReducedAt = Moment.LONG_AGO;
  private final DecayingValue excessSlowdown = new DecayingValue();
  private final DecayingValue abandonedAttempts = new DecayingValue();
  private final DecayingValue unqueuedPause = new DecayingValue();
  private final DecayingValue completedWork = new DecayingValue();

  LoadState(double capacity) {
    this.capacity = capacity;
    this.unqueuedCapacity = capacity;
  }

  /** Returns the number of attempts in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns whether this router has ever sent the endpoint a statement. */
  public boolean hasReceivedStatement() {
    return hasReceivedStatement;
  }

  /**
   * Returns the time since which attempts have been in flight without any response; {@link
   * Moment#NEVER} if none is in flight.
   */
  public Moment unansweredSince() {
    return unansweredSince;
  }

  /** Records that an attempt was sent to the endpoint. */
  public void recordAttemptStart(Moment now, boolean opensConnection) {
    idleConnections = opensConnection ? 0 : idleConnections - 1;
    hasReceivedStatement = true;
    if (inFlight++ == 0) {
      unansweredSince = now;
    }
  }

  /** Records that an attempt at the endpoint ended. */
  public void recordAttemptEnd() {
    inFlight--;
  }

  /** Records that the endpoint responded to some attempt. */
  public void recordResponse(Moment now) {
    unansweredSince = now;
  }

  /**
   * Clears {@link #unansweredSince} if no attempt is in flight. Called after the outcome of an
   * attempt has been processed.
   */
  public void clearUnansweredIfIdle() {
    unansweredSince = inFlight == 0 ? Moment.NEVER : unansweredSince;
  }

  /** Returns the number of idle connections. */
  public int idleConnections() {
    return idleConnections;
  }

  /**
   * Returns the time at which a connection last became idle, that is, was last known to be open.
   */
  public Moment lastIdleConnectionAt() {
    return lastIdleConnectionAt;
  }

  /** Records that an attempt ended and left its connection open. */
  public void recordIdleConnection(Moment now) {
    idleConnections++;
    lastIdleConnectionAt = now;
  }

  /** Records that all idle connections were closed. */
  public void clearIdleConnections() {
    idleConnections = 0;
  }

  /** Returns the time at which the endpoint last refused a connection immediately. */
  public Moment connectionRefusedAt() {
    return connectionRefusedAt;
  }

  /** Records that the endpoint refused a connection immediately. */
  public void recordRefusedConnection(Moment now) {
    connectionRefusedAt = now;
  }

  /** Clears the refusal after it has been evaluated. */
  public void clearRefusedConnection() {
    connectionRefusedAt = Moment.LONG_AGO;
  }

  /** Returns the CPU utilization in the latest load report, between 0 and 1. */
  public double cpuUtilization() {
    return cpuUtilization;
  }

  /**
   * Returns whether the latest load report contained the CPU utilization. A change of settings can
   * change the contents of reports.
   */
  public boolean hasCpuUtilization() {
    return hasCpuUtilization;
  }

  /** Records a load report. */
  public void recordReport(boolean includesCpu, double utilization) {
    hasCpuUtilization = includesCpu;
    cpuUtilization = utilization;
  }

  /** Returns the number of attempts that this router may have in flight at the endpoint. */
  public double capacity() {
    return capacity;
  }

  /**
   * Returns the number of attempts that this router may have in flight without a queue at the
   * endpoint, which would delay more important statements.
   */
  public double unqueuedCapacity() {
    return unqueuedCapacity;
  }

  /** Sets the number of attempts that may be in flight without a queue at the endpoint. */
  public void setUnqueuedCapacity(double maxAttempts) {
    unqueuedCapacity = maxAttempts;
  }

  /** Returns the pause that keeps a capacity without a queue below one attempt, in attempts. */
  public DecayingValue unqueuedPause() {
    return unqueuedPause;
  }

  /** Sets the number of attempts that may be in flight. */
  public void setCapacity(double maxAttempts) {
    capacity = maxAttempts;
  }

  /**
   * Returns the time at which the capacity was last reduced because the endpoint's queue was full.
   */
  public Moment capacityReducedAt() {
    return capacityReducedAt;
  }

  /** Reduces the capacity because the endpoint's queue was full. */
  public void reduceCapacity(Moment now, double maxAttempts) {
    capacity = maxAttempts;
    capacityReducedAt = now;
  }

  /**
   * Returns the recent ratio of response time to execution time without a queue, less the average.
   */
  public DecayingValue excessSlowdown() {
    return excessSlowdown;
  }

  /** Returns the number of cancelled or timed-out attempts that may still occupy the endpoint. */
  public DecayingValue abandonedAttempts() {
    return abandonedAttempts;
  }

  /** Returns the work, in microseconds, that the endpoint recently completed for this router. */
  public DecayingValue completedWork() {
    return completedWork;
  }
}
