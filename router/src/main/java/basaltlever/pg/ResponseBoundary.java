package basaltlever.pg;

import io.netty.buffer.ByteBuf;

/**
 * Finds where the response to a query begins, on a connection that may still deliver an unrequested
 * copy of an earlier response.
 *
 * <p>Nothing in a response names its query. So an empty query is sent ahead of each query. A server
 * answers in order: whatever it sends before the EmptyQueryResponse was written before it began
 * with this query, and cannot be the response to it.
 */
public final class ResponseBoundary {
  /** The stage of the messages that precede the response. */
  private enum Stage {
    AWAITING_EMPTY_QUERY_RESPONSE,
    AWAITING_READY,
    REACHED
  }

  private Stage stage = Stage.AWAITING_EMPTY_QUERY_RESPONSE;

  /** An unrequested response that is incomplete; null between responses. */
  private QueryResponse unrequested;

  private int unrequestedResponses;
  private int unrequestedBytes;

  /** Writes the empty query; the query has to follow it without another one in between. */
  public static void writeEmptyQuery(ByteBuf out) {
    MessageEncoder.writeQuery(out, "");
  }

  /** Returns whether the messages that follow belong to the response to the query. */
  public boolean isReached() {
    return stage == Stage.REACHED;
  }

  /** Returns the number of complete responses that came before the boundary. */
  public int unrequestedResponses() {
    return unrequestedResponses;
  }

  /**
   * Adds the next message before the boundary. Only complete, well-formed responses are skipped:
   * after anything else the boundary could be part of a value.
   */
  public void add(ByteBuf message) throws ProtocolException {
    byte type = message.getByte(message.readerIndex());
    if (unrequested != null) {
      addUnrequested(message);
    } else if (type == ProtocolCodes.PARAMETER_STATUS || type == ProtocolCodes.NOTICE_RESPONSE) {
      // A server may send these at any time.
      return;
    } else if (stage == Stage.AWAITING_READY) {
      requireType(type, ProtocolCodes.READY_FOR_QUERY);
      stage = Stage.REACHED;
    } else if (type == ProtocolCodes.EMPTY_QUERY_RESPONSE) {
      stage = Stage.AWAITING_READY;
    } else {
      unrequested = new QueryResponse();
      addUnrequested(message);
    }
  }

  private static void requireType(byte type, byte expected) throws ProtocolException {
    if (type != expected) {
      throw ProtocolException.violation(
          "an endpoint sent a message of type " + type + " within the response to an empty query");
    }
  }

  private void addUnrequested(ByteBuf message) throws ProtocolException {
    unrequestedBytes += message.readableBytes();
    boolean complete = unrequested.add(message);
    boolean usable =
        complete
            ? unrequested.isSingleRow() || unrequested.sqlState() != null
            : !unrequested.isUnusable();
    if (!usable || unrequestedBytes > QueryResponse.MAX_RESPONSE_BYTES) {
      throw ProtocolException.violation("an endpoint sent bytes that were not requested");
    }
    if (complete) {
      unrequestedResponses++;
      release();
    }
  }

  /** Releases what is left of an incomplete unrequested response. */
  public void release() {
    if (unrequested != null) {
      unrequested.release();
      unrequested = null;
    }
  }
}
