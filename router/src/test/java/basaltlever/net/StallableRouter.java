package basaltlever.net;

import basaltlever.config.StartFile;
import basaltlever.config.WorkloadSlots;
import basaltlever.core.Effects;
import basaltlever.core.LoadReportFormat;
import basaltlever.core.StatementRouter;
import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.log.StatementTracer;
import basaltlever.pg.MemoryBudget;
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
final class StallableRouter implements AutoCloseable {
  private static final int LISTEN_QUEUE_LENGTH = 100;
  private final Clock clock = new Clock();
  private final ReadinessClock readinessClock = new ReadinessClock(clock::now);
  final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, PreciseSelectStrategy.newFactory(readinessClock));
  final SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
  ClientSessions clients;
  AttemptExecutor executor;
  LoopIteration iteration;

  /** Whether the final answers of the decisions are given; nothing else that they want is done. */
  volatile boolean forwardsRejections;

  /** Whether what the decisions want done is a fault from here on. */
  volatile boolean throwsFaults;

  volatile boolean failsAccept;
  final int sockets;
  final Channel listener;
  final AcceptHandler acceptHandler;
  Descriptors descriptors;
  final int port;

  StallableRouter() throws Exception {
    this(200);
  }

  StallableRouter(int sockets) throws Exception {
    this.sockets = sockets;
    loop.submit(this::build).sync();
    acceptHandler =
        new AcceptHandler(
            iteration,
            descriptors,
            LISTEN_QUEUE_LENGTH,
            new RateLimitedLog(
                LoggerFactory.getLogger(StallableRouter.class), Event.ACCEPT_PAUSED, clock::now));
    listener =
        new ServerBootstrap()
            .group(loop, loop)
            .channelFactory(FailingListener::new)
            .option(ChannelOption.SO_BACKLOG, LISTEN_QUEUE_LENGTH)
            .option(ChannelOption.RECVBUF_ALLOCATOR, acceptHandler.newAcceptAllocator())
            .handler(acceptHandler)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new ClientChannel(
                                clients.admit(
                                    acceptHandler.queuedSince(), acceptHandler.silentSince())));
                  }
                })
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .sync()
            .channel();
    port = ((InetSocketAddress) listener.localAddress()).getPort();
  }

  @SuppressWarnings("unchecked")
  private Object build() throws Exception {
    var values = StartFile.read(Path.of("deploy/example.json")).startValues();
    iteration = new LoopIteration(loop, clock, readinessClock);
    descriptors = new Descriptors(sockets);
    iteration.setLastStep(descriptors::endLongestIdleClients);
    MemoryBudget budget = new MemoryBudget(1 << 24);
    StatementTracer trace = new StatementTracer(null, clock::now);
    executor =
        new AttemptExecutor(
            iteration,
            loop,
            node -> null,
            node -> {},
            new LoadReportFormat(List.of(), 0),
            Span.ofMillis(100),
            budget,
            trace);
    Effects<String> silent =
        (Effects<String>)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {Effects.class},
                (proxy, method, arguments) -> {
                  if (throwsFaults) {
                    throw new IllegalStateException("planted");
                  }
                  if (forwardsRejections && List.of("reject", "abort").contains(method.getName())) {
                    return method.invoke(executor, arguments);
                  }
                  return null;
                });
    clients =
        new ClientSessions(
            iteration,
            descriptors,
            WorkloadSlots.of(values.workloadNames()),
            500,
            budget,
            new RateLimitedLog(
                LoggerFactory.getLogger(StallableRouter.class), Event.CLIENT_BAD, clock::now),
            trace);
    StatementRouter<String> core =
        new StatementRouter<>(
            silent, values.loadBalancerFactory(1, clock.now(), values.defaultHoldBudget()));
    clients.start(core, executor);
    executor.setCore(core, () -> {});
    return null;
  }

  /** Accepting fails for as long as it is told to, as where the system has no descriptor left. */
  private final class FailingListener extends NioServerSocketChannel {
    @Override
    protected int doReadMessages(List<Object> into) throws Exception {
      if (failsAccept) {
        throw new IOException("Too many open files in system");
      }
      return super.doReadMessages(into);
    }
  }

  /** A turn whose loop tells nobody when it looks. */
  static LoopIteration newIteration(SingleThreadEventLoop loop) throws InterruptedException {
    Clock clock = new Clock();
    return loop.submit(() -> new LoopIteration(loop, clock, new ReadinessClock(clock::now)))
        .sync()
        .getNow();
  }

  void stallInIteration(long millis) {
    loop.execute(() -> iteration.enqueue(now -> sleep(millis)));
  }

  /** Not in a turn: as a process that was stopped while it waited, or another thread's doing. */
  void stallOutsideIteration(long millis) {
    loop.execute(() -> sleep(millis));
  }

  static void sleep(long millis) {
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
