package basaltlever.net;

import static basaltlever.StandIn.check;

import basaltlever.SocketWorld;
import basaltlever.core.StatementRouter;
import basaltlever.discovery.EndpointList;
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
import io.netty.channel.ChannelException;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.slf4j.LoggerFactory;

/**
 * The system gives no socket for a moment (ENFILE, ENOBUFS): what wanted one ends at once, on the
 * loop, and the next goes on.
 */
class SystemCallFaultsTest {
  /** Where it ended, and on which thread. */
  private static final class Query extends ServerQuery {
    final CompletableFuture<String> became = new CompletableFuture<>();

    @Override
    void write(ByteBuf out) {
      became.complete("written");
      MessageEncoder.query(out, "SELECT 1");
    }

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.EXECUTION;
    }

    @Override
    void answered(QueryResponse response) {
      response.release();
    }

    @Override
    void lost(AttemptOutcome outcome) {
      became.complete(outcome + " on " + Thread.currentThread().getName());
    }
  }

  /** So many sockets fail, then the system has some again. */
  private static Bootstrap failing(SingleThreadEventLoop loop, AtomicInteger failures) {
    return new Bootstrap()
        .group(loop)
        .channelFactory(
            () -> {
              if (failures.getAndDecrement() > 0) {
                throw new ChannelException("Too many open files in system");
              }
              return new NioSocketChannel();
            });
  }

  @Example
  void anExecutionThatGetsNoSocketEndsAtOnceAndTheNextOneIsSent() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket node = SocketWorld.listen(0)) {
      Bootstrap bootstrap = failing(loop, new AtomicInteger(3));
      LoopIteration iteration = HeldUpRouter.turn(loop);
      Descriptors descriptors = new Descriptors(64);
      ConnectionPool pool =
          loop.submit(
                  () ->
                      new ConnectionPool(
                          "s-1",
                          bootstrap,
                          loop,
                          iteration,
                          descriptors,
                          new MemoryBudget(1 << 20),
                          Span.ofMillis(5_000),
                          Span.ofMillis(9_000),
                          new RateLimitedLog(
                              LoggerFactory.getLogger(SystemCallFaultsTest.class),
                              Event.NODE_BAD,
                              iteration.clock()::now)))
              .sync()
              .getNow();
      String thread = loop.submit(() -> Thread.currentThread().getName()).sync().getNow();
      for (int i = 0; i < 3; i++) {
        Query query = new Query();
        loop.submit(
                () -> {
                  pool.at((InetSocketAddress) node.getLocalSocketAddress());
                  pool.start(query);
                })
            .sync();
        String became = query.became.get(1, TimeUnit.SECONDS);
        check(became.equals("NO_CONNECTION on " + thread), became);
      }
      Query next = new Query();
      loop.submit(() -> pool.start(next)).sync();
      try (Socket opened = node.accept()) {
        opened.getInputStream().read(new byte[200]);
        ByteBuf welcome = io.netty.buffer.Unpooled.buffer();
        MessageEncoder.startupResponse(welcome);
        SocketWorld.send(opened, welcome);
        check(next.became.get(1, TimeUnit.SECONDS).equals("written"), next.became.get());
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  @Example
  void aCallOfDiscoveryThatGetsNoSocketIsFollowedByAnother() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket discovery = SocketWorld.listen(0)) {
      SocketWorld.Silent outside = new SocketWorld.Silent();
      LoopIteration iteration = HeldUpRouter.turn(loop);
      Moment now = iteration.clock().now();
      StatementRouter<String> core =
          new StatementRouter<>(
              outside,
              SocketWorld.values()
                  .loadBalancerFactory(1, now, SocketWorld.values().defaultHoldBudget()));
      EndpointList list = new EndpointList(core, List.of(), (node, address) -> {});
      DiscoveryWatch watch =
          new DiscoveryWatch(
              failing(loop, new AtomicInteger(1)),
              (InetSocketAddress) discovery.getLocalSocketAddress(),
              iteration,
              list,
              core);
      loop.submit(watch::start).sync();
      // The decisions hear that it failed, and ask again within a second and a half.
      for (int i = 0; i < 40 && !outside.told.contains("watch"); i++) {
        Thread.sleep(50);
        loop.submit(() -> core.onTimerFired(iteration.clock().now())).sync();
      }
      check(outside.told.contains("watch"), "nobody asks any more");
      loop.submit(watch::start).sync();
      discovery.setSoTimeout(1_000);
      try (Socket call = discovery.accept()) {
        byte[] request = new byte[100];
        check(call.getInputStream().read(request) > 0, "it asks");
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }
}
