package basaltlever.model;

import basaltlever.gateway.Workload;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** One statement taken from a client. */
public final class Statement {
  public final int id;
  public final int workload;
  public final Workload terms;
  public final ReplicaGroup group;
  public final long session;
  public final Moment takenAt;
  public final Moment clientLeaves;

  /** What its data must hold at least; a bounded statement's moves with the clock instead. */
  public final Moment mustSee;

  /** Drawn once, so that what is asked again and again is not granted by chance in the end. */
  public final double luck;

  public final Endpoint[] nodes;
  public final Moment[] sentAt;
  public final boolean[] isOut;
  public final boolean[] erred;

  /** Which executions had to open a connection. */
  public final boolean[] opens;

  /** Of its text, as far as it is kept for it. */
  public final int bytes;

  /** Importance, less where an earlier one of its session has less: set by who holds it. */
  public double rank;

  public int executions;
  public int out;
  public int misses;
  public int errors;
  public boolean mayHaveRun;
  public Moment firstMayHaveRun = Moment.NEVER;
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
    this.bytes = bytes;
    this.id = id;
    this.workload = workload;
    this.terms = terms;
    this.group = group;
    this.session = session;
    this.takenAt = takenAt;
    this.clientLeaves = clientLeaves;
    this.mustSee = mustSee;
    this.luck = luck;
    this.nodes = new Endpoint[mostExecutions];
    this.sentAt = new Moment[mostExecutions];
    this.isOut = new boolean[mostExecutions];
    this.erred = new boolean[mostExecutions];
    this.opens = new boolean[mostExecutions];
  }

  public void sentTo(Endpoint node, Moment now, boolean opensConnection) {
    nodes[executions] = node;
    sentAt[executions] = now;
    isOut[executions] = true;
    opens[executions++] = opensConnection;
    out++;
  }

  public void ends(int execution) {
    isOut[execution] = false;
    out--;
  }

  public boolean wasSentTo(Endpoint node) {
    for (int i = 0; i < executions; i++) {
      if (nodes[i] == node) {
        return true;
      }
    }
    return false;
  }

  /** How far behind a replica may be that is sent it at that moment. */
  public Span allowedLag(Moment at) {
    return terms.needs() == Workload.ReadConsistency.BOUNDED ? terms.bound() : at.since(mustSee);
  }

  public int firstOut() {
    int first = 0;
    while (!isOut[first]) {
      first++;
    }
    return first;
  }

  /** The earliest sending of those that may have run or may be running. */
  public Moment mayHaveRunSince() {
    Moment since = firstMayHaveRun;
    for (int i = 0; i < executions; i++) {
      if (isOut[i]) {
        since = since.earlier(sentAt[i]);
      }
    }
    return since;
  }
}
