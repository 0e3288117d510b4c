package basaltlever.lab.endtoend;

import basaltlever.lab.sockets.PortAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Opens a burst of new client connections to routers that have just started, next to a steady load
 * and optional idle clients. Meanwhile the router processes may be suspended, servers may be slow
 * and accept calls may fail. The outcome is derived from what clients and servers observe.
 */
public final class NewClientsRun implements AutoCloseable {
  private static final long SETTLE_TIMEOUT_MILLIS = 5_000;
  private static final int IDLE_RAMP_MILLIS = 200;
  private static final int EVERY_CALL_PER_MILLION = 1_000_000;
  private static final List<String> VIOLATION_FIGURES =
      List.of("lost", "lost_resting", "doubled", "deadline", "overdue", "crashed");

  private final NewClientsOptions options;
  private final RunOptions setup;
  private final DaySettings settings;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final EventLoop idleLoop = group.next();
  private final SplittableRandom random;
  private final Path folder = Files.createTempDirectory("new-clients");
  private final MonotonicClock clock = new MonotonicClock();
  private final StatementChecker checker = new StatementChecker();
  private final ServerSimulator serverSimulator;
  private final DiscoveryService discovery;
  private final List<RouterUnderTest> routers = new ArrayList<>();
  private final List<ClientLoad> loads = new ArrayList<>();
  private final List<IdleClients> idle = new ArrayList<>();
  private double cpuSecondsAtStart;

  /**
   * @param jar the router build under test, or null to use the class path of this program
   */
  public NewClientsRun(NewClientsOptions options, long seed, Path jar) throws Exception {
    this.options = options;
    setup = options.runOptions();
    settings = DaySettings.defaults().withMeanWorkMillis(options.statementMillis());
    random = new SplittableRandom(seed);
    serverSimulator = new ServerSimulator(loop, setup, settings, clock, checker, random.split());
    serverSimulator.listen();
    discovery = new DiscoveryService(loop, setup, clock, serverSimulator);
    discovery.listen();
    Path library = options.acceptFailureMillis() > 0 ? FaultShim.build(folder) : null;
    if (options.acceptFailureMillis() > 0 && library == null) {
      throw new InvalidOptionException(
          "accept_fails_ms needs a compiler (cc), and this machine has none");
    }
    PortAllocator ports = new PortAllocator();
    for (int r = 0; r < setup.routers(); r++) {
      RouterUnderTest router = new RouterUnderTest(folder, r, ports.allocate(), jar, "");
      routers.add(router);
      router.replaceStartFile(startFileText(r));
      if (library != null) {
        Path stateFolder = Files.createDirectory(folder.resolve("state" + r));
        router.setShim(
            FaultShim.open(library, folder.resolve("control" + r), stateFolder, seed + r));
      }
    }
  }

  private String startFileText(int router) {
    return "{\"name\":\"n"
        + router
        + "\",\"listen\":\"127.0.0.1:"
        + routers.get(router).address().getPort()
        + "\",\"discovery\":\""
        + discovery.address(router)
        + "\",\"seed\":\""
        + Long.toHexString(random.nextLong())
        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
        + setup.sockets()
        + "},\"known\":"
        + discovery.fullList(router)
        + ",\"settings\":"
        + settings.toJson(router, setup.routers())
        + "}";
  }

  /** Makes the routers log the stages of each statement that takes longer than this. */
  public void traceStatementsLongerThan(long millis) {
    routers.forEach(router -> router.traceStatementsLongerThan(millis));
  }

