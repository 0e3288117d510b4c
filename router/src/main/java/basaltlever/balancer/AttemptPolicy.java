package basaltlever.balancer;

import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.DeduplicationScope;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.model.Endpoint;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** Decides whether a statement may have one more attempt, and how long an attempt may take. */
final class AttemptPolicy {
  /**
   * Attempts allowed for every statement, whatever its priority weight: the first may meet an
   * endpoint that has just failed.
   */
  private static final int GUARANTEED_ATTEMPTS = 2;

  /** An attempt that takes this many typical execution times is likely lost. */
  private static final double LIKELY_LOST_FACTOR = 2.5;

  /** The same for writes that are safe to repeat. */
  private static final double LIKELY_LOST_WRITE_FACTOR = 2 * LIKELY_LOST_FACTOR;

  private final DecisionContext context;
  private final ServiceTimes serviceTimes;
  private final EndpointHealth health;
  private final ReplicaFreshness freshness;

  AttemptPolicy(
      DecisionContext context,
      ServiceTimes serviceTimes,
      EndpointHealth health,
      ReplicaFreshness freshness) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    this.health = health;
    this.freshness = freshness;
  }

  /**
   * Whether one more attempt is allowed if the given number is assumed to be in flight. The number
   * of attempts depends on the priority weight; whether any repeat is allowed depends on the
   * possible effects of earlier attempts.
   */
  boolean canRetry(Statement statement, int assumedInFlight) {
    int extraAttempts = statement.maxAttempts() - GUARANTEED_ATTEMPTS;
    double share = context.priorityShare(statement.workload());
    int allowedAttempts =
        Math.min(
            statement.maxAttempts(), GUARANTEED_ATTEMPTS + (int) Math.ceil(extraAttempts * share));
    return statement.attempts() < allowedAttempts && isRepeatable(statement, assumedInFlight);
  }

  private boolean isRepeatable(Statement statement, int assumedInFlight) {
    boolean parallelAllowed =
        assumedInFlight == 0 || context.settings().attemptLimits().hedgingEnabled();
    if (statement.workload().idempotency() == Idempotency.IDEMPOTENT) {
      return parallelAllowed;
    }
    if (isDeduplicatedInGroup(statement.workload())) {
      return parallelAllowed
          && context
              .now()
              .isBefore(
                  statement
                      .earliestPossibleExecution()
                      .plus(statement.workload().deduplicationWindow()));
    }
    return !statement.mayHaveExecuted() && statement.attemptsInFlight() == 0;
  }

  /** Whether repeats of the statement are dropped at every endpoint of its group. */
  private static boolean isDeduplicatedInGroup(Workload workload) {
    return workload.idempotency() == Idempotency.DEDUPLICATED
        && workload.deduplicationScope() != DeduplicationScope.ZONE;
  }

  /** Returns the timeout of an attempt; none if it may take as long as the client waits. */
  Span timeout(Statement statement, Endpoint endpoint) {
    Workload workload = statement.workload();
    boolean repeatableWrite = isDeduplicatedInGroup(workload);
    double factor = repeatableWrite ? LIKELY_LOST_WRITE_FACTOR : LIKELY_LOST_FACTOR;
    Span likelyLost =
        new Span((long) (serviceTimes.typicalMicros(statement.workloadIndex()) * factor));
    boolean detectsLoss =
        repeatableWrite
            || (workload.idempotency() == Idempotency.IDEMPOTENT && isSuspect(endpoint));
    // Hedged requests bypass a lost attempt; without them it must end before a retry.
    if (!context.settings().attemptLimits().hedgingEnabled()
        && detectsLoss
        && hasTimeForRetry(statement, likelyLost)
        && (!repeatableWrite || isWithinWindow(statement, likelyLost))) {
      return likelyLost;
    }
    return usefulTimeout(statement);
  }

  private boolean isSuspect(Endpoint endpoint) {
    return endpoint.health().isUnresponsive() || health.isOutlier(endpoint);
  }

  /**
   * Returns until when an answer is of use to the client: until it stops waiting, or until the
   * latency objective has passed if the deployment states that a late answer is worth nothing.
   */
  Moment usefulUntil(Statement statement) {
    Moment clientStopsWaiting =
        statement.clientDeadline().minus(context.settings().attemptLimits().responseMargin());
    return isWorthlessWhenLate(statement)
        ? clientStopsWaiting.earlier(objectiveEnd(statement))
        : clientStopsWaiting;
  }

  /** Whether the statement's work can no longer be done within its latency objective. */
  boolean canOnlyBeLate(Statement statement) {
    Span work = serviceTimes.expectedWork(statement.workloadIndex(), context.now());
    return context.now().plus(work).isAfter(objectiveEnd(statement));
  }

  private static boolean isWorthlessWhenLate(Statement statement) {
    return statement.workload().lateResponseValue() <= 0;
  }

  private static Moment objectiveEnd(Statement statement) {
    return statement.receivedAt().plus(statement.workload().latencyObjective());
  }

  /**
   * Returns a timeout if the answer is of no use before the client stops waiting, and giving up
   * leaves no doubt about an effect: further execution would only delay other statements.
   */
  private Span usefulTimeout(Statement statement) {
    return isWorthlessWhenLate(statement)
            && statement.workload().idempotency() == Idempotency.IDEMPOTENT
        ? objectiveEnd(statement).since(context.now())
        : Span.NONE;
  }

  private boolean hasTimeForRetry(Statement statement, Span timeout) {
    return context
        .now()
        .plus(timeout)
        .plus(serviceTimes.expectedWork(statement.workloadIndex(), context.now()))
        .isBefore(usefulUntil(statement));
  }

  private boolean isWithinWindow(Statement statement, Span timeout) {
    return statement
        .earliestPossibleExecution()
        .earlier(context.now())
        .plus(statement.workload().deduplicationWindow())
        .isAfter(context.now().plus(timeout));
  }

  /**
   * Returns the time by which an attempt must be sent, which may require opening a connection
   * first. After it the proven position no longer satisfies the staleness bound, or the
   * deduplication window no longer covers a repeat.
   */
  Moment sendDeadline(Statement statement, Endpoint endpoint) {
    Workload workload = statement.workload();
    Moment freshUntil =
        reliesOnProvenPosition(statement, endpoint)
            ? endpoint.replication().provenPosition().plus(workload.maxStaleness())
            : Moment.NEVER;
    Moment repeatableUntil =
        isDeduplicatedInGroup(workload)
            ? statement
                .earliestPossibleExecution()
                .earlier(context.now())
                .plus(workload.deduplicationWindow())
            : Moment.NEVER;
    return freshUntil.earlier(repeatableUntil);
  }

  private boolean reliesOnProvenPosition(Statement statement, Endpoint endpoint) {
    return statement.workload().consistency().isBounded()
        && !freshness.isCheckedByReplicas(statement)
        && endpoint != statement.group().primary();
  }
}
