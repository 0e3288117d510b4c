package basaltlever.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.Map;

/**
 * Messages on a connection between instances, each behind four bytes of its length. Any bytes that
 * are none cost the connection and no more; so does who sends more at once than a turn of a peer
 * ever holds.
 */
abstract class FrameCodec extends ChannelInboundHandlerAdapter {
  private static final int HEAD = 4;

  /** So many messages a second one peer may send: a beat each 50 ms, and commands. */
  private static final int MOST_A_SECOND = 200;

  private static final int MOST_UNSENT = 4 * MessageCodec.LARGEST;

  private ByteBuf kept;
  private long second;
  private int messages;

  abstract void heard(ChannelHandlerContext from, Map<String, Object> message);

  static void send(ChannelHandlerContext to, Map<String, Object> message) {
    if (to.channel().unsafe().outboundBuffer() == null) {
      return;
    }
    if (to.channel().unsafe().outboundBuffer().totalPendingWriteBytes() > MOST_UNSENT) {
      // Who reads a byte a second gets what it has read.
      to.close();
      return;
    }
    byte[] bytes = MessageCodec.write(message);
    ByteBuf out = to.alloc().buffer(HEAD + bytes.length);
    to.writeAndFlush(out.writeInt(bytes.length).writeBytes(bytes));
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    kept = context.alloc().buffer();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    kept.release();
    kept = null;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object read) throws IOException {
    ByteBuf in = (ByteBuf) read;
    try {
      if (kept == null) {
        return;
      }
      kept.writeBytes(in);
    } finally {
      in.release();
    }
    while (kept != null && kept.readableBytes() >= HEAD) {
      int length = kept.getInt(kept.readerIndex());
      if (length < 1 || length > MessageCodec.LARGEST) {
        throw new IOException("a message of " + length + " bytes");
      }
      if (kept.readableBytes() < HEAD + length) {
        break;
      }
      limit();
      byte[] bytes = ByteBufUtil.getBytes(kept.skipBytes(HEAD).readSlice(length));
      kept.discardSomeReadBytes();
      heard(context, MessageCodec.read(bytes, 0, bytes.length));
    }
  }

  private void limit() throws IOException {
    long now = System.nanoTime() / 1_000_000_000;
    messages = now == second ? messages + 1 : 1;
    second = now;
    if (messages > MOST_A_SECOND) {
      throw new IOException("more than " + MOST_A_SECOND + " messages a second");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
