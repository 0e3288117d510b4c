package basaltlever.balancer;

import basaltlever.endpoints.PollSchedule;
import basaltlever.endpoints.PolledGroups;
import basaltlever.endpoints.PrimarySearch;
import basaltlever.endpoints.ReplicaSubset;
import basaltlever.endpoints.WarmCapacity;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.DecisionSink;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.gateway.Settings;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.hold.HoldBudget;
import basaltlever.model.DecayingValue;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.ReplicaGroup.Phase;
import basaltlever.model.SessionWrites;
import basaltlever.model.Statement;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/**
 * Every decision of one router; it shares nothing with others. Each event comes with the clock of
 * the batch, what is decided comes out through {@link DecisionSink}. Nodes and statements are small
 * indices of the caller's choice; a statement's is free again after its final answer and its last
 * execution's end. After each event the rules are gone through from the top until none fires;
 * docs/design.md tells their sources.
 */
public final class LoadBalancer {
  private static final Span SCAN = Span.ofMillis(10);
  private static final Span RAREST_POLL = Span.ofMillis(30_000);

  /** Rooms are looked over once a scan: a patience of less would be over before the second look. */
  private static final Span LEAST_PATIENCE = SCAN.times(3);

  private static final Span FASTEST_POLL = Span.ofMillis(100);
  private static final Span HOLD_POLL = Span.ofMillis(200);
  private static final Span FIRST_REPORT_AGE = Span.ofMillis(500);
  private static final Span LEAST_SILENCE = Span.ofMillis(150);
  private static final Span TRIAL = Span.ofMillis(500);
  static final Span FORGIVEN = Span.ofMillis(5_000);
  static final Span REMEMBERED = Span.ofMillis(15_000);
  static final Span SECOND = Span.ofMillis(1_000);
  private static final Span FIRST_BACKOFF = Span.ofMillis(250);
  private static final double POLL_POINTS = 0.005;
  private static final double LEARN = 0.1;
  private static final double COLD_SAFETY = 0.75;
  static final double COLD_BURST = 0.3;
  private static final int SESSIONS = 20_000;
  private static final double STRAINED = 0.24;
  private static final double HOPELESS = 0.8;
  private static final double BUSY = 0.9;
  private static final double FULLY_BUSY = 0.97;
  private static final double EAGER = 4;
  private static final double TOLERATED = 1.15;
  private static final double MOST_SHED = 0.95;
  private static final double FIRST_ROOM = 12;
  static final double LEAST_ROOM = 0.2;
  private static final double MOST_ROOM = 500;
  private static final double LEAST_CHANCE = 1.5;
  private static final double FOR_WRITES = 0.3;
  private static final double PATIENCE = 0.125;
  private static final double FAILING = 0.3;
  private static final double DEAR = 0.3;
  private static final double HELD = 0.48;
  private static final double LONG = 2;
  private static final double CROWDED = 0.2;
  private static final double UNUSUAL = 2.5;
  private static final int MOST_TRIALS = 2;
  private static final double UNTOLD_UTIL = 0.5;
  private static final int MOST_PREPARED = 16;

  /**
   * Statements a second of a group that is asked again and again: a second one while the first is
   * remembered.
   */
  private static final double REGULAR = 1.5 / REMEMBERED.over(SECOND);

  /** Reads choose among so many members at most; of a larger subset a part drawn for each. */
  private static final int MOST_CANDIDATES = 16;

  private static final Comparator<Statement> BY_IMPORTANCE =
      Comparator.comparingDouble((Statement statement) -> -statement.terms.importance())
          .thenComparingLong(statement -> statement.takenAt.micros())
          .thenComparingInt(statement -> statement.id);

  private static final Comparator<Endpoint> BY_RANK = Comparator.comparingInt(node -> node.rank);

  private record Rule(String name, BooleanSupplier when, Runnable then) {}

  private final DecisionSink outbound;
  private final SplittableRandom chance;
  Settings agreed;
  private double topImportance;
  private Span cadence;

  /** By their ids, which are small; null where none has that id. */
  final List<Endpoint> nodes = new ArrayList<>();

  /** Listed anew, or by other rules, and to be polled where their group is watched. */
  private final List<Endpoint> relisted = new ArrayList<>();

  private final Set<Endpoint> gone = new LinkedHashSet<>();
  private final PolledGroups watchedGroups = new PolledGroups();
  private final PollSchedule polls = new PollSchedule(SECOND.plus(SCAN));
  private boolean lookedAround;
  private String toldWatched = "";
  private final WarmCapacity warmCapacity = new WarmCapacity();
  final Map<Integer, ReplicaGroup> groups = new HashMap<>();
  private Statement[] statements = new Statement[256];
  private final List<Statement> open = new ArrayList<>();
  private final ArrayDeque<Statement> unplaced = new ArrayDeque<>();
  private final ArrayDeque<ReplicaGroup> changed = new ArrayDeque<>();
  private double[] typical = {};
  double typicalOfAll;
  private double usualStrain = 0.25;
  private double opening;
  private final DecayingValue scarce = new DecayingValue();
  private final SessionWrites sessions = new SessionWrites(SESSIONS);
  private final HoldBudget holds;

  Moment now;
  private Moment watchDue;
  private Moment askedAt = Moment.NEVER;
  private Span watchBackoff = FIRST_BACKOFF;
  private Moment scanDue = Moment.NEVER;
  private Moment changeDue = Moment.NEVER;
  private Moment wakeAt = Moment.NEVER;
  private int listing;

  private final Rule[] rules = {
    new Rule("ask for the list", () -> !now.isBefore(watchDue), this::askForList),
    new Rule("go on with planned changes", () -> !now.isBefore(changeDue), this::goOnWithChanges),
    new Rule("judge a group that changed", () -> !changed.isEmpty(), () -> judge(changed.poll())),
    new Rule("place a statement", () -> !unplaced.isEmpty(), () -> place(unplaced.poll())),
    new Rule("look over what is open", () -> !now.isBefore(scanDue), this::scan),
    new Rule("poll who is due", () -> !now.isBefore(polls.next()), this::pollDue),
    new Rule("ask to be woken", () -> nextWake().isBefore(wakeAt), this::wake),
  };

  /** What was learned, told and taken in. */
  public final LearnedStateTransfer recall = new LearnedStateTransfer(this);

  public LoadBalancer(
      DecisionSink outbound,
      SplittableRandom chance,
      Settings agreed,
      HoldBudget holds,
      Moment now) {
    this.outbound = outbound;
    this.chance = chance;
    this.holds = holds;
    agree(now, agreed);
    watchDue = agreed.drains().askedFor() ? now : Moment.NEVER;
    typicalOfAll = Arrays.stream(typical).average().orElse(0);
  }

  /**
   * From now on these hold instead of those before; workloads keep their places, new ones come
   * behind. What was taken keeps its terms, and of more executions than may be out the first goes
   * on.
   */
  public void agree(Moment at, Settings by) {
    now = at;
    agreed = by;
    typical =
        IntStream.range(0, by.workloads().length)
            .mapToDouble(
                kind ->
                    kind < typical.length
                        ? typical[kind]
                        : by.workloads()[kind].slo().micros() / 4.0)
            .toArray();
    topImportance =
        Arrays.stream(agreed.workloads()).mapToDouble(Workload::importance).max().orElse(1);
    Span tightest =
        Arrays.stream(agreed.workloads())
            .filter(kind -> kind.needs() == ReadConsistency.BOUNDED)
            .map(Workload::bound)
            .reduce(SECOND.times(4), Span::shorter);
    cadence =
        tightest
            .times(agreed.replication().replicasCheck() ? 0.5 : 0.25)
            .longer(FASTEST_POLL)
            .shorter(SECOND);
    for (Statement statement : open) {
      if (statement.out > 1 && !agreed.allowance().secondCopies()) {
        callOff(statement, statement.firstOut() + 1);
      }
    }
    // A member may be bound, or free, by the new rules; each is asked at once.
    nodes.stream().filter(Objects::nonNull).forEach(node -> relist(node, node.listing));
    pollRelisted();
  }

