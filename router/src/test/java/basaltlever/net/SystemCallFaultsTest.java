package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.LoopbackCluster;
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
    final CompletableFuture<String> result = new CompletableFuture<>();

    @Override
    void write(ByteBuf out) {
      result.complete("written");
      MessageEncoder.query(out, "SELECT 1");
    }

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.EXECUTION;
    }

    @Override
    void onResponse(QueryResponse response) {
      response.release();
    }

    @Override
    void onFailure(AttemptOutcome outcome) {
      result.complete(outcome + " on " + Thread.currentThread().getName());
    }
  }

  /** So many sockets fail, then the system has some again. */
  private static Bootstrap bootstrapFailing(SingleThreadEventLoop loop, AtomicInteger failures) {
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
  void executionWithoutSocketFailsImmediatelyAndNextOneIsSent() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket server = LoopbackCluster.listen(0)) {
      Bootstrap bootstrap = bootstrapFailing(loop, new AtomicInteger(3));
      LoopIteration iteration = StallableRouter.newIteration(loop);
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
                  pool.setAddress((InetSocketAddress) server.getLocalSocketAddress());
                  pool.start(query);
                })
            .sync();
        String result = query.result.get(1, TimeUnit.SECONDS);
        check(result.equals("NO_CONNECTION on " + thread), result);
      }
      Query next = new Query();
      loop.submit(() -> pool.start(next)).sync();
      try (Socket serverSide = server.accept()) {
        serverSide.getInputStream().read(new byte[200]);
        ByteBuf startupResponse = io.netty.buffer.Unpooled.buffer();
        MessageEncoder.startupResponse(startupResponse);
        LoopbackCluster.send(serverSide, startupResponse);
        check(next.result.get(1, TimeUnit.SECONDS).equals("written"), next.result.get());
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  @Example
  void discoveryCallWithoutSocketIsRetried() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket discovery = LoopbackCluster.listen(0)) {
      LoopbackCluster.RecordingEffects effects = new LoopbackCluster.RecordingEffects();
      LoopIteration iteration = StallableRouter.newIteration(loop);
      Moment now = iteration.clock().now();
      StatementRouter<String> core =
          new StatementRouter<>(
              effects,
              LoopbackCluster.createStartValues()
                  .loadBalancerFactory(
                      1, now, LoopbackCluster.createStartValues().defaultHoldBudget()));
      EndpointList list = new EndpointList(core, List.of(), (node, address) -> {});
      DiscoveryWatch watch =
          new DiscoveryWatch(
              bootstrapFailing(loop, new AtomicInteger(1)),
              (InetSocketAddress) discovery.getLocalSocketAddress(),
              iteration,
              list,
              core);
      loop.submit(watch::start).sync();
      // The decisions hear that it failed, and ask again within a second and a half.
      for (int i = 0; i < 40 && !effects.calls.contains("watch"); i++) {
        Thread.sleep(50);
        loop.submit(() -> core.onTimerFired(iteration.clock().now())).sync();
      }
      check(effects.calls.contains("watch"), "nobody asks any more");
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
