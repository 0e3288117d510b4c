package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.config.WorkloadSlots;
import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.log.StatementTrace;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageEncoder;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.slf4j.LoggerFactory;

/**
 * One client that sends much at once has its share of each of the loop's iterations, and no more.
 */
class FloodTest {
  private static final int QUERIES = 60_000;

  /**
   * What it may have answered in an iteration: a share when it is read, and one when it goes on.
   */
  private static final int MAX_ANSWERS_PER_ITERATION = 2 * 16;

  private static final byte[] EMPTY_QUERY = {'Q', 0, 0, 0, 5, 0};

  @Example
  void answersPerIterationStayBoundedUnderAFlood() throws Exception {
    Clock clock = new Clock();
    ReadinessClock readinessClock = new ReadinessClock(clock::now);
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, PreciseSelectStrategy.newFactory(readinessClock));
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger maxAnswered = new AtomicInteger();
    try {
      ClientSessions clients =
          loop.submit(
                  () -> {
                    ClientSessions sessions =
                        new ClientSessions(
                            new LoopIteration(loop, clock, readinessClock),
                            new Descriptors(50),
                            WorkloadSlots.of(List.of("view")),
                            100,
                            new MemoryBudget(1 << 24),
                            new RateLimitedLog(
                                LoggerFactory.getLogger(FloodTest.class),
                                Event.CLIENT_BAD,
                                clock::now),
                            new StatementTrace(null, clock::now));
                    return sessions;
                  })
              .sync()
              .getNow();
      Channel listener =
          new ServerBootstrap()
              .group(loop, loop)
              .channel(NioServerSocketChannel.class)
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel
                          .pipeline()
                          .addLast(
                              new ChannelOutboundHandlerAdapter() {
                                @Override
                                public void write(
                                    ChannelHandlerContext context,
                                    Object message,
                                    ChannelPromise done) {
                                  answered.incrementAndGet();
                                  context.write(message, done);
                                }
                              },
                              new ClientChannel(clients.admit(clock.now(), clock.now())));
                    }
                  })
              .bind(InetAddress.getLoopbackAddress(), 0)
              .sync()
              .channel();
      try (Socket client =
          new Socket(
              InetAddress.getLoopbackAddress(),
              ((InetSocketAddress) listener.localAddress()).getPort())) {
        ByteBuf out = Unpooled.buffer();
        MessageEncoder.startupMessage(out, "app", "shop");
        for (int i = 0; i < QUERIES; i++) {
          out.writeBytes(EMPTY_QUERY);
        }
        Thread sender =
            new Thread(
                () -> {
                  try {
                    client.getOutputStream().write(ByteBufUtil.getBytes(out));
                  } catch (java.io.IOException closed) {
                    // Seen by who reads.
                  }
                });
        loop.execute(() -> recordIteration(loop, answered, maxAnswered));
        sender.start();
        DataInputStream in =
            new DataInputStream(new java.io.BufferedInputStream(client.getInputStream()));
        for (int readyMessages = 0; readyMessages <= QUERIES; ) {
          readyMessages += in.readByte() == 'Z' ? 1 : 0;
          in.skipNBytes(in.readInt() - 4);
        }
        check(
            maxAnswered.get() > 1 && maxAnswered.get() <= MAX_ANSWERS_PER_ITERATION,
            "answered in one iteration: " + maxAnswered);
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  /** Each iteration, by way of a timer: a task that adds a task would go on in the same one. */
  private static void recordIteration(
      SingleThreadEventLoop loop, AtomicInteger answered, AtomicInteger maxAnswered) {
    maxAnswered.accumulateAndGet(answered.getAndSet(0), Math::max);
    if (!loop.isShuttingDown()) {
      loop.schedule(() -> recordIteration(loop, answered, maxAnswered), 0, TimeUnit.NANOSECONDS);
    }
  }
}
