package basaltlever.net;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * The state machine of one client connection, without I/O. It decides every end of a connection by
 * this router: an end is allowed only if no answer is pending, and input that the system has
 * received counts like input that was read.
 *
 * <pre>
 * STARTING -> IDLE -> BUSY -> IDLE ...       startup message; statement in progress
 * IDLE -> HALF_CLOSED                        ended between statements; the output is shut down
 * STARTING, IDLE -> FLUSHING                 ended with an error, which is being written
 * FLUSHING -> HALF_CLOSED                    the error is written and the output is shut down
 * any -> CLOSED                              the client disconnected, or a timeout expired
 * </pre>
 */
final class ClientLifecycle {
  /** The state of a connection. */
  enum State {
    /** Accepted; the startup message is incomplete. */
    STARTING,
    /** Between statements. */
    IDLE,
    /** A statement is in progress. */
    BUSY,
    /** This router ends the connection and is writing the final error. */
    FLUSHING,
    /** This router has shut down its output; input is read and discarded. */
    HALF_CLOSED,
    /** Closed: nothing is answered or read any more. */
    CLOSED
  }

  /** The operations of the connection that this lifecycle needs. */
  interface Connection {
    /** Reads and processes what the system has received, which may change the state. */
    void readAvailable();

    /** Whether a message, complete or not, has been received and not been processed. */
    boolean hasPartialMessage();

    /** Whether the system has accepted all that was written. */
    boolean isAllWritten();

    /** Shuts down the output immediately. */
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

  /** Returns why the connection ends; null while it does not. */
  CloseReason reason() {
    return reason;
  }

  /** Whether messages of this connection are processed. */
  boolean isOpen() {
    return state == State.STARTING || state == State.IDLE || state == State.BUSY;
  }

  /** Whether the next message may be processed. */
  boolean canTakeMessage() {
    return state == State.STARTING || state == State.IDLE;
  }

  boolean isBusy() {
    return state == State.BUSY;
  }

  private void transitionTo(State next) {
    if (!TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException(
          "invalid transition of a client connection from " + state + " to " + next);
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
   * Ends the connection without an error, only between statements and with nothing of a next
   * message read or received. Nothing runs between the last read of the socket and the shutdown of
   * the output, neither a clock nor the log, since input that arrives in between is discarded.
   * Returns false and leaves the connection open if its client has sent something or has not read
   * its last answer.
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
   * Begins to end the connection with an error, which answers all input that this router has not
   * processed. Returns false if a statement is in progress, which gets its own answer first, or if
   * the connection is already ending.
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

  /** The final error is written and the output is shut down. */
  void onOutputShutdown() {
    transitionTo(State.HALF_CLOSED);
  }

  /**
   * Marks the connection closed because the client disconnected, a write failed or a timeout
   * expired. Returns false if it was closed already.
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
