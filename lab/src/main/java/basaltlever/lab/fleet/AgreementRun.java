package basaltlever.lab.fleet;

import basaltlever.fleet.AdminClient;
import basaltlever.fleet.MessageCodec;
import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.sockets.PortAllocator;
import basaltlever.lab.sockets.RouterProcess;
import basaltlever.lab.sockets.SocketRun;
import basaltlever.lab.world.SimulatedCluster;
import basaltlever.lab.world.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;

/**
 * Router processes that agree on versions of their settings, while they are stopped, ended and cut
 * from their voters. Every other version allows one execution of a statement, the others allow
 * four: so a server sees who acts on which. What is judged is when second executions reached
 * servers (the ledger), beside when the operator's command was told that a version is in force, and
 * when the next was proposed.
 */
public final class AgreementRun implements AutoCloseable {
  private static final String FLEET = "lab";
  private static final Map<String, Object> STATUS_REQUEST = Map.of("do", "status", "fleet", FLEET);
  private static final int INVALID_VERSION_PERIOD = 4;
  private static final int MAX_LOG_CHARS = 4_000;

  /** After a stop a process first does what had come meanwhile. */
  private static final Span RESUME_GRACE = Span.ofMillis(250);

  /**
   * While one by which nothing runs twice was in force, and no other proposed; or a process
   * stopped.
   */
  private record Interval(Moment start, Moment end) {}

  private final Scenario scenario;
  private final SplittableRandom random;

  /** On the world's loop. */
  private final SplittableRandom listRandom;

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final int voterCount;
  private final List<InetSocketAddress> fleetAddresses = new ArrayList<>();
  private final List<Integer> raftPorts = new ArrayList<>();
  private final List<List<FaultProxy>> proxies = new ArrayList<>();
  private final Map<Integer, List<Interval>> stopIntervals = new ConcurrentHashMap<>();
  private final List<Interval> strictIntervals = new ArrayList<>();
  private final SocketRun run;
  private final String operatorFile;
  private final Span lease;
  private final Span fencingTime;

  /** Between routers and voters, both ways, but for those of a voter with itself. */
  private final LongAdder proxiedBytes = new LongAdder();

  private volatile boolean finished;
  private int inForceCount;
  private int refusedCount;
  private int wronglyAcceptedCount;
  private int undecidedCount;
  private int stopCount;
  private int cutCount;
  private long slowestVersionMillis;
  private String unnamedRefusal = "";
  private volatile int recovered;
  private volatile int inForceCountAtLoss;
  private volatile Moment startedAt = Moment.LONG_AGO;
  private final List<String> recoverySteps = new CopyOnWriteArrayList<>();

  public AgreementRun(Scenario scenario, long seed, Path jar, String operator) throws Exception {
    this.scenario = scenario;
    this.operatorFile = operator;
    random = new SplittableRandom(seed ^ 0x5DEECE66DL);
    listRandom = random.split();
    voterCount = scenario.count("voters");
    lease = scenario.span("lease_ms");
    fencingTime = scenario.span("stated_ms");
    PortAllocator ports = new PortAllocator();
    for (int r = 0; r < scenario.count("routers"); r++) {
      fleetAddresses.add(new InetSocketAddress("127.0.0.1", ports.allocate()));
    }
    for (int r = 0; r < fleetAddresses.size(); r++) {
      raftPorts.add(ports.allocate());
    }
    for (int r = 0; r < fleetAddresses.size(); r++) {
      proxies.add(new ArrayList<>());
      for (int v = 0; v < voterCount; v++) {
        proxies.get(r).add(new FaultProxy(eventLoops.next(), fleetAddresses.get(v), proxiedBytes));
      }
    }
    try {
      run =
          new SocketRun(
              scenario, seed, jar, router -> operator + formatFleetSection(router), 0, ports);
    } catch (Exception fault) {
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      throw fault;
    }
  }

  /** A router meets the voters over its own bridges; a voter listens at its own place. */
  private String formatFleetSection(int router) {
    return formatFleetSection(router, IntStream.range(0, voterCount).boxed().toList());
  }

