package basaltlever.net;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.log.Counter;
import basaltlever.log.Event;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolCodes;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.QueryResponse;
import basaltlever.pg.ResponseBoundary;
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection to an endpoint, with one query at a time. */
final class PooledConnection extends ChannelInboundHandlerAdapter
    implements Descriptors.IdleConnection {
  private static final Logger LOG = LoggerFactory.getLogger(PooledConnection.class);

  /** Bounds memory. Servers have sent values of up to 400 KB, although 64 KiB are specified. */
  private static final int MAX_MESSAGE_BYTES = 1 << 20;

  private enum State {
    OPENING,
    IDLE,
    BUSY,
    CLOSED
  }

  private final ConnectionPool pool;
  private final InetSocketAddress address;
  private final MessageDecoder decoder;
  private Channel channel;
  private State state = State.OPENING;
  private ServerQuery query;
  private QueryResponse response;

  /**
   * Where the response to the query begins; null if it is the first one on this connection, before
   * which there is no response that could be repeated.
   */
  private ResponseBoundary boundary;

  private boolean hasCarriedQuery;
  private PeerTimeout connectTimeout;
  private Moment idleSince;

  /**
   * Whether received bytes could not be decoded: the server is up and the statement may have run.
   */
  private boolean protocolViolated;

  /** Whether the server has completed the startup, so that the connection can carry its query. */
  private boolean startupCompleted;

  /** Opens a connection for the query, and is attached to it until the query ends. */
  PooledConnection(
      ConnectionPool pool, InetSocketAddress address, MemoryBudget budget, ServerQuery query) {
    this.pool = pool;
    this.address = address;
    decoder = new MessageDecoder(MAX_MESSAGE_BYTES, budget);
    this.query = query;
    query.attachTo(this);
  }

  void onConnecting(Channel connectingChannel) {
    channel = connectingChannel;
    connectTimeout = pool.connectTimeout(this::onConnectTimeout);
  }

  private void onConnectTimeout() {
    if (state == State.OPENING && !startupCompleted) {
      pool.count(Counter.NODE_CONNECT_TIMED_OUT);
      close();
    }
  }

  @Override
  public Moment idleSince() {
    return idleSince;
  }

  /**
   * Returns the query that the connection was opened for, which may have ended by now, or null if
   * the connection has ended.
   */
  ServerQuery takeFirstQuery() {
    if (state != State.OPENING) {
      return null;
    }
    ServerQuery firstQuery = query;
    markIdle();
    return firstQuery;
  }

  void send(ServerQuery nextQuery) {
    state = State.BUSY;
    query = nextQuery;
    nextQuery.attachTo(this);
    response = new QueryResponse();
    ByteBuf out = channel.alloc().buffer();
    if (hasCarriedQuery) {
      boundary = new ResponseBoundary();
      ResponseBoundary.writeEmptyQuery(out);
    }
    hasCarriedQuery = true;
    nextQuery.write(out);
    channel
        .writeAndFlush(out)
        .addListener(
            done -> {
              if (done.isSuccess()) {
                nextQuery.markWritten();
              }
            });
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    ByteBuf out = context.alloc().buffer();
    MessageEncoder.writeStartupMessage(out, "app", "shop");
    context.writeAndFlush(out);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object in) throws ProtocolException {
    if (state == State.CLOSED) {
      ((ByteBuf) in).release();
      return;
    }
    decoder.add((ByteBuf) in);
    for (ByteBuf message = decoder.nextMessage();
        message != null && state != State.CLOSED;
        message = decoder.nextMessage()) {
      handleMessage(message);
    }
    if ((state == State.IDLE || (state == State.OPENING && startupCompleted))
        && decoder.bufferedBytes() > 0) {
      // The rest of the message would be taken for the start of the next response.
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "an incomplete message that was not requested");
    }
  }

  private void handleMessage(ByteBuf message) throws ProtocolException {
    byte type = message.getByte(message.readerIndex());
    if (state == State.BUSY) {
      handleResponseMessage(message);
    } else if (type == ProtocolCodes.READY_FOR_QUERY
        && state == State.OPENING
        && !startupCompleted) {
      if (decoder.bufferedBytes() > 0) {
        throw new ProtocolException(
            ProtocolCodes.PROTOCOL_VIOLATION, "unrequested bytes after the startup response");
      }
      connectTimeout.cancel();
      startupCompleted = true;
      pool.onStartupCompleted(this);
    } else if (type == ProtocolCodes.ERROR_RESPONSE && state == State.OPENING) {
      LOG.debug("{} rejected a connection: {}", pool, QueryResponse.errorField(message, 'C'));
      close();
    } else if (type == ProtocolCodes.ERROR_RESPONSE && state == State.IDLE) {
      close();
    } else if (type != ProtocolCodes.PARAMETER_STATUS
        && type != ProtocolCodes.NOTICE_RESPONSE
        && type != ProtocolCodes.BACKEND_KEY_DATA
        && !(type == ProtocolCodes.AUTHENTICATION
            && state == State.OPENING
            && isAuthenticationOk(message))) {
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION,
          "a message of type " + type + " that was not requested");
    }
  }

  private void handleResponseMessage(ByteBuf message) throws ProtocolException {
    boolean responseBegun = boundary == null || boundary.isReached();
    if (!responseBegun && !QueryResponse.isFatalError(message)) {
      boundary.add(message);
    } else if (response.add(message)) {
      onResponseComplete();
    } else if (response.isUnusable()) {
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "a response is malformed or exceeds its size limit");
    }
  }

  private static boolean isAuthenticationOk(ByteBuf message) {
    return message.readableBytes() == MessageDecoder.HEADER_BYTES + 4
        && message.getInt(message.readerIndex() + MessageDecoder.HEADER_BYTES) == 0;
  }

  private void onResponseComplete() {
    ServerQuery finishedQuery = query;
    QueryResponse completeResponse = response;
    response = null;
    boolean followsUnrequested = boundary != null && boundary.unrequestedResponses() > 0;
    boundary = null;
    String violation = findViolation(completeResponse, followsUnrequested);
    if (violation == null) {
      markIdle();
      finishedQuery.complete(completeResponse);
      pool.returnIdle(this);
    } else {
      // A valid response is used, but a server that sends more may do so again.
      pool.logProtocolViolation(violation);
      finishedQuery.complete(completeResponse);
      close();
    }
  }

  /** Returns why the connection can carry no further query; null if it can. */
  private String findViolation(QueryResponse completeResponse, boolean followsUnrequested) {
    if (followsUnrequested) {
      pool.count(Counter.NODE_RESPONSE_UNREQUESTED);
      return "a response that was not requested came before the one that was";
    }
    if (decoder.bufferedBytes() > 0) {
      return "a response is followed by unrequested bytes";
    }
    return completeResponse.isSingleRow() || completeResponse.sqlState() != null
        ? null
        : "a response holds neither one row nor an error";
  }

  private void markIdle() {
    state = State.IDLE;
    query = null;
    idleSince = pool.now();
  }

  InetSocketAddress address() {
    return address;
  }

  /**
   * Reads what the system has received by now. Must not be called from within a read of the same
   * socket.
   */
  void readReceived() {
    if (state == State.BUSY && channel.isActive()) {
      ((AbstractNioChannel) channel).unsafe().read();
    }
  }

  /** Closes the connection, unless it is still being opened and may serve another query. */
  void abandon() {
    if (state != State.OPENING) {
      pool.count(Counter.NODE_CONNECTION_ABANDONED);
      close();
    }
  }

  @Override
  public boolean endIfIdle(CloseReason closeReason) {
    pool.count(Counter.NODE_CONNECTION_EVICTED);
    close();
    return true;
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
    onClosed();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (state != State.CLOSED) {
      pool.count(Counter.NODE_CONNECTION_LOST);
    }
    onClosed();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof ProtocolException) {
      protocolViolated = true;
      pool.logProtocolViolation(cause.getMessage());
    } else if (!(cause instanceof java.io.IOException)) {
      Event.FAULT.logError(LOG, "", cause, "handling a connection to endpoint " + pool);
    }
    close();
  }

  /** Releases everything, once, however the connection ended. */
  void onClosed() {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    if (connectTimeout != null) {
      connectTimeout.cancel();
    }
    decoder.release();
    pool.onConnectionClosed(this);
    ServerQuery openQuery = query;
    query = null;
    QueryResponse partialResponse = response;
    response = null;
    if (boundary != null) {
      boundary.release();
      boundary = null;
    }
    if (openQuery != null
        && partialResponse != null
        && partialResponse.sqlState() != null
        && !protocolViolated) {
      // A fatal error is not followed by ReadyForQuery. Its code arrived in full before the
      // connection ended.
      openQuery.complete(partialResponse);
      return;
    }
    if (openQuery != null) {
      openQuery.fail(
          AttemptOutcome.NO_CONNECTION,
          protocolViolated ? AttemptOutcome.UNKNOWN : AttemptOutcome.RESET);
    }
    if (partialResponse != null) {
      partialResponse.release();
    }
  }
}
