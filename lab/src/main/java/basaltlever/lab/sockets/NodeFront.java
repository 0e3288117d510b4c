package basaltlever.lab.sockets;

import basaltlever.lab.world.Ask;
import basaltlever.lab.world.Server;
import basaltlever.lab.world.World;
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
 * One server's sockets towards one router, at an address of that router's own: so it is known who
 * asks.
 */
final class NodeFront implements Server.Listener {
  /** Makes a statement of one that no client of this run has sent. */
  interface Strangers {
    Ask apply(ByteBuf message, String id, int router) throws ProtocolException;
  }

  private static final Pattern ID = Pattern.compile("[ *,]id=([a-z0-9]+)");
  private static final Pattern INSERT =
      Pattern.compile(
          "INSERT INTO \\w+ \\(number, target, at, state\\)"
              + " VALUES \\((\\d+), '([\\w-]+)', (\\d+), '(announced|off)'\\)");
  private static final Span SETTLES = Span.ofMillis(60);

  private final World world;
  private final Server server;
  private final int router;
  private final EventLoop loop;
  private final String table;

  /** Null where all who ask are clients of this run. */
  private final Strangers strangers;

  private final ChannelGroup open;
  private Channel listening;
  private int port;

  NodeFront(
      World world, Server server, int router, EventLoop loop, String table, Strangers strangers)
      throws InterruptedException {
    this.strangers = strangers;
    this.world = world;
    this.server = server;
    this.router = router;
    this.loop = loop;
    this.table = table;
    open = new DefaultChannelGroup(loop);
    listening = bootstrap().bind("127.0.0.1", 0).sync().channel();
    port = ((InetSocketAddress) listening.localAddress()).getPort();
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
                open.add(channel);
                channel.pipeline().addLast(new Connection());
              }
            });
  }

  @Override
  public void died() {
    listening.close();
    for (Channel channel : open) {
      reset(channel);
    }
  }

  @Override
  public void refuses() {
    listening.close();
  }

  @Override
  public void cameBack() {
    bootstrap()
        .bind("127.0.0.1", port)
        .addListener(done -> listening = ((io.netty.channel.ChannelFuture) done).channel());
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  private final class Connection extends ChannelInboundHandlerAdapter {
    private final MessageDecoder decoder =
        new MessageDecoder(1 << 18, new MemoryBudget(Long.MAX_VALUE));
    private boolean started;
    private Runnable takeBack = () -> {};

    @Override
    public void channelRead(ChannelHandlerContext context, Object in) throws ProtocolException {
      decoder.add((ByteBuf) in);
      for (ByteBuf m = next(); m != null; m = next()) {
        message(context, m);
      }
    }

    private ByteBuf next() throws ProtocolException {
      return started ? decoder.nextMessage() : decoder.nextStartupMessage();
    }

    private void message(ChannelHandlerContext context, ByteBuf message) throws ProtocolException {
      if (!started) {
        started = true;
        if (!server.isHung() && !world.isCut(router, server)) {
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
      int from = message.readerIndex() + MessageDecoder.HEADER_BYTES;
      String query =
          message.toString(
              from,
              message.readableBytes() - MessageDecoder.HEADER_BYTES - 1,
              StandardCharsets.UTF_8);
      Matcher id = ID.matcher(query);
      if (world.isCut(router, server)) {
        return;
      }
      if (query.startsWith("/*") && id.find()) {
        Ask ask =
            strangers != null
                ? strangers.apply(message, id.group(1), router)
                : world.ledger.ask(id.group(1));
        if (ask == null) {
          error(context, "53300", "its client has gone");
          return;
        }
        takeBack = server.ask(ask, new Answering(context));
      } else if (!server.isHung()) {
        context.writeAndFlush(plain(context, query));
      }
    }

    private ByteBuf plain(ChannelHandlerContext context, String query) {
      ByteBuf out = context.alloc().buffer();
      Matcher insert = INSERT.matcher(query);
      if (query.equals("SHOW gauges")) {
        Rows.row(
            out,
            String.format(
                java.util.Locale.ROOT,
                "x0=%.6f,x1=%d,utilization=%.3f",
                server.position(world.now()),
                server.saysPrimary() ? 1 : 0,
                server.util()));
      } else if (query.equals(SwitchoverAnnouncement.latestQuery(table))) {
        SwitchoverAnnouncement announcement = server.group().note();
        Rows.row(out, announcement == null ? "" : announcement.toText());
      } else if (insert.matches()) {
        SwitchoverAnnouncement announcement =
            new SwitchoverAnnouncement(
                Long.parseLong(insert.group(1)),
                insert.group(2),
                Long.parseLong(insert.group(3)),
                insert.group(4).equals("off"));
        if (!server.saysPrimary() || !write(announcement)) {
          MessageEncoder.writeErrorResponse(
              out, "ERROR", server.saysPrimary() ? "23514" : "25006", "not taken", null);
        } else {
          MessageEncoder.writeCommandComplete(out, "INSERT 0 1");
        }
      } else if (query.isBlank()) {
        MessageEncoder.writeEmptyQueryResponse(out);
      } else {
        MessageEncoder.writeErrorResponse(
            out, "ERROR", "08P01", "no statement of this world", null);
      }
      MessageEncoder.writeParameterStatus(out, "part", server.saysPrimary() ? "master" : "replica");
      MessageEncoder.writeReadyForQuery(out);
      return out;
    }

    private boolean write(SwitchoverAnnouncement announcement) {
      if (announcement.cancelled()) {
        server.group().callOff();
        return true;
      }
      return server.group().announce(announcement, SETTLES);
    }

    private void error(ChannelHandlerContext context, String code, String text) {
      ByteBuf out = context.alloc().buffer();
      MessageEncoder.writeErrorResponse(out, "ERROR", code, text, null);
      MessageEncoder.writeReadyForQuery(out);
      context.writeAndFlush(out);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      takeBack.run();
      decoder.release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }

    private final class Answering implements Server.Reply {
      private final ChannelHandlerContext context;

      Answering(ChannelHandlerContext context) {
        this.context = context;
      }

      @Override
      public void answer(String code, String value, boolean primary, long position) {
        takeBack = () -> {};
        if (world.isCut(router, server)) {
          return;
        }
        ByteBuf out = context.alloc().buffer();
        if (code != null) {
          MessageEncoder.writeErrorResponse(out, "ERROR", code, "told by the stand-in", null);
        } else if (value == null) {
          out.writeBytes("not a message at all".getBytes(StandardCharsets.US_ASCII));
          context.writeAndFlush(out);
          return;
        } else {
          Rows.row(out, value);
        }
        MessageEncoder.writeParameterStatus(out, "part", primary ? "master" : "replica");
        if (position > 0) {
          MessageEncoder.writeParameterStatus(out, "caught_up_to", "" + position);
        }
        MessageEncoder.writeReadyForQuery(out);
        context.writeAndFlush(out);
      }

      /** After a few bytes of a good answer, at any of them. */
      @Override
      public void breaks() {
        ByteBuf out = context.alloc().buffer();
        Rows.row(out, "cut");
        MessageEncoder.writeReadyForQuery(out);
        out.writerIndex(world.chance.nextInt(out.writerIndex()));
        context.writeAndFlush(out).addListener(done -> reset(context.channel()));
      }
    }
  }
}