  private String formatFleetSection(int router, List<Integer> vote) {
    if (scenario.number("agrees") < 1) {
      // The same troubles, and each router for itself: what the fleet's word is worth.
      return "";
    }
    List<String> peers = new ArrayList<>();
    List<String> voting = new ArrayList<>();
    for (int r = 0; r < fleetAddresses.size(); r++) {
      InetSocketAddress at =
          r < voterCount && r != router
              ? proxies.get(router).get(r).address()
              : fleetAddresses.get(r);
      peers.add("n" + (r + 1) + "@127.0.0.1:" + at.getPort());
      if (vote.contains(r)) {
        voting.add("n" + (r + 1) + "@127.0.0.1:" + raftPorts.get(r));
      }
    }
    return "[fleet]\nname = "
        + FLEET
        + "\npeers = "
        + String.join(",", peers)
        + "\nvoters = "
        + String.join(",", voting)
        + "\nfolder = {folder}/vote\nlease_ms = "
        + lease.micros() / 1_000
        + "\nstated_ms = "
        + fencingTime.micros() / 1_000
        + "\nassigned_ms = "
        + scenario.count("assigned_ms")
        + "\n";
  }

  public SimulatedCluster cluster() {
    return run.world();
  }

  public List<RouterProcess> routers() {
    return run.routers();
  }

  /** Plays it to its end; the figures hold those of any run, and what became of the versions. */
  public Map<String, Object> run() throws Exception {
    run.loop()
        .submit(
            () -> {
              run.world().checker.setRouterStopEnd(this::findStopEnd);
              run.world()
                  .checker
                  .setFleetAgreementBound(fencingTime.plus(scenario.span("grace_ms")));
              sendFaultyLists();
              delayLists();
            })
        .get();
    Thread operator = new Thread(this::proposeVersions, "operator");
    Thread trouble = new Thread(this::injectFaults, "trouble");
    operator.setDaemon(true);
    trouble.setDaemon(true);
    operator.start();
    trouble.start();
    startedAt = now();
    Thread disaster = new Thread(this::loseMajority, "disaster");
    disaster.setDaemon(true);
    disaster.start();
    long before = proxiedBytes.sum();
    long since = System.nanoTime();
    Map<String, Object> figures = run.runScenario();
    long perRouter = (proxiedBytes.sum() - before) / fleetAddresses.size();
    figures.put("fleet_bytes_a_router_s", perRouter / ((System.nanoTime() - since) / 1e9));
    finished = true;
    for (RouterProcess router : run.routers()) {
      if (!router.process().isAlive()) {
        String log = router.readLog();
        System.err.println(
            "a router died:\n" + log.substring(Math.max(0, log.length() - MAX_LOG_CHARS)));
      }
    }
    operator.join(20_000);
    trouble.join(5_000);
    disaster.join(20_000);
    List<Moment> repeats =
        run.loop().submit(() -> List.copyOf(run.world().checker.repeatArrivals())).get();
    long longest = 0;
    int beyond = 0;
    int within = 0;
    for (Moment repeat : repeats) {
      for (Interval strict : strictIntervals) {
        if (repeat.isAfter(strict.start) && repeat.isBefore(strict.end)) {
          Span late = repeat.since(strict.start);
          longest = Math.max(longest, late.micros() / 1_000);
          beyond += late.isLongerThan(fencingTime) ? 1 : 0;
          within++;
        }
      }
    }
    figures.put("versions", inForceCount);
    figures.put("refused", refusedCount);
    figures.put("wrongly_taken", wronglyAcceptedCount);
    figures.put("undecided", undecidedCount);
    figures.put("bad_unnamed", unnamedRefusal.isEmpty() ? 0 : 1);
    figures.put("in_force_ms_most", slowestVersionMillis);
    figures.put("repeats", repeats.size());
    figures.put("contradictions", within);
    figures.put("contradictions_beyond", beyond);
    figures.put("contradiction_max_ms", longest);
    figures.put("recovered", recovered);
    figures.put("versions_since", inForceCount - inForceCountAtLoss);
    figures.put("recovery", recoverySteps);
    figures.put("stops", stopCount);
    figures.put("cuts", cutCount);
    return figures;
  }

  /** Now and then one router's discovery tells what is not so. */
  private void sendFaultyLists() {
    Span pause = scenario.span("odd_lists_ms");
    if (pause.micros() > 0 && !finished) {
      run.world()
          .scheduler()
          .runAfter(
              pause.times(0.5 + listRandom.nextDouble()),
              () -> {
                run.injectDiscoveryFault(
                    listRandom.nextInt(fleetAddresses.size()), listRandom, null);
                sendFaultyLists();
              });
    }
  }

