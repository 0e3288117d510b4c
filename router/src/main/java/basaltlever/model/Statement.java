package basaltlever.model;

import basaltlever.gateway.Workload;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** One statement taken from a client. */
public final class Statement {
  public final int id;
  public final int workloadIndex;
  public final Workload workload;
  public final ReplicaGroup group;
  public final long session;
  public final Moment receivedAt;
  public final Moment clientDeadline;

  /** What its data must hold at least; a bounded statement's moves with the clock instead. */
  public final Moment requiredPosition;

  /** Drawn once, so that what is asked again and again is not granted by chance in the end. */
  public final double randomShare;

  public final Endpoint[] endpoints;
  public final Moment[] sentAt;
  public final boolean[] isInFlight;
  public final boolean[] endedInError;

  /** Which executions had to open a connection. */
  public final boolean[] opensConnection;

  /** Of its text, as far as it is kept for it. */
  public final int textBytes;

  /** Importance, less where an earlier one of its session has less: set by who holds it. */
  public double holdPriority;

  public int attempts;
  public int attemptsInFlight;
  public int staleAnswers;
  public int unexplainedErrors;
  public boolean mayHaveRun;
  public Moment earliestPossibleRun = Moment.NEVER;
  public boolean finished;
  public boolean queued;

  public Statement(
      int id,
      int workload,
      Workload terms,
      ReplicaGroup group,
      long session,
      Moment takenAt,
      Moment clientLeaves,
      Moment mustSee,
      int mostExecutions,
      double luck,
      int bytes) {
    this.textBytes = bytes;
    this.id = id;
    this.workloadIndex = workload;
    this.workload = terms;
    this.group = group;
    this.session = session;
    this.receivedAt = takenAt;
    this.clientDeadline = clientLeaves;
    this.requiredPosition = mustSee;
    this.randomShare = luck;
    this.endpoints = new Endpoint[mostExecutions];
    this.sentAt = new Moment[mostExecutions];
    this.isInFlight = new boolean[mostExecutions];
    this.endedInError = new boolean[mostExecutions];
    this.opensConnection = new boolean[mostExecutions];
  }

  public void startAttempt(Endpoint node, Moment now, boolean opensConnection) {
    endpoints[attempts] = node;
    sentAt[attempts] = now;
    isInFlight[attempts] = true;
    this.opensConnection[attempts++] = opensConnection;
    attemptsInFlight++;
  }

  public void endAttempt(int execution) {
    isInFlight[execution] = false;
    attemptsInFlight--;
  }

  public boolean wasSentTo(Endpoint node) {
    for (int i = 0; i < attempts; i++) {
      if (endpoints[i] == node) {
        return true;
      }
    }
    return false;
  }

  /** How far behind a replica may be that is sent it at that moment. */
  public Span allowedLag(Moment at) {
    return workload.needs() == Workload.ReadConsistency.BOUNDED
        ? workload.bound()
        : at.since(requiredPosition);
  }

  public int firstInFlight() {
    int first = 0;
    while (!isInFlight[first]) {
      first++;
    }
    return first;
  }

  /** The earliest sending of those that may have run or may be running. */
  public Moment mayHaveRunSince() {
    Moment since = earliestPossibleRun;
    for (int i = 0; i < attempts; i++) {
      if (isInFlight[i]) {
        since = since.earlier(sentAt[i]);
      }
    }
    return since;
  }
}
