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

/** Finds and loses the primary of each group, and follows planned switchovers. */
final class PrimaryTracker {
  /** Another member becomes primary only where its report is newer by more than this. */
  private static final Span MIN_TAKEOVER_LEAD = Span.ofMillis(500);

  /** A silent member is trusted again after this, since a group without reads has no trials. */
  private static final Span SILENCE_FORGIVEN_AFTER = Timing.SHORT_DECAY;

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

  /** A sign that the endpoint, where it is the primary, is lost: the group's hold phase begins. */
  void lose(Endpoint endpoint) {
    ReplicaGroup group = endpoint.group();
    if (group.primary() != endpoint) {
      return;
    }
    group.markPrimaryLost(context.now());
    context.sink().onPrimaryChanged(group.number(), endpoint.id(), false);
    evaluations.add(group);
  }

  /** The endpoint was primary at that moment, by its own report. */
  void recordPrimaryReport(Endpoint endpoint, Moment at) {
    if (!endpoint.roles().hasReportedPrimary()) {
      endpoint.group().addPrimaryReporter(endpoint);
    }
    endpoint.roles().recordPrimary(at);
  }

  /** What the end of an attempt tells of the endpoint's role. */
  void recordAttempt(
      Endpoint endpoint, Statement statement, AttemptOutcome outcome, Role role, Moment sent) {
    RoleReports roles = endpoint.roles();
    if (outcome == AttemptOutcome.MISS
        && statement.workload().consistency() == ReadConsistency.WRITE) {
      // It rejects writes before it stops reporting itself primary; each such report that was
      // believed would cost every held statement one more attempt.
      roles.ignorePrimaryReportsUntil(context.now().plus(Timing.ONE_SECOND));
    } else if (role == Role.PRIMARY) {
      // Answers can overtake each other: dated by the sending, a report outweighs no later one.
      recordPrimaryReport(endpoint, sent);
    } else if (role == Role.REPLICA) {
      roles.recordNotPrimary(context.now());
    }
    if (role == Role.REPLICA) {
      roles.clearReplaced();
    }
    if (roles.isLatestReportNotPrimary()) {
      lose(endpoint);
    }
  }

  /** What a load report tells of the endpoint's role; it has a valid position or none. */
  void recordLoadReport(Endpoint endpoint, Role role, Moment position, boolean hasPosition) {
    ReplicaGroup group = endpoint.group();
    Span maxReportAge = group.maxReportAge();
    if (role == Role.PRIMARY) {
      // A primary stands at the present, so the position in its report dates the report.
      recordPrimaryReport(endpoint, hasPosition ? position : endpoint.polling().sentAt());
      Span age =
          hasPosition
              ? context.now().since(position).shorter(PollScheduler.MAX_INTERVAL)
              : maxReportAge;
      group.setMaxReportAge(maxReportAge.times(0.9).longer(age));
    } else if (role == Role.REPLICA) {
      // The report may be older than an answer that said primary.
      endpoint.roles().recordNotPrimary(endpoint.polling().sentAt().minus(maxReportAge));
      endpoint.roles().clearReplaced();
    }
  }

  /** Evaluates who is the group's primary. */
  void evaluate(ReplicaGroup group) {
    if (group.primary() != null && group.primary().roles().isLatestReportNotPrimary()) {
      lose(group.primary());
    }
    followSwitchover(group);
    evaluations.markEvaluated(group);
    Endpoint candidate = latestReporter(group);
    if (candidate != null && takesOver(candidate, group)) {
      group.setPrimary(candidate, context.now());
      context.sink().onPrimaryChanged(group.number(), candidate.id(), true);
    }
  }

  /** The eligible member whose report of being primary is the latest; null where none is. */
  private Endpoint latestReporter(ReplicaGroup group) {
    List<Endpoint> members =
        GroupSubsets.isLarge(group) ? group.primaryReporters() : group.endpoints();
    Endpoint latest = null;
    for (Endpoint member : members) {
      if (isEligible(member, group)
          && (latest == null
              || member
                  .roles()
                  .lastPrimaryReportAt()
                  .isAfter(latest.roles().lastPrimaryReportAt()))) {
        latest = member;
      }
    }
    return latest;
  }

  private boolean isEligible(Endpoint member, ReplicaGroup group) {
    // One that was replaced and comes back still reports itself primary: that proves nothing while
    // its successor stands.
    boolean isFormer =
        (member.roles().isReplaced() && group.primary() != null)
            || group.switchover().isExcluded(member.id());
    return hasCurrentReport(member, group)
        && context.isListedForUse(member)
        && !member.health().isDown()
        && !isFormer
        && (!member.health().isUnresponsive()
            || context
                .now()
                .since(member.health().unresponsiveSince())
                .isLongerThan(SILENCE_FORGIVEN_AFTER));
  }

