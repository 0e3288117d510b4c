package basaltlever.lab.endtoend;

import basaltlever.pg.MessageEncoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Clients of one router whose statements are not checked, but which must not harm others: they send
 * at full speed, stop half way through a statement, or use an id again. All methods must be called
 * on the given event loop.
 */
final class DisruptiveClients {
  /** The statements of a flood. */
  enum Flood {
    SOUND,
    NEW_FIELDS,
    UNKNOWN_CLASSES,
    ONE_ID,
    UNSOUND
  }

  private static final int STATEMENTS_PER_WRITE = 50;
  private static final int HALF_STATEMENT_DIGITS = 100_000;
  private static final int REPEAT_CONNECTION_MILLIS = 2_000;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final SplittableRandom random;
  private final ChannelGroup channels;
  private long sequence;

  DisruptiveClients(EventLoop loop, InetSocketAddress address, SplittableRandom random) {
    this.loop = loop;
    this.address = address;
    this.random = random;
    channels = new DefaultChannelGroup(loop);
  }

  /** Opens connections that send as fast as the router reads, until they are closed. */
  void flood(int connections, Flood kind, StatementClass workload) {
    for (int i = 0; i < connections; i++) {
      connect(new FloodConnection(() -> floodStatement(kind, workload)));
    }
  }

  private String floodStatement(Flood kind, StatementClass workload) {
    long number = ++sequence;
    String id = kind == Flood.ONE_ID ? "f0" : "f" + Long.toHexString(random.nextLong());
    String workloadKey = kind == Flood.UNKNOWN_CLASSES ? "new" + number : workload.key();
    String field = kind == Flood.NEW_FIELDS ? ",n" + number + "=" + number : "";
    String end = kind == Flood.UNSOUND ? "; SELECT 2" : "";
    return "/* id="
        + id
        + ",c="
        + workloadKey
        + ",d="
        + workload.deadlineMillis()
        + ",cluster=0"
        + field
        + " */ SELECT doc FROM items WHERE id = 'k'"
        + end;
  }

  /** Opens connections that stop half way through a large statement and stay open. */
  void stopHalfWay(int connections, StatementClass workload) {
    for (int i = 0; i < connections; i++) {
      String text =
          floodStatement(Flood.SOUND, workload)
              + " AND doc = '\\x"
              + "f".repeat(HALF_STATEMENT_DIGITS)
              + "'";
      connect(new SingleWriteConnection(text, HALF_STATEMENT_DIGITS / 2));
    }
  }

  /** Sends a text that another client has sent, with its id. */
  void repeat(String text) {
    connect(new SingleWriteConnection(text, 0));
    loop.schedule(() -> channels.close(), REPEAT_CONNECTION_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void connect(ChannelInboundHandlerAdapter handler) {
    new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(handler).connect(address);
  }

  void close() {
    channels.close();
  }

  /** Sends one statement, or all but its last bytes, and discards what is received. */
  private class SingleWriteConnection extends ChannelInboundHandlerAdapter {
    private final String text;
    private final int missingBytes;

    SingleWriteConnection(String text, int missingBytes) {
      this.text = text;
      this.missingBytes = missingBytes;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      channels.add(context.channel());
      ByteBuf out = context.alloc().buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      MessageEncoder.writeQuery(out, text);
      out.writerIndex(out.writerIndex() - missingBytes);
      context.writeAndFlush(out);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object received) {
      ReferenceCountUtil.release(received);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** Sends statements whenever the system takes more, and discards what is received. */
  private final class FloodConnection extends SingleWriteConnection {
    private final Supplier<String> texts;

    FloodConnection(Supplier<String> texts) {
      super(texts.get(), 0);
      this.texts = texts;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      super.channelActive(context);
      sendMore(context);
    }

    private void sendMore(ChannelHandlerContext context) {
      if (!context.channel().isActive()) {
        return;
      }
      ByteBuf out = context.alloc().buffer();
      for (int i = 0; i < STATEMENTS_PER_WRITE; i++) {
        MessageEncoder.writeQuery(out, texts.get());
      }
      context.writeAndFlush(out).addListener(written -> continueIf(context, written.isSuccess()));
    }

    /** Continues in a later iteration, so that other clients on this loop get their turn. */
    private void continueIf(ChannelHandlerContext context, boolean written) {
      if (written) {
        loop.schedule(() -> sendMore(context), 0, TimeUnit.NANOSECONDS);
      }
    }
  }
}
