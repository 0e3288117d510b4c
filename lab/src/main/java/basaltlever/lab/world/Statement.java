package basaltlever.lab.world;

import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;

/**
 * One statement as its client sent it, and what became of it: a client that tries again asks anew.
 */
public final class Statement {
  /** What its client was told; OPEN while nothing. */
  public enum Outcome {
    OPEN,
    COMPLETED,
    REJECTED,
    ABORTED,
    UNANSWERED,
    LEFT
  }

  /** One time that it reached a server. */
  public static final class Execution {
    public final Statement statement;
    public final int number;
    final Server server;

    /** The server told the router that nothing ran. */
    boolean reportedNotRun;

    boolean tookEffect;
    boolean completed;
    boolean stale;

    final Moment arrivedAt;

    Execution(Statement statement, int number, Server server, Moment arrivedAt) {
      this.arrivedAt = arrivedAt;
      this.statement = statement;
      this.number = number;
      this.server = server;
    }

    /** What a router has to pass on for it to count as completed. */
    public String resultValue() {
      return statement.id + "#" + number;
    }
  }

  public final String id;

  /** What is meant to happen once, however often it is asked for. */
  public final String idempotencyKey;

  public final Workload workload;
  public final int group;
  public final int router;
  public final long session;

  /** When it should have been sent: what a busy client adds counts against the router. */
  public final Moment dueAt;

  public final Moment deadline;

  /** The commit that a session's read has to see, in Unix milliseconds; 0 where none. */
  public final long requiredCommitMillis;

  public final int clientAttempt;
  final List<Execution> executions = new ArrayList<>(1);

  /** Of a write that took effect, in Unix milliseconds: what its session's reads have to see. */
  long commitMillis;

  Outcome outcome = Outcome.OPEN;

  public Statement(
      String id,
      String idempotencyKey,
      Workload workload,
      int group,
      int router,
      long session,
      Moment dueAt,
      Moment deadline,
      long requiredCommitMillis,
      int clientAttempt) {
    this.id = id;
    this.idempotencyKey = idempotencyKey;
    this.workload = workload;
    this.group = group;
    this.router = router;
    this.session = session;
    this.dueAt = dueAt;
    this.deadline = deadline;
    this.requiredCommitMillis = requiredCommitMillis;
    this.clientAttempt = clientAttempt;
  }

  public long commitMillis() {
    return commitMillis;
  }

  /** Its client waits no longer: what comes now is heard by nobody. */
  public boolean isAbandoned() {
    return outcome == Outcome.LEFT || outcome == Outcome.UNANSWERED;
  }

  public boolean isOpen() {
    return outcome == Outcome.OPEN;
  }
}
