package basaltlever.net;

import basaltlever.log.Counter;

/** Why a client connection, or an idle connection to an endpoint, is closed. */
enum CloseReason {
  /** The client closed or reset the connection, or sent Terminate. */
  PEER_CLOSED(Counter.CLIENT_CLOSED_BY_PEER),
  /** A protocol error, or more pipelined input than is allowed. */
  PROTOCOL_ERROR(Counter.CLIENT_CLOSED_PROTOCOL_ERROR),
  /** The startup message, the first statement or the rest of a message timed out. */
  SILENT(Counter.CLIENT_CLOSED_SILENT),
  /** The connection was idle while idle clients were many. */
  IDLE(Counter.CLIENT_CLOSED_IDLE),
  /** The connection was idle, and its descriptor was needed. */
  DESCRIPTOR_NEEDED(Counter.CLIENT_CLOSED_FOR_DESCRIPTOR),
  /** The client was new or had sent no statement, and no descriptor was free for it. */
  TURNED_AWAY(Counter.CLIENT_TURNED_AWAY),
  /** The router shuts down. */
  SHUTDOWN(Counter.CLIENT_CLOSED_SHUTDOWN),
  /** Reading or writing failed in this program, or memory was exhausted. */
  FAULT(Counter.CLIENT_CLOSED_FAULT);

  final Counter counter;

  CloseReason(Counter counter) {
    this.counter = counter;
  }
}
