package basaltlever.balancer;

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
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.ReplicaGroup.Phase;
import basaltlever.model.Statement;
import basaltlever.model.StatementArrival;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Every decision of one router; it shares nothing with others. Each event comes with the clock of
 * the batch, what is decided comes out through {@link DecisionSink}. Nodes and statements are small
 * indices of the caller's choice; a statement's is free again after its final answer and its last
 * execution's end. After each event the rules are gone through from the top until none fires;
 * docs/design.md tells their sources.
 */
public final class LoadBalancer {

  /** Rooms are looked over once a scan: a patience of less would be over before the second look. */
  private static final Span LEAST_PATIENCE = Timing.SCAN_INTERVAL.times(3);

  static final Span FORGIVEN = Span.ofMillis(5_000);
  static final Span REMEMBERED = Span.ofMillis(15_000);
  static final Span SECOND = Span.ofMillis(1_000);
  private static final Span FIRST_BACKOFF = Span.ofMillis(250);
  private static final double TOLERATED = 1.15;
  private static final double MOST_SHED = 0.95;
  private static final double LEAST_CHANCE = 1.5;
  private static final double PATIENCE = 0.125;
  private static final double HELD = 0.48;
  private static final double UNUSUAL = 2.5;

  private record Rule(String name, BooleanSupplier when, Runnable then) {}

  final DecisionContext context;
  final ServiceTimes serviceTimes;
  private final GroupSubsets subsets;
  final EndpointTable table;
  final SlowStart slowStart;
  final PollScheduler polls;
  private final EvaluationQueue evaluations;
  private final PrimaryTracker primaries;
  private final ConnectionUse connections;
  private final CongestionTracker congestion;
  final EndpointHealth health;
  final ReplicaFreshness freshness;
  private final EndpointModules endpointModules;
  private final PrimarySelector primarySelector;
  private final ReplicaSelector replicaSelector;
  private final PollResults pollResults;
  private final GroupPolling groupPolling;
  private final DecisionSink outbound;
  private final SplittableRandom chance;
  Settings agreed;

  private final Set<Endpoint> gone = new LinkedHashSet<>();
  private Statement[] statements = new Statement[256];
  private final List<Statement> open = new ArrayList<>();
  private final ArrayDeque<Statement> unplaced = new ArrayDeque<>();
  private final HoldBudget holds;

  Moment now;
  private Moment watchDue;
  private Moment askedAt = Moment.NEVER;
  private Span watchBackoff = FIRST_BACKOFF;
  private Moment scanDue = Moment.NEVER;
  private Moment wakeAt = Moment.NEVER;
  private int listing;

  private final Rule[] rules;

  /** What was learned, told and taken in. */
  public final LearnedStateTransfer learnedState = new LearnedStateTransfer(this);

  public LoadBalancer(
      DecisionSink outbound,
      SplittableRandom chance,
      Settings agreed,
      HoldBudget holds,
      Moment start) {
    this.outbound = outbound;
    this.chance = chance;
    this.holds = holds;
    context = new DecisionContext(outbound, chance, agreed, start);
    endpointModules = new EndpointModules(context, holds);
    serviceTimes = endpointModules.serviceTimes;
    subsets = endpointModules.subsets;
    table = endpointModules.table;
    slowStart = endpointModules.slowStart;
    polls = endpointModules.polls;
    groupPolling = endpointModules.groupPolling;
    evaluations = endpointModules.evaluations;
    primaries = endpointModules.primaries;
    connections = endpointModules.connections;
    congestion = endpointModules.congestion;
    health = endpointModules.health;
    freshness = endpointModules.freshness;
    pollResults = endpointModules.pollResults;
    EndpointUsability usability = new EndpointUsability(context, slowStart);
    primarySelector = new PrimarySelector(context, usability, health, polls);
    replicaSelector =
        new ReplicaSelector(
            endpointModules,
            usability,
            new LongReadPlacement(context, serviceTimes, subsets, usability, health),
            primarySelector);
    rules =
        new Rule[] {
          new Rule("ask for the list", () -> !now.isBefore(watchDue), this::askForList),
          new Rule(
              "go on with planned changes",
              () -> !now.isBefore(primaries.nextSwitchoverStepAt()),
              primaries::advanceSwitchovers),
          new Rule(
              "judge a group that changed",
              () -> !evaluations.isEmpty(),
              () -> evaluate(evaluations.next())),
          new Rule("place a statement", () -> !unplaced.isEmpty(), () -> dispatch(unplaced.poll())),
          new Rule("look over what is open", () -> !now.isBefore(scanDue), this::scan),
          new Rule(
              "poll who is due",
              () -> !now.isBefore(polls.nextAt()),
              () -> polls.sendDue(node -> health.recordMissedPoll(node, false))),
          new Rule("ask to be woken", () -> nextWake().isBefore(wakeAt), this::wake),
        };
    agree(start, agreed);
    watchDue = agreed.drains().askedFor() ? now : Moment.NEVER;
  }

