package basaltlever.lab.endtoend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Connections that say nothing and come back as soon as they are sent away; on a loop of its own.
 */
final class IdleClients {
  private static final int RETRY_MILLIS = 20;
  private final EventLoop loop;
  private final InetSocketAddress address;
  private final ChannelGroup channels;
  private boolean stopped;
  private int opened;

  IdleClients(EventLoop loop, InetSocketAddress address) {
    this.loop = loop;
    this.address = address;
    channels = new DefaultChannelGroup(loop);
  }

  /** They come within so many milliseconds, in even steps. */
  void rampUp(int count, int withinMillis) {
    for (int i = 0; i < count; i++) {
      loop.schedule(this::connect, 1_000L * withinMillis * i / count, TimeUnit.MICROSECONDS);
    }
  }

  private void connect() {
    if (stopped) {
      return;
    }
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .handler(
                new ChannelInboundHandlerAdapter() {
                  @Override
                  public void channelActive(ChannelHandlerContext context) {
                    opened++;
                    channels.add(context.channel());
                  }

                  @Override
                  public void channelInactive(ChannelHandlerContext context) {
                    connect();
                  }

                  @Override
                  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    context.close();
                  }
                })
            .connect(address);
    connecting.addListener(
        result -> {
          if (!result.isSuccess()) {
            loop.schedule(this::connect, RETRY_MILLIS, TimeUnit.MILLISECONDS);
          }
        });
  }

  /** Connections made by now; on its loop only. */
  int opened() {
    return opened;
  }

  void close() {
    stopped = true;
    channels.close();
  }
}
