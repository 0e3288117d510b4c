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
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Runs router processes against thousands of simulated servers on loopback. A {@link
 * StatementChecker} checks the outcome of each statement.
 */
public final class ManyServersRun implements AutoCloseable {
  private static final long SAMPLE_INTERVAL_MILLIS = 50;
  private static final long SETTLE_TIMEOUT_MILLIS = 4_000;

  /** The times of the faults are shares of the length of the run. */
  private static final double DRAIN_AT_SHARE = 0.5;

  private static final double REMOVE_AT_SHARE = 0.75;
  private static final double ROUTER_RESTART_AT_SHARE = 0.35;
  private static final double FULL_LISTS_AT_SHARE = 0.6;
  private static final Pattern SLOW_LOOP_TURN = Pattern.compile("event=turn_slow took_ms=(\\d+)");

  private final RunOptions options;
  private final DaySettings settings = DaySettings.defaults();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final SplittableRandom random;
  private final Path folder = Files.createTempDirectory("many-servers");
  private final MonotonicClock clock = new MonotonicClock();
  private final StatementChecker checker = new StatementChecker();
  private final ServerSimulator serverSimulator;
  private final DiscoveryService discovery;
  private final List<RouterUnderTest> routers = new ArrayList<>();
  private final List<ClientLoad> loads = new ArrayList<>();
  private Thread sampler;
  private volatile boolean finished;

  /**
   * @param jar the router build under test, or null to use the class path of this program
   */
  public ManyServersRun(RunOptions options, long seed, Path jar) throws Exception {
    this.options = options;
    random = new SplittableRandom(seed);
    serverSimulator = new ServerSimulator(loop, options, settings, clock, checker, random.split());
    serverSimulator.listen();
    discovery = new DiscoveryService(loop, options, clock, serverSimulator);
    discovery.listen();
    PortAllocator ports = new PortAllocator();
    for (int r = 0; r < options.routers(); r++) {
      routers.add(new RouterUnderTest(folder, r, ports.allocate(), jar, ""));
    }
    for (int r = 0; r < options.routers(); r++) {
      writeStartFile(r);
    }
  }

  private void writeStartFile(int router) throws IOException {
    RouterUnderTest process = routers.get(router);
    Files.writeString(
        folder.resolve("n" + router + ".json"),
        "{\"name\":\"n"
            + router
            + "\",\"listen\":\"127.0.0.1:"
            + process.address().getPort()
            + "\",\"discovery\":\""
            + discovery.address(router)
            + "\",\"seed\":\""
            + Long.toHexString(random.nextLong())
            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
            + options.sockets()
            + "},\"known\":"
            + discovery.fullList(router)
            + ",\"settings\":"
            + settings.toJson(router, options.routers())
            + "}");
  }

  /**
   * Runs until the time is over and returns the figures. Resource use is the mean over all routers.
   */
  public Map<String, Object> run() throws Exception {
    startRouters();
    sampler = new Thread(this::sampleRouters, "sampler");
    sampler.setDaemon(true);
    sampler.start();
    loop.submit(this::scheduleFaults).sync();
    loop.submit(() -> loads.forEach(ClientLoad::start)).sync();
    long restartMillis = (long) (options.seconds() * ROUTER_RESTART_AT_SHARE * 1_000);
    Thread.sleep(restartMillis);
    restartRouters();
    Thread.sleep(Math.max(0, (long) (options.seconds() * 1_000) - restartMillis));
    loop.submit(() -> loads.forEach(ClientLoad::stop)).sync();
    long settleDeadline = System.nanoTime() + SETTLE_TIMEOUT_MILLIS * 1_000_000;
    while (System.nanoTime() < settleDeadline
        && loop.submit(() -> loads.stream().anyMatch(c -> c.openStatements() > 0)).get()) {
      Thread.sleep(20);
    }
    finished = true;
    sampler.join();
    return loop.submit(this::figures).get();
  }

  private void startRouters() throws Exception {
    long startNanos = System.nanoTime();
    for (RouterUnderTest router : routers) {
      router.start();
    }
    for (int r = 0; r < routers.size(); r++) {
      routers.get(r).awaitReady(startNanos);
      loads.add(
          new ClientLoad(
              loop,
              options,
              settings,
              r,
              routers.get(r).address(),
              clock,
              checker,
              random.split()));
    }
  }

  private void scheduleFaults() {
    scheduleAt(DRAIN_AT_SHARE, this::drainReplicas);
    scheduleAt(REMOVE_AT_SHARE, this::removeDrainingReplicas);
    scheduleAt(FULL_LISTS_AT_SHARE, () -> discovery.repeatFullList(options.fullListRepeats()));
    if (options.cutConnectionShare() > 0) {
      for (double share = 0.1; share < 1; share += 0.1) {
        scheduleAt(share, () -> serverSimulator.resetConnections(options.cutConnectionShare()));
      }
    }
    if (options.coldStartShare() > 0) {
      scheduleAt(0.3, this::restartReplicas);
    }
  }

  private void scheduleAt(double shareOfRun, Runnable fault) {
    loop.schedule(fault, (long) (options.seconds() * shareOfRun * 1_000), TimeUnit.MILLISECONDS);
  }

