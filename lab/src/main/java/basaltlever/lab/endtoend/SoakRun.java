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
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Runs router processes under load and injects faults into their clocks, system calls, files,
 * servers, discovery, clients and operator actions. The faults and the settings are drawn from one
 * seed; the {@link StatementChecker} checks the outcome of each statement.
 */
final class SoakRun implements AutoCloseable {
  /** The faults to inject, drawn with equal probability. */
  enum Fault {
    WALL_CLOCK,
    SYSTEM_CALLS,
    CUT_CONNECTIONS,
    DRAIN,
    REMOVE,
    COLD_START,
    HANG,
    RELOAD_SERIES,
    DISCOVERY_DOWN,
    DISCOVERY_CROWDED,
    FOLDER,
    SIGNAL_SERIES,
    CROWD,
    WHOLE_LISTS,
    BURST,
    HELD_UP,
    FLOOD,
    HALF_STATEMENTS,
    REPEATED_IDS,
    LEAVERS
  }

  /**
   * SIGKILL follows SIGTERM no sooner than the longest deadline plus {@link #KILL_DELAY_MILLIS};
   * this caps the deadline that is waited for.
   */
  private static final long MAX_DEADLINE_WAIT_MILLIS = 3_000;

  private static final long KILL_DELAY_MILLIS = 700;
  private static final long MAX_CONNECTING_AFTER_TERM_MILLIS = 300;
  private static final long HOUR_MILLIS = 3_600_000;
  private static final long SETTLE_TIMEOUT_MILLIS = 5_000;
  private static final long MIN_PAUSE_MILLIS = 200;
  private static final long MAX_PAUSE_MILLIS = 1_500;
  private static final int IDLE_RAMP_MILLIS = 200;
  private static final int MAX_FLOODS = 8;
  private static final int MAX_LEAVERS = 20;

  /** In one of this many runs, idle clients crowd a router throughout. */
  private static final int RUNS_PER_CROWDED_RUN = 4;

  private static final int MILLION = 1_000_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final EventLoop idleLoop = group.next();
  private final SplittableRandom random;
  private final Path folder = Files.createTempDirectory("soak");
  private final MonotonicClock clock = new MonotonicClock();
  private final StatementChecker checker = new StatementChecker();
  private final DaySettings settings;
  private final RunOptions options;
  private final ServerSimulator serverSimulator;
  private final DiscoveryService discovery;
  private final List<RouterUnderTest> routers = new ArrayList<>();
  private final List<ClientLoad> loads = new ArrayList<>();
  private final Map<Fault, Integer> faultCounts = new TreeMap<>();
  private final double seconds;
  private final boolean hasShim;
  private int crashed;

