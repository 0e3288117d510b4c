package basaltlever.model;

import basaltlever.time.Moment;

/** What this router has in flight at an endpoint, and how loaded the endpoint is. */
public final class LoadState {
  private int inFlight;
  private boolean sentStatement;
  private Moment unansweredSince = Moment.NEVER;
  private int idleConnections;
  private Moment lastAnswerAt = Moment.LONG_AGO;
  private Moment connectionRefusedAt = Moment.LONG_AGO;
  private double cpuUtilization;
  private boolean reportsCpu;
  private double capacity;
  private Moment capacityReducedAt = Moment.LONG_AGO;
  private final DecayingValue latencyStrain = new DecayingValue();
  private final DecayingValue abandonedAttempts = new DecayingValue();
  private final DecayingValue answeredWork = new DecayingValue();

  LoadState(double capacity) {
    this.capacity = capacity;
  }

  /** Attempts in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Whether it was ever sent a statement. */
  public boolean wasSentStatement() {
    return sentStatement;
  }

  /** Since when attempts are in flight without any answer; never where none are. */
  public Moment unansweredSince() {
    return unansweredSince;
  }

  /** An attempt was sent to it. */
  public void attemptStarted(Moment now, boolean opensConnection) {
    idleConnections = opensConnection ? 0 : idleConnections - 1;
    sentStatement = true;
    if (inFlight++ == 0) {
      unansweredSince = now;
    }
  }

  /** One of its attempts ended. */
  public void attemptEnded() {
    inFlight--;
  }

  /** It answered some attempt. */
  public void recordSignOfLife(Moment now) {
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
  public Moment lastAnswerAt() {
    return lastAnswerAt;
  }

  /** An attempt ended and left its connection open. */
  public void connectionIsIdle(Moment now) {
    idleConnections++;
    lastAnswerAt = now;
  }

  /** All idle connections are closed. */
  public void closeIdleConnections() {
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
  public void forgetRefusedConnection() {
    connectionRefusedAt = Moment.LONG_AGO;
  }

  /** Share of its cores that is busy, by its latest report. */
  public double cpuUtilization() {
    return cpuUtilization;
  }

  /**
   * Whether its latest report held a utilization: a switch of settings changes what reports hold.
   */
  public boolean reportsCpu() {
    return reportsCpu;
  }

  /** Takes in a load report. */
  public void recordReport(boolean holdsCpu, double utilization) {
    reportsCpu = holdsCpu;
    cpuUtilization = utilization;
  }

  /** How many attempts this router may have in flight here. */
  public double capacity() {
    return capacity;
  }

  /** Sets how many attempts may be in flight. */
  public void setCapacity(double attempts) {
    capacity = attempts;
  }

  /** When the capacity was last reduced because the endpoint's queue was full. */
  public Moment capacityReducedAt() {
    return capacityReducedAt;
  }

  /** Reduces the capacity because the endpoint's queue was full. */
  public void reduceCapacity(Moment now, double attempts) {
    capacity = attempts;
    capacityReducedAt = now;
  }

  /** Recent response time over the latency objective, less what is usual. */
  public DecayingValue latencyStrain() {
    return latencyStrain;
  }

  /** Attempts given up on that may still occupy the endpoint. */
  public DecayingValue abandonedAttempts() {
    return abandonedAttempts;
  }

  /** Work in microseconds that it recently answered for this router. */
  public DecayingValue answeredWork() {
    return answeredWork;
  }
}