  Endpoint node(int id) {
    return id >= 0 && id < nodes.size() ? nodes.get(id) : null;
  }

  // ---- What the router hears.

  public void listBegins() {
    listing++;
  }

  public void listed(
      Moment at,
      int id,
      EndpointLifecycle state,
      int group,
      int zone,
      double size,
      Moment startedAt) {
    now = at;
    // All routers together start out on a node: what one may have out there is split by their
    // number.
    double room = Math.max(1, FIRST_ROOM / agreed.standing().routers());
    Endpoint node = node(id);
    if (node == null) {
      node = new Endpoint(id, room);
      while (nodes.size() <= id) {
        nodes.add(null);
      }
      nodes.set(id, node);
    }
    ReplicaGroup home = group(group);
    if (node.group != home) {
      if (node.group != null) {
        lose(node);
        leaveGroup(node);
      }
      node.group = home;
      home.members.add(node);
      if (node.claimed.isAfter(Moment.LONG_AGO)) {
        home.claimants.add(node);
      }
    }
    node.listedStart = startedAt;
    node.zone = zone;
    node.size = size > 0 && size < 1e9 ? size : 1;
    node.listedIn = listing;
    node.drainSeen =
        state == EndpointLifecycle.DRAINING || (node.drainSeen && state == EndpointLifecycle.GONE);
    starts(node, startedAt);
    relist(node, state);
  }

  private void leaveGroup(Endpoint node) {
    node.group.members.remove(node);
    node.group.claimants.remove(node);
    node.group.searching.remove(node);
    node.group.subsetStale = true;
  }

  /** A figure of the node that is the same at all routers and tells nothing of it. */
  public void ranked(int id, int rank) {
    nodes.get(id).rank = rank;
    nodes.get(id).group.subsetStale = true;
  }

  public void listEnds(Moment at, boolean complete, boolean answered) {
    now = at;
    for (int i = 0; complete && i < nodes.size(); i++) {
      Endpoint node = nodes.get(i);
      if (node != null && node.listedIn != listing && node.listing != EndpointLifecycle.GONE) {
        relist(node, EndpointLifecycle.GONE);
      }
    }
    forgetGone();
    watchGroups();
    pollRelisted();
    if (answered) {
      watchDue = askedAt = Moment.NEVER;
      watchBackoff = FIRST_BACKOFF;
    }
    settle();
  }

  private void forgetGone() {
    List<Endpoint> over = new ArrayList<>();
    gone.removeIf(
        node -> node.listing != EndpointLifecycle.GONE || (isOver(node) && over.add(node)));
    over.sort(Comparator.comparingInt(node -> node.id));
    for (Endpoint node : over) {
      nodes.set(node.id, null);
      leaveGroup(node);
      polls.remove(node);
      outbound.forget(node.id);
    }
  }

  /**
   * Where there is room for all groups, all are watched; else each router begins with others, so
   * that routers which start together don't ask the same servers.
   */
  private void watchGroups() {
    watchedGroups.recount().forEach(this::watchNoMore);
    if (relisted.isEmpty() || watchedGroups.admitAll(groups.values())) {
      return;
    }
    if (!lookedAround) {
      lookAround();
    }
  }

  /** Positions that are known were dated by a clock that was wrong: each has to be proven anew. */
  public void forgetPositions(Moment at) {
    now = at;
    for (Endpoint node : nodes) {
      if (node != null) {
        node.position = Moment.LONG_AGO;
      }
    }
  }

  /** To the log of whoever is on call, where it has changed. */
  public void reportWatched() {
    int listed = 0;
    for (Endpoint node : nodes) {
      listed += node != null && node.listing != EndpointLifecycle.GONE ? 1 : 0;
    }
    String told = watchedGroups.size() + " " + watchedGroups.members() + " " + listed;
    if (!told.equals(toldWatched)) {
      toldWatched = told;
      outbound.watched(watchedGroups.size(), watchedGroups.members(), listed);
    }
  }

  /**
   * A first look at a part of a long list, so that the first statements find some roles and open
   * connections.
   */
  private void lookAround() {
    lookedAround = true;
    List<ReplicaGroup> order =
        new ArrayList<>(new LinkedHashSet<>(relisted.stream().map(node -> node.group).toList()));
    Collections.rotate(order, -startPlace(order.size()));
    int looked = 0;
    for (ReplicaGroup group : order) {
      for (Endpoint member : inUse(group)) {
        if (looked++ < PolledGroups.FIRST_LOOK) {
          pollNow(member);
        }
      }
    }
  }

  /** Where this router begins among so many, the routers evenly apart. */
  private int startPlace(int count) {
    int routers = Math.max(1, agreed.standing().routers());
    return (int) ((long) (agreed.standing().index() % routers) * count / routers);
  }

  private void watchNoMore(ReplicaGroup group) {
    for (Endpoint member : inUse(group)) {
      if (!member.pollOut) {
        member.pollDue = Moment.NEVER;
        polls.update(member);
      }
    }
  }

  private void pollRelisted() {
    for (Endpoint node : relisted) {
      if (isWatched(node)) {
        pollNow(node);
      }
    }
    relisted.clear();
  }

  /**
   * Polled all the time: in a watched group, and of a large one only who is in this router's
   * subset.
   */
  private boolean isWatched(Endpoint node) {
    ReplicaGroup group = node.group;
    return group.watched
        && (group.members.size() <= ReplicaSubset.LEAST
            || node == group.primary
            || inUse(group).contains(node));
  }

  /** The members that this router sends reads to: all but in large groups. */
  private List<Endpoint> inUse(ReplicaGroup group) {
    return ReplicaSubset.of(
        group, now, agreed.standing().routers(), agreed.standing().index(), this::listedForUse);
  }

  /** Those to choose among for one read. */
  private List<Endpoint> candidates(ReplicaGroup group) {
    List<Endpoint> all = inUse(group);
    if (all.size() <= MOST_CANDIDATES) {
      return all;
    }
    int from = chance.nextInt(all.size());
    List<Endpoint> some = new ArrayList<>(MOST_CANDIDATES);
    for (int i = 0; i < MOST_CANDIDATES; i++) {
      some.add(all.get((from + i) % all.size()));
    }
    return some;
  }

  /**
   * The notice does not tell whether the watch still stands, so it is asked for anew in any case.
   */
  public void listFailed(Moment at) {
    now = at;
    if (agreed.drains().askedFor()) {
      // Some calls may fail within the 6 s in which news must be heard: pauses count from their
      // start.
      watchDue =
          now.earlier(askedAt).plus(watchBackoff.times(0.5 + chance.nextDouble())).later(now);
      watchBackoff =
          watchBackoff.times(2).shorter(SECOND).shorter(agreed.drains().mustAskIn().times(0.25));
    }
    settle();
  }

  /**
   * The session is 0 where there is none; committed is its last write where statements carry it.
   */
  public void taken(
      Moment at,
      int id,
      int workload,
      int group,
      long session,
      Moment clientLeaves,
      Moment committed,
      int bytes) {
    now = at;
    Workload terms = agreed.workloads()[workload];
    Moment mustSee =
        switch (terms.needs()) {
          case FRESH -> now;
          case SESSION ->
              agreed.replication().sessionsCarryTokens() ? committed : sessions.lastWrite(session);
          default -> Moment.LONG_AGO;
        };
    Statement statement =
        new Statement(
            id,
            workload,
            terms,
            group(group),
            session,
            now,
            clientLeaves,
            mustSee,
            agreed.allowance().executions(),
            chance.nextDouble(),
            bytes);
    statements = id < statements.length ? statements : Arrays.copyOf(statements, 2 * id);
    statements[id] = statement;
    open.add(statement);
    statement.group.rate.add(now, REMEMBERED, 1 / REMEMBERED.over(SECOND));
    if (!statement.group.watched && bearsPolls(statement.group)) {
      watchByTraffic(statement.group);
    }
    scanDue = scanDue.earlier(now.plus(SCAN));
    unplaced.add(statement);
    settle();
  }

