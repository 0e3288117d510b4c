package basaltlever.lab.sockets;

import basaltlever.lab.world.Server;
import basaltlever.lab.world.SimulatedCluster;
import basaltlever.lab.world.Statement;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolException;
import basaltlever.switchover.SwitchoverAnnouncement;
import basaltlever.time.Span;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Connects a simulated server to one router. Each router has its own address of the server, so that
 * the source of each request is known.
 */
final class ServerSocketAdapter implements Server.Listener {
  /** Creates statements for queries that were not sent by the clients of this run. */
  interface ExternalStatementFactory {
    Statement create(ByteBuf message, String id, int router) throws ProtocolException;
  }

  private static final Pattern STATEMENT_ID = Pattern.compile("[ *,]id=([a-z0-9]+)");
  private static final Pattern ANNOUNCEMENT_INSERT =
      Pattern.compile(
          "INSERT INTO \\w+ \\(number, target, at, state\\)"
              + " VALUES \\((\\d+), '([\\w-]+)', (\\d+), '(announced|off)'\\)");

  /** The time between the announced time of a switchover and the handover. */
  private static final Span HANDOVER_DELAY = Span.ofMillis(60);

  private final SimulatedCluster cluster;
  private final Server server;
  private final int router;
  private final EventLoop loop;
  private final String announcementTable;

  /** Null if all statements are from the clients of this run. */
  private final ExternalStatementFactory externalStatements;

  private final ChannelGroup connections;
  private Channel serverChannel;
  private int port;

