package basaltlever.log;

import java.util.Locale;

/**
 * The counters of a router: reasons for closing connections and rejecting statements, and the
 * numbers of messages sent.
 */
public enum Counter {
  /** A client closed its connection, or reset it. */
  CLIENT_CLOSED_BY_PEER,
  /** A client violated the protocol or sent more than the input buffer allows. */
  CLIENT_CLOSED_PROTOCOL_ERROR,
  /**
   * A client sent no startup message, no first statement or only part of a message before its
   * timeout.
   */
  CLIENT_CLOSED_SILENT,
  /** A client was idle between statements while there were too many idle clients. */
  CLIENT_CLOSED_IDLE,
  /** A client was idle, and its file descriptor was needed. */
  CLIENT_CLOSED_FOR_DESCRIPTOR,
  /** The router shut down. */
  CLIENT_CLOSED_SHUTDOWN,
  /**
   * A connection that had sent no statement yet was rejected with an error, since no file
   * descriptor was available for it.
   */
  CLIENT_TURNED_AWAY,
  /** Handling the input of the client failed with an unexpected exception. */
  CLIENT_CLOSED_FAULT,
  /** An idle connection was to be closed but stays open: its client had sent data by then. */
  CLIENT_END_DECLINED,
  CLIENT_ACCEPTED,
  /**
   * Accepting was paused, which leaves new connections in the listen queue: no file descriptor was
   * free in this process or in the system.
   */
  ACCEPT_PAUSED,
  /** Deferred accept was enabled: connections without data stay out of the listen queue. */
  ACCEPT_DEFERRED,
  /**
   * Connections that the kernel could not add to a full listen queue, over all programs on this
   * machine.
   */
  LISTEN_OVERFLOWS,
  NODE_CONNECTION_OPENED,
  /** The endpoint or the network closed the connection. */
  NODE_CONNECTION_LOST,
  /** The connection was not established within the connect timeout. */
  NODE_CONNECT_TIMED_OUT,
  /** The connection was idle for as long as an endpoint keeps idle connections. */
  NODE_CONNECTION_EXPIRED,
  /**
   * The connection was idle, and its file descriptor was needed or more connections were idle than
   * the traffic needs.
   */
  NODE_CONNECTION_EVICTED,
  /** An endpoint sent a response that no query had requested, such as a copy of the one before. */
  NODE_RESPONSE_UNREQUESTED,
  /** The response on this connection is no longer awaited, or can't be trusted. */
  NODE_CONNECTION_ABANDONED,
  /** An attempt was not started since no file descriptor was free. */
  EXECUTION_WITHOUT_DESCRIPTOR,
  /** A poll or a warm-up connection was not started since no file descriptor was free. */
  POLL_WITHOUT_DESCRIPTOR,
  POLL_SENT,
  EXECUTION_SENT,
  /** An attempt after the first one of a statement. */
  EXECUTION_RETRIED,
  /**
   * A statement was rejected: no endpoint had capacity, or no primary was found, before its
   * queueing limit or its deadline.
   */
  REFUSED_OVERDUE,
  /** The endpoints of the group respond late: statements of less value are not started. */
  REFUSED_SHED,
  /** The statement exceeds the budget of held statements. */
  REFUSED_HOLD_FULL,
  /** All attempts are used, or another attempt is not allowed. */
  REFUSED_NO_ATTEMPT_LEFT,
  /** More statements are open than the settings allow, or their texts use too much memory. */
  REFUSED_TOO_MANY_OPEN,
  /**
   * The statement was sent ahead of more unanswered input than is buffered, or no memory was left
   * to buffer it.
   */
  REFUSED_SENT_AHEAD,
  /** Input of the client did not end for long, so it was not known whether it had disconnected. */
  REFUSED_UNREAD_INPUT,
  /** A statement with the same id was executed before or is in progress. */
  REFUSED_REPEATED_ID,
  /** The router is shutting down. */
  REFUSED_SHUTDOWN,
  /** A statement was reported as failed, but may have taken effect. */
  FAILED_EFFECT_UNKNOWN,
  /**
   * A statement was aborted after its deadline although the load balancer had not ended it: a fault
   * of the program.
   */
  STATEMENT_OVERDUE,
  /** An iteration of the event loop took longer than the threshold of {@code net.LoopIteration}. */
  TURN_SLOW,
  LIST_ENTRIES_READ,
  LIST_CALL_FAILED;

  /** The name of the counter in the log. */
  public final String key = name().toLowerCase(Locale.ROOT);
}
