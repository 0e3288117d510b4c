package basaltlever.lab.sockets;

import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * One primary that responds to each statement immediately, and a discovery service that lists it.
 * Measurements against it show the cost of the router alone.
 */
public final class ImmediateBackend implements AutoCloseable {
  public static final String SETTINGS =
      "{\"Balancers\":1,\"Zone\":0,\"Zones\":[\"a\"],\"Discovery\":\"on_request\","
          + "\"Bounds\":{\"Cancel\":true,\"ConnectTimeout\":250000,\"IdleClose\":15000000,\"MaxAttempts\":4,"
          + "\"MaxOpen\":5000,\"MaxRetryAfter\":1000000,\"MayDuplicate\":true,\"MayProbe\":true,\"RetryAfter\":true,"
          + "\"StreamsPerConn\":1},\"Classes\":[{\"Name\":\"view\",\"Repeat\":\"idempotent\",\"Slo\":2000000,"
          + "\"HardLimit\":5000000,\"Worth\":1}],\"Costs\":{\"Probe\":0.01},\"Reporting\":{\"How\":\"probe\","
          + "\"Fields\":[\"x0\",\"x1\",\"utilization\"]},\"FamilyInfo\":{\"Checks\":\"refuse\",\"ClassRead\":[\"fresh\"],"
          + "\"LagAllowed\":[0],\"ProgressTold\":true,\"SessionMarks\":\"carried\"},\"Rules\":{\"AnswerSlack\":20000,"
          + "\"Cold\":10000000,\"ColdFrom\":0.3,\"FallMultiple\":3,\"Fall\":1000000,\"MustAskIn\":10000000}}";

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Channel serverChannel = listen(ServerConnection::new);
  private final Channel discoveryChannel = listen(DiscoveryConnection::new);

  private interface HandlerFactory {
    ChannelInboundHandlerAdapter create(ImmediateBackend backend);
  }

  private Channel listen(HandlerFactory factory) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(factory.create(ImmediateBackend.this));
              }
            })
        .bind("127.0.0.1", 0)
        .syncUninterruptibly()
        .channel();
  }

  /** The address of the primary. */
  public InetSocketAddress serverAddress() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** The port of the discovery service on the loopback address. */
  public int discoveryPort() {
    return ((InetSocketAddress) discoveryChannel.localAddress()).getPort();
  }

  /** The endpoint list as JSON. */
  public String endpointList() {
    return "{\"generation\":1,\"reset\":true,\"instances\":[{\"instanceId\":\"db-1\",\"hostPort\":\"127.0.0.1:"
        + serverAddress().getPort()
        + "\",\"zone\":\"a\",\"cell\":1,\"lifecycle\":\"in_service\",\"weight\":1,"
        + "\"startedAtMs\":0}]}";
  }

  private static final class ServerConnection extends ChannelInboundHandlerAdapter {
    private final MessageDecoder decoder =
        new MessageDecoder(1 << 18, new MemoryBudget(Long.MAX_VALUE));
    private boolean started;

    ServerConnection(ImmediateBackend backend) {}

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws ProtocolException {
      decoder.add((ByteBuf) bytes);
      ByteBuf out = context.alloc().buffer();
      for (ByteBuf message = nextMessage(); message != null; message = nextMessage()) {
        if (!started) {
          started = true;
          MessageEncoder.writeStartupResponse(out);
        } else {
          long now = System.currentTimeMillis();
          byte firstByte = message.getByte(message.readerIndex() + MessageDecoder.HEADER_BYTES);
          if (firstByte == 0) {
            MessageEncoder.writeEmptyQueryResponse(out);
            MessageEncoder.writeReadyForQuery(out);
            continue;
          }
          boolean isPoll = firstByte == 'S';
          RowEncoder.writeSingleRow(
              out,
              isPoll
                  ? "x0="
                      + now / 1_000
                      + "."
                      + String.valueOf(1_000 + now % 1_000).substring(1)
                      + ",x1=1,utilization=0.1"
                  : "v");
          MessageEncoder.writeParameterStatus(out, "part", "master");
          MessageEncoder.writeReadyForQuery(out);
        }
      }
      context.writeAndFlush(out);
    }

    private ByteBuf nextMessage() throws ProtocolException {
      return started ? decoder.nextMessage() : decoder.nextStartupMessage();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      decoder.release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  private static final class DiscoveryConnection extends ChannelInboundHandlerAdapter {
    private final ImmediateBackend backend;

    DiscoveryConnection(ImmediateBackend backend) {
      this.backend = backend;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      ((ByteBuf) bytes).release();
      String line = backend.endpointList() + "\n";
      context.writeAndFlush(
          Unpooled.copiedBuffer(
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  + Integer.toHexString(line.length())
                  + "\r\n"
                  + line
                  + "\r\n",
              StandardCharsets.US_ASCII));
      scheduleKeepAlive(context);
    }

    private void scheduleKeepAlive(ChannelHandlerContext context) {
      context
          .executor()
          .schedule(
              () -> {
                if (context.channel().isActive()) {
                  context.writeAndFlush(
                      Unpooled.copiedBuffer("1\r\n\n\r\n", StandardCharsets.US_ASCII));
                  scheduleKeepAlive(context);
                }
              },
              2,
              TimeUnit.SECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
