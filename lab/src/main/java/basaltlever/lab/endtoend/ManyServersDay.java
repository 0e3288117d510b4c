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
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One day: thousands of simulated servers on loopback, routers as processes, and a ledger that
 * judges them.
 */
public final class ManyServersDay implements AutoCloseable {
  private static final long SAMPLE_MILLIS = 50;
  private static final long SETTLES_MILLIS = 4_000;

  /** When in the day, as a share of its length. */
  private static final double DRAINS_AT = 0.5;

  private static final double REMOVES_AT = 0.75;
  private static final double RESTARTS_AT = 0.35;
  private static final double WHOLE_LISTS_AT = 0.6;
  private static final Pattern SLOW_TURN = Pattern.compile("event=turn_slow took_ms=(\\d+)");

  private final DayOptions day;
  private final DaySettings settings = DaySettings.usual();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final SplittableRandom random;
  private final Path folder = Files.createTempDirectory("many-servers");
  private final DayClock clock = new DayClock();
  private final StatementLedger ledger = new StatementLedger();
  private final ServerFarm farm;
  private final DiscoveryService discovery;
  private final List<RouterUnderTest> routers = new ArrayList<>();
  private final List<ClientLoad> clients = new ArrayList<>();
  private Thread sampler;
  private volatile boolean over;

  /** The jar is null for the class path that this program runs on. */
  public ManyServersDay(DayOptions day, long seed, Path jar) throws Exception {
    this.day = day;
    random = new SplittableRandom(seed);
    farm = new ServerFarm(loop, day, settings, clock, ledger, random.split());
    farm.listen();
    discovery = new DiscoveryService(loop, day, clock, farm);
    discovery.listen();
    Ports ports = new Ports();
    for (int r = 0; r < day.routers(); r++) {
      routers.add(new RouterUnderTest(folder, r, ports.next(), jar, ""));
    }
    for (int r = 0; r < day.routers(); r++) {
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
            + day.sockets()
            + "},\"known\":"
            + discovery.wholeList(router)
            + ",\"settings\":"
            + settings.text(router, day.routers())
            + "}");
  }

  /**
   * Plays it to its end; the figures are means over the routers where they are about one router's
   * need.
   */
  public Map<String, Object> play() throws Exception {
    startRouters();
    sampler = new Thread(this::sample, "sampler");
    sampler.setDaemon(true);
    sampler.start();
    loop.submit(this::scheduleFaults).sync();
    loop.submit(() -> clients.forEach(ClientLoad::begin)).sync();
    long restartsAt = (long) (day.seconds() * RESTARTS_AT * 1_000);
    Thread.sleep(restartsAt);
    restartSome();
    Thread.sleep(Math.max(0, (long) (day.seconds() * 1_000) - restartsAt));
    loop.submit(() -> clients.forEach(ClientLoad::stop)).sync();
    long until = System.nanoTime() + SETTLES_MILLIS * 1_000_000;
    while (System.nanoTime() < until
        && loop.submit(() -> clients.stream().anyMatch(c -> c.open() > 0)).get()) {
      Thread.sleep(20);
    }
    over = true;
    sampler.join();
    return loop.submit(this::figures).get();
  }

  private void startRouters() throws Exception {
    long since = System.nanoTime();
    for (RouterUnderTest router : routers) {
      router.start();
    }
    for (int r = 0; r < routers.size(); r++) {
      routers.get(r).awaitReady(since);
      clients.add(
          new ClientLoad(
              loop, day, settings, r, routers.get(r).address(), clock, ledger, random.split()));
    }
  }

  private void scheduleFaults() {
    at(DRAINS_AT, this::drainSome);
    at(REMOVES_AT, this::removeSome);
    at(WHOLE_LISTS_AT, () -> discovery.repeatWholeList(day.wholeLists()));
    if (day.cutShare() > 0) {
      for (double when = 0.1; when < 1; when += 0.1) {
        at(when, () -> farm.cutConnections(day.cutShare()));
      }
    }
    if (day.coldShare() > 0) {
      at(0.3, this::restartServers);
    }
  }

  private void at(double shareOfDay, Runnable fault) {
    loop.schedule(fault, (long) (day.seconds() * shareOfDay * 1_000), TimeUnit.MILLISECONDS);
  }

  private void drainSome() {
    List<SimulatedServer> chosen = replicas(day.drainShare(), SimulatedServer.Lifecycle.IN_SERVICE);
    chosen.forEach(server -> server.lifecycle = SimulatedServer.Lifecycle.DRAINING);
    discovery.changed(chosen);
  }

