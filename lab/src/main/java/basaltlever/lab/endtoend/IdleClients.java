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
 * Clients that connect to one router, send nothing and reconnect as soon as the router closes their
 * connection. All methods must be called on the given event loop.
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

  /** Opens the connections at even intervals within the given time. */
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

  /** Number of connections opened so far, reconnects included. */
  int opened() {
    return opened;
  }

  /** Closes all connections; none is opened any more. */
  void close() {
    stopped = true;
    channels.close();
  }
}