  /** Fewer than half hear of changes late, others after a while. */
  private void delayLists() {
    Span late = scenario.span("late_lists_ms");
    if (late.micros() > 0 && !finished) {
      for (int r = 0; r < fleetAddresses.size(); r++) {
        run.injectDiscoveryFault(r, listRandom, Span.NONE);
      }
      for (int n = (fleetAddresses.size() - 1) / 2; n > 0; n--) {
        run.injectDiscoveryFault(
            listRandom.nextInt(fleetAddresses.size()),
            listRandom,
            late.times(0.5 + listRandom.nextDouble()));
      }
      run.world().scheduler().runAfter(late.times(2), this::delayLists);
    }
  }

  private Moment findStopEnd(Statement ask) {
    return stopIntervals.getOrDefault(ask.router, List.of()).stream()
        .filter(stop -> !ask.deadline.isBefore(stop.start) && !ask.dueAt.isAfter(stop.end))
        .map(Interval::end)
        .reduce(Moment.LONG_AGO, Moment::later);
  }

  private Moment now() {
    return run.world().now();
  }

  // ---- The operator.

  private void proposeVersions() {
    boolean strict = true;
    Moment strictFrom = null;
    try {
      awaitLeader();
      for (int n = 1; !finished; n++) {
        Thread.sleep((long) scenario.number("version_ms"));
        if (n % INVALID_VERSION_PERIOD == 0) {
          proposeInvalidVersion(n);
          continue;
        }
        long since = System.nanoTime();
        if (strictFrom != null) {
          strictIntervals.add(new Interval(strictFrom, now()));
          strictFrom = null;
        }
        String end = propose(formatSettings(strict), "version " + n);
        slowestVersionMillis =
            Math.max(slowestVersionMillis, (System.nanoTime() - since) / 1_000_000);
        if (end.equals("IN_FORCE")) {
          inForceCount++;
          strictFrom = strict ? now() : null;
          strict = !strict;
        } else {
          undecidedCount++;
        }
      }
      if (strictFrom != null) {
        strictIntervals.add(new Interval(strictFrom, now()));
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitLeader() throws InterruptedException {
    while (!finished && findLeader() == null) {
      Thread.sleep(100);
    }
  }

  private String formatSettings(boolean strict) {
    String text = scenario.routerSettings();
    return strict
        ? text.replaceFirst("\"MaxAttempts\":[0-9]+", "\"MaxAttempts\":1")
            .replaceFirst("\"MayDuplicate\":true", "\"MayDuplicate\":false")
        : text;
  }

  /**
   * One that must be refused by name: writes as reads, repeats of what runs once, weights of
   * nothing.
   */
  private void proposeInvalidVersion(int n) throws InterruptedException {
    String[][] wrongs = {
      {"\"Worth\":[0-9.]+", "\"Worth\":0", "Worth"},
      {"\"Repeat\":\"at_most_once\"", "\"Repeat\":\"idempotent\"", "Repeat"},
      {"\"ClassRead\":\\[\"write\"", "\"ClassRead\":[\"any\"", "ClassRead"},
      {"\"MaxAttempts\":[0-9]+", "\"MaxAttempts\":0", "MaxAttempts"},
    };
    String[] wrong = wrongs[n / INVALID_VERSION_PERIOD % wrongs.length];
    String end = propose(formatSettings(false).replaceAll(wrong[0], wrong[1]), "bad " + n);
    if (end.equals("IN_FORCE")) {
      wronglyAcceptedCount++;
    } else if (end.contains(wrong[2])) {
      refusedCount++;
    } else if (end.startsWith("WITHDRAWN")) {
      unnamedRefusal = end;
    } else {
      undecidedCount++;
    }
  }

  private Map<String, Object> sendRequest(int voter, Map<String, Object> message) {
    try {
      return AdminClient.sendFields(fleetAddresses.get(voter), message);
    } catch (IOException silent) {
      return Map.of();
    }
  }

  private Integer findLeader() {
    for (int v = 0;
        v < (scenario.number("lose_majority_s") > 0 ? fleetAddresses.size() : voterCount);
        v++) {
      if (MessageCodec.getFlag(sendRequest(v, STATUS_REQUEST), "leads")) {
        return v;
      }
    }
    return null;
  }

  /** IN_FORCE, or why not; asked again for as long as nobody can tell. */
  private String propose(String text, String why) throws InterruptedException {
    long until = System.nanoTime() + 12_000_000_000L;
    String last = "nobody leads";
    while (System.nanoTime() < until) {
      Integer leader = findLeader();
      Map<String, Object> told =
          leader == null ? Map.of() : sendRequest(leader, Map.of("do", "status", "fleet", FLEET));
      String end = findOutcome(told, why);
      if (!end.isEmpty()) {
        return end;
      }
      if (told.get("force") instanceof Map<?, ?> force && told.get("prepared") == null) {
        Map<String, Object> command =
            new LinkedHashMap<>(
                Map.of(
                    "do", "propose", "fleet", FLEET, "text", text, "who", "operator", "why", why));
        command.put("number", MessageCodec.getNumber(force, "number"));
        last = MessageCodec.getText(sendRequest(leader, command), "why");
      }
      Thread.sleep(15);
    }
    return last;
  }

  private static String findOutcome(Map<String, Object> told, String why) {
    if (told.get("history") instanceof List<?> lines) {
      for (Object line : lines) {
        Map<?, ?> chapter = (Map<?, ?>) line;
        if (MessageCodec.getText(chapter, "why").equals(why)
            && !MessageCodec.getText(chapter, "end").equals("REFUSED")) {
          return MessageCodec.getText(chapter, "end")
              + (MessageCodec.getText(chapter, "reason").isEmpty()
                  ? ""
                  : ": " + MessageCodec.getText(chapter, "reason"));
        }
      }
    }
    return "";
  }

  // ---- The majority is lost for good.

  /**
   * All voters but the first are ended; it goes on by an operator's commands, two other routers
   * become voters, one of those that were lost comes back with its folder, and last the first one
   * ends as well.
   */
  private void loseMajority() {
    try {
      if (scenario.number("lose_majority_s") <= 0) {
        return;
      }
      Thread.sleep((long) (scenario.number("lose_majority_s") * 1_000));
      List<String> lost = new ArrayList<>();
      for (int v = 1; v < voterCount; v++) {
        run.killRouter(v);
        lost.add("n" + (v + 1));
      }
      inForceCountAtLoss = inForceCount;
      RouterProcess first = run.routers().get(0);
      recordStep(
          "too soon",
          first.runCommand(
              "fleet",
              "recover",
              "--charter",
              "1",
              "--ended",
              "n" + fleetAddresses.size(),
              "--why",
              "too soon"));
      Thread.sleep(3 * fencingTime.micros() / 1_000);
      recordStep(
          "recover",
          first.runCommand(
              "fleet",
              "recover",
              "--charter",
              "1",
              "--ended",
              String.join(",", lost),
              "--why",
              "two machines burnt"));
      List<Integer> vote = List.of(0, fleetAddresses.size() - 2, fleetAddresses.size() - 1);
      for (int v : vote.subList(1, 3)) {
        recordStep("add n" + (v + 1), first.runCommand("fleet", "voters", "--add", "n" + (v + 1)));
        run.killRouter(v);
        run.routers()
            .get(v)
            .writeOperatorFile(
                operatorFile.replace("{folder}", run.routerFolder(v))
                    + formatFleetSection(v, vote).replace("{folder}", run.routerFolder(v)));
        run.startRouter(v);
        awaitVoterCount(v - vote.get(1) + 2);
      }
      run.startRouter(1);
      Thread.sleep(1_500);
      Map<String, Object> back = sendRequest(1, STATUS_REQUEST);
      recordStep("n2 comes back", MessageCodec.getText(back, "standing"));
      run.killRouter(0);
      Thread.sleep(4_000);
      Integer leader = findLeader();
      Map<String, Object> end = leader == null ? Map.of() : sendRequest(leader, STATUS_REQUEST);
      Set<String> leased = new TreeSet<>();
      if (end.get("peers") instanceof List<?> peers) {
        peers.forEach(
            peer -> {
              if (MessageCodec.getNumber((Map<?, ?>) peer, "lease_ms") > 0) {
                leased.add(MessageCodec.getText((Map<?, ?>) peer, "name"));
              }
            });
      }
      recordStep("leased", "" + leased);
      recordStep(
          "without n1",
          "charter "
              + MessageCodec.getNumber(end, "charter")
              + " led by "
              + (leader == null ? "nobody" : "n" + (leader + 1)));
      boolean changed = false;
      if (leader != null) {
        // In service, by the one that leads: n2 votes in the place of n1, which comes back and may
        // not.
        RouterProcess leads = run.routers().get(leader);
        recordStep("remove n1", leads.runCommand("fleet", "voters", "--remove", "n1"));
        recordStep("add n2", leads.runCommand("fleet", "voters", "--add", "n2"));
        run.startRouter(0);
        for (int i = 0; i < 80 && !changed; i++) {
          Thread.sleep(100);
          changed =
              MessageCodec.getTexts(sendRequest(1, STATUS_REQUEST), "members").contains("n2")
                  && MessageCodec.getText(sendRequest(0, STATUS_REQUEST), "standing")
                      .startsWith("does not vote");
        }
        recordStep(
            "n1 comes back", MessageCodec.getText(sendRequest(0, STATUS_REQUEST), "standing"));
        recordStep("n2", MessageCodec.getText(sendRequest(1, STATUS_REQUEST), "standing"));
      }
      // All but those that were ended and not started again.
      recovered =
          changed
                  && leased.size() == fleetAddresses.size() - voterCount + 1
                  && MessageCodec.getNumber(end, "charter") == 1
                  && MessageCodec.getTexts(back, "members").isEmpty()
                  && MessageCodec.getText(back, "standing").contains("charter 1")
              ? 1
              : 0;
    } catch (IOException | InterruptedException fault) {
      recordStep("fault", "" + fault);
    }
  }

  private void recordStep(String step, String what) {
    recoverySteps.add(now().since(startedAt).micros() / 1_000 + " ms " + step + ": " + what);
  }

  private void awaitVoterCount(int many) throws InterruptedException {
    for (int i = 0; i < 40; i++) {
      Map<String, Object> told = sendRequest(0, STATUS_REQUEST);
      if (MessageCodec.getFlag(told, "leads")
          && MessageCodec.getTexts(told, "members").size() == many) {
        return;
      }
      Thread.sleep(100);
    }
  }

  // ---- What goes wrong among the processes.

  private void injectFaults() {
    long pause = (long) scenario.number("stops_ms");
    try {
      while (!finished && pause > 0) {
        Thread.sleep((long) (pause * (0.5 + random.nextDouble())));
        int router = random.nextInt(fleetAddresses.size());
        long lasts = lease.micros() / 1_000 / 2 + random.nextInt((int) (lease.micros() / 250));
        if (random.nextInt(2) == 0) {
          stopCount++;
          Moment from = now();
          List<Interval> of =
              stopIntervals.computeIfAbsent(router, r -> new CopyOnWriteArrayList<>());
          of.add(new Interval(from, Moment.NEVER));
          sendSignal(router, "STOP");
          Thread.sleep(lasts);
          sendSignal(router, "CONT");
          // Until it was let go on, not until it was meant to be: on a busy machine the signal
          // comes late.
          of.set(of.size() - 1, new Interval(from, now().plus(RESUME_GRACE)));
        } else {
          cutCount++;
          FaultProxy.State[] states = FaultProxy.State.values();
          FaultProxy.State state = states[1 + random.nextInt(states.length - 1)];
          proxies.get(router).forEach(bridge -> bridge.setState(state));
          eventLoops
              .next()
              .schedule(
                  () ->
                      proxies.get(router).forEach(bridge -> bridge.setState(FaultProxy.State.OPEN)),
                  2 * lasts,
                  TimeUnit.MILLISECONDS);
        }
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    } catch (IOException fault) {
      throw new IllegalStateException(fault);
    }
  }

  private void sendSignal(int router, String name) throws IOException, InterruptedException {
    long pid = run.routers().get(router).process().pid();
    new ProcessBuilder("kill", "-" + name, "" + pid).start().waitFor();
  }

  @Override
  public void close() throws Exception {
    finished = true;
    for (int r = 0; r < fleetAddresses.size(); r++) {
      sendSignal(r, "CONT");
    }
    run.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
  }
}