  private void removeSome() {
    List<SimulatedServer> chosen = replicas(day.removeShare(), SimulatedServer.Lifecycle.DRAINING);
    chosen.forEach(server -> server.lifecycle = SimulatedServer.Lifecycle.REMOVED);
    discovery.changed(chosen);
  }

  private void restartServers() {
    long now = clock.nowMillis();
    List<SimulatedServer> chosen = replicas(day.coldShare(), SimulatedServer.Lifecycle.IN_SERVICE);
    chosen.forEach(server -> server.restarts(now));
    discovery.changed(chosen);
  }

  private List<SimulatedServer> replicas(double share, SimulatedServer.Lifecycle in) {
    return farm.servers().stream()
        .filter(server -> !server.primary && server.lifecycle == in && random.nextDouble() < share)
        .toList();
  }

  private void restartSome() throws Exception {
    for (int r = 0; r < Math.min(day.restarts(), routers.size()); r++) {
      int router = r;
      ClientLoad load = clients.get(r);
      loop.submit(load::stop).sync();
      Thread.sleep(300);
      loop.submit(() -> farm.forgetsWhatWasTold(router)).sync();
      writeStartFile(r);
      long since = System.nanoTime();
      routers.get(r).restart();
      routers.get(r).awaitReady(since);
      ClientLoad next =
          new ClientLoad(
              loop, day, settings, r, routers.get(r).address(), clock, ledger, random.split());
      // Ids go on where the former load's would have: each router's are its own.
      loop.submit(
              () -> {
                next.continues(load);
                clients.set(router, next);
                next.begin();
              })
          .sync();
    }
  }

  private void sample() {
    while (!over) {
      routers.forEach(RouterUnderTest::sample);
      try {
        Thread.sleep(SAMPLE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("servers", day.servers());
    figures.put("routers", day.routers());
    figures.putAll(ledger.figures());
    figures.put("cpu_s", mean(RouterUnderTest::cpuSeconds));
    figures.put("memory_mb", mean(RouterUnderTest::memoryMegabytes));
    figures.put("descriptors_max", mean(RouterUnderTest::descriptorsMost));
    figures.put(
        "descriptors_most",
        routers.stream().mapToInt(RouterUnderTest::descriptorsMost).max().orElse(0));
    figures.put("connections", meanOf(farm::connectionsMade));
    figures.put("polls", meanOf(farm::polls));
    figures.put("polls_most_s", farm.mostPollsInASecond());
    figures.put("list_bytes", meanOf(router -> discovery.bytesWritten(router)));
    figures.put("list_calls", meanOf(discovery::calls));
    figures.put(
        "ready_ms_most", routers.stream().mapToLong(RouterUnderTest::readyMillis).max().orElse(0));
    figures.put("turn_most_ms", longestTurn());
    figures.put("crashed", (int) routers.stream().filter(router -> !router.isAlive()).count());
    figures.put("failures", ledger.failures());
    return figures;
  }

  /** The longest turn that a router has logged since it serves; 0 where all were short. */
  private int longestTurn() {
    int longest = 0;
    for (RouterUnderTest router : routers) {
      String log = router.log();
      Matcher slow = SLOW_TURN.matcher(log);
      for (int from = Math.max(0, log.lastIndexOf("event=serves"));
          slow.find(from);
          from = slow.end()) {
        longest = Math.max(longest, Integer.parseInt(slow.group(1)));
      }
    }
    return longest;
  }

  private double mean(ToDoubleFunction<RouterUnderTest> figure) {
    return routers.stream().mapToDouble(figure).average().orElse(0);
  }

  private double meanOf(java.util.function.IntToDoubleFunction figure) {
    return java.util.stream.IntStream.range(0, routers.size())
        .mapToDouble(figure)
        .average()
        .orElse(0);
  }

  /**
   * Ends the routers, so that what they say last is in their logs, and copies those to the folder.
   */
  void copyLogs(Path to) throws IOException {
    routers.parallelStream().forEach(RouterUnderTest::close);
    for (int r = 0; r < routers.size(); r++) {
      Files.writeString(to.resolve("n" + r + ".log"), routers.get(r).log());
    }
  }

  @Override
  public void close() throws IOException {
    over = true;
    routers.parallelStream().forEach(RouterUnderTest::close);
    farm.close();
    discovery.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(java.io.File::delete);
    }
  }
}
