package basaltlever.net;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * The states of one client's connection, without I/O. Every end of a connection by this router goes
 * through here: it is allowed only where nothing is owed on the connection, and what the machine
 * has received is owed an answer like what was read.
 *
 * <pre>
 * STARTING -> IDLE -> BUSY -> IDLE ...       startup message; a statement in hand
 * IDLE -> HALF_CLOSED                        ended between statements: this side's sending has ended
 * STARTING, IDLE -> FLUSHING                 told why it ends: the error is on its way
 * FLUSHING -> HALF_CLOSED                    it was written, and this side's sending has ended
 * any -> CLOSED                              the client has gone, or its time to take note is over
 * </pre>
 */
final class ClientLifecycle {
  /** Where a connection stands. */
  enum State {
    /** Accepted; its startup message has not come whole. */
    STARTING,
    /** Between statements. */
    IDLE,
    /** A statement is taken and not answered. */
    BUSY,
    /** This router ends it; what it was told last is not written whole. */
    FLUSHING,
    /** This router's sending has ended; what still comes is read and thrown away. */
    HALF_CLOSED,
    /** Nothing is owed and nothing is read any more. */
    CLOSED
  }

  /** The connection whose states these are. */
  interface Connection {
    /** Reads what the machine has received and takes it in, which may change the state. */
    void readAvailable();

    /** Whether a part of a message was taken in that has not come whole. */
    boolean hasPartialMessage();

    /** Whether the system has taken all that was written. */
    boolean isAllWritten();

    /** Ends this side's sending at once. */
    void shutdownOutput();
  }

  private static final Map<State, Set<State>> TRANSITIONS = transitions();

  private final Connection connection;
  private State state = State.STARTING;
  private CloseReason reason;

  ClientLifecycle(Connection connection) {
    this.connection = connection;
  }

  private static Map<State, Set<State>> transitions() {
    Map<State, Set<State>> transitions = new EnumMap<>(State.class);
    transitions.put(State.STARTING, EnumSet.of(State.IDLE, State.FLUSHING, State.CLOSED));
    transitions.put(
        State.IDLE, EnumSet.of(State.BUSY, State.FLUSHING, State.HALF_CLOSED, State.CLOSED));
    transitions.put(State.BUSY, EnumSet.of(State.IDLE, State.CLOSED));
    transitions.put(State.FLUSHING, EnumSet.of(State.HALF_CLOSED, State.CLOSED));
    transitions.put(State.HALF_CLOSED, EnumSet.of(State.CLOSED));
    transitions.put(State.CLOSED, EnumSet.noneOf(State.class));
    return transitions;
  }

  State state() {
    return state;
  }

  /** Why it ends; null while it does not. */
  CloseReason reason() {
    return reason;
  }

  /** Whether messages are still taken from it. */
  boolean isOpen() {
    return state == State.STARTING || state == State.IDLE || state == State.BUSY;
  }

  /** Whether the next message may be taken. */
  boolean canTakeMessage() {
    return state == State.STARTING || state == State.IDLE;
  }

  boolean isBusy() {
    return state == State.BUSY;
  }

  private void transitionTo(State next) {
    if (!TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("a client's connection goes from " + state + " to " + next);
    }
    state = next;
  }

  void onStarted() {
    transitionTo(State.IDLE);
  }

  void onStatementSubmitted() {
    transitionTo(State.BUSY);
  }

  void onAnswered() {
    transitionTo(State.IDLE);
  }

  /**
   * Ends it silently: only between statements, with nothing of a next one read or received. Nothing
   * comes between the look at its socket and the end, neither a clock nor the log: what a client
   * sends meanwhile is closed over. False where the connection goes on, since its client has sent
   * something by now or has not taken its last answer.
   */
  boolean endIfIdle(CloseReason closeReason) {
    if (!isIdle() || !connection.isAllWritten()) {
      return false;
    }
    connection.readAvailable();
    if (!isIdle()) {
      return false;
    }
    connection.shutdownOutput();
    reason = closeReason;
    transitionTo(State.HALF_CLOSED);
    return true;
  }

  private boolean isIdle() {
    return state == State.IDLE && !connection.hasPartialMessage();
  }

  /**
   * Begins to end it with an error that answers whatever its client has sent and this router has
   * not taken. False where a statement is in hand, which is owed its own answer, or where the
   * connection ends already.
   */
  boolean beginEndWithError(CloseReason closeReason) {
    if (!canTakeMessage()) {
      return false;
    }
    beginFlushing(closeReason);
    return true;
  }

  private void beginFlushing(CloseReason closeReason) {
    reason = closeReason;
    transitionTo(State.FLUSHING);
  }

  /** Its last words were written whole and this side's sending has ended. */
  void onOutputShutdown() {
    transitionTo(State.HALF_CLOSED);
  }

  /**
   * The client has gone, could not be written to, or has had its time. False where it was closed
   * before.
   */
  boolean markClosed(CloseReason closeReason) {
    if (state == State.CLOSED) {
      return false;
    }
    reason = reason == null ? closeReason : reason;
    transitionTo(State.CLOSED);
    return true;
  }
}
