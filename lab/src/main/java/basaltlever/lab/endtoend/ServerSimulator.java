package basaltlever.lab.endtoend;

import basaltlever.lab.sockets.RowEncoder;
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
 * Simulates thousands of database servers behind one listening socket. The socket accepts on every
 * loopback address; the destination address of a connection identifies both the router and the
 * server.
 */
final class ServerSimulator {
  /** Router 0 connects to its servers in 127.16.0.0/16, router 1 in 127.17.0.0/16, and so on. */
  static final int FIRST_ROUTER_NETWORK = 16;

  private static final Pattern STATEMENT_ID_PATTERN = Pattern.compile("[ *,]id=([a-z0-9]+)");
  private static final Pattern DEADLINE_PATTERN = Pattern.compile("[ *,]d=(\\d+)");
  private static final int MAX_QUERY_BYTES = 1 << 18;
  private static final int LISTEN_BACKLOG = 4_096;

  /**
   * Clock tolerance of the drain rule, which applies once the descriptor has been written to the
   * router.
   */
  private static final long CLOCK_TOLERANCE_MILLIS = 50;

  private final EventLoop loop;
  private final DaySettings settings;
  private final MonotonicClock clock;
  private final StatementChecker checker;
  private final EventLoopLagMonitor lagMonitor;
  private final SplittableRandom random;
  private final List<SimulatedServer> servers;
  private final double capacityPerSecond;
  private final ChannelGroup openChannels;
  private final int[] connectionCounts;
  private final int[] pollCounts;

  /**
   * When each router was notified that a server is draining or removed, by router and then server;
   * 0 if it was not.
   */
  private final long[][] drainNotifiedAtMillis;

  private Channel listener;

  ServerSimulator(
      EventLoop loop,
      RunOptions options,
      DaySettings settings,
      MonotonicClock clock,
      StatementChecker checker,
      SplittableRandom random) {
    this.loop = loop;
    this.settings = settings;
    this.clock = clock;
    this.checker = checker;
    lagMonitor = new EventLoopLagMonitor(loop);
    this.random = random;
    servers = new ArrayList<>(options.servers());
    for (int i = 0; i < options.servers(); i++) {
      int group = Math.min(i / options.groupSize(), options.groups() - 1);
      servers.add(
          new SimulatedServer(
              i, group, i % options.groupSize() == 0 && i / options.groupSize() == group, i % 2));
    }
    capacityPerSecond = 1.6 * options.statementsPerSecond() * options.routers() / options.servers();
    openChannels = new DefaultChannelGroup(loop);
    connectionCounts = new int[options.routers()];
    pollCounts = new int[options.routers()];
    drainNotifiedAtMillis = new long[options.routers()][options.servers()];
  }

