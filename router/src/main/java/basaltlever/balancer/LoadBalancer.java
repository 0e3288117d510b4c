package basaltlever.balancer;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.DecisionSink;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.gateway.Settings;
import basaltlever.gateway.StatementRequest;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.hold.HoldBudget;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.Statement;
import basaltlever.model.StatementArrival;
import basaltlever.time.Moment;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * The decisions of one router, which shares nothing with others. Each input comes with the clock of
 * the batch; decisions come out through {@link DecisionSink}. Endpoints and statements go by small
 * indices of the caller's choice; a statement's index is free again after its final answer and the
 * end of its last attempt. After each input the rules are gone through from the top until none
 * applies; docs/design.md gives their reasons.
 */
public final class LoadBalancer {
  private record Rule(String name, BooleanSupplier applies, Runnable action) {}

  private final DecisionContext context;
  private final EndpointModules endpoints;
  private final StatementModules statements;
  private final EndpointListing listing;
  private final ListWatch listWatch;
  private final LearnedStateTransfer learnedState;
  private final Rule[] rules;
  private Moment timerAt = Moment.NEVER;

  /** A router that knows no endpoint yet. */
  public LoadBalancer(
      DecisionSink sink,
      SplittableRandom random,
      Settings settings,
      HoldBudget holdBudget,
      Moment now) {
    context = new DecisionContext(sink, random, settings, now);
    endpoints = new EndpointModules(context, holdBudget);
    statements = new StatementModules(endpoints, holdBudget);
    listing = new EndpointListing(endpoints);
    listWatch = new ListWatch(context);
    learnedState = new LearnedStateTransfer(endpoints, listing);
    rules = rules();
  }

  private Rule[] rules() {
    return new Rule[] {
      new Rule("call for the list", () -> isDue(listWatch.nextCallAt()), listWatch::call),
      new Rule(
          "advance planned switchovers",
          () -> isDue(endpoints.primaries.nextSwitchoverStepAt()),
          endpoints.primaries::advanceSwitchovers),
      new Rule(
          "evaluate a group that changed",
          () -> !endpoints.evaluations.isEmpty(),
          () -> evaluate(endpoints.evaluations.next())),
      new Rule(
          "dispatch a statement",
          statements.dispatcher::hasPending,
          statements.dispatcher::dispatchNext),
      new Rule(
          "scan open statements",
          () -> isDue(statements.openStatements.nextScanAt()),
          () -> statements.openStatements.scan(this::statementFinished)),
      new Rule(
          "send polls that are due",
          () -> isDue(endpoints.polls.nextAt()),
          () ->
              endpoints.polls.sendDue(
                  endpoint -> endpoints.health.recordMissedPoll(endpoint, false))),
      new Rule("set the timer", () -> nextDueAt().isBefore(timerAt), this::setTimer),
    };
  }

  private boolean isDue(Moment at) {
    return !context.now().isBefore(at);
  }

  private void applyRules() {
    int next = 0;
    while (next < rules.length) {
      if (rules[next].applies().getAsBoolean()) {
        rules[next].action().run();
        next = 0;
      } else {
        next++;
      }
    }
  }

  private void evaluate(ReplicaGroup group) {
    endpoints.primaries.evaluate(group);
    statements.dispatcher.release(group);
    endpoints.primaries.continueSearch(group);
  }

  private void statementFinished(ReplicaGroup group) {
    endpoints.table.removeIfUnused(group);
    endpoints.subsets.narrowIfUnneeded(group);
  }

  private Moment nextDueAt() {
    return listWatch
        .nextCallAt()
        .earlier(statements.openStatements.nextScanAt())
        .earlier(endpoints.polls.nextAt())
        .earlier(endpoints.primaries.nextSwitchoverStepAt());
  }

  private void setTimer() {
    timerAt = nextDueAt();
    context.sink().setTimer(timerAt.since(context.now()));
  }

  /** What was learned, to be stored and restored. */
  public LearnedStateTransfer learnedState() {
    return learnedState;
  }

  /**
   * From now on these settings hold. Workloads keep their places, new ones come behind them.
   * Statements that have arrived keep their terms.
   */
  public void applySettings(Moment at, Settings settings) {
    context.applySettings(at, settings);
    endpoints.serviceTimes.applySettings(settings.workloads());
    endpoints.polls.applySettings();
    if (!settings.attemptLimits().hedgingEnabled()) {
      statements.openStatements.cancelHedgedRequests();
    }
    listing.applySettings();
  }

  /** An endpoint list begins. */
  public void listStarted() {
    listing.startList();
  }

  /** The list names an endpoint. */
  public void endpointListed(
      Moment at,
      int id,
      EndpointLifecycle state,
      int group,
      int zone,
      double size,
      Moment startedAt) {
    context.advanceTo(at);
    listing.recordEntry(id, state, group, zone, size, startedAt);
  }

  /** An endpoint's place in an order that is the same at all routers. */
  public void ringOrderKnown(int id, int order) {
    Endpoint endpoint = endpoints.table.endpoint(id);
    endpoint.setRingOrder(order);
    endpoint.group().subset().markStale();
  }