  private void drainReplicas() {
    List<SimulatedServer> replicas =
        pickReplicas(options.drainShare(), SimulatedServer.Lifecycle.IN_SERVICE);
    replicas.forEach(server -> server.lifecycle = SimulatedServer.Lifecycle.DRAINING);
    discovery.publishChanges(replicas);
  }

  private void removeDrainingReplicas() {
    List<SimulatedServer> replicas =
        pickReplicas(options.removeShare(), SimulatedServer.Lifecycle.DRAINING);
    replicas.forEach(server -> server.lifecycle = SimulatedServer.Lifecycle.REMOVED);
    discovery.publishChanges(replicas);
  }

  private void restartReplicas() {
    long now = clock.nowMillis();
    List<SimulatedServer> replicas =
        pickReplicas(options.coldStartShare(), SimulatedServer.Lifecycle.IN_SERVICE);
    replicas.forEach(server -> server.restart(now));
    discovery.publishChanges(replicas);
  }

  private List<SimulatedServer> pickReplicas(double share, SimulatedServer.Lifecycle lifecycle) {
    return serverSimulator.servers().stream()
        .filter(
            server ->
                !server.primary && server.lifecycle == lifecycle && random.nextDouble() < share)
        .toList();
  }

  private void restartRouters() throws Exception {
    for (int r = 0; r < Math.min(options.routerRestarts(), routers.size()); r++) {
      int router = r;
      ClientLoad load = loads.get(r);
      loop.submit(load::stop).sync();
      Thread.sleep(300);
      loop.submit(() -> serverSimulator.clearNotifications(router)).sync();
      writeStartFile(r);
      long startNanos = System.nanoTime();
      routers.get(r).restart();
      routers.get(r).awaitReady(startNanos);
      ClientLoad newLoad =
          new ClientLoad(
              loop, options, settings, r, routers.get(r).address(), clock, checker, random.split());
      // Continues the id sequence of the previous load, as ids must be unique per router.
      loop.submit(
              () -> {
                newLoad.continueFrom(load);
                loads.set(router, newLoad);
                newLoad.start();
              })
          .sync();
    }
  }

  private void sampleRouters() {
    while (!finished) {
      routers.forEach(RouterUnderTest::sampleUsage);
      try {
        Thread.sleep(SAMPLE_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("servers", options.servers());
    figures.put("routers", options.routers());
    figures.putAll(checker.figures());
    figures.put("cpu_s", meanOverRouters(RouterUnderTest::cpuSeconds));
    figures.put("memory_mb", meanOverRouters(RouterUnderTest::maxMemoryMegabytes));
    figures.put("descriptors_max", meanOverRouters(RouterUnderTest::maxDescriptors));
    figures.put(
        "descriptors_most",
        routers.stream().mapToInt(RouterUnderTest::maxDescriptors).max().orElse(0));
    figures.put("connections", meanByRouterIndex(serverSimulator::connectionCount));
    figures.put("polls", meanByRouterIndex(serverSimulator::pollCount));
    figures.put("polls_most_s", serverSimulator.maxPollsPerSecond());
    figures.put("list_bytes", meanByRouterIndex(router -> discovery.bytesWritten(router)));
    figures.put("list_calls", meanByRouterIndex(discovery::callCount));
    figures.put(
        "ready_ms_most",
        routers.stream().mapToLong(RouterUnderTest::startupMillis).max().orElse(0));
    figures.put("turn_most_ms", longestLoopTurnMillis());
    figures.put("crashed", (int) routers.stream().filter(router -> !router.isAlive()).count());
    figures.put("failures", checker.failures());
    return figures;
  }

  /** The longest loop turn logged by a router since its last start; 0 if none was logged. */
  private int longestLoopTurnMillis() {
    int longestMillis = 0;
    for (RouterUnderTest router : routers) {
      String log = router.readLog();
      Matcher slow = SLOW_LOOP_TURN.matcher(log);
      for (int from = Math.max(0, log.lastIndexOf("event=serves"));
          slow.find(from);
          from = slow.end()) {
        longestMillis = Math.max(longestMillis, Integer.parseInt(slow.group(1)));
      }
    }
    return longestMillis;
  }

  private double meanOverRouters(ToDoubleFunction<RouterUnderTest> figure) {
    return routers.stream().mapToDouble(figure).average().orElse(0);
  }

  private double meanByRouterIndex(java.util.function.IntToDoubleFunction figure) {
    return java.util.stream.IntStream.range(0, routers.size())
        .mapToDouble(figure)
        .average()
        .orElse(0);
  }

  /**
   * Stops the routers first, so that their logs are complete, and copies the logs to the folder.
   */
  void copyLogs(Path to) throws IOException {
    routers.parallelStream().forEach(RouterUnderTest::close);
    for (int r = 0; r < routers.size(); r++) {
      Files.writeString(to.resolve("n" + r + ".log"), routers.get(r).readLog());
    }
  }

  @Override
  public void close() throws IOException {
    finished = true;
    routers.parallelStream().forEach(RouterUnderTest::close);
    serverSimulator.close();
    discovery.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(java.io.File::delete);
    }
  }
}
