package basaltlever.balancer;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.Role;
import basaltlever.model.Endpoint;
import basaltlever.model.LoadState;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** Applies the results of polls to the health, load, freshness and role of endpoints. */
final class PollResults {
  /** Utilization assumed if a report lacks it and no statement is queued. */
  private static final double ASSUMED_UTILIZATION = 0.5;

  private static final double MAX_PLAUSIBLE_UTILIZATION = 2;

  /** A queue shorter than this many statements counts as empty. */
  private static final double MIN_QUEUE_STATEMENTS = 0.5;

  private final DecisionContext context;
  private final PollScheduler polls;
  private final EndpointHealth health;
  private final ReplicaFreshness freshness;
  private final PrimaryTracker primaries;

  PollResults(
      DecisionContext context,
      PollScheduler polls,
      EndpointHealth health,
      ReplicaFreshness freshness,
      PrimaryTracker primaries) {
    this.context = context;
    this.polls = polls;
    this.health = health;
    this.freshness = freshness;
    this.primaries = primaries;
  }

  /** Records a poll that ended without a load report. */
  void recordFailure(Endpoint endpoint, AttemptOutcome outcome) {
    endpoint.polling().recordPollEnd();
    switch (outcome) {
      case NO_DESCRIPTOR -> postponePoll(endpoint);
      case FULL -> {
        // The endpoint gets too many requests at the same time: this is no fault, but a reason to
        // poll it less often.
        health.recordResponse(endpoint);
        Span interval = polls.interval(endpoint).longer(PollScheduler.HOLD_INTERVAL);
        endpoint
            .polling()
            .scheduleAt(context.now().plus(interval.times(1 + context.random().nextDouble())));
      }
      case RESET, NO_CONNECTION -> health.recordMissedPoll(endpoint, true);
      default -> health.recordMissedPoll(endpoint, false);
    }
    polls.update(endpoint);
  }

  /**
   * Postpones a poll that this router could not send, which gives no information about the
   * endpoint.
   */
  private void postponePoll(Endpoint endpoint) {
    Moment next =
        polls.isPolledRegularly(endpoint)
            ? context.now().plus(polls.interval(endpoint).longer(Timing.ONE_SECOND))
            : Moment.NEVER;
    endpoint.polling().scheduleAt(next);
  }

  /** Records a load report; utilization and queue length are NaN if the report lacks them. */
  void recordReport(
      Endpoint endpoint, Role role, Moment position, double utilization, double queueLength) {
    endpoint.polling().recordPollEnd();
    health.markUp(endpoint);
    recordLoad(endpoint.load(), utilization, queueLength);
    boolean hasPosition = freshness.isValid(position);
    if (hasPosition) {
      freshness.recordLoadReport(endpoint, position);
    }
    primaries.recordLoadReport(endpoint, role, position, hasPosition);
    polls.update(endpoint);
  }

  /**
   * Derives the CPU utilization. An endpoint with queued statements counts as fully utilized,
   * however many cores it has.
   */
  private static void recordLoad(LoadState load, double utilization, double queueLength) {
    double cpuUtilization = load.cpuUtilization();
    if (utilization >= 0 && utilization <= MAX_PLAUSIBLE_UTILIZATION) {
      cpuUtilization = Math.min(1, utilization);
    } else if (queueLength >= 0) {
      cpuUtilization = queueLength < MIN_QUEUE_STATEMENTS ? ASSUMED_UTILIZATION : 1;
    }
    load.recordReport(utilization >= 0, cpuUtilization);
  }
}