  /** The list ends; it is complete where endpoints that it does not name are gone. */
  public void listFinished(Moment at, boolean complete, boolean answersCall) {
    context.advanceTo(at);
    listing.finishList(complete);
    if (answersCall) {
      listWatch.recordAnswer();
    }
    applyRules();
  }

  /** A call for the list failed. */
  public void listCallFailed(Moment at) {
    context.advanceTo(at);
    listWatch.recordFailure();
    applyRules();
  }

  /** Positions known so far were dated by a wrong clock: each has to be proven anew. */
  public void forgetPositions(Moment at) {
    context.advanceTo(at);
    for (Endpoint endpoint : endpoints.table.endpoints()) {
      if (endpoint != null) {
        endpoint.replication().resetPosition();
      }
    }
  }

  /** Reports to on-call how much of the list is polled regularly, where that has changed. */
  public void reportPolledGroups() {
    endpoints.groupPolling.report();
  }

  /** A client has sent a statement. */
  public void statementReceived(Moment at, int id, StatementRequest request) {
    context.advanceTo(at);
    Workload workload = context.settings().workloads()[request.workloadIndex()];
    Statement statement =
        new Statement(
            id,
            new StatementArrival(
                request.workloadIndex(),
                workload,
                request.session(),
                at,
                request.clientDeadline(),
                endpoints.freshness.requiredPosition(
                    workload, request.session(), request.lastCommit()),
                request.textBytes(),
                context.scanDelay().total(at)),
            endpoints.table.group(request.group()),
            context.settings().attemptLimits().maxAttempts(),
            context.random().nextDouble());
    statements.openStatements.add(statement);
    endpoints.groupPolling.statementArrived(statement.group());
    statements.openStatements.scheduleScan();
    statements.dispatcher.add(statement);
    applyRules();
  }

  /** Whether the statement must see all commits up to its arrival. */
  public boolean needsFresh(int id) {
    return statements.openStatements.statement(id).workload().consistency()
        == ReadConsistency.FRESH;
  }

  /** An attempt ended, with the final answer or without; false where it was not in flight. */
  public boolean attemptEnded(
      Moment at,
      int id,
      int attempt,
      AttemptOutcome outcome,
      Role role,
      Moment position,
      boolean answered) {
    context.advanceTo(at);
    Statement statement = statements.openStatements.statement(id);
    if (statement == null || attempt >= statement.attempts() || !statement.isInFlight(attempt)) {
      return false;
    }
    statements.attemptResults.record(statement, attempt, outcome, role, position);
    if (answered && !statement.isFinished()) {
      statements.answers.finish(statement);
    }
    if (needsAttempt(statement)) {
      statements.dispatcher.add(statement);
    }
    ReplicaGroup group = statement.endpoint(attempt).group();
    if (!group.waitingReads().isEmpty() || !group.heldStatements().isEmpty()) {
      endpoints.evaluations.add(group);
    }
    applyRules();
    return true;
  }

  private static boolean needsAttempt(Statement statement) {
    return !statement.isFinished() && statement.attemptsInFlight() == 0 && !statement.isQueued();
  }

  /** A poll ended; utilization and queue length are not numbers where the report lacks them. */
  public void pollEnded(
      Moment at,
      int id,
      AttemptOutcome outcome,
      Role role,
      Moment position,
      double utilization,
      double queueLength) {
    context.advanceTo(at);
    Endpoint endpoint = endpoints.table.endpoint(id);
    if (outcome == AttemptOutcome.COMPLETED) {
      endpoints.pollResults.recordReport(endpoint, role, position, utilization, queueLength);
    } else {
      endpoints.pollResults.recordFailure(endpoint, outcome);
    }
    endpoints.evaluations.add(endpoint.group());
    applyRules();
  }

  /** A client waits no longer and needs no answer. */
  public void clientDisconnected(Moment at, int id) {
    context.advanceTo(at);
    Statement statement = statements.openStatements.statement(id);
    if (statement != null && !statement.isFinished()) {
      statements.answers.finish(statement);
    }
    applyRules();
  }

  /** A client's deadline is over: the statement is rejected where that is harmless, or aborted. */
  public void deadlinePassed(Moment at, int id) {
    context.advanceTo(at);
    Statement statement = statements.openStatements.statement(id);
    if (statement != null && !statement.isFinished()) {
      statements.answers.giveUp(statement, false, RejectReason.OVERDUE);
    }
    applyRules();
  }

  /** The timer fired, or time has passed. */
  public void timerFired(Moment at) {
    context.advanceTo(at);
    timerAt = at.isBefore(timerAt) ? timerAt : Moment.NEVER;
    applyRules();
  }

  /** A member announces a planned switchover of its group; false where that changes nothing. */
  public boolean switchoverAnnounced(
      Moment at, int member, long number, int target, Moment startsAt, boolean cancelled) {
    context.advanceTo(at);
    boolean changed =
        endpoints.primaries.recordAnnouncement(member, number, target, startsAt, cancelled);
    applyRules();
    return changed;
  }
}