  /** Asked again and again, so often that its statements pay for polls at the rarest. */
  private boolean bearsPolls(ReplicaGroup group) {
    double rate = group.rate.at(now, REMEMBERED);
    double perSecond =
        agreed.standing().pollPrice() <= 0
            ? rate
            : POLL_POINTS / agreed.standing().pollPrice() * rate / Math.max(1, inUse(group).size());
    return rate > REGULAR && perSecond * RAREST_POLL.over(SECOND) >= 1;
  }

  private void watchByTraffic(ReplicaGroup group) {
    watchedGroups
        .admitByTraffic(group, one -> one.rate.at(now, REMEMBERED))
        .forEach(this::watchNoMore);
    if (group.watched) {
      for (Endpoint member : inUse(group)) {
        member.pollDue =
            member.pollDue.earlier(now.plus(pollPeriod(member).times(chance.nextDouble())));
        polls.update(member);
      }
    }
  }

  public boolean needsFresh(int id) {
    return statements[id].terms.needs() == ReadConsistency.FRESH;
  }

  /** False where no such execution is out. */
  public boolean ended(
      Moment at,
      int id,
      int execution,
      AttemptOutcome ending,
      Role role,
      Moment position,
      boolean answered) {
    now = at;
    Statement statement = statements[id];
    if (statement == null || execution >= statement.executions || !statement.isOut[execution]) {
      return false;
    }
    Endpoint node = statement.nodes[execution];
    Moment sent = statement.sentAt[execution];
    statement.ends(execution);
    node.out--;
    if (ending.answered) {
      node.idle++;
      node.usedAt = now;
      scarce.move(now, REMEMBERED, statement.opens[execution] ? LEARN : 0, 0);
    } else if (ending == AttemptOutcome.NO_CONNECTION
        && now.since(sent).isShorterThan(FASTEST_POLL)) {
      node.refusedAt = now;
    }
    if (scarce.at(now, REMEMBERED) > 0.2 && node.out == 0 && node.idle > 0) {
      // Hundreds of routers that keep idle connections shut each other out of nodes that could
      // serve.
      node.idle = 0;
      outbound.letGo(node.id);
    }
    if (statement.opens[execution] && (ending == AttemptOutcome.COMPLETED || !ending.answered)) {
      opening += LEARN * (now.since(sent).micros() - typical[statement.workload] - opening);
    }
    learnHealth(node, statement, ending, now.since(sent));
    learnRole(node, statement, ending, role, sent);
    learnPosition(node, statement, ending, position);
    if (!ending.provesNotRun) {
      statement.mayHaveRun = true;
      statement.firstMayHaveRun = statement.firstMayHaveRun.earlier(sent);
    }
    statement.misses += ending == AttemptOutcome.MISS ? 1 : 0;
    judgeError(statement, execution, ending);
    if (!statement.terms.onlyPrimary()
        && (ending == AttemptOutcome.MISS || ending == AttemptOutcome.COMPLETED)) {
      Span allowed = statement.allowedLag(sent);
      sight(
          node,
          ending == AttemptOutcome.MISS
              ? allowed.times(2).longer(lag(node))
              : allowed.shorter(lag(node)));
    }
    if (answered && !statement.finished) {
      finish(statement);
    }
    if (!statement.finished && statement.out == 0 && !statement.queued) {
      unplaced.add(statement);
    }
    if (!node.group.waiting.isEmpty() || !node.group.held.isEmpty()) {
      change(node.group);
    }
    settle();
    return true;
  }

  /**
   * Share of its cores that is busy, and statements that wait: not a number where a report lacks
   * them.
   */
  public void polled(
      Moment at,
      int id,
      AttemptOutcome ending,
      Role role,
      Moment position,
      double util,
      double queue) {
    now = at;
    Endpoint node = nodes.get(id);
    node.pollOut = false;
    if (ending == AttemptOutcome.NO_DESCRIPTOR) {
      // Nothing is known of the node by it: asked again when the next poll would be due.
      node.pollDue = isWatched(node) ? now.plus(pollPeriod(node).longer(SECOND)) : Moment.NEVER;
    } else if (ending == AttemptOutcome.COMPLETED) {
      up(node);
      // Whoever has statements waiting has no core to spare; how many cores it has is not told.
      node.tellsCores = util >= 0;
      node.util =
          util >= 0 && util <= 2
              ? Math.min(1, util)
              : queue >= 0 ? queue < 0.5 ? UNTOLD_UTIL : 1 : node.util;
      Span reportAge = node.group.reportAge;
      boolean sane = position.isAfter(Moment.LONG_AGO) && !position.isAfter(now);
      if (sane) {
        node.position = node.position.later(position);
        sight(node, now.since(position).minus(reportAge));
      }
      if (role == Role.PRIMARY) {
        // A primary stands at the present, so the position in its report dates the claim.
        claims(node, sane ? position : node.pollSent);
        Span age = sane ? now.since(position).shorter(RAREST_POLL) : reportAge;
        node.group.reportAge = reportAge.times(0.9).longer(age);
      } else if (role == Role.REPLICA) {
        // The report may be older than an answer that said primary.
        node.denied = node.denied.later(node.pollSent.minus(reportAge));
        node.deposed = false;
      }
    } else if (ending == AttemptOutcome.FULL) {
      // Too many ask it at once: no sign of a loss, but one to ask less.
      node.heard = node.group.heard = true;
      node.pollDue = now.plus(pollPeriod(node).longer(HOLD_POLL).times(1 + chance.nextDouble()));
    } else {
      pollMissed(node, ending == AttemptOutcome.NO_CONNECTION || ending == AttemptOutcome.RESET);
    }
    polls.update(node);
    change(node.group);
    settle();
  }

  public void clientLeft(Moment at, int id) {
    now = at;
    Statement statement = statements[id];
    if (statement != null && !statement.finished) {
      finish(statement);
    }
    settle();
  }

  /** Its client waits no longer: refused where that is proven to be harmless, else it failed. */
  public void timeIsOver(Moment at, int id) {
    now = at;
    Statement statement = statements[id];
    if (statement != null && !statement.finished) {
      giveUp(statement, false, RejectReason.OVERDUE);
    }
    settle();
  }

  public void woken(Moment at) {
    now = at;
    wakeAt = now.isBefore(wakeAt) ? wakeAt : Moment.NEVER;
    settle();
  }

  private void settle() {
    for (int i = 0; i < rules.length; ) {
      if (rules[i].when().getAsBoolean()) {
        rules[i].then().run();
        i = 0;
      } else {
        i++;
      }
    }
  }

  // ---- The member list.

  private void askForList() {
    outbound.watch();
    askedAt = now;
    watchDue = now.plus(agreed.drains().mustAskIn().times(0.5));
  }

  void relist(Endpoint node, EndpointLifecycle state) {
    node.listing = state;
    node.group.subsetStale = true;
    relisted.add(node);
    if (state == EndpointLifecycle.GONE) {
      gone.add(node);
    }
    if (!listedForUse(node)) {
      lose(node);
    }
    change(node.group);
  }

  /**
   * Nothing new goes to it from the moment the list says so; the grace is for what is on its way.
   */
  boolean listedForUse(Endpoint node) {
    return node.listing == EndpointLifecycle.READY
        || (node.listing == EndpointLifecycle.GONE
            && !agreed.drains().removalBinds()
            && !node.drainSeen);
  }

