package basaltlever.balancer;

import basaltlever.endpoints.PrimarySearch;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.Role;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.ReplicaGroup.Phase;
import basaltlever.model.RoleReports;
import basaltlever.model.Statement;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.List;

/** Tracks the primary of each group, and follows planned switchovers. */
final class PrimaryTracker {
  /** Another endpoint replaces a current primary only if its report is newer by more than this. */
  private static final Span MIN_TAKEOVER_LEAD = Span.ofMillis(500);

  /**
   * A silent endpoint is eligible again after this time, since a group without reads has no trials.
   */
  private static final Span MAX_SILENCE_EXCLUSION = Timing.SHORT_DECAY;

  private static final int MAX_PREPARED_CONNECTIONS = 16;

  private final DecisionContext context;
  private final EndpointTable table;
  private final GroupSubsets subsets;
  private final SlowStart slowStart;
  private final PollScheduler polls;
  private final EvaluationQueue evaluations;
  private Moment nextSwitchoverStepAt = Moment.NEVER;

  PrimaryTracker(
      DecisionContext context,
      EndpointTable table,
      GroupSubsets subsets,
      SlowStart slowStart,
      PollScheduler polls,
      EvaluationQueue evaluations) {
    this.context = context;
    this.table = table;
    this.subsets = subsets;
    this.slowStart = slowStart;
    this.polls = polls;
    this.evaluations = evaluations;
  }

  /**
   * Starts the hold phase of the endpoint's group if the endpoint is its primary, which is
   * considered lost.
   */
  void markLost(Endpoint endpoint) {
    ReplicaGroup group = endpoint.group();
    if (group.primary() != endpoint) {
      return;
    }
    group.markPrimaryLost(context.now());
    context.sink().onPrimaryChanged(group.number(), endpoint.id(), false);
    evaluations.add(group);
  }

  /** Records that the endpoint reported itself primary as of the given time. */
  void recordPrimaryReport(Endpoint endpoint, Moment at) {
    if (!endpoint.roles().hasReportedPrimary()) {
      endpoint.group().addPrimaryReporter(endpoint);
    }
    endpoint.roles().recordPrimary(at);
  }

  /** Updates the endpoint's role after an attempt. */
  void recordAttempt(
      Endpoint endpoint, Statement statement, AttemptOutcome outcome, Role role, Moment sent) {
    RoleReports roles = endpoint.roles();
    if (outcome == AttemptOutcome.MISS
        && statement.workload().consistency() == ReadConsistency.WRITE) {
      // The endpoint rejects writes before it stops reporting itself primary; each such report that
      // was accepted would cost every held statement one more attempt.
      roles.ignorePrimaryReportsUntil(context.now().plus(Timing.ONE_SECOND));
    } else if (role == Role.PRIMARY) {
      // Answers can arrive out of order: a report is dated by the sending of its attempt, so it
      // does not override a later one.
      recordPrimaryReport(endpoint, sent);
    } else if (role == Role.REPLICA) {
      roles.recordNotPrimary(context.now());
    }
    if (role == Role.REPLICA) {
      roles.clearReplaced();
    }
    if (roles.isLatestReportNotPrimary()) {
      markLost(endpoint);
    }
  }

  /** Updates the endpoint's role after a load report, which may lack a valid position. */
  void recordLoadReport(Endpoint endpoint, Role role, Moment position, boolean hasPosition) {
    ReplicaGroup group = endpoint.group();
    Span maxReportAge = group.maxReportAge();
    if (role == Role.PRIMARY) {
      // The position of a primary is the current time, so the position in its report dates the
      // report.
      recordPrimaryReport(endpoint, hasPosition ? position : endpoint.polling().sentAt());
      Span age =
          hasPosition
              ? context.now().since(position).shorter(PollScheduler.MAX_INTERVAL)
              : maxReportAge;
      group.setMaxReportAge(maxReportAge.times(0.9).longer(age));
    } else if (role == Role.REPLICA) {
      // The report may be older than an answer that reported the primary role.
      endpoint.roles().recordNotPrimary(endpoint.polling().sentAt().minus(maxReportAge));
      endpoint.roles().clearReplaced();
    }
  }

