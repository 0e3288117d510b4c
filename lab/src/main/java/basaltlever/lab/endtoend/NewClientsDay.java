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
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Routers that have just begun to serve meet a burst of new clients beside a steady load, perhaps
 * with a crowd that says nothing, while their processes are stopped for moments, servers are slow
 * or accepting fails. Clients and servers judge.
 */
public final class NewClientsDay implements AutoCloseable {
  private static final long SETTLES_MILLIS = 5_000;
  private static final int CROWD_COMES_IN_MILLIS = 200;
  private static final int ALWAYS = 1_000_000;
  private static final List<String> RULES =
      List.of("lost", "lost_resting", "doubled", "deadline", "overdue", "crashed");

  private final NewClientsOptions options;
  private final DayOptions day;
  private final DaySettings settings;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final EventLoop crowdLoop = group.next();
  private final SplittableRandom random;
  private final Path folder = Files.createTempDirectory("new-clients");
  private final DayClock clock = new DayClock();
  private final StatementLedger ledger = new StatementLedger();
  private final ServerFarm farm;
  private final DiscoveryService discovery;
  private final List<RouterUnderTest> routers = new ArrayList<>();
  private final List<ClientLoad> clients = new ArrayList<>();
  private final List<Crowd> crowds = new ArrayList<>();
  private double cpuSecondsAtStart;

  /** The jar is null for the class path that this program runs on. */
  public NewClientsDay(NewClientsOptions options, long seed, Path jar) throws Exception {
    this.options = options;
    day = options.day();
    settings = DaySettings.usual().withWork(options.slowMillis());
    random = new SplittableRandom(seed);
    farm = new ServerFarm(loop, day, settings, clock, ledger, random.split());
    farm.listen();
    discovery = new DiscoveryService(loop, day, clock, farm);
    discovery.listen();
    Path library = options.acceptFailsMillis() > 0 ? FaultShim.build(folder) : null;
    if (options.acceptFailsMillis() > 0 && library == null) {
      throw new InvalidOption("accept_fails_ms needs a compiler (cc), and this machine has none");
    }
    Ports ports = new Ports();
    for (int r = 0; r < day.routers(); r++) {
      RouterUnderTest router = new RouterUnderTest(folder, r, ports.next(), jar, "");
      routers.add(router);
      router.startFile(startFile(r));
      if (library != null) {
        Path watched = Files.createDirectory(folder.resolve("state" + r));
        router.runUnder(FaultShim.open(library, folder.resolve("control" + r), watched, seed + r));
      }
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
  public void follow(long millis) {
    routers.forEach(router -> router.follow(millis));
  }

  /** Plays it to its end; what broke stands under {@code broken}. */
  public Map<String, Object> play() throws Exception {
    long since = System.nanoTime();
    for (RouterUnderTest router : routers) {
      router.start();
    }
    for (int r = 0; r < routers.size(); r++) {
      routers.get(r).awaitReady(since);
      clients.add(
          new ClientLoad(
              loop, day, settings, r, routers.get(r).address(), clock, ledger, random.split()));
      crowds.add(new Crowd(crowdLoop, routers.get(r).address()));
    }
    cpuSecondsAtStart = cpuSeconds();
    crowdLoop
        .submit(() -> crowds.forEach(crowd -> crowd.come(options.crowd(), CROWD_COMES_IN_MILLIS)))
        .sync();
    loop.submit(
            () ->
                clients.forEach(
                    load -> {
                      load.closesSideAfter(options.closesAfterMillis());
                      load.begin();
                      load.burst(options.burst(), options.burstMillis());
                    }))
        .sync();
    causeFaults();
    loop.submit(() -> clients.forEach(ClientLoad::stop)).sync();
    long settled = System.nanoTime() + SETTLES_MILLIS * 1_000_000;
    while (System.nanoTime() < settled
        && loop.submit(() -> clients.stream().anyMatch(c -> c.open() > 0)).get()) {
      Thread.sleep(20);
    }
    double cpu = cpuSeconds() - cpuSecondsAtStart;
    int crowdMade = crowdLoop.submit(() -> crowds.stream().mapToInt(Crowd::made).sum()).get();
    crowdLoop.submit(() -> crowds.forEach(Crowd::leave)).sync();
    Map<String, Object> figures = new LinkedHashMap<>(loop.submit(this::figures).get());
    figures.put("cpu_s", cpu);
    figures.put("crowd_connections", crowdMade);
    return figures;
  }

  private double cpuSeconds() {
    return routers.stream().mapToDouble(RouterUnderTest::cpuSeconds).sum();
  }

  /** Stops and continues the routers in the burst; accepting fails from its middle on. */
  private void causeFaults() throws Exception {
    long beganNanos = System.nanoTime();
    int times = options.heldUpMillis() == 0 ? 0 : options.heldUpTimes();
    for (int i = 0; i < times; i++) {
      Thread.sleep(random.nextLong(1 + options.burstMillis() / times));
      for (RouterUnderTest router : routers) {
        router.signal("STOP");
      }
      Thread.sleep(options.heldUpMillis());
      for (RouterUnderTest router : routers) {
        router.signal("CONT");
      }
    }
    if (options.acceptFailsMillis() > 0) {
      routers.forEach(router -> router.shim().fails(FaultShim.Call.ACCEPT, ALWAYS));
      Thread.sleep(options.acceptFailsMillis());
      routers.forEach(router -> router.shim().allWell());
    }
    long leftMillis =
        (long) (options.seconds() * 1_000) - (System.nanoTime() - beganNanos) / 1_000_000;
    Thread.sleep(Math.max(0, leftMillis));
  }

  private Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("routers", day.routers());
    figures.put("sockets", day.sockets());
    figures.putAll(ledger.figures());
    figures.put("lost_new", ledger.count(StatementLedger.Outcome.CLOSED_NEW));
    figures.put("overdue", routers.stream().mapToInt(RouterUnderTest::overdue).sum());
    figures.put("crashed", (int) routers.stream().filter(router -> !router.isAlive()).count());
    figures.put(
        "judge_late_ms_most",
        clients.stream().mapToLong(ClientLoad::lateMillisMost).max().orElse(0));
    figures.put("failures", ledger.failures());
    figures.put(
        "broken",
        RULES.stream()
            .filter(rule -> ((Number) figures.get(rule)).intValue() > 0)
            .map(rule -> rule + " " + figures.get(rule))
            .toList());
    return figures;
  }

  /**
   * Ends the routers, so that what they say last is in their logs, and copies those to the folder.
   */
  public void copyLogs(Path to) throws IOException {
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
