package basaltlever.lab.fleet;

import basaltlever.fleet.AdminClient;
import basaltlever.fleet.MessageCodec;
import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.sockets.Ports;
import basaltlever.lab.sockets.RouterProcess;
import basaltlever.lab.sockets.SocketRun;
import basaltlever.lab.world.Ask;
import basaltlever.lab.world.World;
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
  private static final Map<String, Object> STATUS = Map.of("do", "status", "fleet", FLEET);
  private static final int BAD_EVERY = 4;
  private static final int MOST_LOG = 4_000;

  /** After a stop a process first does what had come meanwhile. */
  private static final Span WAKES = Span.ofMillis(250);

  /**
   * While one by which nothing runs twice was in force, and no other proposed; or a process
   * stopped.
   */
  private record Strict(Moment from, Moment to) {}

  private final Scenario scenario;
  private final SplittableRandom chance;

  /** On the world's loop. */
  private final SplittableRandom listChance;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final int voters;
  private final List<InetSocketAddress> places = new ArrayList<>();
  private final List<Integer> engines = new ArrayList<>();
  private final List<List<Bridge>> bridges = new ArrayList<>();
  private final Map<Integer, List<Strict>> stopped = new ConcurrentHashMap<>();
  private final List<Strict> stricts = new ArrayList<>();
  private final SocketRun run;
  private final String operator;
  private final Span lease;
  private final Span stated;

  /** Between routers and voters, both ways, but for those of a voter with itself. */
  private final LongAdder bytes = new LongAdder();

  private volatile boolean over;
  private int inForce;
  private int refused;
  private int wronglyTaken;
  private int undecided;
  private int stops;
  private int cuts;
  private long slowestMillis;
  private String unnamed = "";
  private volatile int recovered;
  private volatile int inForceAtLoss;
  private volatile Moment played = Moment.LONG_AGO;
  private final List<String> recovery = new CopyOnWriteArrayList<>();

  public AgreementRun(Scenario scenario, long seed, Path jar, String operator) throws Exception {
    this.scenario = scenario;
    this.operator = operator;
    chance = new SplittableRandom(seed ^ 0x5DEECE66DL);
    listChance = chance.split();
    voters = scenario.count("voters");
    lease = scenario.span("lease_ms");
    stated = scenario.span("stated_ms");
    Ports ports = new Ports();
    for (int r = 0; r < scenario.count("routers"); r++) {
      places.add(new InetSocketAddress("127.0.0.1", ports.next()));
    }
    for (int r = 0; r < places.size(); r++) {
      engines.add(ports.next());
    }
    for (int r = 0; r < places.size(); r++) {
      bridges.add(new ArrayList<>());
      for (int v = 0; v < voters; v++) {
        bridges.get(r).add(new Bridge(group.next(), places.get(v), bytes));
      }
    }
    try {
      run = new SocketRun(scenario, seed, jar, router -> operator + text(router), 0, ports);
    } catch (Exception fault) {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      throw fault;
    }
  }

  /** A router meets the voters over its own bridges; a voter listens at its own place. */
  private String text(int router) {
    return text(router, IntStream.range(0, voters).boxed().toList());
  }

  private String text(int router, List<Integer> vote) {
    if (scenario.number("agrees") < 1) {
      // The same troubles, and each router for itself: what the fleet's word is worth.
      return "";
    }
    List<String> peers = new ArrayList<>();
    List<String> voting = new ArrayList<>();
    for (int r = 0; r < places.size(); r++) {
      InetSocketAddress at =
          r < voters && r != router ? bridges.get(router).get(r).address() : places.get(r);
      peers.add("n" + (r + 1) + "@127.0.0.1:" + at.getPort());
      if (vote.contains(r)) {
        voting.add("n" + (r + 1) + "@127.0.0.1:" + engines.get(r));
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
        + stated.micros() / 1_000
        + "\nassigned_ms = "
        + scenario.count("assigned_ms")
        + "\n";
  }

  public World world() {
    return run.world();
  }

  public List<RouterProcess> routers() {
    return run.routers();
  }

  /** Plays it to its end; the figures hold those of any run, and what became of the versions. */
  public Map<String, Object> play() throws Exception {
    run.loop()
        .submit(
            () -> {
              run.world().ledger.excuses(this::wasStopped);
              run.world().ledger.agreesWithin(stated.plus(scenario.span("grace_ms")));
              oddLists();
              lateLists();
            })
        .get();
    Thread operator = new Thread(this::operate, "operator");
    Thread trouble = new Thread(this::trouble, "trouble");
    operator.setDaemon(true);
    trouble.setDaemon(true);
    operator.start();
    trouble.start();
    played = now();
    Thread disaster = new Thread(this::loseMajority, "disaster");
    disaster.setDaemon(true);
    disaster.start();
    long before = bytes.sum();
    long since = System.nanoTime();
    Map<String, Object> figures = run.play();
    long perRouter = (bytes.sum() - before) / places.size();
    figures.put("fleet_bytes_a_router_s", perRouter / ((System.nanoTime() - since) / 1e9));
    over = true;
    for (RouterProcess router : run.routers()) {
      if (!router.process().isAlive()) {
        String log = router.log();
        System.err.println(
            "a router died:\n" + log.substring(Math.max(0, log.length() - MOST_LOG)));
      }
    }
    operator.join(20_000);
    trouble.join(5_000);
    disaster.join(20_000);
    List<Moment> repeats = run.loop().submit(() -> List.copyOf(run.world().ledger.repeats())).get();
    long longest = 0;
    int beyond = 0;
    int within = 0;
    for (Moment repeat : repeats) {
      for (Strict strict : stricts) {
        if (repeat.isAfter(strict.from) && repeat.isBefore(strict.to)) {
          Span late = repeat.since(strict.from);
          longest = Math.max(longest, late.micros() / 1_000);
          beyond += late.isLongerThan(stated) ? 1 : 0;
          within++;
        }
      }
    }
    figures.put("versions", inForce);
    figures.put("refused", refused);
    figures.put("wrongly_taken", wronglyTaken);
    figures.put("undecided", undecided);
    figures.put("bad_unnamed", unnamed.isEmpty() ? 0 : 1);
    figures.put("in_force_ms_most", slowestMillis);
    figures.put("repeats", repeats.size());
    figures.put("contradictions", within);
    figures.put("contradictions_beyond", beyond);
    figures.put("contradiction_max_ms", longest);
    figures.put("recovered", recovered);
    figures.put("versions_since", inForce - inForceAtLoss);
    figures.put("recovery", recovery);
    figures.put("stops", stops);
    figures.put("cuts", cuts);
    return figures;
  }

  /** Now and then one router's discovery tells what is not so. */
  private void oddLists() {
    Span pause = scenario.span("odd_lists_ms");
    if (pause.micros() > 0 && !over) {
      run.world()
          .time()
          .after(
              pause.times(0.5 + listChance.nextDouble()),
              () -> {
                run.lists(listChance.nextInt(places.size()), listChance, null);
                oddLists();
              });
    }
  }

  /** Fewer than half hear of changes late, others after a while. */
  private void lateLists() {
    Span late = scenario.span("late_lists_ms");
    if (late.micros() > 0 && !over) {
      for (int r = 0; r < places.size(); r++) {
        run.lists(r, listChance, Span.NONE);
      }
      for (int n = (places.size() - 1) / 2; n > 0; n--) {
        run.lists(
            listChance.nextInt(places.size()),
            listChance,
            late.times(0.5 + listChance.nextDouble()));
      }
      run.world().time().after(late.times(2), this::lateLists);
    }
  }

  private Moment wasStopped(Ask ask) {
    return stopped.getOrDefault(ask.router, List.of()).stream()
        .filter(stop -> !ask.leaves.isBefore(stop.from) && !ask.due.isAfter(stop.to))
        .map(Strict::to)
        .reduce(Moment.LONG_AGO, Moment::later);
  }

  private Moment now() {
    return run.world().now();
  }

  // ---- The operator.

  private void operate() {
    boolean strict = true;
    Moment strictFrom = null;
    try {
      awaitStart();
      for (int n = 1; !over; n++) {
        Thread.sleep((long) scenario.number("version_ms"));
        if (n % BAD_EVERY == 0) {
          bad(n);
          continue;
        }
        long since = System.nanoTime();
        if (strictFrom != null) {
          stricts.add(new Strict(strictFrom, now()));
          strictFrom = null;
        }
        String end = propose(content(strict), "version " + n);
        slowestMillis = Math.max(slowestMillis, (System.nanoTime() - since) / 1_000_000);
        if (end.equals("IN_FORCE")) {
          inForce++;
          strictFrom = strict ? now() : null;
          strict = !strict;
        } else {
          undecided++;
        }
      }
      if (strictFrom != null) {
        stricts.add(new Strict(strictFrom, now()));
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitStart() throws InterruptedException {
    while (!over && leader() == null) {
      Thread.sleep(100);
    }
  }

  private String content(boolean strict) {
    String text = scenario.settings();
    return strict
        ? text.replaceFirst("\"MaxAttempts\":[0-9]+", "\"MaxAttempts\":1")
            .replaceFirst("\"MayDuplicate\":true", "\"MayDuplicate\":false")
        : text;
  }

  /**
   * One that must be refused by name: writes as reads, repeats of what runs once, weights of
   * nothing.
   */
  private void bad(int n) throws InterruptedException {
    String[][] wrongs = {
      {"\"Worth\":[0-9.]+", "\"Worth\":0", "Worth"},
      {"\"Repeat\":\"at_most_once\"", "\"Repeat\":\"idempotent\"", "Repeat"},
      {"\"ClassRead\":\\[\"write\"", "\"ClassRead\":[\"any\"", "ClassRead"},
      {"\"MaxAttempts\":[0-9]+", "\"MaxAttempts\":0", "MaxAttempts"},
    };
    String[] wrong = wrongs[n / BAD_EVERY % wrongs.length];
    String end = propose(content(false).replaceAll(wrong[0], wrong[1]), "bad " + n);
    if (end.equals("IN_FORCE")) {
      wronglyTaken++;
    } else if (end.contains(wrong[2])) {
      refused++;
    } else if (end.startsWith("WITHDRAWN")) {
      unnamed = end;
    } else {
      undecided++;
    }
  }

  private Map<String, Object> ask(int voter, Map<String, Object> message) {
    try {
      return AdminClient.sendFields(places.get(voter), message);
    } catch (IOException silent) {
      return Map.of();
    }
  }

  private Integer leader() {
    for (int v = 0; v < (scenario.number("lose_majority_s") > 0 ? places.size() : voters); v++) {
      if (MessageCodec.getFlag(ask(v, STATUS), "leads")) {
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
      Integer leader = leader();
      Map<String, Object> told =
          leader == null ? Map.of() : ask(leader, Map.of("do", "status", "fleet", FLEET));
      String end = end(told, why);
      if (!end.isEmpty()) {
        return end;
      }
      if (told.get("force") instanceof Map<?, ?> force && told.get("prepared") == null) {
        Map<String, Object> command =
            new LinkedHashMap<>(
                Map.of(
                    "do", "propose", "fleet", FLEET, "text", text, "who", "operator", "why", why));
        command.put("number", MessageCodec.getNumber(force, "number"));
        last = MessageCodec.getText(ask(leader, command), "why");
      }
      Thread.sleep(15);
    }
    return last;
  }

  private static String end(Map<String, Object> told, String why) {
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
      for (int v = 1; v < voters; v++) {
        run.ends(v);
        lost.add("n" + (v + 1));
      }
      inForceAtLoss = inForce;
      RouterProcess first = run.routers().get(0);
      told(
          "too soon",
          first.command(
              "fleet",
              "recover",
              "--charter",
              "1",
              "--ended",
              "n" + places.size(),
              "--why",
              "too soon"));
      Thread.sleep(3 * stated.micros() / 1_000);
      told(
          "recover",
          first.command(
              "fleet",
              "recover",
              "--charter",
              "1",
              "--ended",
              String.join(",", lost),
              "--why",
              "two machines burnt"));
      List<Integer> vote = List.of(0, places.size() - 2, places.size() - 1);
      for (int v : vote.subList(1, 3)) {
        told("add n" + (v + 1), first.command("fleet", "voters", "--add", "n" + (v + 1)));
        run.ends(v);
        run.routers()
            .get(v)
            .operatorFile(
                operator.replace("{folder}", run.folder(v))
                    + text(v, vote).replace("{folder}", run.folder(v)));
        run.starts(v);
        awaitVoters(v - vote.get(1) + 2);
      }
      run.starts(1);
      Thread.sleep(1_500);
      Map<String, Object> back = ask(1, STATUS);
      told("n2 comes back", MessageCodec.getText(back, "standing"));
      run.ends(0);
      Thread.sleep(4_000);
      Integer leader = leader();
      Map<String, Object> end = leader == null ? Map.of() : ask(leader, STATUS);
      Set<String> leased = new TreeSet<>();
      if (end.get("peers") instanceof List<?> peers) {
        peers.forEach(
            peer -> {
              if (MessageCodec.getNumber((Map<?, ?>) peer, "lease_ms") > 0) {
                leased.add(MessageCodec.getText((Map<?, ?>) peer, "name"));
              }
            });
      }
      told("leased", "" + leased);
      told(
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
        told("remove n1", leads.command("fleet", "voters", "--remove", "n1"));
        told("add n2", leads.command("fleet", "voters", "--add", "n2"));
        run.starts(0);
        for (int i = 0; i < 80 && !changed; i++) {
          Thread.sleep(100);
          changed =
              MessageCodec.getTexts(ask(1, STATUS), "members").contains("n2")
                  && MessageCodec.getText(ask(0, STATUS), "standing").startsWith("does not vote");
        }
        told("n1 comes back", MessageCodec.getText(ask(0, STATUS), "standing"));
        told("n2", MessageCodec.getText(ask(1, STATUS), "standing"));
      }
      // All but those that were ended and not started again.
      recovered =
          changed
                  && leased.size() == places.size() - voters + 1
                  && MessageCodec.getNumber(end, "charter") == 1
                  && MessageCodec.getTexts(back, "members").isEmpty()
                  && MessageCodec.getText(back, "standing").contains("charter 1")
              ? 1
              : 0;
    } catch (IOException | InterruptedException fault) {
      told("fault", "" + fault);
    }
  }

  private void told(String step, String what) {
    recovery.add(now().since(played).micros() / 1_000 + " ms " + step + ": " + what);
  }

  private void awaitVoters(int many) throws InterruptedException {
    for (int i = 0; i < 40; i++) {
      Map<String, Object> told = ask(0, STATUS);
      if (MessageCodec.getFlag(told, "leads")
          && MessageCodec.getTexts(told, "members").size() == many) {
        return;
      }
      Thread.sleep(100);
    }
  }

  // ---- What goes wrong among the processes.

  private void trouble() {
    long pause = (long) scenario.number("stops_ms");
    try {
      while (!over && pause > 0) {
        Thread.sleep((long) (pause * (0.5 + chance.nextDouble())));
        int router = chance.nextInt(places.size());
        long lasts = lease.micros() / 1_000 / 2 + chance.nextInt((int) (lease.micros() / 250));
        if (chance.nextInt(2) == 0) {
          stops++;
          Moment from = now();
          List<Strict> of = stopped.computeIfAbsent(router, r -> new CopyOnWriteArrayList<>());
          of.add(new Strict(from, Moment.NEVER));
          signal(router, "STOP");
          Thread.sleep(lasts);
          signal(router, "CONT");
          // Until it was let go on, not until it was meant to be: on a busy machine the signal
          // comes late.
          of.set(of.size() - 1, new Strict(from, now().plus(WAKES)));
        } else {
          cuts++;
          Bridge.State[] states = Bridge.State.values();
          Bridge.State state = states[1 + chance.nextInt(states.length - 1)];
          bridges.get(router).forEach(bridge -> bridge.is(state));
          group
              .next()
              .schedule(
                  () -> bridges.get(router).forEach(bridge -> bridge.is(Bridge.State.OPEN)),
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

  private void signal(int router, String name) throws IOException, InterruptedException {
    long pid = run.routers().get(router).process().pid();
    new ProcessBuilder("kill", "-" + name, "" + pid).start().waitFor();
  }

  @Override
  public void close() throws Exception {
    over = true;
    for (int r = 0; r < places.size(); r++) {
      signal(r, "CONT");
    }
    run.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
  }
}