  /**
   * @param jar the router build under test, or null to use the class path of this program
   * @param library the fault shim, or null to leave out faults of clocks, system calls and files
   */
  SoakRun(long seed, double seconds, Path jar, Path library) throws Exception {
    random = new SplittableRandom(seed);
    this.seconds = seconds;
    hasShim = library != null;
    settings = DaySettings.randomized(random);
    int routerCount = 1 + random.nextInt(3);
    int groupSize = 2 + random.nextInt(6);
    int servers = groupSize * (1 + random.nextInt(random.nextInt(4) == 0 ? 60 : 6));
    options =
        new RunOptions(
            servers,
            routerCount,
            groupSize,
            10 + 40 * random.nextDouble(),
            seconds,
            150 + random.nextInt(500),
            0.3,
            0.5,
            0.2,
            0.1,
            0.05,
            0,
            1 << (6 + random.nextInt(10)),
            random.nextInt(3),
            random.nextBoolean(),
            100,
            2);
    serverSimulator = new ServerSimulator(loop, options, settings, clock, checker, random.split());
    serverSimulator.listen();
    discovery = new DiscoveryService(loop, options, clock, serverSimulator);
    discovery.listen();
    PortAllocator ports = new PortAllocator();
    for (int r = 0; r < routerCount; r++) {
      RouterUnderTest router = new RouterUnderTest(folder, r, ports.allocate(), jar, "");
      Path stateFolder = Files.createDirectory(folder.resolve("state" + r));
      if (random.nextBoolean()) {
        router.keepStateIn(stateFolder);
      }
      if (hasShim) {
        router.setShim(
            FaultShim.open(library, folder.resolve("control" + r), stateFolder, seed + r));
      }
      routers.add(router);
      router.replaceStartFile(startFileText(r));
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
        + options.sockets()
        + "},\"known\":"
        + discovery.fullList(router)
        + ",\"settings\":"
        + settings.toJson(router, options.routers())
        + "}";
  }

  /** Makes the routers log the stages of each statement that takes longer than this. */
  void traceStatementsLongerThan(long millis) {
    routers.forEach(router -> router.traceStatementsLongerThan(millis));
  }

  /** Runs until the time is over and returns the figures. */
  Map<String, Object> run() throws Exception {
    long startNanos = System.nanoTime();
    for (RouterUnderTest router : routers) {
      router.start();
    }
    for (int r = 0; r < routers.size(); r++) {
      routers.get(r).awaitReady(startNanos);
      loads.add(newLoad(r));
    }
    loop.submit(() -> loads.forEach(ClientLoad::start)).sync();
    if (random.nextInt(RUNS_PER_CROWDED_RUN) == 0) {
      IdleClients crowd = new IdleClients(idleLoop, routers.get(0).address());
      idleLoop.submit(() -> crowd.rampUp(options.sockets(), IDLE_RAMP_MILLIS)).sync();
      faultCounts.merge(Fault.CROWD, 1, Integer::sum);
    }
    long endNanos = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < endNanos) {
      Thread.sleep(MIN_PAUSE_MILLIS + random.nextLong(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
      Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
      if (inject(fault)) {
        faultCounts.merge(fault, 1, Integer::sum);
      }
    }
    routers.stream()
        .filter(router -> router.shim() != null)
        .forEach(router -> router.shim().clearFailures());
    loop.submit(() -> loads.forEach(ClientLoad::stop)).sync();
    long settleDeadline = System.nanoTime() + SETTLE_TIMEOUT_MILLIS * MILLION;
    while (System.nanoTime() < settleDeadline
        && loop.submit(() -> loads.stream().anyMatch(c -> c.openStatements() > 0)).get()) {
      Thread.sleep(20);
    }
    crashed += (int) routers.stream().filter(router -> !router.isAlive()).count();
    return loop.submit(this::figures).get();
  }

  private ClientLoad newLoad(int router) {
    return new ClientLoad(
        loop,
        options,
        settings,
        router,
        routers.get(router).address(),
        clock,
        checker,
        random.split());
  }

  /** Returns false if the fault needs the shim and there is none. */
  private boolean inject(Fault fault) throws Exception {
    int r = random.nextInt(routers.size());
    RouterUnderTest router = routers.get(r);
    switch (fault) {
      case WALL_CLOCK -> {
        if (!hasShim) {
          return false;
        }
        long bound = random.nextBoolean() ? 10_000 : HOUR_MILLIS;
        router
            .shim()
            .setWallClockOffset(random.nextInt(4) == 0 ? 0 : random.nextLong(-bound, bound));
      }
      case SYSTEM_CALLS -> {
        if (!hasShim) {
          return false;
        }
        failSystemCalls(router);
      }
      case FOLDER -> {
        if (!hasShim) {
          return false;
        }
        router.shim().setFailureRate(FaultShim.Call.FILE_WRITE, random.nextInt(MILLION));
        router.shim().setFailureRate(FaultShim.Call.FILE_SYNC, random.nextInt(MILLION));
        scheduleShimReset(router, 1_000 + random.nextInt(3_000));
      }
      case CUT_CONNECTIONS ->
          loop.submit(() -> serverSimulator.resetConnections(options.cutConnectionShare())).sync();
      case DRAIN ->
          changeLifecycle(
              SimulatedServer.Lifecycle.IN_SERVICE,
              SimulatedServer.Lifecycle.DRAINING,
              options.drainShare());
      case REMOVE ->
          changeLifecycle(
              SimulatedServer.Lifecycle.DRAINING,
              SimulatedServer.Lifecycle.REMOVED,
              options.removeShare());
      case COLD_START -> coldStartServers();
      case HANG -> hangServers();
      case RELOAD_SERIES -> reloadRepeatedly(r);
      case DISCOVERY_DOWN -> {
        long millis = 500L + random.nextInt(6_000);
        loop.submit(() -> discovery.makeUnavailableFor(millis)).sync();
      }
      case DISCOVERY_CROWDED -> {
        long millis = 500L + random.nextInt(6_000);
        loop.submit(() -> discovery.serializeCallsFor(millis)).sync();
      }
      case SIGNAL_SERIES -> terminateAndRestart(r);
      case CROWD -> {
        int idleCount = random.nextInt(options.sockets());
        IdleClients idleClients = new IdleClients(idleLoop, router.address());
        idleLoop.submit(() -> idleClients.rampUp(idleCount, IDLE_RAMP_MILLIS)).sync();
        idleLoop.schedule(idleClients::close, 500 + random.nextInt(2_500), TimeUnit.MILLISECONDS);
      }
      case BURST -> {
        int statements = 20 + random.nextInt(280);
        int withinMillis = 100 + random.nextInt(900);
        loop.submit(() -> loads.get(r).scheduleBurst(statements, withinMillis)).sync();
      }
      case HELD_UP -> pauseRepeatedly(router);
      case FLOOD -> flood(router);
      case HALF_STATEMENTS -> stopHalfWay(router);
      case REPEATED_IDS -> loop.submit(() -> repeatStatements(r)).sync();
      case LEAVERS -> {
        int leavers = 1 + random.nextInt(MAX_LEAVERS);
        loop.submit(() -> loads.get(r).leaveOverUnreadStatements(leavers)).sync();
      }
      default -> loop.submit(() -> discovery.repeatFullList(1 + random.nextInt(3))).sync();
    }
    return true;
  }

  /** Floods a router from some connections for a limited time. */
  private void flood(RouterUnderTest router) throws Exception {
    DisruptiveClients clients = new DisruptiveClients(idleLoop, router.address(), random.split());
    DisruptiveClients.Flood kind =
        DisruptiveClients.Flood.values()[random.nextInt(DisruptiveClients.Flood.values().length)];
    int connections = 1 + random.nextInt(MAX_FLOODS);
    StatementClass workload = settings.pickClass(random);
    idleLoop.submit(() -> clients.flood(connections, kind, workload)).sync();
    idleLoop.schedule(clients::close, 500 + random.nextInt(3_000), TimeUnit.MILLISECONDS);
  }

  private void stopHalfWay(RouterUnderTest router) throws Exception {
    DisruptiveClients clients = new DisruptiveClients(idleLoop, router.address(), random.split());
    int connections = 1 + random.nextInt(options.sockets() / 2);
    StatementClass workload = settings.pickClass(random);
    idleLoop.submit(() -> clients.stopHalfWay(connections, workload)).sync();
    idleLoop.schedule(clients::close, 3_000 + random.nextInt(2_000), TimeUnit.MILLISECONDS);
  }

  /** Sends statements again that have ended and that a server has received. */
  private void repeatStatements(int router) {
    DisruptiveClients clients =
        new DisruptiveClients(loop, routers.get(router).address(), random.split());
    loads.get(router).endedStatementTexts().forEach(clients::repeat);
  }

  /** Makes some network calls fail, or transfer less than requested, for a limited time. */
  private void failSystemCalls(RouterUnderTest router) {
    FaultShim.Call[] network = {
      FaultShim.Call.ACCEPT,
      FaultShim.Call.SOCKET,
      FaultShim.Call.CONNECT,
      FaultShim.Call.WAIT_INTERRUPTED,
      FaultShim.Call.SHORT_READ,
      FaultShim.Call.SHORT_WRITE
    };
    for (int i = 1 + random.nextInt(3); i > 0; i--) {
      router
          .shim()
          .setFailureRate(network[random.nextInt(network.length)], random.nextInt(MILLION / 3));
    }
    scheduleShimReset(router, 300 + random.nextInt(2_000));
  }

  private void scheduleShimReset(RouterUnderTest router, long millis) {
    loop.schedule(() -> router.shim().clearFailures(), millis, TimeUnit.MILLISECONDS);
  }

  private void changeLifecycle(
      SimulatedServer.Lifecycle from, SimulatedServer.Lifecycle to, double share) throws Exception {
    loop.submit(
            () -> {
              List<SimulatedServer> replicas = pickReplicas(from, share);
              replicas.forEach(server -> server.lifecycle = to);
              if (!replicas.isEmpty()) {
                discovery.publishChanges(replicas);
              }
            })
        .sync();
  }

  /** Cold-starts some servers in service, and returns removed and draining ones to service. */
  private void coldStartServers() throws Exception {
    loop.submit(
            () -> {
              List<SimulatedServer> replicas =
                  new ArrayList<>(
                      pickReplicas(SimulatedServer.Lifecycle.IN_SERVICE, options.coldStartShare()));
              replicas.addAll(pickReplicas(SimulatedServer.Lifecycle.REMOVED, 1));
              replicas.addAll(pickReplicas(SimulatedServer.Lifecycle.DRAINING, 0.5));
              for (SimulatedServer server : replicas) {
                server.lifecycle = SimulatedServer.Lifecycle.IN_SERVICE;
                server.restart(clock.nowMillis());
              }
              if (!replicas.isEmpty()) {
                discovery.publishChanges(replicas);
              }
            })
        .sync();
  }

  private List<SimulatedServer> pickReplicas(SimulatedServer.Lifecycle from, double share) {
    return serverSimulator.servers().stream()
        .filter(
            server -> !server.primary && server.lifecycle == from && random.nextDouble() < share)
        .toList();
  }

  private void hangServers() throws Exception {
    loop.submit(
            () -> {
              long hangEndMillis = clock.nowMillis() + 300 + random.nextInt(3_000);
              serverSimulator.servers().stream()
                  .filter(server -> random.nextInt(5) == 0)
                  .forEach(server -> server.hangUntilMillis = hangEndMillis);
            })
        .sync();
  }

  /** Suspends and resumes the process one to four times. */
  private void pauseRepeatedly(RouterUnderTest router) throws Exception {
    for (int i = 1 + random.nextInt(4); i > 0; i--) {
      router.sendSignal("STOP");
      Thread.sleep(20 + random.nextInt(130));
      router.sendSignal("CONT");
      Thread.sleep(10 + random.nextInt(200));
    }
  }

  private void reloadRepeatedly(int r) throws Exception {
    for (int i = 1 + random.nextInt(4); i > 0; i--) {
      String text = loop.submit(() -> startFileText(r)).get();
      routers.get(r).replaceStartFile(text);
      routers.get(r).sendSignal("HUP");
      Thread.sleep(random.nextInt(150));
    }
  }

  /**
   * Terminates the router, possibly amid further signals, kills it if it is still running after the
   * longest deadline, and starts a new process in its place.
   */
  private void terminateAndRestart(int r) throws Exception {
    RouterUnderTest router = routers.get(r);
    ClientLoad load = loads.get(r);
    long termSentNanos = Long.MAX_VALUE;
    for (int i = random.nextInt(4); i > 0; i--) {
      boolean terminates = random.nextBoolean();
      router.sendSignal(terminates ? "TERM" : "HUP");
      termSentNanos = terminates ? Math.min(termSentNanos, System.nanoTime()) : termSentNanos;
      Thread.sleep(random.nextInt(30));
    }
    router.sendSignal("TERM");
    // The process may be killed so long after its first signal.
    termSentNanos = Math.min(termSentNanos, System.nanoTime());
    Thread.sleep(random.nextLong(MAX_CONNECTING_AFTER_TERM_MILLIS));
    loop.submit(() -> load.setReuseConnectionsOnly(true)).sync();
    if (random.nextBoolean()) {
      router.sendSignal(random.nextBoolean() ? "HUP" : "TERM");
    }
    long killMillis =
        Math.min(MAX_DEADLINE_WAIT_MILLIS, settings.longestDeadlineMillis()) + KILL_DELAY_MILLIS;
    if (!router.waitForExit(
        Math.max(1, killMillis - (System.nanoTime() - termSentNanos) / MILLION))) {
      router.kill();
    }
    loop.submit(
            () -> {
              load.stop();
              serverSimulator.clearNotifications(r);
            })
        .sync();
    if (router.shim() != null) {
      router.shim().clearFailures();
    }
    router.replaceStartFile(loop.submit(() -> startFileText(r)).get());
    long startNanos = System.nanoTime();
    router.start();
    router.awaitReady(startNanos);
    ClientLoad newLoad = newLoad(r);
    loop.submit(
            () -> {
              newLoad.continueFrom(load);
              loads.set(r, newLoad);
              newLoad.start();
            })
        .sync();
  }

  private Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("routers", options.routers());
    figures.put("servers", options.servers());
    figures.put("sockets", options.sockets());
    figures.put("settings", settings.toString());
    figures.put("shim", hasShim ? "preloaded" : "none: no compiler on this machine");
    figures.put("faults", new TreeMap<>(faultCounts).toString());
    figures.putAll(checker.figures());
    figures.put("crashed", crashed);
    figures.put("overdue", routers.stream().mapToInt(RouterUnderTest::overdueStatements).sum());
    figures.put("failures", checker.failures());
    return figures;
  }

  /** Stops the routers first, so that their logs are complete, and copies the logs. */
  void copyLogs(Path to) throws IOException {
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
