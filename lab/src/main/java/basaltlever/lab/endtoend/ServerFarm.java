package basaltlever.lab.endtoend;

import basaltlever.lab.sockets.Rows;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolException;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Thousands of simulated database servers behind one listener: every loopback address reaches it,
 * and the address that a connection was made to tells which router asks which server.
 */
final class ServerFarm {
  /** Router 0 reaches its servers in 127.16.0.0/16, router 1 in 127.17.0.0/16 and so on. */
  static final int FIRST_NETWORK = 16;

  private static final Pattern ID = Pattern.compile("[ *,]id=([a-z0-9]+)");
  private static final Pattern DEADLINE = Pattern.compile("[ *,]d=(\\d+)");
  private static final int LARGEST_QUERY = 1 << 18;
  private static final int BACKLOG = 4_096;

  /** What the list says is told once it is written, with what the rules leave for clocks. */
  private static final long CLOCK_SLACK_MILLIS = 50;

  private final EventLoop loop;
  private final DaySettings settings;
  private final DayClock clock;
  private final StatementLedger ledger;
  private final LoopLateness lateness;
  private final SplittableRandom random;
  private final List<SimulatedServer> servers;
  private final double capacityPerSecond;
  private final ChannelGroup open;
  private final int[] connectionsMade;
  private final int[] polls;

  /**
   * When each router was told that a server drains or is gone; by router, then server; 0 for never.
   */
  private final long[][] toldGoneAtMillis;

  private Channel listener;

  ServerFarm(
      EventLoop loop,
      DayOptions day,
      DaySettings settings,
      DayClock clock,
      StatementLedger ledger,
      SplittableRandom random) {
    this.loop = loop;
    this.settings = settings;
    this.clock = clock;
    this.ledger = ledger;
    lateness = new LoopLateness(loop);
    this.random = random;
    servers = new ArrayList<>(day.servers());
    for (int i = 0; i < day.servers(); i++) {
      int group = Math.min(i / day.members(), day.groups() - 1);
      servers.add(
          new SimulatedServer(
              i, group, i % day.members() == 0 && i / day.members() == group, i % 2));
    }
    capacityPerSecond = 1.6 * day.rate() * day.routers() / day.servers();
    open = new DefaultChannelGroup(loop);
    connectionsMade = new int[day.routers()];
    polls = new int[day.routers()];
    toldGoneAtMillis = new long[day.routers()][day.servers()];
  }

