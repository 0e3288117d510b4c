package basaltlever.model;

import basaltlever.time.Moment;

/** What this router has in flight at an endpoint, and how loaded the endpoint is. */
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
  private Moment capacityReducedAt = Moment.LONG_AGO;
  private final DecayingValue excessLatencyRatio = new DecayingValue();
  private final DecayingValue abandonedAttempts = new DecayingValue();
  private final DecayingValue completedWork = new DecayingValue();

  LoadState(double capacity) {
    this.capacity = capacity;
  }

  /** Attempts in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Whether it was ever sent a statement. */
  public boolean hasReceivedStatement() {
    return hasReceivedStatement;
  }

  /** Since when attempts are in flight without any answer; never where none are. */
  public Moment unansweredSince() {
    return unansweredSince;
  }

  /** An attempt was sent to it. */
  public void recordAttemptStart(Moment now, boolean opensConnection) {
    idleConnections = opensConnection ? 0 : idleConnections - 1;
    hasReceivedStatement = true;
    if (inFlight++ == 0) {
      unansweredSince = now;
    }
  }

  /** One of its attempts ended. */
  public void recordAttemptEnd() {
    inFlight--;
  }

  /** It answered some attempt. */
  public void recordResponse(Moment now) {
    unansweredSince = now;
  }

  /** To be called once the end of an attempt has been taken in. */
  public void clearUnansweredIfIdle() {
    unansweredSince = inFlight == 0 ? Moment.NEVER : unansweredSince;
  }

  /** Open connections that carry nothing. */
  public int idleConnections() {
    return idleConnections;
  }

  /** When a connection was last seen to be open. */
  public Moment lastIdleConnectionAt() {
    return lastIdleConnectionAt;
  }

  /** An attempt ended and left its connection open. */
  public void recordIdleConnection(Moment now) {
    idleConnections++;
    lastIdleConnectionAt = now;
  }

  /** All idle connections are closed. */
  public void clearIdleConnections() {
    idleConnections = 0;
  }

  /** When it last refused a connection at once. */
  public Moment connectionRefusedAt() {
    return connectionRefusedAt;
  }

  /** It refused a connection at once. */
  public void recordRefusedConnection(Moment now) {
    connectionRefusedAt = now;
  }

  /** The refusal has been taken into account. */
  public void clearRefusedConnection() {
    connectionRefusedAt = Moment.LONG_AGO;
  }

  /** Share of its cores that is busy, by its latest report. */
  public double cpuUtilization() {
    return cpuUtilization;
  }

  /**
   * Whether its latest report held a utilization: a switch of settings changes what reports hold.
   */
  public boolean hasCpuUtilization() {
    return hasCpuUtilization;
  }

  /** Takes in a load report. */
  public void recordReport(boolean includesCpu, double utilization) {
    hasCpuUtilization = includesCpu;
    cpuUtilization = utilization;
  }

  /** How many attempts this router may have in flight here. */
  public double capacity() {
    return capacity;
  }

  /** Sets how many attempts may be in flight. */
  public void setCapacity(double maxAttempts) {
    capacity = maxAttempts;
  }

  /** When the capacity was last reduced because the endpoint's queue was full. */
  public Moment capacityReducedAt() {
    return capacityReducedAt;
  }

  /** Reduces the capacity because the endpoint's queue was full. */
  public void reduceCapacity(Moment now, double maxAttempts) {
    capacity = maxAttempts;
    capacityReducedAt = now;
  }

  /** Recent response time over the latency objective, less what is usual. */
  public DecayingValue excessLatencyRatio() {
    return excessLatencyRatio;
  }

  /** Attempts given up on that may still occupy the endpoint. */
  public DecayingValue abandonedAttempts() {
    return abandonedAttempts;
  }

  /** Work in microseconds that it recently answered for this router. */
  public DecayingValue completedWork() {
    return completedWork;
  }
}
