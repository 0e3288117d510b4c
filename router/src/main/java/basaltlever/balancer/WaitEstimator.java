package basaltlever.balancer;

import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.ReplicaGroup.Phase;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * Estimates how long a statement waits until endpoints have done the work ahead of it: the work of
 * the waiting statements that get capacity before it, divided by the number of statements that the
 * endpoints execute at the same time.
 */
final class WaitEstimator {
  private final DecisionContext context;
  private final ServiceTimes serviceTimes;
  private final GroupSubsets subsets;
  private final SlowStart slowStart;

  WaitEstimator(EndpointModules endpoints) {
    context = endpoints.context;
    serviceTimes = endpoints.serviceTimes;
    subsets = endpoints.subsets;
    slowStart = endpoints.slowStart;
  }

  /** Returns the work ahead of the first waiting read of the group. */
  WorkAhead beforeReads(ReplicaGroup group) {
    double concurrency = 0;
    for (Endpoint endpoint : subsets.endpointsInUse(group)) {
      concurrency += endpoint == group.primary() ? 0 : concurrency(endpoint);
    }
    return new WorkAhead(0, concurrency);
  }

  /** Returns the work ahead of the first statement of the group that waits for the primary. */
  WorkAhead beforeHeld(ReplicaGroup group) {
    boolean primaryKnown = group.phase() == Phase.STEADY && group.primary() != null;
    return new WorkAhead(0, primaryKnown ? concurrency(group.primary()) : 0);
  }

  private double concurrency(Endpoint endpoint) {
    boolean usable =
        context.isListedForUse(endpoint)
            && !endpoint.health().isDown()
            && !endpoint.health().isUnresponsive();
    return usable ? endpoint.load().capacity() * slowStart.warmUpShare(endpoint) : 0;
  }

  /** Returns the work ahead of a statement that waits or would wait now. */
  WorkAhead before(Statement statement) {
    ReplicaGroup group = statement.group();
    boolean needsPrimary = statement.workload().requiresPrimary();
    WorkAhead workAhead = needsPrimary ? beforeHeld(group) : beforeReads(group);
    Iterable<Statement> waiting =
        needsPrimary ? group.heldStatements().inReleaseOrder() : group.waitingReads();
    for (Statement other : waiting) {
      if (StatementOrder.BY_PRIORITY.compare(other, statement) < 0) {
        workAhead = workAhead.plus(typicalMicros(other));
      }
    }
    return workAhead;
  }

  /** The typical time of the statement, in microseconds. */
  double typicalMicros(Statement statement) {
    return serviceTimes.typicalMicros(statement.workloadIndex());
  }

  /** Whether endpoints execute statements at all; otherwise no wait can be estimated. */
  boolean isBounded(WorkAhead workAhead) {
    return workAhead.concurrency() > 0;
  }

  /**
   * Returns the time until the work ahead is done and a place at an endpoint becomes free. If n
   * statements are in execution, the first of them ends after one part in n + 1 of their time.
   */
  Span untilExecuted(WorkAhead workAhead) {
    double untilPlaceIsFree = serviceTimes.overallMicros() / (workAhead.concurrency() + 1);
    return new Span((long) (workAhead.micros() / workAhead.concurrency() + untilPlaceIsFree));
  }

  /**
   * Returns when a retry of a rejected statement would find its turn. Where nothing is known of
   * that, because no endpoint can execute it, the retry pauses as the router's own search does: for
   * as long as the outage has lasted, within the interval of its polls.
   */
  Span untilWorthRetrying(Statement statement) {
    WorkAhead workAhead = before(statement);
    if (isBounded(workAhead)) {
      return untilExecuted(workAhead);
    }
    Moment outageSince =
        statement.workload().requiresPrimary()
            ? statement.group().holdSince()
            : statement.waitingSince();
    return context
        .now()
        .since(outageSince)
        .shorter(Timing.ONE_SECOND)
        .longer(PollScheduler.HOLD_INTERVAL);
  }
}
