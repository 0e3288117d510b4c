package basaltlever.lab.sockets;

import basaltlever.lab.load.LoadGenerator;
import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.world.FaultInjector;
import basaltlever.lab.world.Server;
import basaltlever.lab.world.SimulatedCluster;
import basaltlever.lab.world.Statement;
import basaltlever.lab.world.Workload;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.Query;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;

/**
 * Runs a scenario on real sockets. Simulated servers, discovery and clients share one event loop of
 * this process; each router is a separate process.
 */
public final class SocketRun implements AutoCloseable {
  public static final String ANNOUNCEMENT_TABLE = "basaltlever_change";

  /** The time allowed for all routers to start. */
  private static final long STARTUP_ALLOWANCE_MILLIS = 4_000;

  private static final long COMPLETION_TIMEOUT_MILLIS = 4_000;
  private static final Span LOOP_CHECK_INTERVAL = Span.ofMillis(10);
  private static final Span LOOP_DELAY_THRESHOLD = Span.ofMillis(40);

  private final Scenario scenario;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Path folder = Files.createTempDirectory("lab");
  private final List<RouterProcess> routers = new ArrayList<>();
  private final List<DiscoveryServer> discoveryServers = new ArrayList<>();
  private int faultyLists;

  /** Set when the load starts. */
  private volatile SocketClients clients;

  private boolean restarting;
  private int restarts;
  private volatile long longestRestartMillis;
  private final SimulatedCluster cluster;
  private final FaultInjector faults;

  /** Uses one operator file for all routers. Without a jar they run on the class path. */
  public SocketRun(Scenario scenario, long seed, Path jar, String operatorText) throws Exception {
    this(scenario, seed, jar, router -> operatorText, 0, new PortAllocator());
  }

  /** Uses additional JVM flags for each router, and no operator file. */
  public SocketRun(Scenario scenario, long seed, Path jar, List<String> jvmFlags) throws Exception {
    this(scenario, seed, jar, jvmFlags, router -> "", 0, new PortAllocator());
  }

  /** Lets the first router listen on the given port, and accepts statements of other clients. */
  public SocketRun(Scenario scenario, long seed, Path jar, String operatorText, int port)
      throws Exception {
    this(scenario, seed, jar, router -> operatorText, port, new PortAllocator());
  }

  /**
   * Uses a separate operator file for each router index. The allocator must be the one that
   * assigned the ports in these files, so that no port is used twice.
   */
  public SocketRun(
      Scenario scenario,
      long seed,
      Path jar,
      IntFunction<String> operatorText,
      int port,
      PortAllocator ports)
      throws Exception {
    this(scenario, seed, jar, List.of(), operatorText, port, ports);
  }

  private SocketRun(
      Scenario scenario,
      long seed,
      Path jar,
      List<String> jvmFlags,
      IntFunction<String> operatorText,
      int port,
      PortAllocator ports)
      throws Exception {
    this.scenario = scenario;
    SplittableRandom random = new SplittableRandom(seed);
    int count = scenario.count("routers");
    cluster =
        loop.submit(
                () ->
                    new SimulatedCluster(
                        new EventLoopScheduler(loop),
                        random.split(),
                        scenario.span("grace_ms"),
                        Span.ofMillis(STARTUP_ALLOWANCE_MILLIS).plus(scenario.span("warm_ms")),
                        scenario.replicasRefuseStaleReads,
                        scenario.count("groups"),
                        scenario.count("members"),
                        scenario.count("cores"),
                        count))
            .get();
    cluster.setAbruptSwitchovers(scenario.abruptHandover);
    faults =
        new FaultInjector(
            cluster,
            scenario.faultWeights,
            scenario.span("faults_from_ms"),
            scenario.span("faults_to_ms"),
            count);
    for (int r = 0; r < count; r++) {
      Map<Server, ServerSocketAdapter> adapters = new HashMap<>();
      for (Server server : cluster.servers()) {
        adapters.put(
            server,
            new ServerSocketAdapter(
                cluster,
                server,
                r,
                loop,
                ANNOUNCEMENT_TABLE,
                port > 0 ? this::externalStatement : null));
      }
      loop.submit(() -> adapters.forEach(Server::addListener)).get();
      DiscoveryServer discoveryServer =
          new DiscoveryServer(cluster, r, loop, server -> adapters.get(server).address());
      discoveryServers.add(discoveryServer);
      routers.add(
          new RouterProcess(
              "n" + (r + 1),
              folder,
              jar,
              jvmFlags,
              r == 0 && port > 0 ? port : ports.allocate(),
              discoveryServer.address(),
              random.nextLong(),
              discoveryServer.endpointList(),
              settings(r, false),
              operatorText
                  .apply(r)
                  .replace(
                      "{folder}", Files.createDirectory(folder.resolve("view" + r)).toString())));
    }
    for (RouterProcess router : routers) {
      router.awaitReady();
    }
  }

