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
 * A TCP proxy between one router and one voter that can drop data in either direction, delay it, or
 * forward it byte by byte. It keeps connections open while it drops data, as a network partition
 * does.
 */
final class FaultProxy {
  /** The directions can be cut separately; data read during a cut is dropped. */
  enum State {
    OPEN,
    CUT,
    CUT_THERE,
    CUT_BACK,
    SLOW,
    DRIPS
  }

  private static final long SLOW_DELAY_MILLIS = 300;
  private static final int MAX_DRIPPED_BYTES = 1 << 16;

  private final EventLoop loop;
  private final Channel listener;
  private final LongAdder byteCounter;
  private volatile State state = State.OPEN;

  /** The counter receives the number of bytes read from both sides. */
  FaultProxy(EventLoop loop, InetSocketAddress target, LongAdder byteCounter)
      throws InterruptedException {
    this.loop = loop;
    this.byteCounter = byteCounter;
    listener =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel inbound) {
                    inbound.config().setAutoRead(false);
                    Forwarder forward = new Forwarder(true);
                    Forwarder backward = new Forwarder(false);
                    inbound.pipeline().addLast(forward);
                    forward.peer =
                        new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .handler(backward)
                            .connect(target)
                            .addListener(
                                done -> {
                                  if (done.isSuccess()) {
                                    inbound.config().setAutoRead(true);
                                  } else {
                                    inbound.close();
                                  }
                                })
                            .channel();
                    backward.peer = inbound;
                  }
                })
            .bind("127.0.0.1", 0)
            .sync()
            .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  void setState(State newState) {
    state = newState;
  }

  private final class Forwarder extends ChannelInboundHandlerAdapter {
    private final boolean towardsTarget;
    private Channel peer;
    private boolean dataLost;

    Forwarder(boolean towardsTarget) {
      this.towardsTarget = towardsTarget;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf data = (ByteBuf) message;
      byteCounter.add(data.readableBytes());
      State currentState = state;
      dataLost |=
          currentState == State.CUT
              || currentState == (towardsTarget ? State.CUT_THERE : State.CUT_BACK);
      if (dataLost) {
        // Part of the stream is missing, so this connection can forward nothing more.
        data.release();
        if (currentState == State.OPEN) {
          context.close();
        }
      } else if (currentState == State.SLOW) {
        loop.schedule(() -> peer.writeAndFlush(data), SLOW_DELAY_MILLIS, TimeUnit.MILLISECONDS);
      } else if (currentState == State.DRIPS && data.readableBytes() < MAX_DRIPPED_BYTES) {
        drip(data);
      } else {
        peer.writeAndFlush(data);
      }
    }

    private void drip(ByteBuf data) {
      peer.writeAndFlush(data.readRetainedSlice(1));
      if (data.isReadable()) {
        loop.schedule(() -> drip(data), 100, TimeUnit.MILLISECONDS);
      } else {
        data.release();
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
