package basaltlever.net;

import basaltlever.log.Counter;

/** Why a connection of a client, or an idle one to a node, ends. */
enum CloseReason {
  /** The client closed or reset it, or said that it ends. */
  PEER_CLOSED(Counter.CLIENT_CLOSED_BY_PEER),
  /** A fault of the protocol, or more sent ahead than may wait. */
  PROTOCOL_ERROR(Counter.CLIENT_CLOSED_PROTOCOL_ERROR),
  /** No start, no first statement or half a message for too long. */
  SILENT(Counter.CLIENT_CLOSED_SILENT),
  /** It was idle where idle clients are many. */
  IDLE(Counter.CLIENT_CLOSED_IDLE),
  /** It was idle, and its descriptor was needed. */
  DESCRIPTOR_NEEDED(Counter.CLIENT_CLOSED_FOR_DESCRIPTOR),
  /** It had asked nothing yet, or had just come, and there was no descriptor for it. */
  TURNED_AWAY(Counter.CLIENT_TURNED_AWAY),
  /** This router ends. */
  SHUTDOWN(Counter.CLIENT_CLOSED_SHUTDOWN),
  /** Reading or writing failed on this side, or there was no memory for it. */
  FAULT(Counter.CLIENT_CLOSED_FAULT);

  final Counter counter;

  CloseReason(Counter counter) {
    this.counter = counter;
  }
}