  // Kept for all time, each choice would go through all there ever were; till then it may be listed
  // again.
  private boolean isOver(Endpoint node) {
    return node.listing == EndpointLifecycle.GONE
        && !listedForUse(node)
        && node.out == 0
        && warmth(node) >= 1
        && now.since(node.pollSent).isLongerThan(REMEMBERED);
  }

  private ReplicaGroup group(int number) {
    return groups.computeIfAbsent(
        number,
        n ->
            new ReplicaGroup(
                n,
                now,
                FIRST_REPORT_AGE,
                BY_IMPORTANCE,
                holds.group(agreed.workloads().length),
                outbound));
  }

  // ---- The phases of a group: who is primary, and the hold.

  private void change(ReplicaGroup group) {
    if (!group.changed) {
      group.changed = true;
      changed.add(group);
    }
  }

  /**
   * A sign that the primary is lost: what needs one is held from here on, and asks every member.
   */
  private void lose(Endpoint node) {
    ReplicaGroup group = node.group;
    if (group.primary != node) {
      return;
    }
    group.phase = Phase.HOLD;
    group.holdSince = now;
    group.lost = node;
    group.primary = null;
    group.searchCursor = 0;
    group.searchFrom = Moment.LONG_AGO;
    outbound.primary(group.number, node.id, false);
    change(group);
  }

  // Everyone is asked at once, then ever more rarely where the router has little traffic to pay for
  // it. A
  // router for which nothing waits asks nobody: it finds the primary in a round trip once something
  // does.
  private void askAround(ReplicaGroup group) {
    if (!group.watched || group.members.size() > ReplicaSubset.LEAST) {
      search(group);
      return;
    }
    for (Endpoint member : group.members) {
      pollWithin(
          member,
          now.since(group.holdSince)
              .shorter(pollPeriod(member).times(0.5))
              .shorter(SECOND)
              .longer(HOLD_POLL));
    }
  }

  /**
   * A few members at a time, where polling all of them would cost more than the traffic of the
   * group.
   */
  private void search(ReplicaGroup group) {
    Span pause = now.since(group.holdSince).shorter(SECOND).longer(HOLD_POLL);
    PrimarySearch.next(group, now, pause, startPlace(group.members.size()), this::mayBePrimary)
        .forEach(node -> pollWithin(node, HOLD_POLL));
  }

  /** One that has just said that it is none need not be asked, but while its group elects. */
  private boolean mayBePrimary(Endpoint node) {
    boolean denied =
        node.denied.isAfter(node.claimed) && now.since(node.denied).isShorterThan(REMEMBERED);
    return listedForUse(node)
        && !(denied && node.group.lost == null && node.group.searchRounds == 0);
  }

  private void claims(Endpoint node, Moment at) {
    if (!node.claimed.isAfter(Moment.LONG_AGO)) {
      node.group.claimants.add(node);
    }
    node.claimed = node.claimed.later(at);
  }

  private void judge(ReplicaGroup group) {
    if (group.primary != null && group.primary.denied.isAfter(group.primary.claimed)) {
      lose(group.primary);
    }
    follow(group);
    group.changed = false;
    Endpoint claimant = null;
    for (Endpoint member :
        group.members.size() > ReplicaSubset.LEAST ? group.claimants : group.members) {
      boolean fresh =
          member.claimed.isAfter(member.denied)
              && (member != group.lost || member.claimed.isAfter(group.holdSince));
      // A group without reads has no other trial than a write: the silence would never be seen to
      // end.
      boolean heard = !member.silent || now.since(member.silentSince).isLongerThan(FORGIVEN);
      // One that was replaced and comes back goes on claiming: no proof while its successor stands.
      boolean past = (member.deposed && group.primary != null) || group.change.bars(member.id);
      if (fresh
          && listedForUse(member)
          && !member.down
          && heard
          && !past
          && (claimant == null || member.claimed.isAfter(claimant.claimed))) {
        claimant = member;
      }
    }
    if ((group.phase == Phase.HOLD && claimant != null)
        || (group.primary != null
            && claimant != null
            && claimant != group.primary
            && claimant.claimed.since(group.primary.claimed).isLongerThan(FIRST_REPORT_AGE))) {
      Endpoint former = group.primary != null ? group.primary : group.lost;
      if (former != null) {
        former.deposed = true;
      }
      group.phase = Phase.STEADY;
      group.foundAt = now;
      group.searchRounds = 0;
      group.searchCursor = 0;
      group.primary = claimant;
      claimant.deposed = false;
      group.lost = null;
      outbound.primary(group.number, claimant.id, true);
    }
    // In order, as far as the primary has room: the rest stays where it is.
    for (Statement top = group.held.first();
        top != null && (isOverdue(top) || primaryFor(top) != null);
        top = group.held.first()) {
      takeOut(top);
      place(top);
    }
    List<Statement> due = new ArrayList<>(group.waiting.size());
    while (!group.waiting.isEmpty()) {
      due.add(group.waiting.poll());
    }
    for (Statement statement : due) {
      statement.queued = false;
      place(statement);
    }
    if (group.phase == Phase.HOLD
        && !group.held.isEmpty()
        && (!group.watched || group.members.size() > ReplicaSubset.LEAST)) {
      search(group);
    }
  }

  private void takeOut(Statement held) {
    held.queued = false;
    held.group.held.remove(held);
  }

  /** A member's word on a planned change of its group's primary; false where it changes nothing. */
  public boolean announced(
      Moment at, int member, long number, int target, Moment from, boolean off) {
    now = at;
    ReplicaGroup group = node(member).group;
    int named = node(target).group == group ? target : PlannedSwitchover.NOBODY;
    boolean told = group.change.told(now, number, named, from, off);
    change(group);
    settle();
    return told;
  }

  private void goOnWithChanges() {
    changeDue = Moment.NEVER;
    groups.values().forEach(this::change);
  }

  // Its phases are in Change; what they mean for the hold, polls and connections is here.
  private void follow(ReplicaGroup group) {
    PlannedSwitchover change = group.change;
    Endpoint target = node(change.target());
    change.step(
        now,
        group.primary == null ? PlannedSwitchover.NOBODY : group.primary.id,
        target != null && target.group == group && listedForUse(target) && !target.down);
    changeDue = changeDue.earlier(change.due());
    if (group.primary != null && change.bars(group.primary.id)) {
      lose(group.primary);
    } else if (change.phase() == PlannedSwitchover.Phase.PREPARATION && group.primary != null) {
      // A cold one bears no more than one at a time.
      outbound.prepare(
          target.id,
          warmth(target) < 1 ? 1 : Math.min(MOST_PREPARED, group.primary.out + group.primary.idle));
    }
    if (change.watches()) {
      inUse(group).forEach(member -> pollWithin(member, HOLD_POLL));
      if (target != null && target.group == group) {
        pollWithin(target, HOLD_POLL);
      }
    }
  }

  // ---- Placing a statement.

  private void place(Statement statement) {
    if (statement.finished) {
      return;
    }
    ReplicaGroup group = statement.group;
    RejectReason refusal = refusal(statement);
    if (refusal != null) {
      if (statement.out == 0) {
        giveUp(
            statement,
            group.phase == Phase.HOLD
                && statement.terms.onlyPrimary()
                && mayTryElsewhere(statement),
            refusal);
      }
      return;
    }
    Endpoint node = statement.terms.onlyPrimary() ? primaryFor(statement) : readerFor(statement);
    if (node != null) {
      execute(statement, node);
    } else if (statement.out == 0) {
      statement.queued = true;
      if (statement.terms.onlyPrimary()) {
        group.held.add(statement);
        for (Statement over = holds.beyond(group.held, statement.workload);
            over != null;
            over = holds.beyond(group.held, statement.workload)) {
          takeOut(over);
          giveUp(over, false, RejectReason.HOLD_FULL);
        }
      } else {
        group.waiting.add(statement);
      }
      if (group.phase == Phase.HOLD) {
        askAround(group);
      }
    }
  }

