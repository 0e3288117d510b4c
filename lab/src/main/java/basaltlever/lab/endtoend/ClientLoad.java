package basaltlever.lab.endtoend;

import basaltlever.lab.endtoend.StatementChecker.Outcome;
import basaltlever.lab.endtoend.StatementChecker.TrackedStatement;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolCodes;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.QueryResponse;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Simulates the clients of one router. Statements arrive as a Poisson process at a constant rate, a
 * third of them on new connections. Some are pipelined in pairs, and some clients disconnect before
 * the response arrives.
 */
final class ClientLoad {
  private static final double NEW_CONNECTION_SHARE = 1 / 3.0;
  private static final double PIPELINED_PAIR_SHARE = 0.05;
  private static final int MAX_RESPONSE_BYTES = 1 << 20;
  private static final int STATEMENTS_PER_LEAVER = 4;
  private static final String LARGE_VALUE = " AND doc = '\\x" + "f".repeat(130_000) + "'";
  private static final int MAX_RECENT_STATEMENTS = 30;

  /** A repeated statement must not be taken for an attempt that was still under way. */
  private static final long MIN_AGE_OF_REPEATED_MILLIS = 300;

  /** Time that a client waits beyond its deadline before the statement counts as unanswered. */
  private static final long RESPONSE_GRACE_MILLIS = 700;

  private final EventLoop loop;
  private final RunOptions options;
  private final int routerIndex;
  private final InetSocketAddress address;
  private final DaySettings settings;
  private final MonotonicClock clock;
  private final StatementChecker checker;
  private final SplittableRandom random;
  private final EventLoopLagMonitor lagMonitor;
  private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
  private final ArrayDeque<TrackedStatement> recentStatements = new ArrayDeque<>();
  private boolean stopped;
  private boolean reuseConnectionsOnly;
  private int closeDelayMillis;
  private int openStatements;
  private long sequence;

  ClientLoad(
      EventLoop loop,
      RunOptions options,
      DaySettings settings,
      int routerIndex,
      InetSocketAddress address,
      MonotonicClock clock,
      StatementChecker checker,
      SplittableRandom random) {
    this.loop = loop;
    lagMonitor = new EventLoopLagMonitor(loop);
    this.options = options;
    this.routerIndex = routerIndex;
    this.address = address;
    this.settings = settings;
    this.clock = clock;
    this.checker = checker;
    this.random = random;
  }

  void start() {
    scheduleNext();
  }

  void stop() {
    stopped = true;
  }

  /**
   * Sets whether clients only reuse open connections, as they do once their router has been asked
   * to shut down.
   */
  void setReuseConnectionsOnly(boolean reuseOnly) {
    reuseConnectionsOnly = reuseOnly;
  }

  /** Sets how long a client keeps its side of a connection open after the router's half-close. */
  void setCloseDelayMillis(int millis) {
    closeDelayMillis = millis;
  }

  /**
   * Schedules statements on new connections, spread randomly over the duration. About half of them
   * are sent in the same write as the startup message, the others in a separate one.
   */
  void scheduleBurst(int statementCount, int durationMillis) {
    for (int i = 0; i < statementCount; i++) {
      loop.schedule(
          () -> new Connection(false, random.nextBoolean()).send(newStatement()),
          random.nextLong(Math.max(1, 1_000L * durationMillis)),
          TimeUnit.MICROSECONDS);
    }
  }

  /**
   * Sends large statements on some new connections at once, and closes each over what the router
   * has not read.
   */
  void leaveOverUnreadStatements(int clients) {
    for (int i = 0; i < clients; i++) {
      Connection connection = new Connection(false, true);
      for (int statement = 0; statement < STATEMENTS_PER_LEAVER; statement++) {
        connection.send(newStatement(), LARGE_VALUE);
      }
      connection.leaveOnceWritten();
    }
  }

  /** Returns the texts of recent statements that have ended after a server had received them. */
  List<String> endedStatementTexts() {
    long latestEnd = clock.nowMillis() - MIN_AGE_OF_REPEATED_MILLIS;
    return recentStatements.stream()
        .filter(statement -> statement.outcome != null && statement.attempts > 0)
        .filter(statement -> statement.outcome != Outcome.REFUSED)
        .filter(statement -> statement.endedAtMillis < latestEnd)
        .map(this::queryText)
        .toList();
  }

  /** Continues the statement ids and open statements of the load on the replaced router process. */
  void continueFrom(ClientLoad previous) {
    sequence = previous.sequence;
    openStatements += previous.openStatements;
    previous.openStatements = 0;
  }

  int openStatements() {
    return openStatements;
  }

  /** Returns the maximum event loop lag, which bounds the accuracy of this load's measurements. */
  long maxLagMillis() {
    return lagMonitor.maxLagMillis();
  }

