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
 * Makes the decisions of one router, which shares no state with others. Each input carries the time
 * of its batch; decisions are output through {@link DecisionSink}. The caller identifies endpoints
 * and statements by small indices; the index of a statement is free again after its final answer
 * and the end of its last attempt. After each input the rules are evaluated from the first one on
 * until none applies; docs/design.md gives their reasons.
 */
public final class LoadBalancer {
  private record Rule(String name, BooleanSupplier condition, Runnable action) {}

  private final DecisionContext context;
  private final EndpointModules endpoints;
  private final StatementModules statements;
  private final EndpointListing listing;
  private final ListWatch listWatch;
  private final LearnedStateTransfer learnedState;
  private final Rule[] rules;
  private Moment timerAt = Moment.NEVER;

  /** Creates the load balancer of a router, without any endpoint. */
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
      new Rule(
          "request the endpoint list",
          () -> isDue(listWatch.nextRequestAt()),
          listWatch::requestList),
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
          () -> statements.openStatements.scan(this::onStatementFinished)),
      new Rule(
          "send polls that are due",
          () -> isDue(endpoints.polls.nextDueAt()),
          () ->
              endpoints.polls.sendDuePolls(
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
      if (rules[next].condition().getAsBoolean()) {
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

  private void onStatementFinished(ReplicaGroup group) {
    endpoints.table.removeIfUnused(group);
    endpoints.subsets.narrowIfUnneeded(group);
  }

  private Moment nextDueAt() {
    return listWatch
        .nextRequestAt()
        .earlier(statements.openStatements.nextScanAt())
        .earlier(endpoints.polls.nextDueAt())
        .earlier(endpoints.primaries.nextSwitchoverStepAt());
  }

  private void setTimer() {
    timerAt = nextDueAt();
    context.sink().setTimer(timerAt.since(context.now()));
  }

  /** The learned state, to be stored and restored. */
  public LearnedStateTransfer learnedState() {
    return learnedState;
  }

  /**
   * Applies new settings. Existing workloads keep their indices, new ones are appended. Statements
   * already received keep the workload settings of their arrival.
   */
  public void applySettings(Moment at, Settings settings) {
    context.applySettings(at, settings);
    endpoints.serviceTimes.applySettings(settings.workloads());
    endpoints.polls.applySettings();
    listWatch.applySettings();
    if (!settings.attemptLimits().hedgingEnabled()) {
      statements.openStatements.cancelHedgedRequests();
    }
    listing.applySettings();
  }

  /** An endpoint list begins. */
  public void onListStarted() {
    listing.startList();
  }

  /** Applies one entry of the endpoint list. */
  public void onEndpointListed(
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

  /** Sets an endpoint's position in an order that is the same at all routers. */
  public void setRingOrder(int id, int order) {
    Endpoint endpoint = endpoints.table.endpoint(id);
    endpoint.setRingOrder(order);
    endpoint.group().subset().markStale();
  }

  /** The list has ended. If it is complete, endpoints that it does not contain are gone. */
  public void onListFinished(Moment at, boolean complete, boolean answersCall) {
    context.advanceTo(at);
    listing.finishList(complete);
    if (answersCall) {
      listWatch.recordAnswer();
    }
    applyRules();
  }

  /** A request for the list has failed. */
  public void onListRequestFailed(Moment at) {
    context.advanceTo(at);
    listWatch.recordFailure();
    applyRules();
  }

  /**
   * Discards all proven positions, which were dated by a wrong clock: each must be proven again.
   */
  public void clearPositions(Moment at) {
    context.advanceTo(at);
    for (Endpoint endpoint : endpoints.table.endpoints()) {
      if (endpoint != null) {
        endpoint.replication().resetPosition();
      }
    }
  }

  /** Reports how much of the list is polled regularly if that has changed, for operators. */
  public void reportPolledGroups() {
    endpoints.groupPolling.reportIfChanged();
  }

  /** A client has sent a statement. */
  public void onStatementReceived(Moment at, int id, StatementRequest request) {
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
                request.textBytes()),
            endpoints.table.getOrCreateGroup(request.group()),
            context.settings().attemptLimits().maxAttempts(),
            context.random().nextDouble());
    statements.openStatements.add(statement);
    endpoints.groupPolling.onStatementArrived(statement.group());
    statements.openStatements.scheduleScan();
    statements.dispatcher.add(statement);
    applyRules();
  }

  /** Whether the statement must see all commits up to its arrival. */
  public boolean requiresFreshData(int id) {
    return statements.openStatements.statement(id).workload().consistency()
        == ReadConsistency.FRESH;
  }

  /**
   * An attempt has ended, with or without the final answer. Returns false if it was not in flight.
   */
  public boolean onAttemptEnded(
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
      statements.completion.finish(statement);
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

  /** A poll has ended. Utilization and queue length are NaN if the report lacks them. */
  public void onPollEnded(
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

  /** A client has disconnected; its statement needs no answer. */
  public void onClientDisconnected(Moment at, int id) {
    context.advanceTo(at);
    Statement statement = statements.openStatements.statement(id);
    if (statement != null && !statement.isFinished()) {
      statements.completion.finish(statement);
    }
    applyRules();
  }

  /**
   * A client's deadline has passed: the statement is rejected if a retry is safe, and aborted
   * otherwise.
   */
  public void onDeadlinePassed(Moment at, int id) {
    context.advanceTo(at);
    Statement statement = statements.openStatements.statement(id);
    if (statement != null && !statement.isFinished()) {
      statements.completion.rejectOrAbort(statement, RejectReason.OVERDUE);
    }
    applyRules();
  }

  /** The timer has fired, or time has passed. */
  public void onTimerFired(Moment at) {
    context.advanceTo(at);
    timerAt = at.isBefore(timerAt) ? timerAt : Moment.NEVER;
    applyRules();
  }

  /**
   * An endpoint has announced a planned switchover of its group. Returns false if that changes
   * nothing.
   */
  public boolean onSwitchoverAnnounced(
      Moment at, int endpoint, long number, int target, Moment startsAt, boolean cancelled) {
    context.advanceTo(at);
    boolean changed =
        endpoints.primaries.recordAnnouncement(endpoint, number, target, startsAt, cancelled);
    applyRules();
    return changed;
  }
}
