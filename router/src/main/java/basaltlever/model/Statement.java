package basaltlever.model;

import basaltlever.gateway.Workload;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** A statement received from a client, and its attempts. */
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

  private Moment waitingSince;
  private double holdPriority;
  private int attempts;
  private int attemptsInFlight;
  private int staleResponses;
  private int errorsOnHealthyEndpoints;
  private boolean mayHaveExecuted;
  private Moment earliestPossibleExecution = Moment.NEVER;
  private boolean finished;
  private boolean late;
  private boolean queued;

  /**
   * Creates a statement without attempts. The random share, between 0 and 1, is drawn only once: a
   * new draw for each repeated decision would eventually grant any request.
   */
  public Statement(
      int id, StatementArrival arrival, ReplicaGroup group, int maxAttempts, double randomShare) {
    this.id = id;
    this.arrival = arrival;
    this.group = group;
    this.randomShare = randomShare;
    this.waitingSince = arrival.receivedAt();
    this.endpoints = new Endpoint[maxAttempts];
    this.sentAt = new Moment[maxAttempts];
    this.inFlight = new boolean[maxAttempts];
    this.endedInError = new boolean[maxAttempts];
    this.openedConnection = new boolean[maxAttempts];
  }

  /** Returns the index that the caller assigned to the statement. */
  public int id() {
    return id;
  }

  /** Returns the index of its workload in the settings. */
  public int workloadIndex() {
    return arrival.workloadIndex();
  }

  /** Returns the settings of its workload when it arrived. */
  public Workload workload() {
    return arrival.workload();
  }

  /** Returns the group that it addresses. */
  public ReplicaGroup group() {
    return group;
  }

  /** Returns the client's session; 0 if there is none. */
  public long session() {
    return arrival.session();
  }

  /** Returns the arrival time. */
  public Moment receivedAt() {
    return arrival.receivedAt();
  }

  /** Returns the time until which its client waits. */
  public Moment clientDeadline() {
    return arrival.clientDeadline();
  }

  /** Returns the size of its text in bytes, as far as the text is stored. */
  public int textBytes() {
    return arrival.textBytes();
  }

  /** Returns the time since which it has had no attempt in flight, if it has none. */
  public Moment waitingSince() {
    return waitingSince;
  }

  /** Records that it waits again, since its last attempt in flight has ended. */
  public void restartWait(Moment now) {
    waitingSince = now;
  }

  /** Returns the random number between 0 and 1 that was drawn for the statement. */
  public double randomShare() {
    return randomShare;
  }

  /**
   * Returns the priority in the hold queue: the priority weight, or less if an earlier statement of
   * its session has less.
   */
  public double holdPriority() {
    return holdPriority;
  }

  void setHoldPriority(double priority) {
    holdPriority = priority;
  }

  /**
   * Returns the value of its answer, by which waiting statements are ordered: the priority weight
   * of its workload, or what the deployment states of a late answer once that is all it can be.
   */
  public double priority() {
    double weight = arrival.workload().priorityWeight();
    return late ? weight * arrival.workload().lateResponseValue() : weight;
  }

  /** Returns whether its answer can only be late. */
  public boolean isLate() {
    return late;
  }

  /** Records that its answer can only be late. */
  public void markLate() {
    late = true;
  }

  /** Returns the maximum number of attempts that the settings allow. */
  public int maxAttempts() {
    return endpoints.length;
  }

  /** Returns the number of attempts started. */
  public int attempts() {
    return attempts;
  }

  /** Returns the number of attempts in flight. */
  public int attemptsInFlight() {
    return attemptsInFlight;
  }

  /** Returns the endpoint that an attempt was sent to. */
  public Endpoint endpoint(int attempt) {
    return endpoints[attempt];
  }

  /** Returns the time at which an attempt was sent. */
  public Moment sentAt(int attempt) {
    return sentAt[attempt];
  }

  /** Returns whether an attempt is in flight. */
  public boolean isInFlight(int attempt) {
    return inFlight[attempt];
  }

  /** Returns whether an attempt ended in an error of the database. */
  public boolean endedInError(int attempt) {
    return endedInError[attempt];
  }

  /** Returns whether an attempt had to open a connection. */
  public boolean openedConnection(int attempt) {
    return openedConnection[attempt];
  }

  /** Records the start of the next attempt. */
  public void startAttempt(Endpoint endpoint, Moment now, boolean opensConnection) {
    endpoints[attempts] = endpoint;
    sentAt[attempts] = now;
    inFlight[attempts] = true;
    openedConnection[attempts] = opensConnection;
    attempts++;
    attemptsInFlight++;
  }

  /** Records the end of an attempt. */
  public void endAttempt(int attempt) {
    inFlight[attempt] = false;
    attemptsInFlight--;
  }

  /** Returns whether any attempt was sent to the endpoint. */
  public boolean wasSentTo(Endpoint endpoint) {
    for (int i = 0; i < attempts; i++) {
      if (endpoints[i] == endpoint) {
        return true;
      }
    }
    return false;
  }

  /** Returns the first attempt in flight; at least one must be in flight. */
  public int firstInFlight() {
    int first = 0;
    while (!inFlight[first]) {
      first++;
    }
    return first;
  }

  /** Returns the maximum lag of a replica to which the statement is sent at the given time. */
  public Span allowedLag(Moment at) {
    Span sinceRequiredPosition = at.since(arrival.requiredPosition());
    return workload().consistency().isBounded()
        ? workload().maxStaleness().shorter(sinceRequiredPosition)
        : sinceRequiredPosition;
  }

  /** Records a response that the endpoint's data is too old or that the endpoint is not primary. */
  public void recordStaleResponse() {
    staleResponses++;
  }

  /** Returns the number of responses that the data was too old or the endpoint not primary. */
  public int staleResponses() {
    return staleResponses;
  }

  /** Records that an attempt ended in an error of the database. */
  public void recordError(int attempt, boolean endpointIsHealthy) {
    endedInError[attempt] = true;
    errorsOnHealthyEndpoints += endpointIsHealthy ? 1 : 0;
  }

  /**
   * Returns the number of errors on endpoints that otherwise work; the statement itself is the
   * likely cause.
   */
  public int errorsOnHealthyEndpoints() {
    return errorsOnHealthyEndpoints;
  }

  /** Records that an attempt ended that may have executed the statement. */
  public void recordPossibleExecution(Moment sent) {
    mayHaveExecuted = true;
    earliestPossibleExecution = earliestPossibleExecution.earlier(sent);
  }

  /** Returns whether any attempt that has ended may have executed the statement. */
  public boolean mayHaveExecuted() {
    return mayHaveExecuted;
  }

  /**
   * Returns the earliest send time of all attempts that may have executed or may be executing the
   * statement.
   */
  public Moment earliestPossibleExecution() {
    Moment since = earliestPossibleExecution;
    for (int i = 0; i < attempts; i++) {
      if (inFlight[i]) {
        since = since.earlier(sentAt[i]);
      }
    }
    return since;
  }

  /** Returns whether the statement has its final response or needs none. */
  public boolean isFinished() {
    return finished;
  }

  /** Records that the statement has its final response or needs none. */
  public void finish() {
    finished = true;
  }

  /** Returns whether the statement waits in a queue of its group. */
  public boolean isQueued() {
    return queued;
  }

  /** Sets whether the statement waits in a queue of its group. */
  public void setQueued(boolean inQueue) {
    queued = inQueue;
  }
}
