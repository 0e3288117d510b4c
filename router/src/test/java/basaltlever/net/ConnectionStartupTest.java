package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.QueryResponse;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.slf4j.LoggerFactory;

/**
 * A connection to a node comes up in the very look at the sockets that finds its statement's client
 * gone.
 */
class ConnectionStartupTest {
  /** Over once its client has gone, as the decisions make it. */
  private static final class RecordingQuery extends ServerQuery {
    final CompletableFuture<String> result = new CompletableFuture<>();
    final CompletableFuture<Boolean> answered = new CompletableFuture<>();
    boolean clientDisconnected;

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.EXECUTION;
    }

    @Override
    void write(ByteBuf out) {
      result.complete("written");
      MessageEncoder.query(out, "SELECT 1");
    }

    @Override
    boolean isObsolete(Moment now) {
      return clientDisconnected;
    }

    @Override
    void onResponse(QueryResponse response) {
      answered.complete(true);
      response.release();
    }

    @Override
    void onFailure(AttemptOutcome outcome) {
      result.complete("" + outcome);
      answered.complete(false);
    }
  }

  /**
   * Its time ends while the loop is held up, which then runs its timers before it looks at its
   * sockets.
   */
  @Example
  void responseReceivedBeforeTimeoutIsReadAfterTimeoutWhenLoopStalled() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, PreciseSelectStrategy.newFactory(new ReadinessClock(new Clock()::now)));
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      RecordingQuery query = new RecordingQuery();
      LoopIteration iteration = StallableRouter.newIteration(loop);
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
      loop.submit(() -> pool(bootstrap, loop, iteration, server).start(query)).sync();
      try (Socket serverSide = server.accept()) {
        serverSide.getInputStream().read(new byte[200]);
        ByteBuf startupResponse = Unpooled.buffer();
        MessageEncoder.startupResponse(startupResponse);
        serverSide.getOutputStream().write(ByteBufUtil.getBytes(startupResponse));
        check(query.result.get(2, TimeUnit.SECONDS).equals("written"), "it is out");
        serverSide.getInputStream().read(new byte[200]);
        CountDownLatch stallEnds = new CountDownLatch(1);
        loop.execute(
            () -> {
              try {
                stallEnds.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              query.onTimeout();
            });
        ByteBuf response = Unpooled.buffer();
        MessageEncoder.errorResponse(response, "ERROR", "XX000", "as asked", null);
        MessageEncoder.readyForQuery(response);
        serverSide.getOutputStream().write(ByteBufUtil.getBytes(response));
        Thread.sleep(20);
        stallEnds.countDown();
        check(query.answered.get(2, TimeUnit.SECONDS), "the answer that had come");
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  /**
   * Guards against: beside load a router took servers that answer at once for silent ones, since
   * its time for a connection passed while it was held up itself.
   */
  @Example
  void connectTimeoutExcludesTimeInWhichLoopWasStalled() throws Exception {
    Clock clock = new Clock();
    ReadinessClock readinessClock = new ReadinessClock(clock::now);
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, PreciseSelectStrategy.newFactory(readinessClock));
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      RecordingQuery query = new RecordingQuery();
      LoopIteration iteration =
          loop.submit(() -> new LoopIteration(loop, clock, readinessClock)).sync().getNow();
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
      loop.submit(
              () -> {
                pool(bootstrap, loop, iteration, server, Span.ofMillis(300)).start(query);
                StallableRouter.sleep(600);
              })
          .sync();
      try (Socket serverSide = server.accept()) {
        serverSide.getInputStream().read(new byte[200]);
        Thread.sleep(50);
        ByteBuf startupResponse = Unpooled.buffer();
        MessageEncoder.startupResponse(startupResponse);
        serverSide.getOutputStream().write(ByteBufUtil.getBytes(startupResponse));
        check(query.result.get(2, TimeUnit.SECONDS).equals("written"), "it is out");
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  /** A server that never welcomes is given up in its time where the loop runs. */
  @Example
  void connectionWithoutStartupResponseTimesOut() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, PreciseSelectStrategy.newFactory(new ReadinessClock(new Clock()::now)));
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      RecordingQuery query = new RecordingQuery();
      LoopIteration iteration = StallableRouter.newIteration(loop);
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
      loop.submit(() -> pool(bootstrap, loop, iteration, server, Span.ofMillis(100)).start(query))
          .sync();
      check(query.result.get(2, TimeUnit.SECONDS).equals("NO_CONNECTION"), "given up");
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  private static ConnectionPool pool(
      Bootstrap bootstrap,
      SingleThreadEventLoop loop,
      LoopIteration iteration,
      ServerSocket server) {
    return pool(bootstrap, loop, iteration, server, Span.ofMillis(5_000));
  }

  private static ConnectionPool pool(
      Bootstrap bootstrap,
      SingleThreadEventLoop loop,
      LoopIteration iteration,
      ServerSocket server,
      Span connectTimeout) {
    ConnectionPool pool =
        new ConnectionPool(
            "s-1",
            bootstrap,
            loop,
            iteration,
            new Descriptors(50),
            new MemoryBudget(1 << 20),
            connectTimeout,
            Span.ofMillis(9_000),
            new RateLimitedLog(
                LoggerFactory.getLogger(ConnectionStartupTest.class),
                Event.NODE_BAD,
                iteration.clock()::now));
    pool.setAddress((InetSocketAddress) server.getLocalSocketAddress());
    return pool;
  }

  @Example
  void queryIsNotSentWhenClientDisconnectIsReadInSameIteration() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, PreciseSelectStrategy.newFactory(new ReadinessClock(new Clock()::now)));
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket server = new ServerSocket(0, 5, loopback);
        ServerSocket clientListener = new ServerSocket(0, 5, loopback)) {
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
      RecordingQuery query = new RecordingQuery();
      LoopIteration iteration = StallableRouter.newIteration(loop);
      bootstrap
          .clone()
          .handler(
              new ChannelInboundHandlerAdapter() {
                @Override
                public void channelInactive(ChannelHandlerContext context) {
                  iteration.enqueue(now -> query.clientDisconnected = true);
                }
              })
          .connect(clientListener.getLocalSocketAddress())
          .sync();
      loop.submit(() -> pool(bootstrap, loop, iteration, server).start(query)).sync();
      try (Socket client = clientListener.accept();
          Socket serverSide = server.accept()) {
        serverSide.getInputStream().read(new byte[200]);
        CountDownLatch stallStarted = new CountDownLatch(1);
        CountDownLatch stallEnds = new CountDownLatch(1);
        loop.execute(
            () -> {
              stallStarted.countDown();
              try {
                stallEnds.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
        stallStarted.await();
        ByteBuf startupResponse = Unpooled.buffer();
        MessageEncoder.startupResponse(startupResponse);
        serverSide.getOutputStream().write(ByteBufUtil.getBytes(startupResponse));
        client.close();
        // For both to lie ready; the node's is first in line.
        Thread.sleep(20);
        stallEnds.countDown();
        check(
            List.of("NEVER_SENT").contains(query.result.get(2, TimeUnit.SECONDS)),
            query.result.get());
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }
}