  /** Runs to the end and returns the figures, with the violations under {@code broken}. */
  public Map<String, Object> run() throws Exception {
    long startNanos = System.nanoTime();
    for (RouterUnderTest router : routers) {
      router.start();
    }
    for (int r = 0; r < routers.size(); r++) {
      routers.get(r).awaitReady(startNanos);
      loads.add(
          new ClientLoad(
              loop, setup, settings, r, routers.get(r).address(), clock, checker, random.split()));
      idle.add(new IdleClients(idleLoop, routers.get(r).address()));
    }
    cpuSecondsAtStart = cpuSeconds();
    idleLoop
        .submit(() -> idle.forEach(group -> group.rampUp(options.idleClients(), IDLE_RAMP_MILLIS)))
        .sync();
    loop.submit(
            () ->
                loads.forEach(
                    load -> {
                      load.setCloseDelayMillis(options.closeDelayMillis());
                      load.start();
                      load.scheduleBurst(options.burstStatements(), options.burstMillis());
                    }))
        .sync();
    injectFaults();
    loop.submit(() -> loads.forEach(ClientLoad::stop)).sync();
    long settleDeadline = System.nanoTime() + SETTLE_TIMEOUT_MILLIS * 1_000_000;
    while (System.nanoTime() < settleDeadline
        && loop.submit(() -> loads.stream().anyMatch(c -> c.openStatements() > 0)).get()) {
      Thread.sleep(20);
    }
    double cpu = cpuSeconds() - cpuSecondsAtStart;
    int idleOpened = idleLoop.submit(() -> idle.stream().mapToInt(IdleClients::opened).sum()).get();
    idleLoop.submit(() -> idle.forEach(IdleClients::close)).sync();
    Map<String, Object> figures = new LinkedHashMap<>(loop.submit(this::figures).get());
    figures.put("cpu_s", cpu);
    figures.put("crowd_connections", idleOpened);
    return figures;
  }

  private double cpuSeconds() {
    return routers.stream().mapToDouble(RouterUnderTest::cpuSeconds).sum();
  }

  /** Suspends the routers at random times in the burst, then makes their accept calls fail. */
  private void injectFaults() throws Exception {
    long startNanos = System.nanoTime();
    int pauseCount = options.pauseMillis() == 0 ? 0 : options.pauseCount();
    for (int i = 0; i < pauseCount; i++) {
      Thread.sleep(random.nextLong(1 + options.burstMillis() / pauseCount));
      for (RouterUnderTest router : routers) {
        router.sendSignal("STOP");
      }
      Thread.sleep(options.pauseMillis());
      for (RouterUnderTest router : routers) {
        router.sendSignal("CONT");
      }
    }
    if (options.acceptFailureMillis() > 0) {
      routers.forEach(
          router -> router.shim().setFailureRate(FaultShim.Call.ACCEPT, EVERY_CALL_PER_MILLION));
      Thread.sleep(options.acceptFailureMillis());
      routers.forEach(router -> router.shim().clearFailures());
    }
    long remainingMillis =
        (long) (options.seconds() * 1_000) - (System.nanoTime() - startNanos) / 1_000_000;
    Thread.sleep(Math.max(0, remainingMillis));
  }

  private Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("routers", setup.routers());
    figures.put("sockets", setup.sockets());
    figures.putAll(checker.figures());
    figures.put("lost_new", checker.count(StatementChecker.Outcome.CLOSED_NEW));
    figures.put("overdue", routers.stream().mapToInt(RouterUnderTest::overdueStatements).sum());
    figures.put("crashed", (int) routers.stream().filter(router -> !router.isAlive()).count());
    figures.put(
        "judge_late_ms_most", loads.stream().mapToLong(ClientLoad::maxLagMillis).max().orElse(0));
    figures.put("failures", checker.failures());
    figures.put(
        "broken",
        VIOLATION_FIGURES.stream()
            .filter(figure -> ((Number) figures.get(figure)).intValue() > 0)
            .map(figure -> figure + " " + figures.get(figure))
            .toList());
    return figures;
  }

  /**
   * Stops the routers first, so that their logs are complete, and copies the logs to the folder.
   */
  public void copyLogs(Path to) throws IOException {
    routers.parallelStream().forEach(RouterUnderTest::close);
    for (int r = 0; r < routers.size(); r++) {
      Files.writeString(to.resolve("n" + r + ".log"), routers.get(r).readLog());
    }
  }

  @Override
  public void close() throws IOException {
    routers.parallelStream().forEach(RouterUnderTest::close);
    serverSimulator.close();
    discovery.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(java.io.File::delete);
    }
  }
}
