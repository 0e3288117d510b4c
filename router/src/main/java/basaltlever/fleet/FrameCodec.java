package basaltlever.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads and writes the messages on a connection between instances, each preceded by its length in
 * four bytes. The connection is closed if the peer sends malformed bytes, or more messages per
 * second than any instance does.
 */
abstract class FrameCodec<M> extends ChannelInboundHandlerAdapter {
  private static final int LENGTH_BYTES = 4;

  /** Above the rate of any instance: one heartbeat every 50 ms, and commands. */
  private static final int MAX_MESSAGES_PER_SECOND = 200;

  private static final int MAX_PENDING_WRITE_BYTES = 4 * MessageCodec.MAX_MESSAGE_BYTES;

  private final Function<Map<?, ?>, M> decoder;
  private ByteBuf receiveBuffer;
  private long currentSecond;
  private int messagesThisSecond;

  FrameCodec(Function<Map<?, ?>, M> decoder) {
    this.decoder = decoder;
  }

  /** Handles a message, on the connection's event loop. */
  abstract void onMessage(ChannelHandlerContext context, M message);

  static void send(ChannelHandlerContext to, FleetRequest request) {
    send(to, RequestCodec.encode(request));
  }

  static void send(ChannelHandlerContext to, FleetReply reply) {
    send(to, ReplyCodec.encode(reply));
  }

  private static void send(ChannelHandlerContext to, Map<String, Object> message) {
    if (to.channel().unsafe().outboundBuffer() == null) {
      return;
    }
    if (to.channel().unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_PENDING_WRITE_BYTES) {
      // Pending messages to a peer that reads too slowly would use memory without bound.
      to.close();
      return;
    }
    byte[] bytes = MessageCodec.write(message);
    ByteBuf out = to.alloc().buffer(LENGTH_BYTES + bytes.length);
    to.writeAndFlush(out.writeInt(bytes.length).writeBytes(bytes));
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    receiveBuffer = context.alloc().buffer();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    receiveBuffer.release();
    receiveBuffer = null;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object read) throws IOException {
    ByteBuf in = (ByteBuf) read;
    try {
      if (receiveBuffer == null) {
        return;
      }
      receiveBuffer.writeBytes(in);
    } finally {
      in.release();
    }
    while (receiveBuffer != null && receiveBuffer.readableBytes() >= LENGTH_BYTES) {
      int length = receiveBuffer.getInt(receiveBuffer.readerIndex());
      if (length < 1 || length > MessageCodec.MAX_MESSAGE_BYTES) {
        throw new IOException("message length is out of range: " + length + " bytes");
      }
      if (receiveBuffer.readableBytes() < LENGTH_BYTES + length) {
        break;
      }
      enforceMessageRate();
      byte[] bytes = ByteBufUtil.getBytes(receiveBuffer.skipBytes(LENGTH_BYTES).readSlice(length));
      receiveBuffer.discardSomeReadBytes();
      onMessage(context, decoder.apply(MessageCodec.read(bytes, 0, bytes.length)));
    }
  }

  private void enforceMessageRate() throws IOException {
    long second = System.nanoTime() / 1_000_000_000;
    messagesThisSecond = second == currentSecond ? messagesThisSecond + 1 : 1;
    currentSecond = second;
    if (messagesThisSecond > MAX_MESSAGES_PER_SECOND) {
      throw new IOException(
          "peer sent more than " + MAX_MESSAGES_PER_SECOND + " messages per second");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