  void listen() throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
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
    byte[] localAddress = ((InetSocketAddress) channel.localAddress()).getAddress().getAddress();
    boolean loopback =
        ((InetSocketAddress) channel.remoteAddress()).getAddress().isLoopbackAddress();
    int routerIndex = (localAddress[1] & 0xff) - FIRST_ROUTER_NETWORK;
    int serverIndex = SimulatedServer.indexOf(localAddress[2] & 0xff, localAddress[3] & 0xff);
    if (!loopback
        || routerIndex < 0
        || routerIndex >= pollCounts.length
        || serverIndex < 0
        || serverIndex >= servers.size()) {
      channel.close();
      return;
    }
    connectionCounts[routerIndex]++;
    openChannels.add(channel);
    channel.pipeline().addLast(new Connection(routerIndex, servers.get(serverIndex)));
  }

  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  List<SimulatedServer> servers() {
    return servers;
  }

  int connectionCount(int routerIndex) {
    return connectionCounts[routerIndex];
  }

  int pollCount(int routerIndex) {
    return pollCounts[routerIndex];
  }

  int maxPollsPerSecond() {
    return servers.stream().mapToInt(server -> server.maxPollsPerSecond).max().orElse(0);
  }

  /** Records that the descriptor of a server has been written to a router in full. */
  void recordNotified(int routerIndex, SimulatedServer server, long nowMillis) {
    if (server.lifecycle == SimulatedServer.Lifecycle.IN_SERVICE) {
      drainNotifiedAtMillis[routerIndex][server.index] = 0;
    } else if (drainNotifiedAtMillis[routerIndex][server.index] == 0) {
      drainNotifiedAtMillis[routerIndex][server.index] = nowMillis;
    }
  }

  /** Clears the recorded notifications of a router whose process is restarted. */
  void clearNotifications(int routerIndex) {
    drainNotifiedAtMillis[routerIndex] = new long[servers.size()];
  }

  /** Resets a share of all connections, idle or busy. */
  void resetConnections(double share) {
    for (Channel channel : new ArrayList<>(openChannels)) {
      if (random.nextDouble() < share) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
      }
    }
  }

  void close() {
    listener.close();
    openChannels.close();
  }

  private long nowMillis() {
    return clock.nowMillis();
  }

  /** One connection of a router to a simulated server. */
  private final class Connection extends ChannelInboundHandlerAdapter {
    private final int routerIndex;
    private final SimulatedServer server;
    private final MessageDecoder decoder =
        new MessageDecoder(MAX_QUERY_BYTES, new MemoryBudget(Long.MAX_VALUE));
    private boolean started;

    Connection(int routerIndex, SimulatedServer server) {
      this.routerIndex = routerIndex;
      this.server = server;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object in) throws ProtocolException {
      decoder.add((ByteBuf) in);
      for (ByteBuf message = nextMessage(); message != null; message = nextMessage()) {
        if (!started) {
          started = true;
          ByteBuf out = context.alloc().buffer();
          MessageEncoder.writeStartupResponse(out);
          context.writeAndFlush(out);
        } else if (message.getByte(message.readerIndex()) == 'Q') {
          handleQuery(
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

    private ByteBuf nextMessage() throws ProtocolException {
      return started ? decoder.nextMessage() : decoder.nextStartupMessage();
    }

    private void handleQuery(ChannelHandlerContext context, String queryText) {
      Matcher idMatcher = STATEMENT_ID_PATTERN.matcher(queryText);
      if (server.hangUntilMillis > nowMillis() && queryText.equals("SHOW gauges")) {
        pollCounts[routerIndex]++;
      } else if (queryText.equals("SHOW gauges")) {
        pollCounts[routerIndex]++;
        server.recordPoll(nowMillis());
        writeResponse(
            context,
            out ->
                RowEncoder.writeSingleRow(
                    out,
                    String.format(
                        Locale.ROOT,
                        "x0=%.3f,x1=%d,utilization=0.3",
                        nowMillis() / 1e3,
                        server.primary ? 1 : 0)));
      } else if (queryText.startsWith("/*") && idMatcher.find()) {
        handleStatement(context, checker.find(idMatcher.group(1)), queryText);
      } else {
        writeResponse(context, MessageEncoder::writeEmptyQueryResponse);
      }
    }

    private void handleStatement(
        ChannelHandlerContext context,
        StatementChecker.TrackedStatement statement,
        String queryText) {
      long now = nowMillis();
      // The rules apply to the arrival time. This is its lower bound, so that a late read by this
      // event loop is not attributed to the router.
      long arrivedAtMillis = now - lagMonitor.maxUnreadMillis();
      if (statement == null) {
        writeResponse(
            context,
            out ->
                MessageEncoder.writeErrorResponse(
                    out, "ERROR", "53300", "unknown statement", null));
        return;
      }
      checker.recordAttempt(statement, arrivedAtMillis);
      Matcher deadlineMatcher = DEADLINE_PATTERN.matcher(queryText);
      if (deadlineMatcher.find()) {
        checker.checkDeadline(statement, Long.parseLong(deadlineMatcher.group(1)), arrivedAtMillis);
      }
      server.statementCount++;
      checkDrain(statement, arrivedAtMillis);
      if (server.recordSlowStartStatement(now, capacityPerSecond, settings)) {
        checker.recordSlowStartOverload();
      }
      if (statement.workload.isWrite() && !server.primary) {
        writeResponse(
            context,
            out -> MessageEncoder.writeErrorResponse(out, "ERROR", "25006", "no primary", null));
        return;
      }
      // A received statement may execute even if its connection is closed afterwards.
      checker.recordExecution(statement, now);
      double work = -Math.log(1 - random.nextDouble()) * statement.workload.workMillis();
      loop.schedule(() -> respond(context, statement), (long) work, TimeUnit.MILLISECONDS);
    }

    private void checkDrain(StatementChecker.TrackedStatement statement, long arrivedAtMillis) {
      long notifiedAtMillis = drainNotifiedAtMillis[routerIndex][server.index];
      if (notifiedAtMillis > 0
          && arrivedAtMillis
              > notifiedAtMillis + settings.drainGraceMillis() + CLOCK_TOLERANCE_MILLIS) {
        checker.recordViolation(
            "drain_late",
            statement,
            server.id()
                + " received an attempt "
                + (arrivedAtMillis - notifiedAtMillis)
                + " ms after its router was notified that it is "
                + server.lifecycle.key);
      }
    }

    private void respond(
        ChannelHandlerContext context, StatementChecker.TrackedStatement statement) {
      long remainingHangMillis = server.hangUntilMillis - nowMillis();
      if (remainingHangMillis > 0) {
        loop.schedule(
            () -> respond(context, statement), remainingHangMillis, TimeUnit.MILLISECONDS);
        return;
      }
      writeResponse(context, out -> RowEncoder.writeSingleRow(out, statement.id));
    }

    private void writeResponse(
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