  /** Reevaluates the group's primary and its switchover. */
  void evaluate(ReplicaGroup group) {
    if (group.primary() != null && group.primary().roles().isLatestReportNotPrimary()) {
      markLost(group.primary());
    }
    updateSwitchover(group);
    evaluations.markEvaluated(group);
    Endpoint candidate = latestPrimaryReporter(group);
    if (candidate != null && canTakeOver(candidate, group)) {
      group.setPrimary(candidate, context.now());
      context.sink().onPrimaryChanged(group.number(), candidate.id(), true);
    }
  }

  /**
   * Returns the eligible endpoint with the latest report of being primary; null if there is none.
   */
  private Endpoint latestPrimaryReporter(ReplicaGroup group) {
    List<Endpoint> candidates =
        GroupSubsets.isLarge(group) ? group.primaryReporters() : group.endpoints();
    Endpoint latest = null;
    for (Endpoint endpoint : candidates) {
      if (isEligible(endpoint, group)
          && (latest == null
              || endpoint
                  .roles()
                  .lastPrimaryReportAt()
                  .isAfter(latest.roles().lastPrimaryReportAt()))) {
        latest = endpoint;
      }
    }
    return latest;
  }

  private boolean isEligible(Endpoint endpoint, ReplicaGroup group) {
    // A former primary that returns still reports itself primary, which proves nothing while its
    // successor is the primary.
    boolean isFormerPrimary =
        (endpoint.roles().isReplaced() && group.primary() != null)
            || group.switchover().isExcluded(endpoint.id());
    return hasCurrentReport(endpoint, group)
        && context.isListedForUse(endpoint)
        && !endpoint.health().isDown()
        && !isFormerPrimary
        && (!endpoint.health().isUnresponsive()
            || context
                .now()
                .since(endpoint.health().unresponsiveSince())
                .isLongerThan(MAX_SILENCE_EXCLUSION));
  }

  private static boolean hasCurrentReport(Endpoint endpoint, ReplicaGroup group) {
    return endpoint.roles().isLatestReportPrimary()
        && (endpoint != group.lostPrimary()
            || endpoint.roles().lastPrimaryReportAt().isAfter(group.holdSince()));
  }

  private static boolean canTakeOver(Endpoint candidate, ReplicaGroup group) {
    if (group.phase() == Phase.HOLD) {
      return true;
    }
    Endpoint primary = group.primary();
    return primary != null
        && candidate != primary
        && candidate
            .roles()
            .lastPrimaryReportAt()
            .since(primary.roles().lastPrimaryReportAt())
            .isLongerThan(MIN_TAKEOVER_LEAD);
  }

  /**
   * Polls the endpoints of the group while a statement waits for the primary, at increasing
   * intervals.
   */
  void pollForPrimary(ReplicaGroup group) {
    if (needsSearch(group)) {
      pollCandidates(group);
      return;
    }
    for (Endpoint endpoint : group.endpoints()) {
      polls.pollWithin(
          endpoint,
          context
              .now()
              .since(group.holdSince())
              .shorter(polls.interval(endpoint).times(0.5))
              .shorter(Timing.ONE_SECOND)
              .longer(PollScheduler.HOLD_INTERVAL));
    }
  }

  /**
   * Continues the search for the primary in a group whose endpoints are not all polled regularly.
   */
  void continueSearch(ReplicaGroup group) {
    if (group.phase() == Phase.HOLD && !group.heldStatements().isEmpty() && needsSearch(group)) {
      pollCandidates(group);
    }
  }

  private static boolean needsSearch(ReplicaGroup group) {
    return !group.isPolledRegularly() || GroupSubsets.isLarge(group);
  }

