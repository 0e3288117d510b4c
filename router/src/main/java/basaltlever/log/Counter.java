package basaltlever.log;

import java.util.Locale;

/**
 * What a router counts: why connections are closed, why statements are refused, and what is sent.
 */
public enum Counter {
  /** A client closed its connection, or reset it. */
  CLIENT_CLOSED_BY_PEER,
  /** A client broke the protocol or sent more than may wait. */
  CLIENT_CLOSED_PROTOCOL_ERROR,
  /** No start, no first statement or half a message for too long. */
  CLIENT_CLOSED_SILENT,
  /** It rested between statements, and idle clients were many. */
  CLIENT_CLOSED_IDLE,
  /** It rested, and its descriptor was needed. */
  CLIENT_CLOSED_FOR_DESCRIPTOR,
  /** This router ends. */
  CLIENT_CLOSED_SHUTDOWN,
  /**
   * A connection that had asked nothing yet was turned away with an error, since there was no
   * descriptor for it.
   */
  CLIENT_TURNED_AWAY,
  /** This program failed at what it had sent. */
  CLIENT_CLOSED_FAULT,
  /** An idle connection that was to be ended goes on: its client had sent something by then. */
  CLIENT_END_DECLINED,
  CLIENT_ACCEPTED,
  /**
   * Accepting paused, with new connections in the listen queue: no descriptor was free, or the
   * system had none.
   */
  ACCEPT_PAUSED,
  /** Connections that have sent nothing are kept out of the listen queue from here on. */
  ACCEPT_DEFERRED,
  /**
   * Connections that the machine could not put into a listen queue that was full (of all programs
   * on this machine).
   */
  LISTEN_OVERFLOWS,
  NODE_CONNECTION_OPENED,
  /** The node, or the network, ended it. */
  NODE_CONNECTION_LOST,
  /** It did not come up in time. */
  NODE_CONNECT_TIMED_OUT,
  /** It rested for as long as a node may keep it. */
  NODE_CONNECTION_EXPIRED,
  /** It rested, and its descriptor was needed or more rested than the traffic needs. */
  NODE_CONNECTION_EVICTED,
  /** Its answer is not waited for any more, or can't be trusted. */
  NODE_CONNECTION_ABANDONED,
  /** An execution was not begun since no descriptor was free. */
  EXECUTION_WITHOUT_DESCRIPTOR,
  /** A poll or a warm-up was not begun since no descriptor was free. */
  POLL_WITHOUT_DESCRIPTOR,
  POLL_SENT,
  EXECUTION_SENT,
  /** An execution beyond a statement's first. */
  EXECUTION_RETRIED,
  /** Statements refused: no room before its patience or its time was over. */
  REFUSED_OVERDUE,
  /** The group's servers answer late: less important statements are not begun. */
  REFUSED_SHED,
  /** The hold has no room for it. */
  REFUSED_HOLD_FULL,
  /** Attempts are used up, or another one is not allowed. */
  REFUSED_NO_ATTEMPT_LEFT,
  /** More statements are open than the settings allow, or their texts take up too much memory. */
  REFUSED_TOO_MANY_OPEN,
  /** This router ends. */
  REFUSED_SHUTDOWN,
  /** Answered as failed: it may have had an effect. */
  FAILED_EFFECT_UNKNOWN,
  /**
   * The guard had to abort a statement that the decisions had forgotten: a fault of the program.
   */
  STATEMENT_OVERDUE,
  /** A turn of the loop that took longer than {@code net.LoopIteration} allows for. */
  TURN_SLOW,
  LIST_ENTRIES_READ,
  LIST_CALL_FAILED;

  /** As it stands in the log. */
  public final String key = name().toLowerCase(Locale.ROOT);
}
