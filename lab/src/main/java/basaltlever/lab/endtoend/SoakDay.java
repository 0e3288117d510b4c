package basaltlever.lab.endtoend;

import basaltlever.lab.sockets.Ports;
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
 * Router processes under load while their clocks, system calls, folders, servers, discovery,
 * clients and operators do the wrong thing, all drawn from one seed: the settings as well. The
 * ledger judges.
 */
final class SoakDay implements AutoCloseable {
  /** What goes wrong; each is drawn as often as any other. */
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
    HELD_UP
  }

  /**
   * SIGKILL comes no sooner than the longest deadline, counted as this at most, and so much more
   * after SIGTERM.
   */
  private static final long LONGEST_COUNTED_MILLIS = 3_000;

  private static final long KILL_BEHIND_MILLIS = 700;
  private static final long NEW_CONNECTIONS_MILLIS = 300;
  private static final long HOUR_MILLIS = 3_600_000;
  private static final long SETTLES_MILLIS = 5_000;
  private static final long LEAST_PAUSE_MILLIS = 200;
  private static final long MOST_PAUSE_MILLIS = 1_500;
  private static final int CROWD_COMES_IN_MILLIS = 200;
  private static final int MILLION = 1_000_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final EventLoop crowdLoop = group.next();
  private final SplittableRandom random;
  private final Path folder = Files.createTempDirectory("soak");
  private final DayClock clock = new DayClock();
  private final StatementLedger ledger = new StatementLedger();
  private final DaySettings settings;
  private final DayOptions day;
  private final ServerFarm farm;
  private final DiscoveryService discovery;
  private final List<RouterUnderTest> routers = new ArrayList<>();
  private final List<ClientLoad> clients = new ArrayList<>();
  private final Map<Fault, Integer> done = new TreeMap<>();
  private final double seconds;
  private final boolean shimmed;
  private int crashed;

  /**
   * Without the library no clock is stepped and no system call fails; the jar is null for this
   * program's class path.
   */
  SoakDay(long seed, double seconds, Path jar, Path library) throws Exception {
    random = new SplittableRandom(seed);
    this.seconds = seconds;
    shimmed = library != null;
    settings = DaySettings.drawn(random);
    int routerCount = 1 + random.nextInt(3);
    int members = 2 + random.nextInt(6);
    int servers = members * (1 + random.nextInt(random.nextInt(4) == 0 ? 60 : 6));
    day =
        new DayOptions(
            servers,
            routerCount,
            members,
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
    farm = new ServerFarm(loop, day, settings, clock, ledger, random.split());
    farm.listen();
    discovery = new DiscoveryService(loop, day, clock, farm);
    discovery.listen();
    Ports ports = new Ports();
    for (int r = 0; r < routerCount; r++) {
      RouterUnderTest router = new RouterUnderTest(folder, r, ports.next(), jar, "");
      Path keeps = Files.createDirectory(folder.resolve("state" + r));
      if (random.nextBoolean()) {
        router.keepsIn(keeps);
      }
      if (shimmed) {
        router.runUnder(FaultShim.open(library, folder.resolve("control" + r), keeps, seed + r));
      }
      routers.add(router);
      router.startFile(startFile(r));
    }
  }

  private String startFile(int router) {
    return "{\"name\":\"n"
        + router
        + "\",\"listen\":\"127.0.0.1:"
        + routers.get(router).address().getPort()
        + "\",\"discovery\":\""
        + discovery.address(router)
        + "\",\"seed\":\""
        + Long.toHexString(random.nextLong())
        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
        + day.sockets()
        + "},\"known\":"
        + discovery.wholeList(router)
        + ",\"settings\":"
        + settings.text(router, day.routers())
        + "}";
  }

  /** The life of each statement that takes longer goes to its router's log. */
  void follow(long millis) {
    routers.forEach(router -> router.follow(millis));
  }

  /** Plays it to its end. */
  Map<String, Object> play() throws Exception {
    long since = System.nanoTime();
    for (RouterUnderTest router : routers) {
      router.start();
    }
    for (int r = 0; r < routers.size(); r++) {
      routers.get(r).awaitReady(since);
      clients.add(newLoad(r));
    }
    loop.submit(() -> clients.forEach(ClientLoad::begin)).sync();
    long until = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < until) {
      Thread.sleep(LEAST_PAUSE_MILLIS + random.nextLong(MOST_PAUSE_MILLIS - LEAST_PAUSE_MILLIS));
      Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
      if (cause(fault)) {
        done.merge(fault, 1, Integer::sum);
      }
    }
    routers.stream()
        .filter(router -> router.shim() != null)
        .forEach(router -> router.shim().allWell());
    loop.submit(() -> clients.forEach(ClientLoad::stop)).sync();
    long settled = System.nanoTime() + SETTLES_MILLIS * MILLION;
    while (System.nanoTime() < settled
        && loop.submit(() -> clients.stream().anyMatch(c -> c.open() > 0)).get()) {
      Thread.sleep(20);
    }
    crashed += (int) routers.stream().filter(router -> !router.isAlive()).count();
    return loop.submit(this::figures).get();
  }

  private ClientLoad newLoad(int router) {
    return new ClientLoad(
        loop, day, settings, router, routers.get(router).address(), clock, ledger, random.split());
  }

  /** False where there is nothing that it could be done to. */
  private boolean cause(Fault fault) throws Exception {
    int r = random.nextInt(routers.size());
    RouterUnderTest router = routers.get(r);
    switch (fault) {
      case WALL_CLOCK -> {
        if (!shimmed) {
          return false;
        }
        long seconds = random.nextBoolean() ? 10_000 : HOUR_MILLIS;
        router.shim().wallClock(random.nextInt(4) == 0 ? 0 : random.nextLong(-seconds, seconds));
      }
      case SYSTEM_CALLS -> {
        if (!shimmed) {
          return false;
        }
        failSystemCalls(router);
      }
      case FOLDER -> {
        if (!shimmed) {
          return false;
        }
        router.shim().fails(FaultShim.Call.FILE_WRITE, random.nextInt(MILLION));
        router.shim().fails(FaultShim.Call.FILE_SYNC, random.nextInt(MILLION));
        later(router, 1_000 + random.nextInt(3_000));
      }
      case CUT_CONNECTIONS -> loop.submit(() -> farm.cutConnections(day.cutShare())).sync();
      case DRAIN ->
          change(
              SimulatedServer.Lifecycle.IN_SERVICE,
              SimulatedServer.Lifecycle.DRAINING,
              day.drainShare());
      case REMOVE ->
          change(
              SimulatedServer.Lifecycle.DRAINING,
              SimulatedServer.Lifecycle.REMOVED,
              day.removeShare());
      case COLD_START -> coldStart();
      case HANG -> hang();
      case RELOAD_SERIES -> reloads(r);
      case DISCOVERY_DOWN -> {
        long millis = 500L + random.nextInt(6_000);
        loop.submit(() -> discovery.isDownFor(millis)).sync();
      }
      case DISCOVERY_CROWDED -> {
        long millis = 500L + random.nextInt(6_000);
        loop.submit(() -> discovery.isCrowdedFor(millis)).sync();
      }
      case SIGNAL_SERIES -> signals(r);
      case CROWD -> {
        int idle = random.nextInt(day.sockets());
        Crowd crowd = new Crowd(crowdLoop, router.address());
        crowdLoop.submit(() -> crowd.come(idle, CROWD_COMES_IN_MILLIS)).sync();
        crowdLoop.schedule(crowd::leave, 500 + random.nextInt(2_500), TimeUnit.MILLISECONDS);
      }
      case BURST -> {
        int statements = 20 + random.nextInt(280);
        int within = 100 + random.nextInt(900);
        loop.submit(() -> clients.get(r).burst(statements, within)).sync();
      }
      case HELD_UP -> holdUp(router);
      default -> loop.submit(() -> discovery.repeatWholeList(1 + random.nextInt(3))).sync();
    }
    return true;
  }

  /** Some calls fail or come up short for a while. */
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
      router.shim().fails(network[random.nextInt(network.length)], random.nextInt(MILLION / 3));
    }
    later(router, 300 + random.nextInt(2_000));
  }

  private void later(RouterUnderTest router, long millis) {
    loop.schedule(() -> router.shim().allWell(), millis, TimeUnit.MILLISECONDS);
  }

  private void change(SimulatedServer.Lifecycle from, SimulatedServer.Lifecycle to, double share)
      throws Exception {
    loop.submit(
            () -> {
              List<SimulatedServer> chosen = chosen(from, share);
              chosen.forEach(server -> server.lifecycle = to);
              if (!chosen.isEmpty()) {
                discovery.changed(chosen);
              }
            })
        .sync();
  }

  /** Those that were removed come back cold, beside others that restart. */
  private void coldStart() throws Exception {
    loop.submit(
            () -> {
              List<SimulatedServer> chosen =
                  new ArrayList<>(chosen(SimulatedServer.Lifecycle.IN_SERVICE, day.coldShare()));
              chosen.addAll(chosen(SimulatedServer.Lifecycle.REMOVED, 1));
              chosen.addAll(chosen(SimulatedServer.Lifecycle.DRAINING, 0.5));
              for (SimulatedServer server : chosen) {
                server.lifecycle = SimulatedServer.Lifecycle.IN_SERVICE;
                server.restarts(clock.nowMillis());
              }
              if (!chosen.isEmpty()) {
                discovery.changed(chosen);
              }
            })
        .sync();
  }

  private List<SimulatedServer> chosen(SimulatedServer.Lifecycle from, double share) {
    return farm.servers().stream()
        .filter(
            server -> !server.primary && server.lifecycle == from && random.nextDouble() < share)
        .toList();
  }

  private void hang() throws Exception {
    loop.submit(
            () -> {
              long until = clock.nowMillis() + 300 + random.nextInt(3_000);
              farm.servers().stream()
                  .filter(server -> random.nextInt(5) == 0)
                  .forEach(server -> server.hangsUntilMillis = until);
            })
        .sync();
  }

  /** Stopped and continued, once or several times in a row. */
  private void holdUp(RouterUnderTest router) throws Exception {
    for (int i = 1 + random.nextInt(4); i > 0; i--) {
      router.signal("STOP");
      Thread.sleep(20 + random.nextInt(130));
      router.signal("CONT");
      Thread.sleep(10 + random.nextInt(200));
    }
  }

  private void reloads(int r) throws Exception {
    for (int i = 1 + random.nextInt(4); i > 0; i--) {
      String text = loop.submit(() -> startFile(r)).get();
      routers.get(r).startFile(text);
      routers.get(r).signal("HUP");
      Thread.sleep(random.nextInt(150));
    }
  }

  /**
   * Told to end, perhaps among other signals; killed at the earliest; and started anew, once or
   * twice.
   */
  private void signals(int r) throws Exception {
    RouterUnderTest router = routers.get(r);
    ClientLoad load = clients.get(r);
    for (int i = random.nextInt(3); i > 0; i--) {
      router.signal(random.nextBoolean() ? "HUP" : "TERM");
      Thread.sleep(random.nextInt(30));
    }
    router.signal("TERM");
    long told = System.nanoTime();
    Thread.sleep(random.nextLong(NEW_CONNECTIONS_MILLIS));
    loop.submit(() -> load.onlyOpenConnections(true)).sync();
    if (random.nextBoolean()) {
      router.signal(random.nextBoolean() ? "HUP" : "TERM");
    }
    long killMillis =
        Math.min(LONGEST_COUNTED_MILLIS, settings.longestDeadlineMillis()) + KILL_BEHIND_MILLIS;
    if (!router.endsWithin(Math.max(1, killMillis - (System.nanoTime() - told) / MILLION))) {
      router.kill();
    }
    loop.submit(
            () -> {
              load.stop();
              farm.forgetsWhatWasTold(r);
            })
        .sync();
    if (router.shim() != null) {
      router.shim().allWell();
    }
    router.startFile(loop.submit(() -> startFile(r)).get());
    long since = System.nanoTime();
    router.start();
    router.awaitReady(since);
    ClientLoad next = newLoad(r);
    loop.submit(
            () -> {
              next.continues(load);
              clients.set(r, next);
              next.begin();
            })
        .sync();
  }

  private Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("routers", day.routers());
    figures.put("servers", day.servers());
    figures.put("sockets", day.sockets());
    figures.put("settings", settings.toString());
    figures.put("shim", shimmed ? "preloaded" : "none: no compiler on this machine");
    figures.put("faults", new TreeMap<>(done).toString());
    figures.putAll(ledger.figures());
    figures.put("crashed", crashed);
    figures.put("overdue", routers.stream().mapToInt(RouterUnderTest::overdue).sum());
    figures.put("failures", ledger.failures());
    return figures;
  }

  /** Ends the routers and copies their logs. */
  void copyLogs(Path to) throws IOException {
    routers.parallelStream().forEach(RouterUnderTest::close);
    for (int r = 0; r < routers.size(); r++) {
      Files.writeString(to.resolve("n" + r + ".log"), routers.get(r).log());
    }
  }

  @Override
  public void close() throws IOException {
    routers.parallelStream().forEach(RouterUnderTest::close);
    farm.close();
    discovery.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(java.io.File::delete);
    }
  }
}
