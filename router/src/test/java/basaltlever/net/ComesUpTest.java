package basaltlever.net;

import static basaltlever.StandIn.check;

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
class ComesUpTest {
  /** Over once its client has gone, as the decisions make it. */
  private static final class Waits extends ServerQuery {
    final CompletableFuture<String> became = new CompletableFuture<>();
    final CompletableFuture<Boolean> answered = new CompletableFuture<>();
    boolean hasLeft;

    @Override
    Descriptors.Use use() {
      return Descriptors.Use.EXECUTION;
    }

    @Override
    void write(ByteBuf out) {
      became.complete("written");
      MessageEncoder.query(out, "SELECT 1");
    }

    @Override
    boolean isTooLate(Moment now) {
      return hasLeft;
    }

    @Override
    void answered(QueryResponse response) {
      answered.complete(true);
      response.release();
    }

    @Override
    void lost(AttemptOutcome outcome) {
      became.complete("" + outcome);
      answered.complete(false);
    }
  }

  /**
   * Its time ends while the loop is held up, which then runs its timers before it looks at its
   * sockets.
   */
  @Example
  void anAnswerThatHasComeInTimeIsHeardThoughItsTimeIsOverByThen() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, PreciseSelectStrategy.newFactory(new ReadinessClock(new Clock()::now)));
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket node = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Waits job = new Waits();
      LoopIteration iteration = HeldUpRouter.turn(loop);
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
      loop.submit(() -> link(bootstrap, loop, iteration, node).start(job)).sync();
      try (Socket opened = node.accept()) {
        opened.getInputStream().read(new byte[200]);
        ByteBuf welcome = Unpooled.buffer();
        MessageEncoder.startupResponse(welcome);
        opened.getOutputStream().write(ByteBufUtil.getBytes(welcome));
        check(job.became.get(2, TimeUnit.SECONDS).equals("written"), "it is out");
        opened.getInputStream().read(new byte[200]);
        CountDownLatch goesOn = new CountDownLatch(1);
        loop.execute(
            () -> {
              try {
                goesOn.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              job.timeIsOver();
            });
        ByteBuf answer = Unpooled.buffer();
        MessageEncoder.errorResponse(answer, "ERROR", "XX000", "as asked", null);
        MessageEncoder.readyForQuery(answer);
        opened.getOutputStream().write(ByteBufUtil.getBytes(answer));
        Thread.sleep(20);
        goesOn.countDown();
        check(job.answered.get(2, TimeUnit.SECONDS), "the answer that had come");
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
  void aServerIsGivenItsTimeThoughTheLoopWasHeldUpForLonger() throws Exception {
    Clock clock = new Clock();
    ReadinessClock readinessClock = new ReadinessClock(clock::now);
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, PreciseSelectStrategy.newFactory(readinessClock));
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket node = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Waits job = new Waits();
      LoopIteration iteration =
          loop.submit(() -> new LoopIteration(loop, clock, readinessClock)).sync().getNow();
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
      loop.submit(
              () -> {
                link(bootstrap, loop, iteration, node, Span.ofMillis(300)).start(job);
                HeldUpRouter.sleep(600);
              })
          .sync();
      try (Socket opened = node.accept()) {
        opened.getInputStream().read(new byte[200]);
        Thread.sleep(50);
        ByteBuf welcome = Unpooled.buffer();
        MessageEncoder.startupResponse(welcome);
        opened.getOutputStream().write(ByteBufUtil.getBytes(welcome));
        check(job.became.get(2, TimeUnit.SECONDS).equals("written"), "it is out");
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  /** A server that never welcomes is given up in its time where the loop runs. */
  @Example
  void aServerThatNeverWelcomesIsGivenUp() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, PreciseSelectStrategy.newFactory(new ReadinessClock(new Clock()::now)));
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    try (ServerSocket node = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Waits job = new Waits();
      LoopIteration iteration = HeldUpRouter.turn(loop);
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
      loop.submit(() -> link(bootstrap, loop, iteration, node, Span.ofMillis(100)).start(job))
          .sync();
      check(job.became.get(2, TimeUnit.SECONDS).equals("NO_CONNECTION"), "given up");
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  private static ConnectionPool link(
      Bootstrap bootstrap, SingleThreadEventLoop loop, LoopIteration iteration, ServerSocket node) {
    return link(bootstrap, loop, iteration, node, Span.ofMillis(5_000));
  }

  private static ConnectionPool link(
      Bootstrap bootstrap,
      SingleThreadEventLoop loop,
      LoopIteration iteration,
      ServerSocket node,
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
                LoggerFactory.getLogger(ComesUpTest.class),
                Event.NODE_BAD,
                iteration.clock()::now));
    pool.at((InetSocketAddress) node.getLocalSocketAddress());
    return pool;
  }

  @Example
  void nothingIsSentForAClientWhoseEndIsReadInTheSameLook() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, PreciseSelectStrategy.newFactory(new ReadinessClock(new Clock()::now)));
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    InetAddress here = InetAddress.getLoopbackAddress();
    try (ServerSocket node = new ServerSocket(0, 5, here);
        ServerSocket front = new ServerSocket(0, 5, here)) {
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
      Waits job = new Waits();
      LoopIteration iteration = HeldUpRouter.turn(loop);
      bootstrap
          .clone()
          .handler(
              new ChannelInboundHandlerAdapter() {
                @Override
                public void channelInactive(ChannelHandlerContext context) {
                  iteration.hear(now -> job.hasLeft = true);
                }
              })
          .connect(front.getLocalSocketAddress())
          .sync();
      loop.submit(() -> link(bootstrap, loop, iteration, node).start(job)).sync();
      try (Socket client = front.accept();
          Socket opened = node.accept()) {
        opened.getInputStream().read(new byte[200]);
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        loop.execute(
            () -> {
              stands.countDown();
              try {
                goesOn.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
        stands.await();
        ByteBuf welcome = Unpooled.buffer();
        MessageEncoder.startupResponse(welcome);
        opened.getOutputStream().write(ByteBufUtil.getBytes(welcome));
        client.close();
        // For both to lie ready; the node's is first in line.
        Thread.sleep(20);
        goesOn.countDown();
        check(
            List.of("NEVER_SENT").contains(job.became.get(2, TimeUnit.SECONDS)), job.became.get());
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }
}