  /**
   * From now on these hold instead of those before; workloads keep their places, new ones come
   * behind. What was taken keeps its terms, and of more executions than may be out the first goes
   * on.
   */
  public void agree(Moment at, Settings by) {
    advanceTo(at);
    agreed = by;
    context.applySettings(at, by);
    serviceTimes.applySettings(by.workloads());
    polls.applySettings();
    for (Statement statement : open) {
      if (statement.attemptsInFlight() > 1 && !agreed.allowance().secondCopies()) {
        cancelAttempts(statement, statement.firstInFlight() + 1);
      }
    }
    // A member may be bound, or free, by the new rules; each is asked at once.
    table.endpoints().stream()
        .filter(Objects::nonNull)
        .forEach(node -> relist(node, node.lifecycle()));
    groupPolling.pollRelisted();
  }

  void advanceTo(Moment at) {
    now = at;
    context.advanceTo(at);
  }

  public void listStarted() {
    listing++;
  }

  public void endpointListed(
      Moment at,
      int id,
      EndpointLifecycle state,
      int group,
      int zone,
      double size,
      Moment startedAt) {
    advanceTo(at);
    // All routers together start out on a node: what one may have out there is split by their
    // number.
    double room = health.initialCapacity();
    Endpoint node = table.endpoint(id);
    if (node == null) {
      node = new Endpoint(id, room);
      table.add(node);
    }
    ReplicaGroup home = table.group(group);
    if (node.group() != home) {
      if (node.group() != null) {
        primaries.lose(node);
        leaveGroup(node);
      }
      node.assignTo(home);
      home.addMember(node);
    }
    node.updateListing(zone, size > 0 && size < 1e9 ? size : 1, startedAt, listing);
    node.setWasDraining(
        state == EndpointLifecycle.DRAINING
            || (node.wasDraining() && state == EndpointLifecycle.GONE));
    slowStart.recordStart(node, startedAt);
    relist(node, state);
  }

  private void leaveGroup(Endpoint node) {
    node.group().removeMember(node);
  }

  /** A figure of the node that is the same at all routers and tells nothing of it. */
  public void ringOrderKnown(int id, int rank) {
    table.endpoint(id).setRingOrder(rank);
    table.endpoint(id).group().subset().markStale();
  }

  public void listFinished(Moment at, boolean complete, boolean answered) {
    advanceTo(at);
    for (int i = 0; complete && i < table.endpoints().size(); i++) {
      Endpoint node = table.endpoint(i);
      if (node != null
          && node.listGeneration() != listing
          && node.lifecycle() != EndpointLifecycle.GONE) {
        relist(node, EndpointLifecycle.GONE);
      }
    }
    forgetGone();
    groupPolling.chooseGroups();
    groupPolling.pollRelisted();
    if (answered) {
      watchDue = askedAt = Moment.NEVER;
      watchBackoff = FIRST_BACKOFF;
    }
    settle();
  }

  private void forgetGone() {
    List<Endpoint> over = new ArrayList<>();
    gone.removeIf(
        node -> node.lifecycle() != EndpointLifecycle.GONE || (isOver(node) && over.add(node)));
    over.sort(Comparator.comparingInt(node -> node.id()));
    for (Endpoint node : over) {
      table.remove(node);
      leaveGroup(node);
      polls.remove(node);
      outbound.forget(node.id());
    }
  }

