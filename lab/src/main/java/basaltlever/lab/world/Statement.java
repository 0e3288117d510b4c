package basaltlever.lab.world;

import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;

/**
 * One statement as its client sent it, and its outcome. A client that retries sends a new statement
 * with the same idempotency key.
 */
public final class Statement {
  /** The result for the client; OPEN until there is one. */
  public enum Outcome {
    OPEN,
    COMPLETED,
    REJECTED,
    ABORTED,
    UNANSWERED,
    LEFT
  }

  /** One arrival of the statement at a server. */
  public static final class Execution {
    public final Statement statement;
    public final int number;
    final Server server;

    /** Whether the server reported to the router that it did not run the statement. */
    boolean reportedNotRun;

    boolean tookEffect;
    boolean completed;
    boolean stale;

    /** The position of the data that a read was answered from, and whether the primary did. */
    Moment position = Moment.LONG_AGO;

    boolean atPrimary;

    /** When its router sent it; on sockets, when it arrived. */
    final Moment sentAt;

    Execution(Statement statement, int number, Server server, Moment sentAt) {
      this.sentAt = sentAt;
      this.statement = statement;
      this.number = number;
      this.server = server;
    }

    /** Returns the value that the client receives if this execution completes the statement. */
    public String resultValue() {
      return statement.id + "#" + number;
    }
  }

  public final String id;

  /** Identifies the operation, which may take effect only once over all retries of the client. */
  public final String idempotencyKey;

  public final Workload workload;
  public final int group;
  public final int router;
  public final long session;

  /** When the statement should have been sent; delays of a busy client count as latency. */
  public final Moment dueAt;

  public final Moment deadline;

  /** The commit that a session's read has to see, in Unix milliseconds; 0 if there is none. */
  public final long requiredCommitMillis;

  public final int clientAttempt;
  final List<Execution> executions = new ArrayList<>(1);

  /** The position of a write in Unix milliseconds, which later reads of the session have to see. */
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

  /** Returns whether the client has stopped waiting, so that no answer can reach it. */
  public boolean isAbandoned() {
    return outcome == Outcome.LEFT || outcome == Outcome.UNANSWERED;
  }

  /** Returns whether the client is still waiting for an answer. */
  public boolean isOpen() {
    return outcome == Outcome.OPEN;
  }
}
