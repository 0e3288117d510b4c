package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.LoopbackCluster;
import basaltlever.core.StatementRouter;
import basaltlever.discovery.EndpointList;
import basaltlever.log.Counter;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/**
 * A loop that was held up finds a long change of the list waiting: statements that it reads then
 * must not overtake it.
 */
class DiscoveryWatchReadTest {
  private static final int ENTRIES = 400;
  private static final int WARM_UP = 40;

  private static byte[] listChange(int generation) {
    StringBuilder text =
        new StringBuilder("{\"generation\":" + generation + ",\"reset\":true,\"instances\":[");
    for (int i = 0; i < ENTRIES; i++) {
      text.append(i == 0 ? "" : ",")
          .append("{\"instanceId\":\"s-")
          .append(i)
          .append("\",\"hostPort\":\"127.0.0.1:")
          .append(1_000 + i)
          .append("\",\"zone\":\"a\",\"cell\":")
          .append(i / 5)
          .append(",\"lifecycle\":\"in_service\",\"weight\":1.0,\"startedAtMs\":0}");
    }
    return text.append("]}\n").toString().getBytes(StandardCharsets.US_ASCII);
  }

  @Example
  void longBufferedListChangeIsReadInOneIteration() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket discovery = LoopbackCluster.listen(0)) {
      LoopIteration iteration = StallableRouter.newIteration(loop);
      StatementRouter<String> core = LoopbackCluster.createStatementRouter();
      EndpointList list = new EndpointList(core, List.of("a"), (node, address) -> {});
      DiscoveryWatch watch =
          new DiscoveryWatch(
              new Bootstrap().group(loop).channel(NioSocketChannel.class),
              (InetSocketAddress) discovery.getLocalSocketAddress(),
              iteration,
              list,
              core);
      loop.submit(watch::start).sync();
      try (Socket call = discovery.accept()) {
        LoopbackCluster.send(
            call, Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\n", StandardCharsets.US_ASCII));
        for (int i = 1; i <= WARM_UP; i++) {
          call.getOutputStream().write(listChange(i));
        }
        long read = 0;
        for (int i = 0; i < 200 && read < (long) ENTRIES * WARM_UP; i++) {
          Thread.sleep(20);
          read =
              loop.submit(() -> iteration.counters().get(Counter.LIST_ENTRIES_READ))
                  .sync()
                  .getNow();
        }
        check(read == (long) ENTRIES * WARM_UP, "all before: " + read);
        CountDownLatch stallEnds = new CountDownLatch(1);
        CompletableFuture<Long> readAfterOneIteration = new CompletableFuture<>();
        loop.execute(
            () -> {
              try {
                stallEnds.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              loop.executeAfterEventLoopIteration(
                  () ->
                      loop.execute(
                          () ->
                              readAfterOneIteration.complete(
                                  iteration.counters().get(Counter.LIST_ENTRIES_READ))));
            });
        call.getOutputStream().write(listChange(WARM_UP + 1));
        Thread.sleep(50);
        stallEnds.countDown();
        long readInIteration = readAfterOneIteration.get(2, TimeUnit.SECONDS) - read;
        check(readInIteration == ENTRIES, "read in one look: " + readInIteration);
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }
}