  /** Why the statement is not sent now or later; null where it may be. */
  private RejectReason refusal(Statement statement) {
    if (isOverdue(statement)) {
      return RejectReason.OVERDUE;
    }
    if (!mayRunAgain(statement, statement.out) || statement.errors > 1) {
      return RejectReason.NO_ATTEMPT_LEFT;
    }
    DecayingValue jam =
        statement.terms.onlyPrimary() ? statement.group.primaryJam : statement.group.jam;
    return isShed(statement, jam) ? RejectReason.SHED : null;
  }

  // Where busy nodes answer late, more only keeps it so: the more of a group's reads were late, the
  // more it
  // sheds, the less important first. The primary counts apart, or its jam kept reads off idle
  // replicas.
  private boolean isShed(Statement statement, DecayingValue jam) {
    double share = statement.terms.importance() / topImportance;
    double sent = (TOLERATED + share / 4) * Math.pow(1 - jam.at(now, REMEMBERED), 3);
    return statement.executions == 0
        && statement.terms.needs() != ReadConsistency.WRITE
        && chance.nextDouble() < Math.min(MOST_SHED, 1 - sent);
  }

  private Endpoint primaryFor(Statement statement) {
    Endpoint primary = statement.group.primary;
    if (primary == null || !isUsable(primary, statement)) {
      return null;
    }
    if (statement.terms.onlyPrimary()) {
      return hasRoom(primary, 1) ? primary : null;
    }
    ReplicaGroup group = statement.group;
    boolean outranked =
        !group.held.isEmpty()
            || (!group.waiting.isEmpty()
                && BY_IMPORTANCE.compare(group.waiting.peek(), statement) < 0);
    // Hundreds of routers, each with room for one, would leave it none for what only it may take.
    if (now.since(primary.pollSent).isLongerThan(TRIAL)) {
      pollNow(primary);
    }
    boolean told =
        (!primary.pollOut && now.isBefore(primary.pollDue)) || !agreed.allowance().polls();
    boolean spare = told && statement.luck < EAGER * (FULLY_BUSY - primary.util);
    return spare && hasRoom(primary, 1 - FOR_WRITES) && !outranked ? primary : null;
  }

  // Less busy of two replicas proven new enough; else of two that check and were new enough when
  // last seen;
  // else the one that was least behind; else the primary. One that loses what it is given comes
  // last: a
  // path may be bad for this router alone while the node serves the others and answers polls.
  private Endpoint readerFor(Statement statement) {
    ReplicaGroup group = statement.group;
    Span allowed = statement.allowedLag(now);
    boolean checks = agreed.replication().replicasCheck() && statement.misses < 2;
    Endpoint first = null;
    Endpoint second = null;
    Endpoint advanced = null;
    boolean fits = false;
    int out = 0;
    int best = 16;
    int seen = 0;
    Endpoint burdened = burdened(statement);
    if (burdened != null
        && statement.terms.needs() == ReadConsistency.ANY
        && isLong(statement.workload)) {
      return burdened;
    }
    for (Endpoint member : candidates(group)) {
      if (member.down && !group.watched) {
        // Polled by nobody else: whether it is back is asked when it is missed.
        pollWithin(member, retryPause(member));
      }
      if (member == group.primary || statement.wasSentTo(member) || !isUsable(member, statement)) {
        continue;
      }
      out += member.out;
      boolean proven = !now.since(member.position).isLongerThan(allowed);
      if (!proven && !(checks && !lag(member).isLongerThan(allowed))) {
        advanced = advanced == null || lag(member).isShorterThan(lag(advanced)) ? member : advanced;
        continue;
      }
      fits = true;
      int tier =
          (avoids(member) || (!group.watched && !isConnected(member)) ? 1 : 0)
              + (proven ? 0 : 2)
              + (member == burdened ? 4 : 0)
              + (failing(member) < FAILING ? 0 : 8);
      // A cold one is drawn as often as it is warm: by busyness a light router would never choose
      // it.
      if (!hasRoom(member, 1) || tier > best || chance.nextDouble() >= warmth(member)) {
        continue;
      }
      seen = tier < best ? 1 : seen + 1;
      best = tier;
      int slot = seen < 3 ? seen - 1 : chance.nextInt(seen);
      first = slot == 0 ? member : first;
      second = seen == 1 ? null : slot == 1 ? member : second;
    }
    if (first != null
        && avoids(first)
        && out > 0
        && now.since(statement.takenAt)
            .isShorterThan(statement.terms.slo().times(0.8 * PATIENCE))) {
      // One of its connections will be free before a new one would stand.
      return null;
    }
    if (first != null) {
      // Without a little chance all routers would break their ties alike, towards the first listed.
      double slightly = 0.95 + 0.1 * chance.nextDouble();
      return second == null || busyness(first) * slightly < busyness(second) ? first : second;
    }
    widenSubset(group);
    // Far behind, it would keep the read for a while only to turn it away.
    if (!fits && checks && advanced != null && !lag(advanced).isLongerThan(allowed.times(2))) {
      return hasRoom(advanced, 1) ? advanced : null;
    }
    return primaryFor(statement);
  }

  /**
   * No member in use has room for a read: more of a large group are taken into use, for a while.
   */
  private void widenSubset(ReplicaGroup group) {
    if (group.members.size() > ReplicaSubset.LEAST
        && now.since(group.widenedAt).isLongerThan(HOLD_POLL)) {
      group.widenedAt = now;
      ReplicaSubset.widen(group, agreed.standing().routers());
    }
  }

  /**
   * What any member may answer, yet takes far longer than most: its node applies no log meanwhile.
   */
  private boolean isLong(int workload) {
    return agreed.workloads()[workload].needs() == ReadConsistency.ANY
        && typical[workload] > LONG * typicalOfAll;
  }

  // Spread out, long statements would keep every replica of a group from applying the log. All
  // routers know
  // the same order of its members, so they agree without a word on who bears them: the first that
  // is not
  // crowded, out of the first half.
  private Endpoint burdened(Statement statement) {
    Endpoint primary = statement.group.primary;
    List<Endpoint> able = List.of();
    for (int kind = 0; kind < typical.length && able.isEmpty(); kind++) {
      able =
          !isLong(kind)
              ? able
              : inUse(statement.group).stream()
                  .filter(
                      member ->
                          member != primary
                              && isUsable(member, statement)
                              && failing(member) < FAILING)
                  .sorted(BY_RANK)
                  .toList();
    }
    Endpoint bears = null;
    for (Endpoint member : able.subList(0, Math.max(Math.min(1, able.size()), able.size() / 2))) {
      if (!statement.wasSentTo(member)
          && (bears == null
              || (strain(bears) > usualStrain + CROWDED && strain(member) < strain(bears)))) {
        bears = member;
      }
    }
    return bears;
  }

  // How far behind a replica was when last seen, fading: no proof, but it tells which to ask where
  // its own
  // check keeps a stale answer back. Less the age of reports, or late ones make all look equally
  // behind.
  Span lag(Endpoint node) {
    return new Span((long) node.lag.at(now, FORGIVEN));
  }

  void sight(Endpoint node, Span lag) {
    node.lag.set(now, (double) Math.max(0, lag.micros()));
  }

  private boolean isUsable(Endpoint node, Statement statement) {
    boolean onTrial =
        node.out == 0
            && !now.since(node.silentSince.later(node.triedAt))
                .isShorterThan(TRIAL.times(1 << node.trials));
    // A list may name what does not exist: who never said a word gets nothing where another member
    // did.
    return listedForUse(node)
        && !node.down
        && (node.heard || !node.group.heard || !node.wasContacted())
        && !now.isBefore(node.restsUntil)
        && (!node.silent || onTrial)
        && (warmth(node) >= 1
            || coldAllows(node, typical[statement.workload])
            || isFirstToCold(node, statement));
  }

