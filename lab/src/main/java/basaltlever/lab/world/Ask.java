package basaltlever.lab.world;

import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;

/**
 * One statement as its client sent it, and what became of it: a client that tries again asks anew.
 */
public final class Ask {
  /** What its client was told; OPEN while nothing. */
  public enum End {
    OPEN,
    COMPLETED,
    REJECTED,
    ABORTED,
    UNANSWERED,
    LEFT
  }

  /** One time that it reached a server. */
  public static final class Execution {
    public final Ask of;
    public final int number;
    final Server server;

    /** The server told the router that nothing ran. */
    boolean toldNotRun;

    boolean effect;
    boolean served;
    boolean stale;

    final Moment reachedAt;

    Execution(Ask of, int number, Server server, Moment reachedAt) {
      this.reachedAt = reachedAt;
      this.of = of;
      this.number = number;
      this.server = server;
    }

    /** What a router has to pass on for it to count as completed. */
    public String value() {
      return of.id + "#" + number;
    }
  }

  public final String id;

  /** What is meant to happen once, however often it is asked for. */
  public final String key;

  public final Kind kind;
  public final int group;
  public final int router;
  public final long session;

  /** When it should have been sent: what a busy client adds counts against the router. */
  public final Moment due;

  public final Moment leaves;

  /** The commit that a session's read has to see, in Unix milliseconds; 0 where none. */
  public final long after;

  public final int tries;
  final List<Execution> executions = new ArrayList<>(1);

  /** Of a write that took effect, in Unix milliseconds: what its session's reads have to see. */
  long commit;

  End end = End.OPEN;

  public Ask(
      String id,
      String key,
      Kind kind,
      int group,
      int router,
      long session,
      Moment due,
      Moment leaves,
      long after,
      int tries) {
    this.id = id;
    this.key = key;
    this.kind = kind;
    this.group = group;
    this.router = router;
    this.session = session;
    this.due = due;
    this.leaves = leaves;
    this.after = after;
    this.tries = tries;
  }

  public long commit() {
    return commit;
  }

  /** Its client waits no longer: what comes now is heard by nobody. */
  public boolean isLeft() {
    return end == End.LEFT || end == End.UNANSWERED;
  }

  public boolean isOpen() {
    return end == End.OPEN;
  }
}