  void listen() throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(0)
            .sync()
            .channel();
  }

  private void accept(Channel channel) {
    byte[] at = ((InetSocketAddress) channel.localAddress()).getAddress().getAddress();
    boolean loopback =
        ((InetSocketAddress) channel.remoteAddress()).getAddress().isLoopbackAddress();
    int router = (at[1] & 0xff) - FIRST_NETWORK;
    int index = SimulatedServer.indexOf(at[2] & 0xff, at[3] & 0xff);
    if (!loopback || router < 0 || router >= polls.length || index < 0 || index >= servers.size()) {
      channel.close();
      return;
    }
    connectionsMade[router]++;
    open.add(channel);
    channel.pipeline().addLast(new Connection(router, servers.get(index)));
  }

  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  List<SimulatedServer> servers() {
    return servers;
  }

  int connectionsMade(int router) {
    return connectionsMade[router];
  }

  int polls(int router) {
    return polls[router];
  }

  int mostPollsInASecond() {
    return servers.stream().mapToInt(server -> server.mostPollsInSecond).max().orElse(0);
  }

  void told(int router, SimulatedServer server, long nowMillis) {
    if (server.lifecycle == SimulatedServer.Lifecycle.IN_SERVICE) {
      toldGoneAtMillis[router][server.index] = 0;
    } else if (toldGoneAtMillis[router][server.index] == 0) {
      toldGoneAtMillis[router][server.index] = nowMillis;
    }
  }

  /** A router that starts anew has been told nothing yet. */
  void forgetsWhatWasTold(int router) {
    toldGoneAtMillis[router] = new long[servers.size()];
  }

  /** Resets a share of all connections, in use or not. */
  void cutConnections(double share) {
    for (Channel channel : new ArrayList<>(open)) {
      if (random.nextDouble() < share) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
      }
    }
  }

  void close() {
    listener.close();
    open.close();
  }

  private long nowMillis() {
    return clock.nowMillis();
  }

  private final class Connection extends ChannelInboundHandlerAdapter {
    private final int router;
    private final SimulatedServer server;
    private final MessageDecoder decoder =
        new MessageDecoder(LARGEST_QUERY, new MemoryBudget(Long.MAX_VALUE));
    private boolean started;

    Connection(int router, SimulatedServer server) {
      this.router = router;
      this.server = server;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object in) throws ProtocolException {
      decoder.add((ByteBuf) in);
      for (ByteBuf message = next(); message != null; message = next()) {
        if (!started) {
          started = true;
          ByteBuf out = context.alloc().buffer();
          MessageEncoder.writeStartupResponse(out);
          context.writeAndFlush(out);
        } else if (message.getByte(message.readerIndex()) == 'Q') {
          query(
              context,
              message.toString(
                  message.readerIndex() + MessageDecoder.HEADER_BYTES,
                  message.readableBytes() - MessageDecoder.HEADER_BYTES - 1,
                  StandardCharsets.UTF_8));
        } else {
          context.close();
        }
      }
    }

    private ByteBuf next() throws ProtocolException {
      return started ? decoder.nextMessage() : decoder.nextStartupMessage();
    }

    private void query(ChannelHandlerContext context, String text) {
      Matcher id = ID.matcher(text);
      if (server.hangsUntilMillis > nowMillis() && text.equals("SHOW gauges")) {
        polls[router]++;
      } else if (text.equals("SHOW gauges")) {
        polls[router]++;
        server.polled(nowMillis());
        reply(
            context,
            out ->
                Rows.row(
                    out,
                    String.format(
                        Locale.ROOT,
                        "x0=%.3f,x1=%d,utilization=0.3",
                        nowMillis() / 1e3,
                        server.primary ? 1 : 0)));
      } else if (text.startsWith("/*") && id.find()) {
        statement(context, ledger.find(id.group(1)), text);
      } else {
        reply(context, MessageEncoder::writeEmptyQueryResponse);
      }
    }

    private void statement(
        ChannelHandlerContext context, StatementLedger.Entry entry, String text) {
      long now = nowMillis();
      // A router is judged by when it came, which is no earlier than this.
      long cameAt = now - lateness.unreadMillisAtMost();
      if (entry == null) {
        reply(
            context,
            out ->
                MessageEncoder.writeErrorResponse(
                    out, "ERROR", "53300", "nobody waits for this", null));
        return;
      }
      ledger.attempt(entry, cameAt);
      Matcher told = DEADLINE.matcher(text);
      if (told.find()) {
        ledger.deadline(entry, Long.parseLong(told.group(1)), cameAt);
      }
      server.statements++;
      judgeDrain(entry, cameAt);
      if (server.takesWhileCold(now, capacityPerSecond, settings)) {
        ledger.coldToppled();
      }
      if (entry.workload.isWrite() && !server.primary) {
        reply(
            context,
            out -> MessageEncoder.writeErrorResponse(out, "ERROR", "25006", "no primary", null));
        return;
      }
      // What a closed connection carried may run all the same.
      ledger.runs(entry, now);
      double work = -Math.log(1 - random.nextDouble()) * entry.workload.workMillis();
      loop.schedule(() -> serve(context, entry), (long) work, TimeUnit.MILLISECONDS);
    }

    private void judgeDrain(StatementLedger.Entry entry, long cameAt) {
      long toldAt = toldGoneAtMillis[router][server.index];
      if (toldAt > 0 && cameAt > toldAt + settings.drainGraceMillis() + CLOCK_SLACK_MILLIS) {
        ledger.breaks(
            "drain_late",
            entry,
            server.id()
                + " got an attempt "
                + (cameAt - toldAt)
                + " ms after its router was told that it is "
                + server.lifecycle.key);
      }
    }

    private void serve(ChannelHandlerContext context, StatementLedger.Entry entry) {
      long hangs = server.hangsUntilMillis - nowMillis();
      if (hangs > 0) {
        loop.schedule(() -> serve(context, entry), hangs, TimeUnit.MILLISECONDS);
        return;
      }
      reply(context, out -> Rows.row(out, entry.id));
    }

    private void reply(
        ChannelHandlerContext context, java.util.function.Consumer<ByteBuf> content) {
      ByteBuf out = context.alloc().buffer();
      content.accept(out);
      MessageEncoder.writeParameterStatus(out, "part", server.primary ? "master" : "replica");
      MessageEncoder.writeParameterStatus(out, "caught_up_to", "" + nowMillis());
      MessageEncoder.writeReadyForQuery(out);
      context.writeAndFlush(out);
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
}