  private boolean isConnected(Endpoint node) {
    return now.since(node.usedAt).isShorterThan(agreed.connections().idleClose())
        && agreed.connections().hasRoom(node.out, node.idle);
  }

  /**
   * Where new connections cost much time, or fail, one that is open is worth more than a choice.
   */
  private boolean avoids(Endpoint node) {
    return !isConnected(node) && opening > DEAR * typicalOfAll;
  }

  private double busyness(Endpoint node) {
    double crossing = agreed.standing().isPricedTo(node.zone) ? 1.3 : 1;
    return (node.out + 1)
        * strain(node)
        * (1 + 2 * node.util * node.util)
        * (1 + 10 * failing(node))
        * crossing
        / node.size;
  }

  private void execute(Statement statement, Endpoint node) {
    Workload terms = statement.terms;
    Span timeout = Span.NONE;
    if (terms.lateShare() < 0.5 && terms.repeat() == Idempotency.IDEMPOTENT) {
      // Even where late is worth a little, a queue of what is late would make all others late.
      timeout = statement.takenAt.plus(terms.slo().times(1 + 2 * terms.lateShare())).since(now);
    }
    // Where only one may be out, what a node loses is found out early enough to try another: reads
    // where
    // it is known to lose some, writes that may run again after twice as long.
    double usual = typical[statement.workload];
    boolean write =
        terms.repeat() == Idempotency.DEDUPLICATED
            && terms.within() != Workload.DeduplicationScope.ZONE;
    Span early = new Span((long) (usual * (write ? 2 * UNUSUAL : UNUSUAL)));
    boolean suspect = node.silent || failing(node) >= FAILING;
    if (!agreed.allowance().secondCopies()
        && (write || (terms.repeat() == Idempotency.IDEMPOTENT && suspect))
        && now.plus(early)
            .plus(new Span((long) (LEAST_CHANCE * usual)))
            .isBefore(statement.takenAt.plus(terms.slo()))
        && (!write
            || statement
                .mayHaveRunSince()
                .earlier(now)
                .plus(terms.window())
                .isAfter(now.plus(early)))) {
      timeout = early;
    }
    Moment within = write ? statement.mayHaveRunSince().plus(terms.window()) : Moment.NEVER;
    boolean opens = !isConnected(node);
    node.idle = opens ? 0 : node.idle - 1;
    statement.sentTo(node, now, opens);
    if (node.silent) {
      // Each trial that fails costs a statement, or an execution: the next one waits twice as long.
      node.trials = Math.min(MOST_TRIALS, node.trials + 1);
      node.triedAt = now;
    }
    node.triedFirst = true;
    if (node.out++ == 0) {
      node.owesSince = now;
    }
    if (warmth(node) < 1) {
      node.coldWork = coldLevel(node) + typical[statement.workload];
      node.coldAt = now;
      node.coldUntried = false;
    }
    // A connection may have to be opened first: later, no proof covers the bound and no window a
    // repeat.
    boolean proven =
        terms.needs() == ReadConsistency.BOUNDED
            && !agreed.replication().replicasCheck()
            && node != statement.group.primary;
    outbound.execute(
        statement.id, node.id, timeout, proven ? node.position.plus(terms.bound()) : within);
  }

  // ---- Further executions and final answers.

  /** How often by importance; whether at all by what an earlier execution may have done. */
  private boolean mayRunAgain(Statement statement, int stillOut) {
    int spare = statement.nodes.length - 2;
    double share = statement.terms.importance() / topImportance;
    int most = Math.min(statement.nodes.length, 2 + (int) Math.ceil(spare * share));
    return statement.executions < most
        && switch (statement.terms.repeat()) {
          case IDEMPOTENT -> stillOut == 0 || agreed.allowance().secondCopies();
          case NON_IDEMPOTENT -> !statement.mayHaveRun && statement.out == 0;
          case DEDUPLICATED ->
              statement.terms.within() != Workload.DeduplicationScope.ZONE
                  ? (stillOut == 0 || agreed.allowance().secondCopies())
                      && now.isBefore(statement.mayHaveRunSince().plus(statement.terms.window()))
                  : !statement.mayHaveRun && statement.out == 0;
        };
  }

  private boolean isOverdue(Statement statement) {
    Moment end = statement.clientLeaves.minus(agreed.allowance().answerSlack());
    if (statement.terms.lateShare() <= 0) {
      end = end.earlier(statement.takenAt.plus(statement.terms.slo()));
    }
    if (statement.out == 0) {
      // Sent with less time than its work takes, it would only load a node that is behind already.
      // At
      // most half the SLO time: with nothing admitted the response time would never be seen to
      // fall.
      end =
          end.minus(
              new Span((long) (LEAST_CHANCE * typical[statement.workload]))
                  .shorter(statement.terms.slo().times(0.5)));
      Span held = statement.clientLeaves.since(statement.takenAt).times(HELD);
      end = mayTryElsewhere(statement) ? end.earlier(statement.takenAt.plus(held)) : end;
      if (statement.group.phase == Phase.STEADY
          && statement.terms.needs() != ReadConsistency.WRITE) {
        // Any longer for room would leave too little of the SLO time for the work itself. What a
        // node
        // kept for a while, to turn away or lose it, is past that already, yet has a turn
        // elsewhere.
        double share = statement.misses > 0 || statement.mayHaveRun ? 0.75 : PATIENCE;
        Moment since =
            statement.terms.onlyPrimary()
                ? statement.takenAt.later(statement.group.foundAt)
                : statement.takenAt;
        end = end.earlier(since.plus(statement.terms.slo().times(share).longer(LEAST_PATIENCE)));
      }
    }
    return !now.isBefore(end);
  }

  // Held for most of its time with nothing sent, its client would have too little left to try
  // elsewhere.
  // Not where a late answer is worth most of one in time: there the end of a hold is waited for.
  private boolean mayTryElsewhere(Statement statement) {
    return statement.executions == 0 && statement.terms.lateShare() <= 0.5;
  }

  private void giveUp(Statement statement, boolean mayReturnAtOnce, RejectReason why) {
    boolean harmless =
        statement.terms.repeat() == Idempotency.IDEMPOTENT
            || (!statement.mayHaveRun && statement.out == 0)
            || (statement.terms.repeat() == Idempotency.DEDUPLICATED
                && statement.terms.within() == Workload.DeduplicationScope.ALL);
    finish(statement);
    if (harmless) {
      // In a hold it may come back at once: only what is held is released in order to a new
      // primary.
      double share = mayReturnAtOnce ? 0 : 0.75 + 0.25 * chance.nextDouble();
      outbound.reject(statement.id, agreed.allowance().longestComeBack().times(share), why);
    } else {
      outbound.abort(statement.id);
    }
  }

  private void finish(Statement statement) {
    statement.finished = true;
    if (statement.queued && statement.terms.onlyPrimary()) {
      takeOut(statement);
    }
    callOff(statement, 0);
  }

  private void callOff(Statement statement, int from) {
    for (int i = from; statement.out > 0 && i < statement.executions; i++) {
      if (statement.isOut[i] && agreed.allowance().cancels()) {
        outbound.cancel(statement.id, i);
      }
    }
  }