  private void scheduleNext() {
    if (stopped) {
      return;
    }
    double delayMillis = -Math.log(1 - random.nextDouble()) / options.statementsPerSecond() * 1_000;
    loop.schedule(
        () -> {
          if (!stopped) {
            sendStatements();
            scheduleNext();
          }
        },
        (long) (delayMillis * 1_000),
        TimeUnit.MICROSECONDS);
  }

  private void sendStatements() {
    Connection connection =
        random.nextDouble() < NEW_CONNECTION_SHARE ? null : idleConnections.pollLast();
    int count = random.nextDouble() < PIPELINED_PAIR_SHARE ? 2 : 1;
    if (reuseConnectionsOnly) {
      connection = connection == null ? idleConnections.pollLast() : connection;
      if (connection == null) {
        return;
      }
    }
    if (connection == null) {
      connection = new Connection(random.nextDouble() < NEW_CONNECTION_SHARE, true);
    }
    for (int i = 0; i < count; i++) {
      connection.send(newStatement());
    }
  }

  private TrackedStatement newStatement() {
    StatementClass workload = settings.pickClass(random);
    String id = "r" + routerIndex + "x" + ++sequence;
    openStatements++;
    TrackedStatement statement = checker.recordStart(id, workload, routerIndex, clock.nowMillis());
    recentStatements.addLast(statement);
    if (recentStatements.size() > MAX_RECENT_STATEMENTS) {
      recentStatements.removeFirst();
    }
    return statement;
  }

  private String queryText(TrackedStatement statement) {
    int group = random.nextInt(options.groups());
    return "/* id="
        + statement.id
        + ",c="
        + statement.workload.key()
        + ",d="
        + statement.workload.deadlineMillis()
        + ",cluster="
        + group
        + (statement.workload.read().equals("session")
            ? ",after=" + (clock.nowMillis() - 5_000)
            : "")
        + " */ SELECT doc FROM items WHERE id = 'k'";
  }

  private void finish(TrackedStatement statement, Outcome outcome) {
    if (statement.outcome == null) {
      openStatements--;
      checker.recordOutcome(statement, outcome, clock.nowMillis());
    }
  }

  /** One client connection. Responses arrive in the order of the statements sent on it. */
  private final class Connection extends ChannelInboundHandlerAdapter {
    private final boolean closeAfterResponse;
    private final boolean combineStartupAndQuery;
    private final ArrayDeque<TrackedStatement> pending = new ArrayDeque<>();
    private final ArrayDeque<String> unsentQueries = new ArrayDeque<>();
    private final MessageDecoder decoder =
        new MessageDecoder(MAX_RESPONSE_BYTES, new MemoryBudget(Long.MAX_VALUE));
    private Channel channel;
    private boolean connected;
    private boolean startupComplete;
    private boolean hasReceivedResponse;
    private boolean closed;
    private boolean leavesOnceWritten;
    private Outcome pendingOutcome;

    /**
     * Opens a connection.
     *
     * @param combineStartupAndQuery whether the startup message and the first statement are sent in
     *     one write
     */
    Connection(boolean closeAfterResponse, boolean combineStartupAndQuery) {
      this.closeAfterResponse = closeAfterResponse;
      this.combineStartupAndQuery = combineStartupAndQuery;
      ChannelFuture connectFuture =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.ALLOW_HALF_CLOSURE, closeDelayMillis > 0)
              .handler(this)
              .connect(address);
      channel = connectFuture.channel();
      connectFuture.addListener(
          future -> {
            if (!future.isSuccess()) {
              // No statement reached the router; the client would try another router.
              refusePending();
            }
          });
    }

    private void refusePending() {
      closed = true;
      while (!pending.isEmpty()) {
        finish(pending.poll(), Outcome.REFUSED);
      }
    }

    void send(TrackedStatement statement) {
      send(statement, "");
    }

    /** Disconnects as soon as the system has taken all that was sent. */
    void leaveOnceWritten() {
      leavesOnceWritten = true;
    }

    private void send(TrackedStatement statement, String condition) {
      pending.add(statement);
      String query = queryText(statement) + condition;
      if (channel.isActive()) {
        ByteBuf out = channel.alloc().buffer();
        MessageEncoder.writeQuery(out, query);
        channel.writeAndFlush(out);
      } else {
        unsentQueries.add(query);
      }
      if (random.nextDouble() < options.disconnectShare()) {
        loop.schedule(this::disconnect, random.nextInt(60), TimeUnit.MILLISECONDS);
      }
      if (pending.peek() == statement && connected) {
        startResponseTimer(statement);
      } else if (pending.peek() == statement) {
        // Without an accepted connection no response of the router is required, but the client
        // still times out.
        loop.schedule(
            this::onConnectTimeout, statement.workload.deadlineMillis(), TimeUnit.MILLISECONDS);
      }
    }