  private void pollCandidates(ReplicaGroup group) {
    Span betweenRounds =
        context
            .now()
            .since(group.holdSince())
            .shorter(Timing.ONE_SECOND)
            .longer(PollScheduler.HOLD_INTERVAL);
    PrimarySearch.nextEndpoints(
            group,
            context.now(),
            betweenRounds,
            subsets.startPosition(group.endpoints().size()),
            this::isPossiblePrimary)
        .forEach(endpoint -> polls.pollWithin(endpoint, PollScheduler.HOLD_INTERVAL));
  }

  /**
   * Whether the endpoint may be the primary. One that recently reported not to be is polled again
   * only while its group elects a primary.
   */
  private boolean isPossiblePrimary(Endpoint endpoint) {
    ReplicaGroup group = endpoint.group();
    boolean reportedNotPrimary =
        endpoint.roles().isLatestReportNotPrimary()
            && context
                .now()
                .since(endpoint.roles().lastNotPrimaryReportAt())
                .isShorterThan(Timing.LONG_DECAY);
    boolean electionInProgress = group.lostPrimary() != null || group.search().rounds() > 0;
    return context.isListedForUse(endpoint) && (!reportedNotPrimary || electionInProgress);
  }

  /** Returns when the next step of a planned switchover is due. */
  Moment nextSwitchoverStepAt() {
    return nextSwitchoverStepAt;
  }

  /** Queues all groups for evaluation, since a step of a planned switchover is due. */
  void advanceSwitchovers() {
    nextSwitchoverStepAt = Moment.NEVER;
    table.groups().forEach(evaluations::add);
  }

  /**
   * Records an endpoint's announcement of a planned switchover. Returns false if it changes
   * nothing.
   */
  boolean recordAnnouncement(
      int endpointId, long number, int targetId, Moment startsAt, boolean cancelled) {
    ReplicaGroup group = table.endpoint(endpointId).group();
    int target =
        table.endpoint(targetId).group() == group ? targetId : PlannedSwitchover.UNKNOWN_ENDPOINT;
    boolean changed =
        group.switchover().onAnnouncement(context.now(), number, target, startsAt, cancelled);
    evaluations.add(group);
    return changed;
  }

  private void updateSwitchover(ReplicaGroup group) {
    PlannedSwitchover switchover = group.switchover();
    Endpoint target = table.endpoint(switchover.target());
    boolean targetIsInGroup = target != null && target.group() == group;
    switchover.advance(
        context.now(),
        primaryId(group),
        targetIsInGroup && context.isListedForUse(target) && !target.health().isDown());
    nextSwitchoverStepAt = nextSwitchoverStepAt.earlier(switchover.nextStepAt());
    if (group.primary() != null && switchover.isExcluded(group.primary().id())) {
      markLost(group.primary());
    } else if (switchover.phase() == PlannedSwitchover.Phase.PREPARATION
        && group.primary() != null) {
      prepareConnections(target, group.primary());
    }
    if (switchover.needsFrequentPolls()) {
      pollFrequently(group, targetIsInGroup ? target : null);
    }
  }

  private static int primaryId(ReplicaGroup group) {
    return group.primary() == null ? PlannedSwitchover.UNKNOWN_ENDPOINT : group.primary().id();
  }

  private void pollFrequently(ReplicaGroup group, Endpoint target) {
    for (Endpoint endpoint : subsets.endpointsInUse(group)) {
      polls.pollWithin(endpoint, PollScheduler.HOLD_INTERVAL);
    }
    if (target != null) {
      polls.pollWithin(target, PollScheduler.HOLD_INTERVAL);
    }
  }

  /** Opens as many connections to the future primary as the current primary uses. */
  private void prepareConnections(Endpoint target, Endpoint primary) {
    int inUse = primary.load().inFlight() + primary.load().idleConnections();
    // An endpoint that is warming up executes no more than one statement of this router at a time.
    int connections = slowStart.isWarmingUp(target) ? 1 : Math.min(MAX_PREPARED_CONNECTIONS, inUse);
    context.sink().openConnections(target.id(), connections);
  }
}