  private static boolean hasCurrentReport(Endpoint member, ReplicaGroup group) {
    return member.roles().isLatestReportPrimary()
        && (member != group.lostPrimary()
            || member.roles().lastPrimaryReportAt().isAfter(group.holdSince()));
  }

  private static boolean takesOver(Endpoint candidate, ReplicaGroup group) {
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

  /** Polls members while a statement waits for the primary, ever less often as time passes. */
  void pollForPrimary(ReplicaGroup group) {
    if (needsSearch(group)) {
      search(group);
      return;
    }
    for (Endpoint member : group.endpoints()) {
      polls.pollWithin(
          member,
          context
              .now()
              .since(group.holdSince())
              .shorter(polls.interval(member).times(0.5))
              .shorter(Timing.ONE_SECOND)
              .longer(PollScheduler.HOLD_INTERVAL));
    }
  }

  /** Goes on with the search of a group whose members are not all polled regularly. */
  void continueSearch(ReplicaGroup group) {
    if (group.phase() == Phase.HOLD && !group.heldStatements().isEmpty() && needsSearch(group)) {
      search(group);
    }
  }

  private static boolean needsSearch(ReplicaGroup group) {
    return !group.isPolledRegularly() || GroupSubsets.isLarge(group);
  }

  private void search(ReplicaGroup group) {
    Span betweenRounds =
        context
            .now()
            .since(group.holdSince())
            .shorter(Timing.ONE_SECOND)
            .longer(PollScheduler.HOLD_INTERVAL);
    PrimarySearch.next(
            group,
            context.now(),
            betweenRounds,
            subsets.startPosition(group.endpoints().size()),
            this::mayBePrimary)
        .forEach(member -> polls.pollWithin(member, PollScheduler.HOLD_INTERVAL));
  }

  /** One that has just reported not to be primary is asked again only while its group elects. */
  private boolean mayBePrimary(Endpoint member) {
    ReplicaGroup group = member.group();
    boolean reportedNotPrimary =
        member.roles().isLatestReportNotPrimary()
            && context
                .now()
                .since(member.roles().lastNotPrimaryReportAt())
                .isShorterThan(Timing.LONG_DECAY);
    boolean elects = group.lostPrimary() != null || group.search().rounds() > 0;
    return context.isListedForUse(member) && (!reportedNotPrimary || elects);
  }

  /** When a planned switchover has to be looked at next. */
  Moment nextSwitchoverStepAt() {
    return nextSwitchoverStepAt;
  }

  /** A planned switchover is due: all groups are evaluated. */
  void advanceSwitchovers() {
    nextSwitchoverStepAt = Moment.NEVER;
    table.groups().forEach(evaluations::add);
  }

  /** A member's announcement of a planned switchover; false where it changes nothing. */
  boolean recordAnnouncement(
      int memberId, long number, int targetId, Moment startsAt, boolean cancelled) {
    ReplicaGroup group = table.endpoint(memberId).group();
    int target =
        table.endpoint(targetId).group() == group ? targetId : PlannedSwitchover.UNKNOWN_ENDPOINT;
    boolean changed =
        group.switchover().onAnnouncement(context.now(), number, target, startsAt, cancelled);
    evaluations.add(group);
    return changed;
  }

  private void followSwitchover(ReplicaGroup group) {
    PlannedSwitchover switchover = group.switchover();
    Endpoint target = table.endpoint(switchover.target());
    boolean targetIsMember = target != null && target.group() == group;
    switchover.advance(
        context.now(),
        primaryId(group),
        targetIsMember && context.isListedForUse(target) && !target.health().isDown());
    nextSwitchoverStepAt = nextSwitchoverStepAt.earlier(switchover.nextStepAt());
    if (group.primary() != null && switchover.isExcluded(group.primary().id())) {
      lose(group.primary());
    } else if (switchover.phase() == PlannedSwitchover.Phase.PREPARATION
        && group.primary() != null) {
      prepareConnections(target, group.primary());
    }
    if (switchover.needsFrequentPolls()) {
      pollFrequently(group, targetIsMember ? target : null);
    }
  }

  private static int primaryId(ReplicaGroup group) {
    return group.primary() == null ? PlannedSwitchover.UNKNOWN_ENDPOINT : group.primary().id();
  }

  private void pollFrequently(ReplicaGroup group, Endpoint target) {
    for (Endpoint member : subsets.membersInUse(group)) {
      polls.pollWithin(member, PollScheduler.HOLD_INTERVAL);
    }
    if (target != null) {
      polls.pollWithin(target, PollScheduler.HOLD_INTERVAL);
    }
  }

  /** Opens as many connections to the future primary as the present one needs. */
  private void prepareConnections(Endpoint target, Endpoint primary) {
    int inUse = primary.load().inFlight() + primary.load().idleConnections();
    // One that is warming up takes no more than one statement at a time.
    int connections = slowStart.isWarmingUp(target) ? 1 : Math.min(MAX_PREPARED_CONNECTIONS, inUse);
    context.sink().openConnections(target.id(), connections);
  }
}
