package basaltlever.fleet;

import basaltlever.agree.Census;
import basaltlever.agree.Census.Fork;
import basaltlever.agree.Doubt;
import basaltlever.agree.Grant;
import basaltlever.agree.Leases;
import basaltlever.agree.Leases.Peer;
import basaltlever.agree.Leases.Step;
import basaltlever.agree.Register;
import basaltlever.agree.Report;
import basaltlever.agree.Sight;
import basaltlever.agree.Standing;
import basaltlever.agree.Standing.Seal;
import basaltlever.agree.Standing.Told;
import basaltlever.agree.Version;
import basaltlever.config.Terms;
import basaltlever.log.Event;
import basaltlever.log.Tally;
import basaltlever.time.Moment;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * One voter's side of the talk: takes beats and commands, and while it leads grants leases and
 * takes the steps that follow. All of it runs on one loop of its own, so that no statement waits
 * for it.
 */
final class Voter implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Voter.class);

  /**
   * Clocks of machines in one fleet run apart by this share at most; at twice that leases still
   * hold.
   */
  private static final double DRIFT = 0.01;

  private static final int PULSES_A_LEASE = 4;
  private static final int MOST_CONNECTIONS = 2_100;
  private static final int KEPT_TEXTS = 3;
  private static final int SEATS_TOLD = 5;
  private static final int ANSWERS_MILLIS = 250;
  private static final long ASKS_AGAIN_MILLIS = 200;
  private static final long LOOKS_MILLIS = 2_000;

  private final Terms terms;
  private final EventLoop loop;
  private final Leases leases;
  private final Census census;
  private final String name;
  private final Papers papers;

  /** Null while it may not vote. */
  private volatile Engine engine;

  private volatile long charter;
  private volatile String waits = "";
  private volatile boolean closed;

  /** What a voter that may not vote tells of. */
  private final Register nothing = new Register();

  private boolean sealing;
  private final Channel listener;
  private int connections;
  private boolean leads;
  private boolean stepping;
  private boolean pulsing;
  private List<Fork> forks = List.of();
  private final Tally forksTold = new Tally(LOG, Event.FLEET_FORK, Voter::now);

  Voter(Terms terms, String name, EventLoop loop, Papers papers) throws Exception {
    this.terms = terms;
    this.name = name;
    this.loop = loop;
    this.papers = papers;
    leases = new Leases(terms.lease(), 2 * DRIFT);
    census = new Census(leases, terms.peers().keySet(), terms.assigned());
    listener =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    if (connections >= MOST_CONNECTIONS) {
                      channel.close();
                      return;
                    }
                    connections++;
                    channel.closeFuture().addListener(done -> connections--);
                    channel.pipeline().addLast(new Spoken());
                  }
                })
            .bind(terms.peers().get(name))
            .sync()
            .channel();
    long period = terms.lease().micros() / PULSES_A_LEASE;
    loop.scheduleWithFixedDelay(this::pulse, period, period, TimeUnit.MICROSECONDS);
    Thread stands = new Thread(this::stands, "stands");
    stands.setDaemon(true);
    stands.start();
  }

  // ---- Whether it votes.

  /** Asks the others again and again: whoever was given up, or taken out, hears of it by itself. */
  private void stands() {
    while (!closed) {
      try {
        List<Told> told = othersTell();
        synchronized (papers) {
          if (engine == null && !closed) {
            Seal own = papers.seal();
            begin(
                Standing.of(
                    name,
                    own.members().isEmpty() ? null : own,
                    List.copyOf(terms.voters().keySet()),
                    told));
          } else if (told.stream()
              .anyMatch(
                  one ->
                      one.charter() > charter
                          || (one.leads()
                              && one.charter() == charter
                              && !one.members().contains(name)))) {
            retire();
          }
        }
        Thread.sleep(engine == null ? ASKS_AGAIN_MILLIS : LOOKS_MILLIS);
      } catch (InterruptedException ended) {
        return;
      } catch (Exception fault) {
        waits = "" + fault;
        Event.FLEET_JOINS.log(LOG, Level.WARN, "can't vote, asks again", fault);
        try {
          Thread.sleep(LOOKS_MILLIS);
        } catch (InterruptedException ended) {
          return;
        }
      }
    }
  }

  private List<Told> othersTell() {
    List<Told> all = new ArrayList<>();
    Set<String> others = new LinkedHashSet<>(terms.voters().keySet());
    others.addAll(papers.voters());
    others.retainAll(terms.peers().keySet());
    others.remove(name);
    for (String other : others) {
      Map<String, Object> told = ask(other);
      if (told != null) {
        all.add(
            new Told(
                other,
                Message.number(told, "charter"),
                Message.texts(told, "members"),
                Message.text(told, "seal"),
                Message.flag(told, "fresh"),
                Message.flag(told, "leads")));
      }
    }
    return all;
  }

  /** Null where it does not answer soon. */
  private Map<String, Object> ask(String other) {
    try {
      Map<String, Object> told =
          Call.ask(
              terms.peers().get(other),
              Map.of("do", "status", "fleet", terms.name(), "from", name),
              ANSWERS_MILLIS);
      return Message.text(told, "do").equals("status") ? told : null;
    } catch (IOException silent) {
      return null;
    }
  }

  private void begin(Standing standing) throws Exception {
    if (standing.kind() == Standing.Kind.WAIT) {
      if (!standing.why().equals(waits)) {
        waits = standing.why();
        Event.FLEET_STANDS.log(LOG, Level.WARN, "", "waits", waits);
      }
      return;
    }
    if (standing.kind() != Standing.Kind.RESUME) {
      papers.votes(standing.charter(), standing.members());
    }
    waits = "";
    charter = standing.charter();
    Files.createDirectories(papers.log(charter));
    engine =
        new Engine(
            charter == 0 ? terms.name() : terms.name() + "#" + charter,
            name,
            terms.voters(),
            standing.members(),
            papers.log(charter),
            Math.max(300, terms.lease().micros() / 1_000),
            leads -> loop.execute(() -> leads(leads)));
    Event.FLEET_STANDS.log(
        LOG,
        Level.INFO,
        "",
        "votes",
        standing.kind()
            + " under charter "
            + charter
            + " with "
            + String.join(", ", standing.members()));
  }

  /**
   * Others go on by a newer charter, or without it: what this one leads or votes for binds nobody
   * any more.
   */
  private void retire() {
    Engine former = engine;
    engine = null;
    loop.execute(() -> leads(false));
    former.close();
    Event.FLEET_STANDS.log(
        LOG, Level.WARN, "", "retires", "a charter newer than " + charter + ", or taken out");
  }

  private Register register() {
    Engine by = engine;
    return by == null ? nothing : by.register;
  }

  /** Whether what it leads has begun: a new charter begins with what was left of the one before. */
  private boolean hasBegun() {
    return engine != null && engine.register.charter() == charter;
  }

  /**
   * Of an operator: this voter goes on by itself, by a new charter. Empty where it does, else why
   * not.
   */
  private String recover(Map<String, Object> command) throws Exception {
    synchronized (papers) {
      Engine former = engine;
      if (former == null) {
        return name + " does not vote: " + waits;
      }
      if (Message.number(command, "number") != charter + 1) {
        return "charter " + charter + " holds, so the next one is " + (charter + 1);
      }
      if (leads || !former.leader().isEmpty()) {
        return "a majority is there: " + (leads ? name : former.leader()) + " leads";
      }
      List<String> lost = Message.texts(command, "ended");
      for (String member : former.members()) {
        Map<String, Object> told = member.equals(name) ? null : ask(member);
        if (lost.contains(member) && told != null) {
          return member + " answers, so it is not ended";
        }
        if (!lost.contains(member) && !member.equals(name)) {
          if (told == null) {
            return member + " votes too: end it and name it, or bring it back";
          }
          if (Message.number(told, "changes") > former.register.changes()) {
            return member + " knows more: have it recover instead";
          }
        }
      }
      engine = null;
      former.close();
      Register register = former.register;
      synchronized (register) {
        register.recover(
            new TreeSet<>(lost),
            Message.text(command, "who"),
            Message.text(command, "why"),
            System.currentTimeMillis());
      }
      papers.begins(charter + 1, Engine.content(register));
      papers.votes(charter + 1, List.of(name));
      begin(new Standing(Standing.Kind.RESUME, charter + 1, List.of(name), ""));
      return "";
    }
  }

  /** Steady, and moves on while this process is stopped. */
  static Moment now() {
    return new Moment(System.nanoTime() / 1_000);
  }

  private void leads(boolean now) {
    leads = now;
    if (now) {
      leases.elected(now());
      census.elected(now(), System.nanoTime() | 1);
      beginCharter();
    } else {
      leases.resigned();
    }
    Event.FLEET_LEADER.log(LOG, Level.INFO, "", now ? "leads" : "follows");
  }

  private void beginCharter() {
    try {
      Map<String, Object> seed = hasBegun() || engine == null ? null : papers.seed(charter);
      if (seed != null) {
        seed.put("do", "charter");
        engine.submit(seed);
      }
    } catch (IOException fault) {
      Event.FLEET_STANDS.log(
          LOG,
          Level.ERROR,
          "",
          "waits",
          "the beginning of charter " + charter + " can't be read: " + fault.getMessage());
    }
  }

  /** That a majority takes it proves that no other led when it was sent. */
  private void pulse() {
    if (leads && !hasBegun()) {
      beginCharter();
    } else if (leads && !pulsing) {
      pulsing = true;
      Moment sent = now();
      engine
          .submit(Map.of("do", "pulse"))
          .orTimeout(terms.lease().micros() * 2, TimeUnit.MICROSECONDS)
          .whenComplete(
              (answer, fault) ->
                  loop.execute(
                      () -> {
                        pulsing = false;
                        if (fault == null && leads && hasBegun()) {
                          leases.confirmed(sent);
                          step();
                        }
                      }));
    }
  }

  private void step() {
    Step step;
    Census.Step lists;
    Map<String, Object> command = new LinkedHashMap<>();
    Register register = register();
    synchronized (register) {
      step = leases.next(now(), register);
      lists = census.next(now(), register);
      command.put("number", step.number());
      switch (step.kind()) {
        case BRING_INTO_FORCE -> command.put("do", "force");
        case WITHDRAW -> {
          command.put("do", "withdraw");
          command.put("why", step.reason());
        }
        case COUNT_ROUTERS -> {
          Version version = register.inForce();
          command.put("do", "propose");
          command.put("text", version.text());
          command.put("routers", step.routers());
          command.put("who", "fleet");
          command.put("why", step.routers() + " routers are here");
          command.put("at", System.currentTimeMillis());
        }
        default -> {}
      }
    }
    if (stepping) {
      return;
    }
    if (command.containsKey("do")) {
      submit(command);
      Event.FLEET_STEP.log(LOG, Level.INFO, "", step.kind(), step.number(), step.reason());
    } else if (lists.kind() != Census.Step.Kind.NOTHING) {
      submit(command(lists));
      Event.FLEET_LISTS.log(
          LOG,
          Level.INFO,
          "",
          lists.kind(),
          lists.seats().size(),
          lists.seats().stream()
              .limit(SEATS_TOLD)
              .map(seat -> seat.member() + " in " + seat.group())
              .toList());
    }
    List<Fork> found = census.forks(now());
    if (!found.equals(forks)) {
      forks = found;
      found.forEach(fork -> forksTold.note(fork.at().generation(), "" + fork.holders().values()));
    }
  }

  private Map<String, Object> command(Census.Step step) {
    Map<String, Object> command = new LinkedHashMap<>();
    switch (step.kind()) {
      case SEAT -> command.put("do", "seat");
      case CLEAR -> command.put("do", "clear");
      default -> {
        command.put("do", "count_anew");
        synchronized (register()) {
          command.put("number", register().era());
        }
      }
    }
    command.put("seats", step.seats().stream().map(Lists::of).toList());
    return command;
  }

  private void submit(Map<String, Object> command) {
    Engine by = engine;
    if (by == null) {
      return;
    }
    stepping = true;
    by.submit(command)
        .orTimeout(5, TimeUnit.SECONDS)
        .whenComplete((answer, fault) -> loop.execute(() -> stepping = false));
  }

  /** One connection of a router or of an operator's command. */
  private final class Spoken extends Wire {
    @Override
    void heard(ChannelHandlerContext from, Map<String, Object> message) {
      String name = Message.text(message, "from");
      if (!Message.text(message, "fleet").equals(terms.name())) {
        refuse(from, "this is fleet " + terms.name());
        return;
      }
      switch (Message.text(message, "do")) {
        case "beat" -> {
          if (!terms.peers().containsKey(name)) {
            refuse(from, name + " is no peer of fleet " + terms.name());
          } else if (Message.number(message, "charter") > charter && engine != null) {
            newer();
            send(from, Map.of("do", "follows"));
          } else if (leads && hasBegun()) {
            send(from, beat(name, message));
          } else {
            Engine by = engine;
            send(from, Map.of("do", "follows", "leader", by == null ? "" : by.leader()));
          }
        }
        case "propose" -> propose(from, message);
        case "voters" -> change(from, message);
        case "recover" -> recovers(from, message);
        case "status" -> {
          Map<String, Object> told = status();
          told.put("seal", register().sealOf(name));
          send(from, told);
        }
        default -> refuse(from, "that is not spoken here");
      }
    }

    private void newer() {
      Thread retires =
          new Thread(
              () -> {
                synchronized (papers) {
                  if (engine != null) {
                    retire();
                  }
                }
              },
              "retires");
      retires.setDaemon(true);
      retires.start();
    }

    private void recovers(ChannelHandlerContext from, Map<String, Object> message) {
      Thread recovers =
          new Thread(
              () -> {
                String why;
                try {
                  why = recover(message);
                } catch (Exception fault) {
                  why = "" + fault;
                }
                String answer = why;
                loop.execute(
                    () ->
                        send(
                            from,
                            Map.of("do", answer.isEmpty() ? "taken" : "refused", "why", answer)));
              },
              "recovers");
      recovers.setDaemon(true);
      recovers.start();
    }

    /** One voter more, or one less; it is known by no folder then. */
    private void change(ChannelHandlerContext from, Map<String, Object> message) {
      String voter = Message.text(message, "voter");
      boolean in = Message.flag(message, "in");
      Engine by = engine;
      String why =
          by == null || !leads || !hasBegun()
              ? name + " does not lead"
              : !terms.peers().containsKey(voter)
                  ? voter + " is no peer of fleet " + terms.name()
                  : in == by.members().contains(voter)
                      ? voter + (in ? " votes already" : " does not vote")
                      : !in && voter.equals(name)
                          ? name + " leads: stop it first, so that another does"
                          : !in && by.members().size() == 1 ? voter + " is the only one" : "";
      if (!why.isEmpty()) {
        send(from, Map.of("do", "refused", "why", why));
        return;
      }
      by.submit(Map.of("do", "unseal", "voter", voter))
          .thenCompose(answer -> by.change(voter, in))
          .orTimeout(5, TimeUnit.SECONDS)
          .whenComplete(
              (answer, fault) ->
                  loop.execute(
                      () ->
                          send(
                              from,
                              fault != null
                                  ? Map.of("do", "unknown", "why", "no majority answered: " + fault)
                                  : Map.of("do", "taken", "why", ""))));
    }

    private void refuse(ChannelHandlerContext from, String why) {
      send(from, Map.of("do", "refused", "why", why));
      from.close();
    }

    private void propose(ChannelHandlerContext from, Map<String, Object> message) {
      Map<String, Object> command = new LinkedHashMap<>(message);
      command.keySet().retainAll(List.of("do", "number", "text", "who", "why"));
      command.put("at", System.currentTimeMillis());
      Engine by = engine;
      if (by == null || !hasBegun()) {
        send(from, Map.of("do", "refused", "why", name + " does not vote: " + waits));
        return;
      }
      synchronized (by.register) {
        command.put("routers", by.register.inForce().routers());
      }
      by.submit(command)
          .orTimeout(3, TimeUnit.SECONDS)
          .whenComplete(
              (answer, fault) ->
                  loop.execute(
                      () ->
                          send(
                              from,
                              fault != null
                                  ? Map.of(
                                      "do",
                                      "unknown",
                                      "why",
                                      "no majority answered: " + fault.getMessage())
                                  : Map.of(
                                      "do",
                                      answer.isEmpty() ? "taken" : "refused",
                                      "why",
                                      answer))));
    }
  }

  private Map<String, Object> beat(String name, Map<String, Object> beat) {
    Grant grant;
    Sight sight;
    Report report = Lists.report(beat.get("lists"));
    Register register = register();
    synchronized (register) {
      grant =
          leases.beat(
              now(),
              name,
              Message.number(beat, "incarnation"),
              Message.number(beat, "beat"),
              Message.number(beat, "force"),
              Message.number(beat, "keeps"),
              Message.number(beat, "refused"),
              Message.text(beat, "refusal"),
              Message.flag(beat, "holds"),
              register);
      sight = census.beat(now(), name, report, register);
    }
    learnsFolder(name, Message.text(beat, "folder"));
    Map<String, Object> told = new HashMap<>();
    told.put("do", "grant");
    told.put("beat", grant.beat());
    told.put("lasts", grant.lasts().micros());
    told.put("changes", grant.changes());
    told.put("members", engine == null ? List.of() : engine.members());
    told.put("force", without(grant.inForce(), Message.number(beat, "force")));
    told.put("prepared", without(grant.prepared(), Message.number(beat, "keeps")));
    told.put("lists", Lists.of(sight));
    return told;
  }

  /** By which a voter has voted: with another one it might again. */
  private void learnsFolder(String voter, String folder) {
    Engine by = engine;
    if (!folder.isEmpty()
        && by != null
        && !sealing
        && register().sealOf(voter).isEmpty()
        && by.members().contains(voter)) {
      sealing = true;
      by.submit(Map.of("do", "seal", "voter", voter, "folder", folder))
          .orTimeout(5, TimeUnit.SECONDS)
          .whenComplete((answer, fault) -> loop.execute(() -> sealing = false));
    }
  }

  /** Of this voter's folder, for its router's beats; empty while it does not vote. */
  String folder() {
    return engine == null ? "" : papers.seal().id();
  }

  /** A text that the router has is not sent again with every beat. */
  private static Map<String, Object> without(Version version, long known) {
    Map<String, Object> told = Message.of(version);
    if (told != null && version.number() == known) {
      told.remove("text");
    }
    return told;
  }

  private Map<String, Object> status() {
    Map<String, Object> told = new LinkedHashMap<>();
    told.put("do", "status");
    told.put("leads", leads);
    Engine by = engine;
    Register register = register();
    told.put("standing", by == null ? "does not vote: " + waits : by.standing());
    told.put("charter", charter);
    told.put("members", by == null ? List.of() : by.members());
    told.put("fresh", by == null && papers.seal().members().isEmpty());
    synchronized (register) {
      told.put("changes", register.changes());
      told.put("force", Message.of(register.inForce()));
      told.put("prepared", Message.of(register.prepared()));
      told.put(
          "history",
          register.history().stream()
              .map(
                  chapter -> {
                    // Of the whole history only the latest contents: an answer is bounded.
                    Map<String, Object> line = Message.of(chapter);
                    if (chapter.version().number() < register.last() - KEPT_TEXTS) {
                      line.remove("text");
                    }
                    return line;
                  })
              .toList());
    }
    List<Map<String, Object>> peers = new ArrayList<>();
    for (Peer peer : leases.peers()) {
      Map<String, Object> line = new LinkedHashMap<>();
      line.put("name", peer.name);
      line.put("incarnation", peer.incarnation);
      line.put("lease_ms", Math.max(0, peer.leaseEnds.since(now()).micros() / 1_000));
      line.put("heard_ms_ago", now().since(peer.heard).micros() / 1_000);
      line.put("force", peer.inForce);
      line.put("keeps", peer.keepsTo);
      line.put("refusal", peer.refusal);
      Report report = census.said(peer.name);
      line.put("generation", report.at().generation());
      line.put("digest", Long.toHexString(report.digest()));
      line.put(
          "list",
          report.doubt() == Doubt.NONE
              ? census.verdictOn(peer.name, now(), register).name()
              : report.doubt().name());
      peers.add(line);
    }
    told.put("peers", peers);
    List<Map<String, Object>> parted = new ArrayList<>();
    for (Fork fork : census.forks(now())) {
      Map<String, Object> line = new LinkedHashMap<>();
      line.put("generation", fork.at().generation());
      line.put("holders", List.copyOf(fork.holders().values()));
      parted.add(line);
    }
    told.put("forks", parted);
    synchronized (register) {
      told.put("era", register.era());
      told.put("seats", register.seatsNumber());
      told.put(
          "moving",
          register.seats(-1).stream().filter(seat -> !seat.cleared()).map(Lists::of).toList());
    }
    return told;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    synchronized (papers) {
      if (engine != null) {
        engine.close();
      }
    }
  }
}
