package basaltlever.lab.sockets;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Forwards bytes between connections on one event loop and does nothing else: the baseline to which
 * the cost of a router is compared.
 */
public final class TcpForwarder {
  private TcpForwarder() {}

  /** Forwards connections on a loopback port until the process is terminated. */
  public static void run(int port, int targetPort) throws InterruptedException {
    MultiThreadIoEventLoopGroup loop =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel client) {
                Bootstrap targetBootstrap =
                    new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new ForwardingHandler(client));
                Channel target =
                    targetBootstrap
                        .connect("127.0.0.1", targetPort)
                        .addListener(done -> client.config().setAutoRead(done.isSuccess()))
                        .channel();
                client.pipeline().addLast(new ForwardingHandler(target));
              }
            })
        .bind("127.0.0.1", port)
        .sync()
        .channel()
        .closeFuture()
        .sync();
  }

  private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private final Channel target;

    ForwardingHandler(Channel target) {
      this.target = target;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      target.writeAndFlush(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      target.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
