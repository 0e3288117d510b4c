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
 * Bytes from one connection to another on one loop and nothing else: what is left of a router
 * without its work.
 */
public final class Bare {
  private Bare() {}

  /** Until the process is ended. */
  public static void run(int port, int to) throws InterruptedException {
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
                Bootstrap onwards =
                    new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new Pipe(client));
                Channel node =
                    onwards
                        .connect("127.0.0.1", to)
                        .addListener(done -> client.config().setAutoRead(done.isSuccess()))
                        .channel();
                client.pipeline().addLast(new Pipe(node));
              }
            })
        .bind("127.0.0.1", port)
        .sync()
        .channel()
        .closeFuture()
        .sync();
  }

  private static final class Pipe extends ChannelInboundHandlerAdapter {
    private final Channel to;

    Pipe(Channel to) {
      this.to = to;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object in) {
      to.writeAndFlush(in);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      to.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
