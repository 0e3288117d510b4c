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
  private final EndpointHealth health;

  WaitEstimator(EndpointModules endpoints) {
    context = endpoints.context;
    serviceTimes = endpoints.serviceTimes;
    subsets = endpoints.subsets;
    slowStart = endpoints.slowStart;
    health = endpoints.health;
  }

  /**
   * Returns the typical time of all statements that would be executed before the given one, which
   * waits or would wait now, in microseconds.
   */
  double workAheadMicros(Statement statement) {
    ReplicaGroup group = statement.group();
    Iterable<Statement> waiting =
        statement.workload().requiresPrimary()
            ? group.heldStatements().inReleaseOrder()
            : group.waitingReads();
    double micros = 0;
    for (Statement other : waiting) {
      if (StatementOrder.BY_PRIORITY.compare(other, statement) < 0) {
        micros += typicalMicros(other);
      }
    }
    return micros;
  }

  /**
   * The typical time of the statement, in microseconds; 0 if nothing is known of its work yet, so
   * that no statement is rejected for work that may be little.
   */
  double typicalMicros(Statement statement) {
    int workload = statement.workloadIndex();
    return serviceTimes.isKnown(workload) ? serviceTimes.typicalMicros(workload) : 0;
  }

  /**
   * Returns how many statements like the given one the endpoints of its group execute for this
   * router at the same time; 0 if none of them is usable.
   */
  private double concurrency(Statement statement) {
    ReplicaGroup group = statement.group();
    if (statement.workload().requiresPrimary()) {
      boolean primaryKnown = group.phase() == Phase.STEADY && group.primary() != null;
      return primaryKnown ? concurrency(group.primary(), statement) : 0;
    }
    double total = 0;
    for (Endpoint endpoint : subsets.endpointsInUse(group)) {
      total += endpoint == group.primary() ? 0 : concurrency(endpoint, statement);
    }
    return total;
  }

  private double concurrency(Endpoint endpoint, Statement statement) {
    boolean usable =
        context.isListedForUse(endpoint)
            && !endpoint.health().isDown()
            && !endpoint.health().isUnresponsive();
    return usable ? health.capacityFor(endpoint, statement) * slowStart.warmUpShare(endpoint) : 0;
  }

  /**
   * Returns the time until the work ahead is done and a place at an endpoint becomes free; {@code
   * Span.NONE} if no wait can be estimated, because no endpoint executes statements or no answer
   * has shown how long that takes. If n statements are in execution, the first of them ends after
   * one part in n + 1 of their time.
   */
  Span untilExecuted(Statement statement, double workAheadMicros) {
    double concurrency = concurrency(statement);
    if (concurrency == 0) {
      return Span.NONE;
    }
    double untilPlaceIsFree =
        serviceTimes.isAnyKnown() ? serviceTimes.overallMicros() / (concurrency + 1) : 0;
    return new Span((long) (workAheadMicros / concurrency + untilPlaceIsFree));
  }

  /**
   * Returns when a retry of a rejected statement would find its turn. Where nothing is known of
   * that, because no endpoint can execute it, the retry pauses as the router's own search does: for
   * as long as the outage has lasted, within the interval of its polls.
   */
  Span untilWorthRetrying(Statement statement) {
    Span wait = untilExecuted(statement, workAheadMicros(statement));
    if (wait.isLongerThan(Span.NONE)) {
      return wait;
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