  /** Positions that are known were dated by a clock that was wrong: each has to be proven anew. */
  public void forgetPositions(Moment at) {
    advanceTo(at);
    for (Endpoint node : table.endpoints()) {
      if (node != null) {
        node.replication().forgetPosition();
      }
    }
  }

  /**
   * The notice does not tell whether the watch still stands, so it is asked for anew in any case.
   */
  public void listCallFailed(Moment at) {
    advanceTo(at);
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
  public void statementReceived(
      Moment at,
      int id,
      int workload,
      int group,
      long session,
      Moment clientLeaves,
      Moment committed,
      int bytes) {
    advanceTo(at);
    Workload terms = agreed.workloads()[workload];
    Moment mustSee = freshness.requiredPosition(terms, session, committed);
    Statement statement =
        new Statement(
            id,
            new StatementArrival(workload, terms, session, now, clientLeaves, mustSee, bytes),
            table.group(group),
            agreed.allowance().executions(),
            chance.nextDouble());
    statements = id < statements.length ? statements : Arrays.copyOf(statements, 2 * id);
    statements[id] = statement;
    open.add(statement);
    groupPolling.statementArrived(statement.group());
    scanDue = scanDue.earlier(now.plus(Timing.SCAN_INTERVAL));
    unplaced.add(statement);
    settle();
  }

  public boolean needsFresh(int id) {
    return statements[id].workload().needs() == ReadConsistency.FRESH;
  }

  /** Reports to on-call how much of the list is polled regularly, where that has changed. */
  public void reportPolledGroups() {
    groupPolling.report();
  }

  /** False where no such execution is out. */
  public boolean attemptEnded(
      Moment at,
      int id,
      int execution,
      AttemptOutcome ending,
      Role role,
      Moment position,
      boolean answered) {
    advanceTo(at);
    Statement statement = statements[id];
    if (statement == null
        || execution >= statement.attempts()
        || !statement.isInFlight(execution)) {
      return false;
    }
    Endpoint node = statement.endpoint(execution);
    Moment sent = statement.sentAt(execution);
    statement.endAttempt(execution);
    node.load().attemptEnded();
    connections.recordAttempt(node, statement, execution, ending);
    health.recordAttempt(node, statement, ending, now.since(sent));
    primaries.recordAttempt(node, statement, ending, role, sent);
    freshness.recordPosition(node, statement, ending, position);
    if (!ending.provesNotRun) {
      statement.recordPossibleRun(sent);
    }
    if (ending == AttemptOutcome.MISS) {
      statement.recordStaleAnswer();
    }
    health.recordError(statement, execution, ending);
    freshness.recordOutcome(node, statement, ending, sent);
    if (answered && !statement.isFinished()) {
      finish(statement);
    }
    if (!statement.isFinished() && statement.attemptsInFlight() == 0 && !statement.isQueued()) {
      unplaced.add(statement);
    }
    if (!node.group().waitingReads().isEmpty() || !node.group().held().isEmpty()) {
      evaluations.add(node.group());
    }
    settle();
    return true;
  }

  /**
   * Share of its cores that is busy, and statements that wait: not a number where a report lacks
   * them.
   */
  public void pollEnded(
      Moment at,
      int id,
      AttemptOutcome ending,
      Role role,
      Moment position,
      double util,
      double queue) {
    advanceTo(at);
    Endpoint node = table.endpoint(id);
    if (ending == AttemptOutcome.COMPLETED) {
      pollResults.recordReport(node, role, position, util, queue);
    } else {
      pollResults.recordFailure(node, ending);
    }
    evaluations.add(node.group());
    settle();
  }

  public void clientDisconnected(Moment at, int id) {
    advanceTo(at);
    Statement statement = statements[id];
    if (statement != null && !statement.isFinished()) {
      finish(statement);
    }
    settle();
  }

  /** Its client waits no longer: refused where that is proven to be harmless, else it failed. */
  public void deadlinePassed(Moment at, int id) {
    advanceTo(at);
    Statement statement = statements[id];
    if (statement != null && !statement.isFinished()) {
      giveUp(statement, false, RejectReason.OVERDUE);
    }
    settle();
  }

  public void timerFired(Moment at) {
    advanceTo(at);
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
    node.setLifecycle(state);
    node.group().subset().markStale();
    groupPolling.endpointRelisted(node);
    if (state == EndpointLifecycle.GONE) {
      gone.add(node);
    }
    if (!context.isListedForUse(node)) {
      primaries.lose(node);
    }
    evaluations.add(node.group());
  }

  // Kept for all time, each choice would go through all there ever were; till then it may be listed
  // again.
  private boolean isOver(Endpoint node) {
    return node.lifecycle() == EndpointLifecycle.GONE
        && !context.isListedForUse(node)
        && node.load().inFlight() == 0
        && slowStart.warmUpShare(node) >= 1
        && now.since(node.polling().sentAt()).isLongerThan(REMEMBERED);
  }

  // ---- The phases of a group: who is primary, and the hold.

  private void evaluate(ReplicaGroup group) {
    primaries.evaluate(group);
    // In order, as far as the primary has room: the rest stays where it is.
    for (Statement top = group.held().first();
        top != null && (isOverdue(top) || primarySelector.select(top) != null);
        top = group.held().first()) {
      takeOut(top);
      dispatch(top);
    }
    List<Statement> due = new ArrayList<>(group.waitingReads().size());
    while (!group.waitingReads().isEmpty()) {
      due.add(group.waitingReads().poll());
    }
    for (Statement statement : due) {
      statement.setQueued(false);
      dispatch(statement);
    }
    primaries.continueSearch(group);
  }

  private void takeOut(Statement held) {
    held.setQueued(false);
    held.group().held().remove(held);
  }

  /** A member's word on a planned change of its group's primary; false where it changes nothing. */
  public boolean switchoverAnnounced(
      Moment at, int member, long number, int target, Moment from, boolean off) {
    advanceTo(at);
    boolean told = primaries.recordAnnouncement(member, number, target, from, off);
    settle();
    return told;
  }

  // ---- Placing a statement.

  private void dispatch(Statement statement) {
    if (statement.isFinished()) {
      return;
    }
    ReplicaGroup group = statement.group();
    RejectReason refusal = refusal(statement);
    if (refusal != null) {
      if (statement.attemptsInFlight() == 0) {
        giveUp(
            statement,
            group.phase() == Phase.HOLD
                && statement.workload().onlyPrimary()
                && mayTryElsewhere(statement),
            refusal);
      }
      return;
    }
    Endpoint node =
        statement.workload().onlyPrimary()
            ? primarySelector.select(statement)
            : replicaSelector.select(statement);
    if (node != null) {
      execute(statement, node);
    } else if (statement.attemptsInFlight() == 0) {
      statement.setQueued(true);
      if (statement.workload().onlyPrimary()) {
        group.held().add(statement);
        for (Statement over = holds.nextToReject(group.held(), statement.workloadIndex());
            over != null;
            over = holds.nextToReject(group.held(), statement.workloadIndex())) {
          takeOut(over);
          giveUp(over, false, RejectReason.HOLD_FULL);
        }
      } else {
        group.waitingReads().add(statement);
      }
      if (group.phase() == Phase.HOLD) {
        primaries.pollForPrimary(group);
      }
    }
  }

  /** Why the statement is not sent now or later; null where it may be. */
  private RejectReason refusal(Statement statement) {
    if (isOverdue(statement)) {
      return RejectReason.OVERDUE;
    }
    if (!mayRunAgain(statement, statement.attemptsInFlight())
        || statement.unexplainedErrors() > 1) {
      return RejectReason.NO_ATTEMPT_LEFT;
    }
    return isShed(statement) ? RejectReason.SHED : null;
  }

  // Where busy nodes answer late, more only keeps it so: the more of a group's reads were late, the
  // more it
  // sheds, the less important first. The primary counts apart, or its jam kept reads off idle
  // replicas.
  private boolean isShed(Statement statement) {
    double share = context.priorityShare(statement.workload());
    double sent = (TOLERATED + share / 4) * Math.pow(1 - congestion.congestion(statement), 3);
    return statement.attempts() == 0
        && statement.workload().needs() != ReadConsistency.WRITE
        && chance.nextDouble() < Math.min(MOST_SHED, 1 - sent);
  }

  private void execute(Statement statement, Endpoint node) {
    Workload terms = statement.workload();
    Span timeout = Span.NONE;
    if (terms.lateShare() < 0.5 && terms.repeat() == Idempotency.IDEMPOTENT) {
      // Even where late is worth a little, a queue of what is late would make all others late.
      timeout =
          statement.receivedAt().plus(terms.slo().times(1 + 2 * terms.lateShare())).since(now);
    }
    // Where only one may be out, what a node loses is found out early enough to try another: reads
    // where
    // it is known to lose some, writes that may run again after twice as long.
    double usual = serviceTimes.typicalMicros(statement.workloadIndex());
    boolean write =
        terms.repeat() == Idempotency.DEDUPLICATED
            && terms.within() != Workload.DeduplicationScope.ZONE;
    Span early = new Span((long) (usual * (write ? 2 * UNUSUAL : UNUSUAL)));
    boolean suspect = node.health().isSilent() || health.isOutlier(node);
    if (!agreed.allowance().secondCopies()
        && (write || (terms.repeat() == Idempotency.IDEMPOTENT && suspect))
        && now.plus(early)
            .plus(new Span((long) (LEAST_CHANCE * usual)))
            .isBefore(statement.receivedAt().plus(terms.slo()))
        && (!write
            || statement
                .mayHaveRunSince()
                .earlier(now)
                .plus(terms.window())
                .isAfter(now.plus(early)))) {
      timeout = early;
    }
    Moment within = write ? statement.mayHaveRunSince().plus(terms.window()) : Moment.NEVER;
    boolean opens = !connections.isConnected(node);
    statement.startAttempt(node, now, opens);
    if (node.health().isSilent()) {
      // Each trial that fails costs a statement, or an execution: the next one waits twice as long.
      node.health().recordTrial(now);
    }
    node.load().attemptStarted(now, opens);
    slowStart.chargeAttempt(node, statement);
    // A connection may have to be opened first: later, no proof covers the bound and no window a
    // repeat.
    boolean proven =
        terms.needs() == ReadConsistency.BOUNDED
            && !agreed.replication().replicasCheck()
            && node != statement.group().primary();
    outbound.execute(
        statement.id(),
        node.id(),
        timeout,
        proven ? node.replication().provenPosition().plus(terms.bound()) : within);
  }

  // ---- Further executions and final answers.

  /** How often by importance; whether at all by what an earlier execution may have done. */
  private boolean mayRunAgain(Statement statement, int stillOut) {
    int spare = statement.maxAttempts() - 2;
    double share = context.priorityShare(statement.workload());
    int most = Math.min(statement.maxAttempts(), 2 + (int) Math.ceil(spare * share));
    return statement.attempts() < most
        && switch (statement.workload().repeat()) {
          case IDEMPOTENT -> stillOut == 0 || agreed.allowance().secondCopies();
          case NON_IDEMPOTENT -> !statement.mayHaveRun() && statement.attemptsInFlight() == 0;
          case DEDUPLICATED ->
              statement.workload().within() != Workload.DeduplicationScope.ZONE
                  ? (stillOut == 0 || agreed.allowance().secondCopies())
                      && now.isBefore(
                          statement.mayHaveRunSince().plus(statement.workload().window()))
                  : !statement.mayHaveRun() && statement.attemptsInFlight() == 0;
        };
  }

  private boolean isOverdue(Statement statement) {
    Moment end = statement.clientDeadline().minus(agreed.allowance().answerSlack());
    if (statement.workload().lateShare() <= 0) {
      end = end.earlier(statement.receivedAt().plus(statement.workload().slo()));
    }
    if (statement.attemptsInFlight() == 0) {
      // Sent with less time than its work takes, it would only load a node that is behind already.
      // At
      // most half the SLO time: with nothing admitted the response time would never be seen to
      // fall.
      end =
          end.minus(
              new Span(
                      (long) (LEAST_CHANCE * serviceTimes.typicalMicros(statement.workloadIndex())))
                  .shorter(statement.workload().slo().times(0.5)));
      Span held = statement.clientDeadline().since(statement.receivedAt()).times(HELD);
      end = mayTryElsewhere(statement) ? end.earlier(statement.receivedAt().plus(held)) : end;
      if (statement.group().phase() == Phase.STEADY
          && statement.workload().needs() != ReadConsistency.WRITE) {
        // Any longer for room would leave too little of the SLO time for the work itself. What a
        // node
        // kept for a while, to turn away or lose it, is past that already, yet has a turn
        // elsewhere.
        double share = statement.staleAnswers() > 0 || statement.mayHaveRun() ? 0.75 : PATIENCE;
        Moment since =
            statement.workload().onlyPrimary()
                ? statement.receivedAt().later(statement.group().primaryFoundAt())
                : statement.receivedAt();
        end =
            end.earlier(since.plus(statement.workload().slo().times(share).longer(LEAST_PATIENCE)));
      }
    }
    return !now.isBefore(end);
  }

  // Held for most of its time with nothing sent, its client would have too little left to try
  // elsewhere.
  // Not where a late answer is worth most of one in time: there the end of a hold is waited for.
  private boolean mayTryElsewhere(Statement statement) {
    return statement.attempts() == 0 && statement.workload().lateShare() <= 0.5;
  }

  private void giveUp(Statement statement, boolean mayReturnAtOnce, RejectReason why) {
    boolean harmless =
        statement.workload().repeat() == Idempotency.IDEMPOTENT
            || (!statement.mayHaveRun() && statement.attemptsInFlight() == 0)
            || (statement.workload().repeat() == Idempotency.DEDUPLICATED
                && statement.workload().within() == Workload.DeduplicationScope.ALL);
    finish(statement);
    if (harmless) {
      // In a hold it may come back at once: only what is held is released in order to a new
      // primary.
      double share = mayReturnAtOnce ? 0 : 0.75 + 0.25 * chance.nextDouble();
      outbound.reject(statement.id(), agreed.allowance().longestComeBack().times(share), why);
    } else {
      outbound.abort(statement.id());
    }
  }

  private void finish(Statement statement) {
    statement.finish();
    if (statement.isQueued() && statement.workload().onlyPrimary()) {
      takeOut(statement);
    }
    cancelAttempts(statement, 0);
  }

  private void cancelAttempts(Statement statement, int from) {
    for (int i = from; statement.attemptsInFlight() > 0 && i < statement.attempts(); i++) {
      if (statement.isInFlight(i) && agreed.allowance().cancels()) {
        outbound.cancel(statement.id(), i);
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
      boolean stuck = statement.attemptsInFlight() > 0;
      for (int k = 0; statement.attemptsInFlight() > 0 && k < statement.attempts(); k++) {
        if (statement.isInFlight(k)) {
          Endpoint node = statement.endpoint(k);
          health.detectSilence(node, statement, statement.sentAt(k));
          // A trial has its own time: called off with the rest, none would ever end a silence.
          stuck &=
              node.health().isDown()
                  || (node.health().isSilent()
                      && (copies || !statement.sentAt(k).isAfter(node.health().silentSince())));
        }
      }
      if (statement.isFinished()) {
        Collections.swap(open, i, open.size() - 1);
        open.remove(open.size() - 1);
        // Anybody may name groups that nobody has listed.
        ReplicaGroup named = statement.group();
        table.removeIfUnused(named);
        subsets.narrowIfUnneeded(named);
      } else if (statement.isQueued()) {
        evaluations.add(statement.group());
        if (statement.workload().onlyPrimary() && isOverdue(statement)) {
          takeOut(statement);
          unplaced.add(statement);
        }
      } else if (stuck && mayRunAgain(statement, copies ? statement.attemptsInFlight() : 0)) {
        // Waiting on nodes that answer nobody: another execution elsewhere may still be in time.
        if (copies) {
          unplaced.add(statement);
        } else {
          cancelAttempts(statement, 0);
        }
      }
    }
    scanDue = open.isEmpty() ? Moment.NEVER : now.plus(Timing.SCAN_INTERVAL);
  }

  // ---- Health: what executions and polls tell.

  // ---- Cold nodes.

  // ---- Polls and waking.

  private Moment nextWake() {
    return watchDue
        .earlier(scanDue)
        .earlier(polls.nextAt())
        .earlier(primaries.nextSwitchoverStepAt());
  }

  private void wake() {
    wakeAt = nextWake();
    outbound.wake(wakeAt.since(now));
  }
}
