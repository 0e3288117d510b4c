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
  private static final int LARGEST = 1 << 20;

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
  private PeerTimeout upBy;
  private Moment idleSince;

  /** Whether what came could not be read: the node lives and the statement may have run. */
  private boolean spoilt;

  /** Whether it could carry its job by now. */
  private boolean welcomed;

  /** Opens it for the job, which is its own until the job is over. */
  PooledConnection(
      ConnectionPool pool, InetSocketAddress address, MemoryBudget budget, ServerQuery query) {
    this.pool = pool;
    this.address = address;
    decoder = new MessageDecoder(LARGEST, budget);
    this.query = query;
    query.on(this);
  }

  void opens(Channel opening) {
    channel = opening;
    upBy = pool.connectTimeout(this::connectTimedOut);
  }

  private void connectTimedOut() {
    if (state == State.OPENING && !welcomed) {
      pool.count(Counter.NODE_CONNECT_TIMED_OUT);
      close();
    }
  }

  @Override
  public Moment idleSince() {
    return idleSince;
  }

  /** The job that it was opened for, which may be over by now; null where this connection is. */
  ServerQuery first() {
    if (state != State.OPENING) {
      return null;
    }
    ServerQuery first = query;
    idle();
    return first;
  }

  void run(ServerQuery next) {
    state = State.BUSY;
    query = next;
    next.on(this);
    response = new QueryResponse();
    ByteBuf out = channel.alloc().buffer();
    next.write(out);
    channel
        .writeAndFlush(out)
        .addListener(
            done -> {
              if (done.isSuccess()) {
                next.wasWritten();
              }
            });
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    ByteBuf out = context.alloc().buffer();
    MessageEncoder.startupMessage(out, "app", "shop");
    context.writeAndFlush(out);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object in) throws ProtocolException {
    if (state == State.CLOSED) {
      ((ByteBuf) in).release();
      return;
    }
    decoder.add((ByteBuf) in);
    for (ByteBuf m = decoder.nextMessage();
        m != null && state != State.CLOSED;
        m = decoder.nextMessage()) {
      message(m);
    }
    if ((state == State.IDLE || (state == State.OPENING && welcomed))
        && decoder.bufferedBytes() > 0) {
      // Its rest would be taken for the beginning of the next query's answer.
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "half a message that nobody asked for");
    }
  }

  private void message(ByteBuf message) throws ProtocolException {
    byte type = message.getByte(message.readerIndex());
    if (state == State.BUSY) {
      if (response.add(message)) {
        finished();
      } else if (response.isUnusable()) {
        throw new ProtocolException(
            ProtocolCodes.PROTOCOL_VIOLATION, "an answer is no row, or goes on without end");
      }
    } else if (type == ProtocolCodes.READY_FOR_QUERY && state == State.OPENING && !welcomed) {
      if (decoder.bufferedBytes() > 0) {
        throw new ProtocolException(ProtocolCodes.PROTOCOL_VIOLATION, "more than a welcome");
      }
      upBy.cancel();
      welcomed = true;
      pool.welcomed(this);
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
            && isAdmission(message))) {
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "a message of type " + type + " that nobody asked for");
    }
  }

  private static boolean isAdmission(ByteBuf message) {
    return message.readableBytes() == MessageDecoder.HEADER_BYTES + 4
        && message.getInt(message.readerIndex() + MessageDecoder.HEADER_BYTES) == 0;
  }

  private void finished() {
    ServerQuery done = query;
    QueryResponse whole = response;
    response = null;
    if (decoder.bufferedBytes() == 0 && (whole.isSingleRow() || whole.sqlState() != null)) {
      idle();
      done.endAnswered(whole);
      pool.free(this);
    } else {
      // A good answer stands, but what follows it unasked would be taken for the next one's.
      pool.spoilt("an answer to a query is none, or more than one");
      done.endAnswered(whole);
      close();
    }
  }

  private void idle() {
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
    gone();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (state != State.CLOSED) {
      pool.count(Counter.NODE_CONNECTION_LOST);
    }
    gone();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof ProtocolException) {
      spoilt = true;
      pool.spoilt(cause.getMessage());
    } else if (!(cause instanceof java.io.IOException)) {
      Event.FAULT.fault(LOG, "", cause, "talking to node " + pool);
    }
    close();
  }

  /** Once, however the connection ended. */
  void gone() {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    if (upBy != null) {
      upBy.cancel();
    }
    decoder.release();
    pool.closed(this);
    ServerQuery lost = query;
    query = null;
    QueryResponse cut = response;
    response = null;
    if (lost != null && cut != null && cut.sqlState() != null && !spoilt) {
      // A fatal error needs no ReadyForQuery: what it says was proven before the end.
      lost.endAnswered(cut);
      return;
    }
    if (lost != null) {
      lost.endLost(
          AttemptOutcome.NO_CONNECTION, spoilt ? AttemptOutcome.UNKNOWN : AttemptOutcome.RESET);
    }
    if (cut != null) {
      cut.release();
    }
  }
}