  ServerSocketAdapter(
      SimulatedCluster cluster,
      Server server,
      int router,
      EventLoop loop,
      String announcementTable,
      ExternalStatementFactory externalStatements)
      throws InterruptedException {
    this.externalStatements = externalStatements;
    this.cluster = cluster;
    this.server = server;
    this.router = router;
    this.loop = loop;
    this.announcementTable = announcementTable;
    connections = new DefaultChannelGroup(loop);
    serverChannel = bootstrap().bind("127.0.0.1", 0).sync().channel();
    port = ((InetSocketAddress) serverChannel.localAddress()).getPort();
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(loop, loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 512)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                connections.add(channel);
                channel.pipeline().addLast(new RouterConnection());
              }
            });
  }

  @Override
  public void onCrashed() {
    serverChannel.close();
    for (Channel channel : connections) {
      reset(channel);
    }
  }

  @Override
  public void onRefusing() {
    serverChannel.close();
  }

  @Override
  public void onAccepting() {
    bootstrap()
        .bind("127.0.0.1", port)
        .addListener(done -> serverChannel = ((io.netty.channel.ChannelFuture) done).channel());
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  /** A connection that the router has opened to the server. */
  private final class RouterConnection extends ChannelInboundHandlerAdapter {
    private final MessageDecoder decoder =
        new MessageDecoder(1 << 18, new MemoryBudget(Long.MAX_VALUE));
    private boolean started;

    /** Drops the pending statement when the router closes the connection. */
    private Runnable cancelPending = () -> {};

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws ProtocolException {
      decoder.add((ByteBuf) bytes);
      for (ByteBuf message = nextMessage(); message != null; message = nextMessage()) {
        handleMessage(context, message);
      }
    }

    private ByteBuf nextMessage() throws ProtocolException {
      return started ? decoder.nextMessage() : decoder.nextStartupMessage();
    }

    private void handleMessage(ChannelHandlerContext context, ByteBuf message)
        throws ProtocolException {
      if (!started) {
        started = true;
        if (!server.isHung() && !cluster.isCut(router, server)) {
          ByteBuf out = context.alloc().buffer();
          MessageEncoder.writeStartupResponse(out);
          context.writeAndFlush(out);
        }
        return;
      }
      if (message.getByte(message.readerIndex()) != 'Q') {
        context.close();
        return;
      }
      int queryStart = message.readerIndex() + MessageDecoder.HEADER_BYTES;
      String query =
          message.toString(
              queryStart,
              message.readableBytes() - MessageDecoder.HEADER_BYTES - 1,
              StandardCharsets.UTF_8);
      Matcher id = STATEMENT_ID.matcher(query);
      if (cluster.isCut(router, server)) {
        return;
      }
      if (query.startsWith("/*") && id.find()) {
        Statement statement =
            externalStatements != null
                ? externalStatements.create(message, id.group(1), router)
                : cluster.checker.findStatement(id.group(1));
        if (statement == null) {
          writeError(context, "53300", "the client of the statement has disconnected");
          return;
        }
        cancelPending = server.execute(statement, cluster.now(), new ConnectionReply(context));
      } else if (query.isBlank() || !server.isHung()) {
        context.writeAndFlush(internalQueryResponse(context, query));
      }
    }

    /** Responds to polls, to announcements of switchovers and to queries for them. */
    private ByteBuf internalQueryResponse(ChannelHandlerContext context, String query) {
      ByteBuf out = context.alloc().buffer();
      Matcher insert = ANNOUNCEMENT_INSERT.matcher(query);
      if (query.equals("SHOW gauges")) {
        RowEncoder.writeSingleRow(
            out,
            String.format(
                java.util.Locale.ROOT,
                "x0=%.6f,x1=%d,utilization=%.3f",
                server.positionSeconds(cluster.now()),
                server.claimsPrimary() ? 1 : 0,
                server.utilization()));
      } else if (query.equals(SwitchoverAnnouncement.latestQuery(announcementTable))) {
        SwitchoverAnnouncement announcement = server.group().announcement();
        RowEncoder.writeSingleRow(out, announcement == null ? "" : announcement.toText());
      } else if (insert.matches()) {
        SwitchoverAnnouncement announcement =
            new SwitchoverAnnouncement(
                Long.parseLong(insert.group(1)),
                insert.group(2),
                Long.parseLong(insert.group(3)),
                insert.group(4).equals("off"));
        if (!server.claimsPrimary() || !applyAnnouncement(announcement)) {
          MessageEncoder.writeErrorResponse(
              out, "ERROR", server.claimsPrimary() ? "23514" : "25006", "not accepted", null);
        } else {
          MessageEncoder.writeCommandComplete(out, "INSERT 0 1");
        }
      } else if (query.isBlank()) {
        MessageEncoder.writeEmptyQueryResponse(out);
      } else {
        MessageEncoder.writeErrorResponse(out, "ERROR", "08P01", "unsupported statement", null);
      }
      MessageEncoder.writeParameterStatus(
          out, "part", server.claimsPrimary() ? "master" : "replica");
      MessageEncoder.writeReadyForQuery(out);
      return out;
    }

    private boolean applyAnnouncement(SwitchoverAnnouncement announcement) {
      if (announcement.cancelled()) {
        server.group().cancelSwitchover();
        return true;
      }
      return server.group().announce(announcement, HANDOVER_DELAY);
    }

    private void writeError(ChannelHandlerContext context, String code, String text) {
      ByteBuf out = context.alloc().buffer();
      MessageEncoder.writeErrorResponse(out, "ERROR", code, text, null);
      MessageEncoder.writeReadyForQuery(out);
      context.writeAndFlush(out);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      cancelPending.run();
      decoder.release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }

    /** Writes the outcome of one statement to the connection. */
    private final class ConnectionReply implements Server.Reply {
      private final ChannelHandlerContext context;

      ConnectionReply(ChannelHandlerContext context) {
        this.context = context;
      }

      @Override
      public void sendAnswer(String code, String value, boolean primary, long position) {
        cancelPending = () -> {};
        if (cluster.isCut(router, server)) {
          return;
        }
        ByteBuf out = context.alloc().buffer();
        if (code != null) {
          MessageEncoder.writeErrorResponse(
              out, "ERROR", code, "rejected by the simulated server", null);
        } else if (value == null) {
          out.writeBytes("not a message at all".getBytes(StandardCharsets.US_ASCII));
          context.writeAndFlush(out);
          return;
        } else {
          RowEncoder.writeSingleRow(out, value);
        }
        MessageEncoder.writeParameterStatus(out, "part", primary ? "master" : "replica");
        if (position > 0) {
          MessageEncoder.writeParameterStatus(out, "caught_up_to", "" + position);
        }
        MessageEncoder.writeReadyForQuery(out);
        context.writeAndFlush(out);
      }

      /** Resets the connection after a random number of bytes of a valid response. */
      @Override
      public void breakConnection() {
        ByteBuf out = context.alloc().buffer();
        RowEncoder.writeSingleRow(out, "cut");
        MessageEncoder.writeReadyForQuery(out);
        out.writerIndex(cluster.random.nextInt(out.writerIndex()));
        context.writeAndFlush(out).addListener(done -> reset(context.channel()));
      }
    }
  }
}
