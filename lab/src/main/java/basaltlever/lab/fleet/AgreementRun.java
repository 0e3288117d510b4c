package basaltlever.lab.fleet;

import basaltlever.fleet.AdminClient;
import basaltlever.fleet.MessageCodec;
import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.sockets.PortAllocator;
import basaltlever.lab.sockets.RouterProcess;
import basaltlever.lab.sockets.SocketRun;
import basaltlever.lab.world.ReadLedger.AnsweredRead;
import basaltlever.lab.world.SimulatedCluster;
import basaltlever.lab.world.Statement;
import basaltlever.lab.world.Workload;
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
 * Runs router processes that agree on versions of their settings while processes are stopped,
 * killed and disconnected from the voters. Every other version allows a single execution of a
 * statement, the others allow four, so that servers can observe which version a router applies. A
 * second execution that reaches a server in the time from the confirmation of a strict version to
 * the proposal of the next one contradicts the strict version.
 */
public final class AgreementRun implements AutoCloseable {
  private static final String FLEET = "lab";
  private static final Map<String, Object> STATUS_REQUEST = Map.of("do", "status", "fleet", FLEET);

  /** Every version with a multiple of this number is invalid and has to be refused. */
  private static final int INVALID_VERSION_PERIOD = 4;

  private static final int MAX_LOG_CHARS = 4_000;

  /** After a stop, a process first has to handle the events that arrived meanwhile. */
  private static final Span RESUME_GRACE = Span.ofMillis(250);

  /**
   * A time in which a version without second executions was in force and no other was proposed, or
   * in which a process was stopped.
   */
  private record Interval(Moment start, Moment end) {}

  private final Scenario scenario;
  private final SplittableRandom random;

  /** Used only on the event loop of the simulated cluster. */
  private final SplittableRandom listRandom;

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final int voterCount;
  private final List<InetSocketAddress> fleetAddresses = new ArrayList<>();
  private final List<Integer> raftPorts = new ArrayList<>();

  /** By router and voter. */
  private final List<List<FaultProxy>> proxies = new ArrayList<>();

  private final Map<Integer, List<Interval>> stopIntervals = new ConcurrentHashMap<>();
  private final List<Interval> strictIntervals = new ArrayList<>();
  private final SocketRun run;
  private final String operatorFile;
  private final Span lease;
  private final Span fencingTime;

  /** Traffic between routers and voters in both directions, without that of a voter to itself. */
  private final LongAdder proxiedBytes = new LongAdder();

  /** Null if versions differ in the number of executions that they allow. */
  private final ReadVersions readVersions;

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