  /**
   * Only what is open is looked at: a large fleet gone over this often would cost more than
   * traffic.
   */
  private void scan() {
    boolean copies = agreed.allowance().secondCopies();
    for (int i = open.size() - 1; i >= 0; i--) {
      Statement statement = open.get(i);
      boolean stuck = statement.out > 0;
      for (int k = 0; statement.out > 0 && k < statement.executions; k++) {
        if (statement.isOut[k]) {
          Endpoint node = statement.nodes[k];
          noteSilence(node, statement, statement.sentAt[k]);
          // A trial has its own time: called off with the rest, none would ever end a silence.
          stuck &=
              node.down
                  || (node.silent && (copies || !statement.sentAt[k].isAfter(node.silentSince)));
        }
      }
      if (statement.finished) {
        Collections.swap(open, i, open.size() - 1);
        open.remove(open.size() - 1);
        // Anybody may name groups that nobody has listed.
        ReplicaGroup named = statement.group;
        if (named.members.isEmpty() && groups.remove(named.number, named)) {
          holds.forget(named.held);
        } else if (named.subsetExtra > 0 && now.since(named.widenedAt).isLongerThan(REMEMBERED)) {
          ReplicaSubset.narrow(named);
        }
      } else if (statement.queued) {
        change(statement.group);
        if (statement.terms.onlyPrimary() && isOverdue(statement)) {
          takeOut(statement);
          unplaced.add(statement);
        }
      } else if (stuck && mayRunAgain(statement, copies ? statement.out : 0)) {
        // Waiting on nodes that answer nobody: another execution elsewhere may still be in time.
        if (copies) {
          unplaced.add(statement);
        } else {
          callOff(statement, 0);
        }
      }
    }
    scanDue = open.isEmpty() ? Moment.NEVER : now.plus(SCAN);
  }

  /**
   * What commonly takes long tells of a silence only late, and what was sent just now of none yet.
   */
  private void noteSilence(Endpoint node, Statement statement, Moment sent) {
    double usual = typical[statement.workload] * Math.max(1, strain(node) / usualStrain);
    Span patience =
        new Span((long) (usual * (2 + 4.0 / Math.max(1, node.out)))).longer(LEAST_SILENCE);
    if (!node.silent && now.since(node.owesSince.later(sent)).isLongerThan(patience)) {
      pollNow(node);
      fallSilent(node);
    }
  }

  void fallSilent(Endpoint node) {
    node.silent = true;
    node.silentSince = now;
    node.group.subsetStale = true;
    lose(node);
  }

  // ---- Health: what executions and polls tell.

  double failing(Endpoint node) {
    return node.failing.at(now, REMEMBERED);
  }

  private double strain(Endpoint node) {
    return usualStrain + node.strained.at(now, FORGIVEN);
  }

  /**
   * The rarer the answers, the more each must count, or a router with little traffic learns too
   * late.
   */
  private double weight(Moment last) {
    return Math.min(0.5, Math.max(LEARN, 1 - Math.exp(-now.since(last).micros() / 2e6)));
  }

  private void fail(Endpoint node, double how) {
    node.failing.move(now, REMEMBERED, weight(node.failing.since()), how);
  }

  private void learnHealth(Endpoint node, Statement statement, AttemptOutcome ending, Span took) {
    switch (ending) {
      case NEVER_SENT, UNKNOWN -> {}
      case FULL -> {
        // A hanging node with a full queue does so at once: no sign of life, and burns executions.
        node.fullInRow = Math.min(5, node.fullInRow + 1);
        node.restsUntil = now.plus(new Span((long) (typicalOfAll * (1 << node.fullInRow) / 2)));
        if (now.since(node.cutAt).isLongerThan(new Span((long) typicalOfAll))) {
          node.room = Math.max(LEAST_ROOM, 0.7 * Math.min(node.room, node.out + 1));
          node.cutAt = now;
        }
      }
      case COMPLETED, ERROR, MISS -> {
        node.fullInRow = 0;
        up(node);
        node.silent = false;
        node.trials = 0;
        node.owesSince = now;
        if (ending != AttemptOutcome.ERROR) {
          fail(node, 0);
        }
      }
      case RESET, NO_CONNECTION -> {
        fail(node, 1);
        goDown(node);
      }
      case NO_DESCRIPTOR -> {
        // Told by the state of this router, and of no node.
        return;
      }
      case CANCELLED -> node.ghosts.set(now, ghosts(node) + 1);
      case TIMED_OUT -> {
        node.ghosts.set(now, ghosts(node) + 1);
        if (!node.owesSince.isAfter(now.minus(took))) {
          // Nothing came back since: lost, where a node that answers others is but slow.
          fail(node, 1);
        }
        learnStrain(node, statement, took);
        pollNow(node);
      }
    }
    boolean late = !took.isShorterThan(statement.terms.slo().times(0.9));
    boolean untold = !node.tellsCores && now.since(node.pollSent).isLongerThan(SECOND.times(2));
    if (late && now.since(node.pollSent).isLongerThan(SECOND)) {
      pollNow(node);
    }
    boolean jammed = (late && (node.util > BUSY || untold)) || ending == AttemptOutcome.FULL;
    if ((jammed || (ending == AttemptOutcome.COMPLETED && !late))
        && statement.terms.needs() != ReadConsistency.WRITE) {
      DecayingValue jam = node == node.group.primary ? node.group.primaryJam : node.group.jam;
      jam.move(now, REMEMBERED, weight(jam.since()), jammed ? 1 : 0);
    }
    if (ending == AttemptOutcome.COMPLETED) {
      learnStrain(node, statement, took);
      typical[statement.workload] += LEARN / 4 * (took.micros() - typical[statement.workload]);
      typicalOfAll += LEARN / 4 * (took.micros() - typicalOfAll);
      // Only what was answered shows what a node can bear; what is sent may be a storm of retries.
      node.borne.add(now, FORGIVEN, typical[statement.workload]);
    }
    node.owesSince = node.out == 0 ? Moment.NEVER : node.owesSince;
    if (node.room < 1) {
      // Room for less than one execution at a time: a pause after each one makes up for the rest.
      node.ghosts.set(now, Math.max(ghosts(node), 1 / node.room - 1));
    }
  }

  // Strain is response time over SLO time. Room, the executions this router may have out at a node,
  // shrinks
  // where it is strained and its cores are busy; past the hopeless mark always, as timed-out work
  // goes on.
  private void learnStrain(Endpoint node, Statement statement, Span took) {
    double latest = Math.min(5, took.over(statement.terms.slo()));
    double strain = strain(node) + weight(node.strained.since()) * (latest - strain(node));
    usualStrain += LEARN / 4 * (strain - usualStrain);
    node.strained.set(now, strain - usualStrain);
    if (Math.min(strain, latest) > (node.util > BUSY ? STRAINED : HOPELESS)) {
      node.room = Math.max(LEAST_ROOM, node.room - Math.min(0.3, 0.1 * node.room));
    } else if (node.out + 1 > 0.7 * node.room && strain < 1.5 * STRAINED) {
      double step = node.util < BUSY ? 0.5 : 1 / Math.max(2, node.room);
      node.room = Math.min(MOST_ROOM, node.room + step);
    }
  }

  /**
   * What was given up on may still run in its node: it takes up room for about as long as work
   * takes.
   */
  private double ghosts(Endpoint node) {
    return node.ghosts.at(now, new Span((long) typicalOfAll));
  }

  private boolean hasRoom(Endpoint node, double share) {
    return node.out + ghosts(node) < node.room * share;
  }

  // An error may be the node's or the statement's own. What erred once and then went through shows
  // that the
  // node failed; what errs at a second node, neither known to fail, is held to be worthless
  // anywhere and no
  // node blamed. Wrong where several nodes begin to fail at once, until some statement has gone
  // through.
  private void judgeError(Statement statement, int execution, AttemptOutcome ending) {
    if (ending == AttemptOutcome.ERROR) {
      statement.erred[execution] = true;
      statement.errors += failing(statement.nodes[execution]) < FAILING ? 1 : 0;
    } else if (ending == AttemptOutcome.COMPLETED) {
      for (int i = 0; statement.errors > 0 && i < statement.executions; i++) {
        if (statement.erred[i]) {
          fail(statement.nodes[i], 1);
        }
      }
    }
  }