  /**
   * Creates a statement for a query of a client outside of this run, or returns the existing one
   * with the same id.
   */
  private Statement externalStatement(ByteBuf message, String id, int router)
      throws ProtocolException {
    Query query =
        Query.parse(
            message.slice(
                message.readerIndex() + MessageDecoder.HEADER_BYTES,
                message.readableBytes() - MessageDecoder.HEADER_BYTES - 1));
    Workload workload =
        scenario.workloads.stream()
            .filter(candidate -> candidate.name().equals(query.workload))
            .findAny()
            .orElseThrow(() -> new ProtocolException("08P01", "unknown workload"));
    Statement existing = cluster.checker.findStatement(id);
    if (existing != null) {
      return existing;
    }
    Statement statement =
        new Statement(
            id,
            id,
            workload,
            query.group,
            router,
            query.sessionHash,
            cluster.now(),
            cluster.now().plus(Span.ofMillis((double) query.timeoutMillis)),
            query.lastCommitMillis,
            1);
    cluster.checker.onStatementStarted(statement);
    cluster
        .scheduler()
        .runAfter(
            Span.ofMillis((double) query.timeoutMillis),
            () -> cluster.checker.removeStatement(statement));
    return statement;
  }

  private String settings(int router, boolean alternative) {
    return scenario.routerSettings(alternative).replaceFirst("\\{", "{\"Me\":" + router + ",");
  }

  public SimulatedCluster cluster() {
    return cluster;
  }

  public FaultInjector faults() {
    return faults;
  }

  public EventLoop loop() {
    return loop;
  }

  public List<RouterProcess> routers() {
    return routers;
  }

  /**
   * Delays all later lists of a router's discovery service, or sends one random incorrect list if
   * the delay is null.
   */
  public void injectDiscoveryFault(int router, SplittableRandom random, Span notificationDelay) {
    DiscoveryServer discoveryServer = discoveryServers.get(router);
    if (notificationDelay == null) {
      faultyLists++;
      discoveryServer.sendFaultyList(
          DiscoveryServer.ListFault.values()[
              random.nextInt(DiscoveryServer.ListFault.values().length)]);
    } else {
      discoveryServer.setNotificationDelay(notificationDelay);
    }
  }

