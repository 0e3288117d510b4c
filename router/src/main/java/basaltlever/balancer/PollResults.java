package basaltlever.balancer;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.Role;
import basaltlever.model.Endpoint;
import basaltlever.model.LoadState;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** What the answers to polls tell of health, load, freshness and role. */
final class PollResults {
  /** Utilization assumed where a report lacks it and no statement waits. */
  private static final double ASSUMED_UTILIZATION = 0.5;

  private static final double MAX_PLAUSIBLE_UTILIZATION = 2;

  /** A shorter queue, in statements, counts as empty. */
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

  /** A poll ended without a load report. */
  void recordFailure(Endpoint endpoint, AttemptOutcome outcome) {
    endpoint.polling().recordPollEnd();
    switch (outcome) {
      case NO_DESCRIPTOR -> postpone(endpoint);
      case FULL -> {
        // Too many ask it at once: no sign of a fault, but one to poll less.
        health.recordAnyAnswer(endpoint);
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

  /** This router could not poll, which tells nothing of the endpoint. */
  private void postpone(Endpoint endpoint) {
    Moment next =
        polls.isPolledRegularly(endpoint)
            ? context.now().plus(polls.interval(endpoint).longer(Timing.ONE_SECOND))
            : Moment.NEVER;
    endpoint.polling().scheduleAt(next);
  }

  /** A load report; utilization and queue length are not numbers where the report lacks them. */
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

  /** An endpoint where statements wait has no core to spare, however many cores it has. */
  private static void recordLoad(LoadState load, double utilization, double queueLength) {
    double taken = load.cpuUtilization();
    if (utilization >= 0 && utilization <= MAX_PLAUSIBLE_UTILIZATION) {
      taken = Math.min(1, utilization);
    } else if (queueLength >= 0) {
      taken = queueLength < MIN_QUEUE_STATEMENTS ? ASSUMED_UTILIZATION : 1;
    }
    load.recordReport(utilization >= 0, taken);
  }
}