    private void onConnectTimeout() {
      if (!connected && !closed) {
        refusePending();
        channel.close();
      }
    }

    /**
     * Starts the response timer of the first unanswered statement on this connection. Statements
     * pipelined behind it are timed once it is answered.
     */
    private void startResponseTimer(TrackedStatement statement) {
      statement.timerStartMillis = clock.nowMillis();
      statement.clientPort = ((InetSocketAddress) channel.localAddress()).getPort();
      loop.schedule(
          () -> onResponseTimeout(statement),
          statement.workload.deadlineMillis() + RESPONSE_GRACE_MILLIS,
          TimeUnit.MILLISECONDS);
    }

    private void disconnect() {
      if (closed || pending.isEmpty()) {
        return;
      }
      closed = true;
      for (TrackedStatement statement : pending) {
        if (statement.outcome == null) {
          openStatements--;
          checker.recordAbandoned(statement, clock.nowMillis());
        }
      }
      pending.clear();
      channel.close();
    }

    private void onResponseTimeout(TrackedStatement statement) {
      if (statement.outcome == null) {
        finish(statement, Outcome.NEVER);
        closed = true;
        channel.close();
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connected = true;
      ByteBuf out = context.alloc().buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      if (!combineStartupAndQuery) {
        context.writeAndFlush(out);
        out = context.alloc().buffer();
      }
      while (!unsentQueries.isEmpty()) {
        MessageEncoder.writeQuery(out, unsentQueries.poll());
      }
      ChannelFuture written = context.writeAndFlush(out);
      if (leavesOnceWritten) {
        written.addListener(future -> disconnect());
      }
      if (!pending.isEmpty()) {
        startResponseTimer(pending.peek());
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object in) throws ProtocolException {
      decoder.add((ByteBuf) in);
      for (ByteBuf message = decoder.nextMessage();
          message != null && !closed;
          message = decoder.nextMessage()) {
        handleMessage(message);
      }
    }

    private void handleMessage(ByteBuf message) {
      byte type = message.getByte(message.readerIndex());
      if (type == ProtocolCodes.DATA_ROW) {
        pendingOutcome = Outcome.SERVED;
      } else if (type == ProtocolCodes.ERROR_RESPONSE) {
        String code = QueryResponse.errorField(message, 'C');
        pendingOutcome =
            code.equals("53300") || code.equals("57P03") ? Outcome.REFUSED : Outcome.FAILED;
        if (QueryResponse.errorField(message, 'S').equals("FATAL")) {
          onResponseComplete();
        }
      } else if (type == ProtocolCodes.READY_FOR_QUERY && !startupComplete) {
        startupComplete = true;
      } else if (type == ProtocolCodes.READY_FOR_QUERY) {
        onResponseComplete();
      }
    }

    private void onResponseComplete() {
      TrackedStatement statement = pending.poll();
      if (statement == null) {
        return;
      }
      finish(statement, pendingOutcome == null ? Outcome.FAILED : pendingOutcome);
      pendingOutcome = null;
      hasReceivedResponse = true;
      if (!pending.isEmpty()) {
        startResponseTimer(pending.peek());
      }
      if (pending.isEmpty() && closeAfterResponse) {
        closed = true;
        channel.close();
      } else if (pending.isEmpty()) {
        idleConnections.add(this);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event == ChannelInputShutdownEvent.INSTANCE) {
        onDisconnected();
        loop.schedule((Runnable) context::close, closeDelayMillis, TimeUnit.MILLISECONDS);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      decoder.release();
      onDisconnected();
    }

    /**
     * Handles a close by the router. On a connection that was used before, an unanswered statement
     * that no server has received is resent on a new connection; all others end unanswered.
     */
    private void onDisconnected() {
      idleConnections.remove(this);
      boolean wasReused = hasReceivedResponse;
      while (!pending.isEmpty()) {
        TrackedStatement statement = pending.poll();
        if (statement.outcome != null) {
          continue;
        }
        if (wasReused && statement.attempts == 0) {
          checker.recordResend(statement, clock.nowMillis() - lagMonitor.recentMaxLagMillis());
          // The close crossed the statement; it is resent under the same id.
          new Connection(true, true).resend(statement);
        } else {
          finish(statement, wasReused ? Outcome.CLOSED_RESTING : Outcome.CLOSED_NEW);
        }
      }
      closed = true;
    }

    private void resend(TrackedStatement statement) {
      pending.add(statement);
      unsentQueries.add(queryText(statement));
      loop.schedule(
          this::onConnectTimeout, statement.workload.deadlineMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