  /**
   * Runs the scenario to its end, waits a few seconds for late responses and returns the figures.
   */
  public Map<String, Object> runScenario() throws Exception {
    List<InetSocketAddress> addresses = routers.stream().map(RouterProcess::address).toList();
    Span warmUp = scenario.span("warm_ms");
    Span duration = Span.ofMillis(scenario.number("seconds") * 1_000).plus(warmUp);
    Thread.sleep(
        Math.max(0, loop.submit(() -> cluster.timeToStart().minus(warmUp).micros() / 1_000).get()));
    double cpuMicrosBefore = routers.stream().mapToDouble(RouterProcess::cpuMicros).sum();
    clients = new SocketClients(cluster, addresses, loop);
    cluster.setRestartHandler(router -> restartRouter(router, clients));
    LoadGenerator load =
        loop.submit(
                () -> {
                  monitorLoopDelay(cluster.now());
                  LoadGenerator newLoad =
                      new LoadGenerator(
                          cluster, clients, faults, scenario.scaledWorkloads(), routers.size());
                  if (scenario.number("read_versions") > 0) {
                    newLoad.followVersions(UnaryOperator.identity());
                  }
                  newLoad.runFor(duration);
                  cluster
                      .scheduler()
                      .runAfter(
                          warmUp,
                          () -> faults.runFor(duration.minus(warmUp).minus(Span.ofMillis(500))));
                  if (scenario.simultaneousFault != null) {
                    cluster
                        .scheduler()
                        .runAfter(
                            warmUp.plus(scenario.span("all_at_once_s").times(1_000)),
                            () ->
                                faults.injectIntoGroups(
                                    scenario.simultaneousFault, scenario.number("all_share")));
                  }
                  return newLoad;
                })
            .get();
    long endNanos = System.nanoTime() + duration.micros() * 1_000;
    int switches = 0;
    for (long switchMillis = (long) scenario.number("switch_ms");
        switchMillis > 0 && System.nanoTime() + switchMillis * 1_000_000 < endNanos;
        switches++) {
      Thread.sleep(switchMillis);
      for (int r = 0; r < routers.size(); r++) {
        routers.get(r).reloadSettings(settings(r, switches % 2 == 0));
      }
    }
    Thread.sleep(Math.max(0, (endNanos - System.nanoTime()) / 1_000_000));
    long deadlineNanos = System.nanoTime() + COMPLETION_TIMEOUT_MILLIS * 1_000_000;
    while (!loop.submit(load::isFinished).get() && System.nanoTime() < deadlineNanos) {
      Thread.sleep(50);
    }
    Thread.sleep(500);
    Map<String, Object> figures = loop.submit(() -> cluster.checker.figures()).get();
    figures.put("faults", faults.injectionCounts());
    figures.put("promotion_ms", cluster.meanPromotionMillis());
    figures.put(
        "cpu_us_a_statement",
        (routers.stream().mapToDouble(RouterProcess::cpuMicros).sum() - cpuMicrosBefore)
            / Math.max(1, ((Number) figures.get("statements")).doubleValue()));
    figures.put("routers_restarted", restarts);
    figures.put("restart_ms_most", longestRestartMillis);
    figures.put("odd_lists", faultyLists);
    figures.put("switches", switches);
    figures.put(
        "routers_died", routers.stream().filter(router -> !router.process().isAlive()).count());
    return figures;
  }

  /**
   * Records delays of the event loop. Servers and clients share it, so its delays are not
   * attributed to the routers.
   */
  private void monitorLoopDelay(Moment dueAt) {
    Moment now = cluster.now();
    if (now.since(dueAt).isLongerThan(LOOP_DELAY_THRESHOLD)) {
      cluster.checker.onStall(dueAt, now);
    }
    loop.schedule(
        () -> monitorLoopDelay(now.plus(LOOP_CHECK_INTERVAL)),
        LOOP_CHECK_INTERVAL.micros(),
        TimeUnit.MICROSECONDS);
  }

  /** Returns the state folder of one router, which remains the same over its restarts. */
  public String routerFolder(int routerIndex) {
    return folder.resolve("view" + routerIndex).toString();
  }

  /**
   * Kills a router, which stays down until {@link #startRouter}; clients use the other routers.
   * Must not be called on the event loop.
   */
  public void killRouter(int routerIndex) throws InterruptedException {
    loop.submit(() -> clients.setRouterDown(routerIndex, true)).sync();
    routers.get(routerIndex).process().destroyForcibly().waitFor();
  }

  /** Starts a router that was killed. Must not be called on the event loop. */
  public void startRouter(int routerIndex) throws IOException, InterruptedException {
    routers.get(routerIndex).start();
    routers.get(routerIndex).awaitReady();
    loop.submit(() -> clients.setRouterDown(routerIndex, false)).sync();
  }

  /**
   * Kills a router, as the failure of a machine does, and starts it again. Statements open on it
   * need no response any more.
   */
  private void restartRouter(int routerIndex, SocketClients clients) {
    RouterProcess router = routers.get(routerIndex);
    if (restarting) {
      return;
    }
    restarting = true;
    restarts++;
    clients.setRouterDown(routerIndex, true);
    Thread thread =
        new Thread(
            () -> {
              try {
                router.process().destroyForcibly().waitFor();
                long startNanos = System.nanoTime();
                router.start();
                router.awaitReady();
                longestRestartMillis =
                    Math.max(longestRestartMillis, (System.nanoTime() - startNanos) / 1_000_000);
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException("the router did not restart", e);
              }
              loop.execute(
                  () -> {
                    restarting = false;
                    clients.setRouterDown(routerIndex, false);
                  });
            });
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException, InterruptedException {
    routers.forEach(RouterProcess::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    try (var files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
