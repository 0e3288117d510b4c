package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.ListAnomaly;
import basaltlever.membership.MembershipCoordinator;
import basaltlever.membership.MembershipCoordinator.ListFork;
import basaltlever.membership.MembershipUpdate;
import basaltlever.membership.VoterEligibility;
import basaltlever.membership.VoterEligibility.PeerStatus;
import basaltlever.membership.VoterEligibility.VoterIdentity;
import basaltlever.settings.LeaseGrant;
import basaltlever.settings.LeaseTable;
import basaltlever.settings.LeaseTable.Peer;
import basaltlever.settings.LeaseTable.Step;
import basaltlever.settings.SettingsVersion;
import basaltlever.settings.VersionRegister;
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
final class VoterServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(VoterServer.class);

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

  private final FleetSettings terms;
  private final EventLoop loop;
  private final LeaseTable leases;
  private final MembershipCoordinator census;
  private final String name;
  private final VoterStore papers;

  /** Null while it may not vote. */
  private volatile RaftNode engine;

  private volatile long charter;
  private volatile String waits = "";
  private volatile boolean closed;

  /** What a voter that may not vote tells of. */
  private final VersionRegister nothing = new VersionRegister();

  private boolean sealing;
  private final Channel listener;
  private int connections;
  private boolean leads;
  private boolean stepping;
  private boolean pulsing;
  private List<ListFork> forks = List.of();
  private final RateLimitedLog forksTold =
      new RateLimitedLog(LOG, Event.FLEET_FORK, VoterServer::now);

  VoterServer(FleetSettings terms, String name, EventLoop loop, VoterStore papers)
      throws Exception {
    this.terms = terms;
    this.name = name;
    this.loop = loop;
    this.papers = papers;
    leases = new LeaseTable(terms.lease(), 2 * DRIFT);
    census = new MembershipCoordinator(leases, terms.peers().keySet(), terms.assigned());
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
                    channel.pipeline().addLast(new ClientHandler());
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
        List<PeerStatus> told = othersTell();
        synchronized (papers) {
          if (engine == null && !closed) {
            VoterIdentity own = papers.seal();
            begin(
                VoterEligibility.of(
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

  private List<PeerStatus> othersTell() {
    List<PeerStatus> all = new ArrayList<>();
    Set<String> others = new LinkedHashSet<>(terms.voters().keySet());
    others.addAll(papers.voters());
    others.retainAll(terms.peers().keySet());
    others.remove(name);
    for (String other : others) {
      Map<String, Object> told = ask(other);
      if (told != null) {
        all.add(
            new PeerStatus(
                other,
                MessageCodec.number(told, "charter"),
                MessageCodec.texts(told, "members"),
                MessageCodec.text(told, "seal"),
                MessageCodec.flag(told, "fresh"),
                MessageCodec.flag(told, "leads")));
      }
    }
    return all;
  }

  /** Null where it does not answer soon. */
  private Map<String, Object> ask(String other) {
    try {
      Map<String, Object> told =
          AdminClient.ask(
              terms.peers().get(other),
              Map.of("do", "status", "fleet", terms.name(), "from", name),
              ANSWERS_MILLIS);
      return MessageCodec.text(told, "do").equals("status") ? told : null;
    } catch (IOException silent) {
      return null;
    }
  }

  private void begin(VoterEligibility standing) throws Exception {
    if (standing.kind() == VoterEligibility.Kind.WAIT) {
      if (!standing.why().equals(waits)) {
        waits = standing.why();
        Event.FLEET_STANDS.log(LOG, Level.WARN, "", "waits", waits);
      }
      return;
    }
    if (standing.kind() != VoterEligibility.Kind.RESUME) {
      papers.votes(standing.charter(), standing.members());
    }
    waits = "";
    charter = standing.charter();
    Files.createDirectories(papers.log(charter));
    engine =
        new RaftNode(
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
    RaftNode former = engine;
    engine = null;
    loop.execute(() -> leads(false));
    former.close();
    Event.FLEET_STANDS.log(
        LOG, Level.WARN, "", "retires", "a charter newer than " + charter + ", or taken out");
  }

  private VersionRegister register() {
    RaftNode by = engine;
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
      RaftNode former = engine;
      if (former == null) {
        return name + " does not vote: " + waits;
      }
      if (MessageCodec.number(command, "number") != charter + 1) {
        return "charter " + charter + " holds, so the next one is " + (charter + 1);
      }
      if (leads || !former.leader().isEmpty()) {
        return "a majority is there: " + (leads ? name : former.leader()) + " leads";
      }
      List<String> lost = MessageCodec.texts(command, "ended");
      for (String member : former.members()) {
        Map<String, Object> told = member.equals(name) ? null : ask(member);
        if (lost.contains(member) && told != null) {
          return member + " answers, so it is not ended";
        }
        if (!lost.contains(member) && !member.equals(name)) {
          if (told == null) {
            return member + " votes too: end it and name it, or bring it back";
          }
          if (MessageCodec.number(told, "changes") > former.register.changes()) {
            return member + " knows more: have it recover instead";
          }
        }
      }
      engine = null;
      former.close();
      VersionRegister register = former.register;
      synchronized (register) {
        register.recover(
            new TreeSet<>(lost),
            MessageCodec.text(command, "who"),
            MessageCodec.text(command, "why"),
            System.currentTimeMillis());
      }
      papers.begins(charter + 1, RaftNode.content(register));
      papers.votes(charter + 1, List.of(name));
      begin(new VoterEligibility(VoterEligibility.Kind.RESUME, charter + 1, List.of(name), ""));
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
    MembershipCoordinator.Step lists;
    Map<String, Object> command = new LinkedHashMap<>();
    VersionRegister register = register();
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
          SettingsVersion version = register.inForce();
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
    } else if (lists.kind() != MembershipCoordinator.Step.Kind.NOTHING) {
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
    List<ListFork> found = census.forks(now());
    if (!found.equals(forks)) {
      forks = found;
      found.forEach(fork -> forksTold.note(fork.at().generation(), "" + fork.holders().values()));
    }
  }

  private Map<String, Object> command(MembershipCoordinator.Step step) {
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
    command.put("seats", step.seats().stream().map(MembershipCodec::of).toList());
    return command;
  }

  private void submit(Map<String, Object> command) {
    RaftNode by = engine;
    if (by == null) {
      return;
    }
    stepping = true;
    by.submit(command)
        .orTimeout(5, TimeUnit.SECONDS)
        .whenComplete((answer, fault) -> loop.execute(() -> stepping = false));
  }

  /** One connection of a router or of an operator's command. */
  private final class ClientHandler extends FrameCodec {
    @Override
    void heard(ChannelHandlerContext from, Map<String, Object> message) {
      String name = MessageCodec.text(message, "from");
      if (!MessageCodec.text(message, "fleet").equals(terms.name())) {
        refuse(from, "this is fleet " + terms.name());
        return;
      }
      switch (MessageCodec.text(message, "do")) {
        case "beat" -> {
          if (!terms.peers().containsKey(name)) {
            refuse(from, name + " is no peer of fleet " + terms.name());
          } else if (MessageCodec.number(message, "charter") > charter && engine != null) {
            newer();
            send(from, Map.of("do", "follows"));
          } else if (leads && hasBegun()) {
            send(from, beat(name, message));
          } else {
            RaftNode by = engine;
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
      String voter = MessageCodec.text(message, "voter");
      boolean in = MessageCodec.flag(message, "in");
      RaftNode by = engine;
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
      RaftNode by = engine;
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
    LeaseGrant grant;
    MembershipUpdate sight;
    HeartbeatReport report = MembershipCodec.report(beat.get("lists"));
    VersionRegister register = register();
    synchronized (register) {
      grant =
          leases.beat(
              now(),
              name,
              MessageCodec.number(beat, "incarnation"),
              MessageCodec.number(beat, "beat"),
              MessageCodec.number(beat, "force"),
              MessageCodec.number(beat, "keeps"),
              MessageCodec.number(beat, "refused"),
              MessageCodec.text(beat, "refusal"),
              MessageCodec.flag(beat, "holds"),
              register);
      sight = census.beat(now(), name, report, register);
    }
    learnsFolder(name, MessageCodec.text(beat, "folder"));
    Map<String, Object> told = new HashMap<>();
    told.put("do", "grant");
    told.put("beat", grant.beat());
    told.put("lasts", grant.lasts().micros());
    told.put("changes", grant.changes());
    told.put("members", engine == null ? List.of() : engine.members());
    told.put("force", without(grant.inForce(), MessageCodec.number(beat, "force")));
    told.put("prepared", without(grant.prepared(), MessageCodec.number(beat, "keeps")));
    told.put("lists", MembershipCodec.of(sight));
    return told;
  }

  /** By which a voter has voted: with another one it might again. */
  private void learnsFolder(String voter, String folder) {
    RaftNode by = engine;
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
  private static Map<String, Object> without(SettingsVersion version, long known) {
    Map<String, Object> told = MessageCodec.of(version);
    if (told != null && version.number() == known) {
      told.remove("text");
    }
    return told;
  }

  private Map<String, Object> status() {
    Map<String, Object> told = new LinkedHashMap<>();
    told.put("do", "status");
    told.put("leads", leads);
    RaftNode by = engine;
    VersionRegister register = register();
    told.put("standing", by == null ? "does not vote: " + waits : by.standing());
    told.put("charter", charter);
    told.put("members", by == null ? List.of() : by.members());
    told.put("fresh", by == null && papers.seal().members().isEmpty());
    synchronized (register) {
      told.put("changes", register.changes());
      told.put("force", MessageCodec.of(register.inForce()));
      told.put("prepared", MessageCodec.of(register.prepared()));
      told.put(
          "history",
          register.history().stream()
              .map(
                  chapter -> {
                    // Of the whole history only the latest contents: an answer is bounded.
                    Map<String, Object> line = MessageCodec.of(chapter);
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
      HeartbeatReport report = census.said(peer.name);
      line.put("generation", report.at().generation());
      line.put("digest", Long.toHexString(report.digest()));
      line.put(
          "list",
          report.doubt() == ListAnomaly.NONE
              ? census.verdictOn(peer.name, now(), register).name()
              : report.doubt().name());
      peers.add(line);
    }
    told.put("peers", peers);
    List<Map<String, Object>> parted = new ArrayList<>();
    for (ListFork fork : census.forks(now())) {
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
          register.seats(-1).stream()
              .filter(seat -> !seat.cleared())
              .map(MembershipCodec::of)
              .toList());
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
