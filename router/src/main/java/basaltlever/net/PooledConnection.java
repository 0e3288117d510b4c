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
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection to a node, with one query on it at a time. */
final class PooledConnection extends ChannelInboundHandlerAdapter
    implements Descriptors.IdleConnection {
  private static final Logger LOG = LoggerFactory.getLogger(PooledConnection.class);

  /**
   * Values of up to 400 KB were met, though 64 KiB are agreed: a bound on memory, not on what is
   * right.
   */
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
  private PeerTimeout connectTimeout;
  private Moment idleSince;

  /** Whether what came could not be read: the node lives and the statement may have run. */
  private boolean protocolViolated;

  /** Whether it could carry its job by now. */
  private boolean startupCompleted;

  /** Opens it for the job, which is its own until the job is over. */
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

  /** The job that it was opened for, which may be over by now; null where this connection is. */
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
      // Its rest would be taken for the beginning of the next query's answer.
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "half a message that nobody asked for");
    }
  }

  private void handleMessage(ByteBuf message) throws ProtocolException {
    byte type = message.getByte(message.readerIndex());
    if (state == State.BUSY) {
      if (response.add(message)) {
        onResponseComplete();
      } else if (response.isUnusable()) {
        throw new ProtocolException(
            ProtocolCodes.PROTOCOL_VIOLATION, "an answer is no row, or goes on without end");
      }
    } else if (type == ProtocolCodes.READY_FOR_QUERY
        && state == State.OPENING
        && !startupCompleted) {
      if (decoder.bufferedBytes() > 0) {
        throw new ProtocolException(ProtocolCodes.PROTOCOL_VIOLATION, "more than a welcome");
      }
      connectTimeout.cancel();
      startupCompleted = true;
      pool.onStartupCompleted(this);
    } else if (type == ProtocolCodes.ERROR_RESPONSE && state == State.OPENING) {
      LOG.debug("{} turned a connection away: {}", pool, QueryResponse.errorField(message, 'C'));
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
          ProtocolCodes.PROTOCOL_VIOLATION, "a message of type " + type + " that nobody asked for");
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
    if (decoder.bufferedBytes() == 0
        && (completeResponse.isSingleRow() || completeResponse.sqlState() != null)) {
      markIdle();
      finishedQuery.complete(completeResponse);
      pool.returnIdle(this);
    } else {
      // A good answer stands, but what follows it unasked would be taken for the next one's.
      pool.logProtocolViolation("an answer to a query is none, or more than one");
      finishedQuery.complete(completeResponse);
      close();
    }
  }

  private void markIdle() {
    state = State.IDLE;
    query = null;
    idleSince = pool.now();
  }

  InetSocketAddress address() {
    return address;
  }

  /** Reads at once what the machine has received; never from within a read of the same socket. */
  void readReceived() {
    if (state == State.BUSY && channel.isActive()) {
      ((AbstractNioChannel) channel).unsafe().read();
    }
  }

  /** One that is still being opened may serve another query. */
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
      Event.FAULT.fault(LOG, "", cause, "talking to node " + pool);
    }
    close();
  }

  /** Once, however the connection ended. */
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
    if (openQuery != null
        && partialResponse != null
        && partialResponse.sqlState() != null
        && !protocolViolated) {
      // A fatal error needs no ReadyForQuery: what it says was proven before the end.
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