  private void learnRole(
      Endpoint node, Statement statement, AttemptOutcome ending, Role role, Moment sent) {
    if (ending == AttemptOutcome.MISS && statement.terms.needs() == ReadConsistency.WRITE) {
      // It turns writes away before it stops calling itself primary: believed at once, every such
      // claim
      // cost what was held one more execution.
      node.denied = now.plus(SECOND);
    } else if (role == Role.PRIMARY) {
      // Answers can overtake each other: counted from the sending, a claim undoes no later denial.
      claims(node, sent);
    } else if (role == Role.REPLICA) {
      node.denied = node.denied.later(now);
    }
    node.deposed &= role != Role.REPLICA;
    if (node.denied.isAfter(node.claimed)) {
      lose(node);
    }
  }

  private void learnPosition(
      Endpoint node, Statement statement, AttemptOutcome ending, Moment position) {
    boolean wrote =
        ending == AttemptOutcome.COMPLETED && statement.terms.needs() == ReadConsistency.WRITE;
    if (position.isAfter(Moment.LONG_AGO) && !position.isAfter(now)) {
      // A commit comes rounded up to its millisecond, which is too new for a position.
      node.position = node.position.later(wrote ? position.minus(Span.ofMillis(1)) : position);
      sight(node, now.since(position));
    }
    if (wrote && !agreed.replication().sessionsCarryTokens()) {
      sessions.wrote(statement.session, position.isAfter(Moment.LONG_AGO) ? position : now);
    }
  }

  void goDown(Endpoint node) {
    node.downSince = node.down ? node.downSince : now;
    node.group.subsetStale |= !node.down;
    node.down = true;
    pollNow(node);
    lose(node);
  }

  private void up(Endpoint node) {
    node.heard = node.group.heard = true;
    node.pollMisses = 0;
    if (now.since(node.refusedAt).isShorterThan(SECOND)) {
      // It refused a connection at once and yet answers: at its limit, not gone. One shows nothing:
      // some always break, and letting go for it opened a connection for every second execution.
      node.refusedAt = Moment.LONG_AGO;
      scarce.move(now, REMEMBERED, 2 * LEARN, 1);
    }
    if (node.down && now.since(node.downSince).isLongerThan(SECOND)) {
      // The list tells of a restart only seconds later.
      starts(node, now);
    }
    node.down = false;
  }

  /**
   * One execution of each router at once would topple a node, so each waits a random part of its
   * share.
   */
  void starts(Endpoint node, Moment at) {
    if (at.isAfter(node.startedAt)) {
      node.startedAt = at;
      node.coldWork = chance.nextDouble() * typicalOfAll;
      node.coldUntried = true;
      node.coldAt = now;
    }
  }

  // Polls may go unanswered where the node serves: what it answered lately counts for more, and it
  // stays
  // open to a trial, or a router that polls rarely would do without it for long.
  private void pollMissed(Endpoint node, boolean refused) {
    node.pollMisses++;
    boolean serves = now.since(node.usedAt).isShorterThan(SECOND.times(2));
    if (refused) {
      goDown(node);
    } else if (node.pollMisses > 1 && !serves && !node.silent) {
      fallSilent(node);
    }
    boolean asksAgain = isWatched(node) || node.pollMisses == 1;
    node.pollDue =
        !asksAgain
            ? Moment.NEVER
            : now.plus(refused || node.pollMisses > 1 ? retryPause(node) : FASTEST_POLL);
  }

  private Span retryPause(Endpoint node) {
    return HOLD_POLL.times(1 << Math.min(7, node.pollMisses)).shorter(pollPeriod(node));
  }

  // ---- Cold nodes.

  double warmth(Endpoint node) {
    return agreed.warmUp().at(now.since(node.startedAt));
  }

  double coldLevel(Endpoint node) {
    double faded = coldRate(node) * (1 - COLD_BURST) * now.since(node.coldAt).over(SECOND);
    return Math.max(0, node.coldWork - faded);
  }

  // The work a second that this router may add to a cold node: what warm members bear from it is
  // its share
  // of what a node can do. Where a whole group is cold, the warm nodes of the others are the
  // yardstick.
  double coldRate(Endpoint node) {
    double perSize = warmRate(inUse(node.group));
    double borne =
        (perSize > 0 ? perSize : warmCapacity.perSize(nodes, this::isWarm, this::bornePerSecond))
            * node.size;
    return Math.max(
        COLD_SAFETY * agreed.warmUp().topplesAt() * warmth(node) * borne,
        typicalOfAll / agreed.warmUp().topplesIn().over(SECOND) / agreed.standing().routers());
  }

  private double warmRate(Collection<Endpoint> among) {
    double sum = 0;
    double size = 0;
    for (Endpoint node : among) {
      if (isWarm(node)) {
        sum += bornePerSecond(node);
        size += node.size;
      }
    }
    return size == 0 ? 0 : sum / size;
  }

  private boolean isWarm(Endpoint node) {
    return listedForUse(node) && !node.down && warmth(node) >= 1;
  }

  private double bornePerSecond(Endpoint node) {
    return node.borne.at(now, FORGIVEN) / FORGIVEN.over(SECOND);
  }

  /**
   * A statement that has just come, where this router has sent nothing to the server since its
   * start. Routers with little traffic each would wait for longer than the server takes to warm up
   * before their shares added up to one statement. What arrives is spread over time by itself;
   * thinned, its sum stays within the budget. What has waited is not: all routers may have some,
   * and would send it at once.
   */
  private boolean isFirstToCold(Endpoint node, Statement statement) {
    if (!node.coldUntried || statement.executions > 0 || !statement.takenAt.equals(now)) {
      return false;
    }
    double share =
        statement.terms.onlyPrimary()
            ? COLD_SAFETY * agreed.warmUp().topplesAt() * warmth(node)
            : warmth(node);
    return chance.nextDouble() < share;
  }

  private boolean coldAllows(Endpoint node, double work) {
    double burst = coldRate(node) * COLD_BURST * agreed.warmUp().topplesIn().over(SECOND);
    return coldLevel(node) <= 0 || coldLevel(node) + work <= burst;
  }

  // ---- Polls and waking.

  private void pollNow(Endpoint node) {
    pollWithin(node, FASTEST_POLL);
  }

  private void pollWithin(Endpoint node, Span sinceTheLast) {
    node.pollDue = node.pollDue.earlier(node.pollSent.plus(sinceTheLast).later(now));
    polls.update(node);
  }

  private void pollDue() {
    for (Endpoint node : polls.takeDue(now)) {
      if ((node.listing == EndpointLifecycle.GONE && !listedForUse(node))
          || !agreed.allowance().polls()) {
        node.pollOut = false;
        node.pollDue = Moment.NEVER;
        continue;
      }
      if (node.pollOut && now.since(node.pollSent).isLongerThan(SECOND)) {
        node.pollOut = false;
        pollMissed(node, false);
      }
      if (!node.pollOut && !now.isBefore(node.pollDue)) {
        poll(node);
      } else {
        polls.update(node);
      }
    }
  }

  void poll(Endpoint node) {
    node.pollOut = true;
    node.pollSent = now;
    node.pollDue =
        isWatched(node)
            ? now.plus(pollPeriod(node).times(0.75 + 0.5 * chance.nextDouble()))
            : Moment.NEVER;
    polls.update(node);
    outbound.poll(node.id);
  }

  // Often enough to show replicas inside the tightest bound, as far as the polls bear a price that
  // goes
  // with what this router itself has to send: then all routers together stay below it, however
  // many.
  private Span pollPeriod(Endpoint node) {
    if (agreed.standing().pollPrice() <= 0) {
      return cadence;
    }
    double rate = node.group.rate.at(now, REMEMBERED) / Math.max(1, inUse(node.group).size());
    double perSecond = POLL_POINTS / agreed.standing().pollPrice() * rate;
    return Span.ofMillis(1_000 / Math.max(1e-3, perSecond)).longer(cadence).shorter(RAREST_POLL);
  }

  private Moment nextWake() {
    return watchDue.earlier(scanDue).earlier(polls.next()).earlier(changeDue);
  }

  private void wake() {
    wakeAt = nextWake();
    outbound.wake(wakeAt.since(now));
  }
}
