package basaltlever.net;

import basaltlever.config.Places;
import basaltlever.config.StartFile;
import basaltlever.core.Core;
import basaltlever.core.Gauges;
import basaltlever.core.Outside;
import basaltlever.log.Event;
import basaltlever.log.Lives;
import basaltlever.log.Tally;
import basaltlever.pg.Budget;
import basaltlever.time.Span;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.LoggerFactory;

/** A router whose decisions never say a word of any statement, on a loop that tests hold up. */
final class HeldUpRouter implements AutoCloseable {
  private static final int QUEUE = 100;
  private final Clock clock = new Clock();
  private final LookClock looks = new LookClock(clock::now);
  final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, Waiting.newFactory(looks));
  final SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
  Clients clients;
  Carrier carrier;
  Turn turn;

  /** Whether the final answers of the decisions are given; nothing else that they want is done. */
  volatile boolean answers;

  /** Whether what the decisions want done is a fault from here on. */
  volatile boolean throwsUp;

  volatile boolean acceptFails;
  final int sockets;
  final Channel listener;
  final AcceptHandler accepting;
  Descriptors descriptors;
  final int port;

  HeldUpRouter() throws Exception {
    this(200);
  }

  HeldUpRouter(int sockets) throws Exception {
    this.sockets = sockets;
    loop.submit(this::build).sync();
    accepting =
        new AcceptHandler(
            turn,
            descriptors,
            QUEUE,
            new Tally(
                LoggerFactory.getLogger(HeldUpRouter.class), Event.ACCEPT_PAUSED, clock::now));
    listener =
        new ServerBootstrap()
            .group(loop, loop)
            .channelFactory(FailingListener::new)
            .option(ChannelOption.SO_BACKLOG, QUEUE)
            .option(ChannelOption.RECVBUF_ALLOCATOR, accepting.limitedReads())
            .handler(accepting)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(new ClientChannel(clients.admit(accepting.queuedSince())));
                  }
                })
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .sync()
            .channel();
    port = ((InetSocketAddress) listener.localAddress()).getPort();
  }

  @SuppressWarnings("unchecked")
  private Object build() throws Exception {
    var values = StartFile.read(Path.of("deploy/example.json")).values();
    turn = new Turn(loop, clock, looks);
    descriptors = new Descriptors(sockets);
    turn.last(descriptors::endLongestIdle);
    Budget budget = new Budget(1 << 24);
    Lives lives = new Lives(null, clock::now);
    carrier =
        new Carrier(
            turn,
            loop,
            node -> null,
            node -> {},
            new Gauges(List.of(), 0),
            Span.ofMillis(100),
            budget,
            lives);
    Outside<String> silent =
        (Outside<String>)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {Outside.class},
                (proxy, method, arguments) -> {
                  if (throwsUp) {
                    throw new IllegalStateException("planted");
                  }
                  if (answers && List.of("reject", "abort").contains(method.getName())) {
                    return method.invoke(carrier, arguments);
                  }
                  return null;
                });
    clients =
        new Clients(
            turn,
            descriptors,
            Places.of(values.workloadNames()),
            500,
            budget,
            new Tally(LoggerFactory.getLogger(HeldUpRouter.class), Event.CLIENT_BAD, clock::now),
            lives);
    Core<String> core = new Core<>(silent, values.balance(1, clock.now(), values.holds()));
    clients.serve(core, carrier);
    carrier.serve(core, () -> {});
    return null;
  }

  /** Accepting fails for as long as it is told to, as where the system has no descriptor left. */
  private final class FailingListener extends NioServerSocketChannel {
    @Override
    protected int doReadMessages(List<Object> into) throws Exception {
      if (acceptFails) {
        throw new IOException("Too many open files in system");
      }
      return super.doReadMessages(into);
    }
  }

  /** A turn whose loop tells nobody when it looks. */
  static Turn turn(SingleThreadEventLoop loop) throws InterruptedException {
    Clock clock = new Clock();
    return loop.submit(() -> new Turn(loop, clock, new LookClock(clock::now))).sync().getNow();
  }

  void stall(long millis) {
    loop.execute(() -> turn.hear(now -> sleep(millis)));
  }

  /** Not in a turn: as a process that was stopped while it waited, or another thread's doing. */
  void standsStill(long millis) {
    loop.execute(() -> sleep(millis));
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }
}
