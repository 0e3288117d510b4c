package basaltlever.model;

import basaltlever.gateway.Workload;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** One statement received from a client, and its attempts. */
public final class Statement {
  private final int id;
  private final StatementArrival arrival;
  private final ReplicaGroup group;
  private final double randomShare;

  private final Endpoint[] endpoints;
  private final Moment[] sentAt;
  private final boolean[] inFlight;
  private final boolean[] endedInError;
  private final boolean[] openedConnection;

  private Moment capacityWaitStart;
  private Span scanDelayAtWaitStart;
  private double holdPriority;
  private int attempts;
  private int attemptsInFlight;
  private int staleResponses;
  private int errorsOnHealthyEndpoints;
  private boolean mayHaveExecuted;
  private Moment earliestPossibleExecution = Moment.NEVER;
  private boolean finished;
  private boolean queued;

  /**
   * A statement without attempts. The random share, between 0 and 1, is drawn once, so that what is
   * decided again and again is not granted by chance in the end.
   */
  public Statement(
      int id, StatementArrival arrival, ReplicaGroup group, int maxAttempts, double randomShare) {
    this.id = id;
    this.arrival = arrival;
    this.group = group;
    this.randomShare = randomShare;
    this.capacityWaitStart = arrival.receivedAt();
    this.scanDelayAtWaitStart = arrival.scanDelay();
    this.endpoints = new Endpoint[maxAttempts];
    this.sentAt = new Moment[maxAttempts];
    this.inFlight = new boolean[maxAttempts];
    this.endedInError = new boolean[maxAttempts];
    this.openedConnection = new boolean[maxAttempts];
  }

  /** The index that the caller gave it. */
  public int id() {
    return id;
  }

  /** Place of its workload in the settings. */
  public int workloadIndex() {
    return arrival.workloadIndex();
  }

  /** The terms in force when it arrived. */
  public Workload workload() {
    return arrival.workload();
  }

  /** The group it addresses. */
  public ReplicaGroup group() {
    return group;
  }

  /** The client's session; 0 where it has none. */
  public long session() {
    return arrival.session();
  }

  /** When it arrived. */
  public Moment receivedAt() {
    return arrival.receivedAt();
  }

  /** Until when its client waits. */
  public Moment clientDeadline() {
    return arrival.clientDeadline();
  }

  /** Bytes of its text, as far as it is kept. */
  public int textBytes() {
    return arrival.textBytes();
  }

  /** Since when it has been waiting for capacity, if it is waiting. */
  public Moment capacityWaitStart() {
    return capacityWaitStart;
  }

  /** How long scans of this router's statements had been delayed, in all, when that wait began. */
  public Span scanDelayAtWaitStart() {
    return scanDelayAtWaitStart;
  }

  /** An attempt ended that was never sent: the time that it took was no wait for capacity. */
  public void restartCapacityWait(Moment now, Span scanDelay) {
    capacityWaitStart = now;
    scanDelayAtWaitStart = scanDelay;
  }

  /** A number between 0 and 1 that was drawn for it once. */
  public double randomShare() {
    return randomShare;
  }

  /** Priority weight, less where an earlier statement of its session has less. */
  public double holdPriority() {
    return holdPriority;
  }

  void setHoldPriority(double priority) {
    holdPriority = priority;
  }

  /** The most attempts that settings allow it. */
  public int maxAttempts() {
    return endpoints.length;
  }

  /** Attempts so far. */
  public int attempts() {
    return attempts;
  }

  /** Attempts in flight. */
  public int attemptsInFlight() {
    return attemptsInFlight;
  }

  /** Where an attempt was sent. */
  public Endpoint endpoint(int attempt) {
    return endpoints[attempt];
  }

  /** When an attempt was sent. */
  public Moment sentAt(int attempt) {
    return sentAt[attempt];
  }

  /** Whether an attempt is in flight. */
  public boolean isInFlight(int attempt) {
    return inFlight[attempt];
  }

  /** Whether an attempt ended in an error of the database. */
  public boolean endedInError(int attempt) {
    return endedInError[attempt];
  }

  /** Whether an attempt had to open a connection. */
  public boolean openedConnection(int attempt) {
    return openedConnection[attempt];
  }

  /** Starts the next attempt. */
  public void startAttempt(Endpoint endpoint, Moment now, boolean opensConnection) {
    endpoints[attempts] = endpoint;
    sentAt[attempts] = now;
    inFlight[attempts] = true;
    openedConnection[attempts] = opensConnection;
    attempts++;
    attemptsInFlight++;
  }

  /** An attempt ended. */
  public void endAttempt(int attempt) {
    inFlight[attempt] = false;
    attemptsInFlight--;
  }

  /** Whether some attempt went to the endpoint. */
  public boolean wasSentTo(Endpoint endpoint) {
    for (int i = 0; i < attempts; i++) {
      if (endpoints[i] == endpoint) {
        return true;
      }
    }
    return false;
  }

  /** The first attempt that is in flight; there must be one. */
  public int firstInFlight() {
    int first = 0;
    while (!inFlight[first]) {
      first++;
    }
    return first;
  }

  /** How far behind a replica may be that is sent the statement at that moment. */
  public Span allowedLag(Moment at) {
    return workload().consistency() == Workload.ReadConsistency.BOUNDED
        ? workload().maxStaleness()
        : at.since(arrival.requiredPosition());
  }

  /** An endpoint answered that its data is too old, or that it is not primary. */
  public void recordStaleResponse() {
    staleResponses++;
  }

  /** Attempts that were answered with "too old" or "not primary". */
  public int staleResponses() {
    return staleResponses;
  }

  /** An attempt ended in an error of the database. */
  public void recordError(int attempt, boolean endpointIsHealthy) {
    endedInError[attempt] = true;
    errorsOnHealthyEndpoints += endpointIsHealthy ? 1 : 0;
  }

  /** Errors by endpoints that otherwise work: they are likely the statement's own. */
  public int errorsOnHealthyEndpoints() {
    return errorsOnHealthyEndpoints;
  }

  /** An attempt ended that may have had its effect. */
  public void recordPossibleExecution(Moment sent) {
    mayHaveExecuted = true;
    earliestPossibleExecution = earliestPossibleExecution.earlier(sent);
  }

  /** Whether some ended attempt may have had its effect. */
  public boolean mayHaveExecuted() {
    return mayHaveExecuted;
  }

  /** The earliest sending of all attempts that may have run or may be running. */
  public Moment earliestPossibleExecution() {
    Moment since = earliestPossibleExecution;
    for (int i = 0; i < attempts; i++) {
      if (inFlight[i]) {
        since = since.earlier(sentAt[i]);
      }
    }
    return since;
  }

  /** Whether it has its final answer or needs none. */
  public boolean isFinished() {
    return finished;
  }

  /** It has its final answer or needs none. */
  public void finish() {
    finished = true;
  }

  /** Whether it waits in a queue of its group. */
  public boolean isQueued() {
    return queued;
  }

  /** It waits in a queue of its group, or does so no longer. */
  public void setQueued(boolean inQueue) {
    queued = inQueue;
  }
}
