package basaltlever.lab.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * The way from one router to one voter, where it can be cut in either direction, slowed, or made to
 * pass a byte at a time. A cut is silent: connections stay open, as they do where a machine is cut
 * off.
 */
final class Bridge {
  /** Each way by itself; what is held back in a cut is lost. */
  enum State {
    OPEN,
    CUT,
    CUT_THERE,
    CUT_BACK,
    SLOW,
    DRIPS
  }

  private static final long SLOW_MILLIS = 300;
  private static final int QUEUED = 1 << 16;

  private final EventLoop loop;
  private final Channel listener;
  private final LongAdder bytes;
  private volatile State state = State.OPEN;

  /** What is read from either side is added to the bytes. */
  Bridge(EventLoop loop, InetSocketAddress to, LongAdder bytes) throws InterruptedException {
    this.loop = loop;
    this.bytes = bytes;
    listener =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel from) {
                    from.config().setAutoRead(false);
                    Pass there = new Pass(true);
                    Pass back = new Pass(false);
                    from.pipeline().addLast(there);
                    there.peer =
                        new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .handler(back)
                            .connect(to)
                            .addListener(
                                done -> {
                                  if (done.isSuccess()) {
                                    from.config().setAutoRead(true);
                                  } else {
                                    from.close();
                                  }
                                })
                            .channel();
                    back.peer = from;
                  }
                })
            .bind("127.0.0.1", 0)
            .sync()
            .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  void is(State now) {
    state = now;
  }

  private final class Pass extends ChannelInboundHandlerAdapter {
    private final boolean there;
    private Channel peer;
    private boolean lost;

    Pass(boolean there) {
      this.there = there;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
      ByteBuf in = (ByteBuf) read;
      bytes.add(in.readableBytes());
      State now = state;
      lost |= now == State.CUT || now == (there ? State.CUT_THERE : State.CUT_BACK);
      if (lost) {
        // Part of a stream is gone: from here on this connection can pass nothing on.
        in.release();
        if (now == State.OPEN) {
          context.close();
        }
      } else if (now == State.SLOW) {
        loop.schedule(() -> peer.writeAndFlush(in), SLOW_MILLIS, TimeUnit.MILLISECONDS);
      } else if (now == State.DRIPS && in.readableBytes() < QUEUED) {
        drip(in);
      } else {
        peer.writeAndFlush(in);
      }
    }

    private void drip(ByteBuf in) {
      peer.writeAndFlush(in.readRetainedSlice(1));
      if (in.isReadable()) {
        loop.schedule(() -> drip(in), 100, TimeUnit.MILLISECONDS);
      } else {
        in.release();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (peer != null) {
        peer.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