  public AgreementRun(Scenario scenario, long seed, Path jar, String operatorFile)
      throws Exception {
    this.scenario = scenario;
    this.operatorFile = operatorFile;
    random = new SplittableRandom(seed ^ 0x5DEECE66DL);
    listRandom = random.split();
    readVersions =
        scenario.number("read_versions") > 0 ? new ReadVersions(scenario, random.split()) : null;
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
              scenario, seed, jar, router -> operatorFile + formatFleetSection(router), 0, ports);
    } catch (Exception exception) {
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      throw exception;
    }
  }

  /** Each router reaches the voters through its own proxies, except a voter itself. */
  private String formatFleetSection(int router) {
    return formatFleetSection(router, IntStream.range(0, voterCount).boxed().toList());
  }

  private String formatFleetSection(int router, List<Integer> voters) {
    if (scenario.number("agrees") < 1) {
      // The same faults without a fleet, as a baseline for the effect of the agreement.
      return "";
    }
    List<String> peers = new ArrayList<>();
    List<String> voterAddresses = new ArrayList<>();
    for (int r = 0; r < fleetAddresses.size(); r++) {
      InetSocketAddress address =
          r < voterCount && r != router
              ? proxies.get(router).get(r).address()
              : fleetAddresses.get(r);
      peers.add("n" + (r + 1) + "@127.0.0.1:" + address.getPort());
      if (voters.contains(r)) {
        voterAddresses.add("n" + (r + 1) + "@127.0.0.1:" + raftPorts.get(r));
      }
    }
    return "[fleet]\nname = "
        + FLEET
        + "\npeers = "
        + String.join(",", peers)
        + "\nvoters = "
        + String.join(",", voterAddresses)
        + "\nfolder = {folder}/vote\nlease_ms = "
        + lease.micros() / 1_000
        + "\nstated_ms = "
        + fencingTime.micros() / 1_000
        + "\nassigned_ms = "
        + scenario.count("assigned_ms")
        + "\n";
  }

  /** Returns the simulated cluster behind the routers. */
  public SimulatedCluster cluster() {
    return run.cluster();
  }

  public List<RouterProcess> routers() {
    return run.routers();
  }

  /** Runs the scenario; the figures are those of any run and those of the versions. */
  public Map<String, Object> run() throws Exception {
    run.loop()
        .submit(
            () -> {
              run.cluster().checker.setRouterStopEnd(this::findStopEnd);
              run.cluster()
                  .checker
                  .setFleetAgreementBound(fencingTime.plus(scenario.span("grace_ms")));
              if (readVersions != null) {
                run.cluster().checker.readLedger().enable();
              }
              sendFaultyLists();
              delayLists();
            })
        .get();
    Thread operator = new Thread(this::proposeVersions, "operator");
    Thread faultThread = new Thread(this::injectFaults, "faults");
    operator.setDaemon(true);
    faultThread.setDaemon(true);
    operator.start();
    faultThread.start();
    startedAt = now();
    Thread majorityLossThread = new Thread(this::loseMajority, "majority-loss");
    majorityLossThread.setDaemon(true);
    majorityLossThread.start();
    long bytesBefore = proxiedBytes.sum();
    long startNanos = System.nanoTime();
    Map<String, Object> figures = run.runScenario();
    long perRouter = (proxiedBytes.sum() - bytesBefore) / fleetAddresses.size();
    figures.put("fleet_bytes_a_router_s", perRouter / ((System.nanoTime() - startNanos) / 1e9));
    finished = true;
    for (RouterProcess router : run.routers()) {
      if (!router.process().isAlive()) {
        String log = router.readLog();
        System.err.println(
            "router process is not running at the end of the run; the end of its log:\n"
                + log.substring(Math.max(0, log.length() - MAX_LOG_CHARS)));
      }
    }
    operator.join(20_000);
    faultThread.join(5_000);
    majorityLossThread.join(20_000);
    if (readVersions != null) {
      for (RouterProcess router : run.routers()) {
        readVersions.readLog(router.readLog());
      }
      List<AnsweredRead> reads =
          run.loop().submit(() -> List.copyOf(run.cluster().checker.readLedger().reads())).get();
      figures.put("reads_judged", reads.size());
      figures.put("stale", readVersions.countStale(reads));
      figures.put("stale_reads", readVersions.findings());
      run.cluster().checker.readPlacement().addTo(figures);
    }
    List<Moment> repeats =
        run.loop().submit(() -> List.copyOf(run.cluster().checker.repeatArrivals())).get();
    long longest = 0;
    int afterFencing = 0;
    int contradictions = 0;
    for (Moment repeat : repeats) {
      for (Interval strict : strictIntervals) {
        if (repeat.isAfter(strict.start) && repeat.isBefore(strict.end)) {
          Span age = repeat.since(strict.start);
          longest = Math.max(longest, age.micros() / 1_000);
          afterFencing += age.isLongerThan(fencingTime) ? 1 : 0;
          contradictions++;
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
    figures.put("contradictions", contradictions);
    figures.put("contradictions_beyond", afterFencing);
    figures.put("contradiction_max_ms", longest);
    figures.put("recovered", recovered);
    figures.put("versions_since", inForceCount - inForceCountAtLoss);
    figures.put("recovery", recoverySteps);
    figures.put("stops", stopCount);
    figures.put("cuts", cutCount);
    return figures;
  }

  /** Sends one router a wrong endpoint list at random intervals. */
  private void sendFaultyLists() {
    Span interval = scenario.span("odd_lists_ms");
    if (interval.micros() > 0 && !finished) {
      run.cluster()
          .scheduler()
          .runAfter(
              interval.times(0.5 + listRandom.nextDouble()),
              () -> {
                run.injectDiscoveryFault(
                    listRandom.nextInt(fleetAddresses.size()), listRandom, null);
                sendFaultyLists();
              });
    }
  }

  /** Delays the endpoint lists of fewer than half of the routers, and later of others. */
  private void delayLists() {
    Span delay = scenario.span("late_lists_ms");
    if (delay.micros() > 0 && !finished) {
      for (int r = 0; r < fleetAddresses.size(); r++) {
        run.injectDiscoveryFault(r, listRandom, Span.NONE);
      }
      for (int n = (fleetAddresses.size() - 1) / 2; n > 0; n--) {
        run.injectDiscoveryFault(
            listRandom.nextInt(fleetAddresses.size()),
            listRandom,
            delay.times(0.5 + listRandom.nextDouble()));
      }
      run.cluster().scheduler().runAfter(delay.times(2), this::delayLists);
    }
  }

  private Moment findStopEnd(Statement statement) {
    return stopIntervals.getOrDefault(statement.router, List.of()).stream()
        .filter(
            stop -> !statement.deadline.isBefore(stop.start) && !statement.dueAt.isAfter(stop.end))
        .map(Interval::end)
        .reduce(Moment.LONG_AGO, Moment::later);
  }

  private Moment now() {
    return run.cluster().now();
  }

  // ---- Proposals of the operator

  private void proposeVersions() {
    boolean strict = true;
    Moment strictStart = null;
    try {
      awaitLeader();
      for (int n = 1; !finished; n++) {
        Thread.sleep((long) scenario.number("version_ms"));
        if (n % INVALID_VERSION_PERIOD == 0) {
          proposeInvalidVersion(n);
          continue;
        }
        long startNanos = System.nanoTime();
        if (strictStart != null) {
          strictIntervals.add(new Interval(strictStart, now()));
          strictStart = null;
        }
        String outcome =
            readVersions == null
                ? propose(formatSettings(strict), "version " + n)
                : proposeReadVersion("version " + n);
        slowestVersionMillis =
            Math.max(slowestVersionMillis, (System.nanoTime() - startNanos) / 1_000_000);
        if (outcome.equals("IN_FORCE")) {
          inForceCount++;
          strictStart = strict ? now() : null;
          strict = !strict;
        } else {
          undecidedCount++;
        }
      }
      if (strictStart != null) {
        strictIntervals.add(new Interval(strictStart, now()));
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private String proposeReadVersion(String why) throws InterruptedException {
    List<Workload> workloads = readVersions.draw();
    String outcome = propose(scenario.routerSettings(workloads), why);
    Integer leader = findLeader();
    Map<String, Object> status = leader == null ? Map.of() : sendRequest(leader, STATUS_REQUEST);
    // An undecided version is still on its way, and may come into force later.
    List<Object> entries = new ArrayList<>();
    if (status.get("history") instanceof List<?> history) {
      entries.addAll(history);
    }
    entries.add(status.get("prepared"));
    for (Object entry : entries) {
      // A refused proposal got no number of its own.
      if (entry instanceof Map<?, ?> version
          && MessageCodec.getText(version, "why").equals(why)
          && !MessageCodec.getText(version, "end").equals("REFUSED")) {
        readVersions.record(MessageCodec.getNumber(version, "number"), workloads);
      }
    }
    return outcome;
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
   * Proposes a version that has to be refused with the name of the setting: writes declared as
   * reads, repeated at-most-once statements, a weight of zero or no attempts.
   */
  private void proposeInvalidVersion(int n) throws InterruptedException {
    String[][] replacements = {
      {"\"Worth\":[0-9.]+", "\"Worth\":0", "Worth"},
      {"\"Repeat\":\"at_most_once\"", "\"Repeat\":\"idempotent\"", "Repeat"},
      {"\"ClassRead\":\\[\"write\"", "\"ClassRead\":[\"any\"", "ClassRead"},
      {"\"MaxAttempts\":[0-9]+", "\"MaxAttempts\":0", "MaxAttempts"},
    };
    String[] replacement = replacements[n / INVALID_VERSION_PERIOD % replacements.length];
    String outcome =
        propose(formatSettings(false).replaceAll(replacement[0], replacement[1]), "bad " + n);
    if (outcome.equals("IN_FORCE")) {
      wronglyAcceptedCount++;
    } else if (outcome.contains(replacement[2])) {
      refusedCount++;
    } else if (outcome.startsWith("WITHDRAWN")) {
      unnamedRefusal = outcome;
    } else {
      undecidedCount++;
    }
  }

  private Map<String, Object> sendRequest(int voter, Map<String, Object> message) {
    try {
      return AdminClient.sendFields(fleetAddresses.get(voter), message);
    } catch (IOException exception) {
      // An unreachable voter counts as one without an answer.
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

  /**
   * Proposes a version and returns IN_FORCE or why it is not in force. Repeats its requests until
   * the outcome is known or 12 s have passed.
   */
  private String propose(String text, String why) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + 12_000_000_000L;
    String lastReply = "no voter leads";
    while (System.nanoTime() < deadlineNanos) {
      Integer leader = findLeader();
      Map<String, Object> status =
          leader == null ? Map.of() : sendRequest(leader, Map.of("do", "status", "fleet", FLEET));
      String outcome = findOutcome(status, why);
      if (!outcome.isEmpty()) {
        return outcome;
      }
      if (status.get("force") instanceof Map<?, ?> force && status.get("prepared") == null) {
        Map<String, Object> command =
            new LinkedHashMap<>(
                Map.of(
                    "do", "propose", "fleet", FLEET, "text", text, "who", "operator", "why", why));
        command.put("number", MessageCodec.getNumber(force, "number"));
        lastReply = MessageCodec.getText(sendRequest(leader, command), "why");
      }
      Thread.sleep(15);
    }
    return lastReply;
  }

  private static String findOutcome(Map<String, Object> status, String why) {
    if (status.get("history") instanceof List<?> entries) {
      for (Object element : entries) {
        Map<?, ?> entry = (Map<?, ?>) element;
        if (MessageCodec.getText(entry, "why").equals(why)
            && !MessageCodec.getText(entry, "end").equals("REFUSED")) {
          return MessageCodec.getText(entry, "end")
              + (MessageCodec.getText(entry, "reason").isEmpty()
                  ? ""
                  : ": " + MessageCodec.getText(entry, "reason"));
        }
      }
    }
    return "";
  }

  // ---- Permanent loss of the majority

  /**
   * Kills all voters but the first. Operator commands make the first one continue alone and add two
   * other routers as voters. Then a lost voter restarts with its old folder, and last the first
   * voter is killed as well.
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
      List<Integer> voters = List.of(0, fleetAddresses.size() - 2, fleetAddresses.size() - 1);
      for (int v : voters.subList(1, 3)) {
        recordStep("add n" + (v + 1), first.runCommand("fleet", "voters", "--add", "n" + (v + 1)));
        run.killRouter(v);
        run.routers()
            .get(v)
            .writeOperatorFile(
                operatorFile.replace("{folder}", run.routerFolder(v))
                    + formatFleetSection(v, voters).replace("{folder}", run.routerFolder(v)));
        run.startRouter(v);
        awaitVoterCount(v - voters.get(1) + 2);
      }
      run.startRouter(1);
      Thread.sleep(1_500);
      Map<String, Object> returnedStatus = sendRequest(1, STATUS_REQUEST);
      recordStep("n2 comes back", MessageCodec.getText(returnedStatus, "standing"));
      run.killRouter(0);
      Thread.sleep(4_000);
      Integer leader = findLeader();
      Map<String, Object> finalStatus =
          leader == null ? Map.of() : sendRequest(leader, STATUS_REQUEST);
      Set<String> leasedRouters = new TreeSet<>();
      if (finalStatus.get("peers") instanceof List<?> peers) {
        peers.forEach(
            peer -> {
              if (MessageCodec.getNumber((Map<?, ?>) peer, "lease_ms") > 0) {
                leasedRouters.add(MessageCodec.getText((Map<?, ?>) peer, "name"));
              }
            });
      }
      recordStep("leased", "" + leasedRouters);
      recordStep(
          "without n1",
          "charter "
              + MessageCodec.getNumber(finalStatus, "charter")
              + " led by "
              + (leader == null ? "nobody" : "n" + (leader + 1)));
      boolean changed = false;
      if (leader != null) {
        // The leader replaces n1 by n2 as voter in service; n1 then restarts and may not vote.
        RouterProcess leaderProcess = run.routers().get(leader);
        recordStep("remove n1", leaderProcess.runCommand("fleet", "voters", "--remove", "n1"));
        recordStep("add n2", leaderProcess.runCommand("fleet", "voters", "--add", "n2"));
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
      // All routers hold a lease but those that were killed and not restarted.
      recovered =
          changed
                  && leasedRouters.size() == fleetAddresses.size() - voterCount + 1
                  && MessageCodec.getNumber(finalStatus, "charter") == 1
                  && MessageCodec.getTexts(returnedStatus, "members").isEmpty()
                  && MessageCodec.getText(returnedStatus, "standing").contains("charter 1")
              ? 1
              : 0;
    } catch (IOException | InterruptedException exception) {
      recordStep("fault", "" + exception);
    }
  }

  /** Records a step of the recovery with its time, for the figures. */
  private void recordStep(String step, String result) {
    recoverySteps.add(now().since(startedAt).micros() / 1_000 + " ms " + step + ": " + result);
  }

  private void awaitVoterCount(int count) throws InterruptedException {
    for (int i = 0; i < 40; i++) {
      Map<String, Object> status = sendRequest(0, STATUS_REQUEST);
      if (MessageCodec.getFlag(status, "leads")
          && MessageCodec.getTexts(status, "members").size() == count) {
        return;
      }
      Thread.sleep(100);
    }
  }

  // ---- Faults of processes and connections

  private void injectFaults() {
    long meanPauseMillis = (long) scenario.number("stops_ms");
    try {
      while (!finished && meanPauseMillis > 0) {
        Thread.sleep((long) (meanPauseMillis * (0.5 + random.nextDouble())));
        int router = random.nextInt(fleetAddresses.size());
        long durationMillis =
            lease.micros() / 1_000 / 2 + random.nextInt((int) (lease.micros() / 250));
        if (random.nextInt(2) == 0) {
          stopCount++;
          Moment start = now();
          List<Interval> intervals =
              stopIntervals.computeIfAbsent(router, r -> new CopyOnWriteArrayList<>());
          intervals.add(new Interval(start, Moment.NEVER));
          sendSignal(router, "STOP");
          Thread.sleep(durationMillis);
          sendSignal(router, "CONT");
          // Ends when the process was resumed, since the signal may be late on a busy machine.
          intervals.set(intervals.size() - 1, new Interval(start, now().plus(RESUME_GRACE)));
        } else {
          cutCount++;
          FaultProxy.State[] states = FaultProxy.State.values();
          FaultProxy.State state = states[1 + random.nextInt(states.length - 1)];
          proxies.get(router).forEach(proxy -> proxy.setState(state));
          eventLoops
              .next()
              .schedule(
                  () -> proxies.get(router).forEach(proxy -> proxy.setState(FaultProxy.State.OPEN)),
                  2 * durationMillis,
                  TimeUnit.MILLISECONDS);
        }
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
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
