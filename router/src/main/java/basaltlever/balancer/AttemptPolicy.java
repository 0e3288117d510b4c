package basaltlever.balancer;

import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.DeduplicationScope;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.model.Endpoint;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** Whether a statement may have one more attempt, and until when an attempt may go on. */
final class AttemptPolicy {
  /** An attempt is only useful with this many typical times left. */
  static final double MIN_USEFUL_TIME_FACTOR = 1.5;

  /** Attempts that every statement may have, whatever its priority weight. */
  private static final int GUARANTEED_ATTEMPTS = 2;

  /** An attempt that takes this many typical times is likely lost. */
  private static final double LIKELY_LOST_FACTOR = 2.5;

  /** The same for writes that may be repeated. */
  private static final double LIKELY_LOST_WRITE_FACTOR = 2 * LIKELY_LOST_FACTOR;

  /** Where late answers are worth at least this share, attempts are not timed out. */
  private static final double MIN_LATE_SHARE_WITHOUT_TIMEOUT = 0.5;

  /** Where late answers are worth more than this share, the client stays until the hold ends. */
  private static final double MAX_LATE_SHARE_TO_TRY_ELSEWHERE = 0.5;

  private final DecisionContext context;
  private final ServiceTimes serviceTimes;
  private final EndpointHealth health;

  AttemptPolicy(DecisionContext context, ServiceTimes serviceTimes, EndpointHealth health) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    this.health = health;
  }

  /**
   * Whether one more attempt is allowed while so many are considered in flight: how often depends
   * on the priority weight, and whether at all on what earlier attempts may have done.
   */
  boolean mayRetry(Statement statement, int consideredInFlight) {
    int spare = statement.maxAttempts() - GUARANTEED_ATTEMPTS;
    double share = context.priorityShare(statement.workload());
    int most =
        Math.min(statement.maxAttempts(), GUARANTEED_ATTEMPTS + (int) Math.ceil(spare * share));
    return statement.attempts() < most && isRepeatable(statement, consideredInFlight);
  }

  private boolean isRepeatable(Statement statement, int consideredInFlight) {
    boolean parallelAllowed =
        consideredInFlight == 0 || context.settings().attemptLimits().hedgingEnabled();
    if (statement.workload().idempotency() == Idempotency.IDEMPOTENT) {
      return parallelAllowed;
    }
    if (isRepeatableWrite(statement.workload())) {
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

  /** Whether repeats of the write are dropped wherever they go. */
  private static boolean isRepeatableWrite(Workload workload) {
    return workload.idempotency() == Idempotency.DEDUPLICATED
        && workload.deduplicationScope() != DeduplicationScope.ZONE;
  }

  /**
   * After how long an attempt is called off; none where it may take as long as the client waits.
   */
  Span timeout(Statement statement, Endpoint endpoint) {
    Workload workload = statement.workload();
    boolean repeatableWrite = isRepeatableWrite(workload);
    double factor = repeatableWrite ? LIKELY_LOST_WRITE_FACTOR : LIKELY_LOST_FACTOR;
    Span likelyLost =
        new Span((long) (serviceTimes.typicalMicros(statement.workloadIndex()) * factor));
    boolean detectsLoss =
        repeatableWrite
            || (workload.idempotency() == Idempotency.IDEMPOTENT && isSuspect(endpoint));
    // Hedged requests go around a lost attempt; without them it has to end first.
    if (!context.settings().attemptLimits().hedgingEnabled()
        && detectsLoss
        && leavesTimeForRetry(statement, likelyLost)
        && (!repeatableWrite || isWithinWindow(statement, likelyLost))) {
      return likelyLost;
    }
    return objectiveTimeout(statement);
  }

  private boolean isSuspect(Endpoint endpoint) {
    return endpoint.health().isUnresponsive() || health.isOutlier(endpoint);
  }

  /** Late answers are of little use, and a queue of late statements would make all others late. */
  private Span objectiveTimeout(Statement statement) {
    Workload workload = statement.workload();
    if (workload.lateResponseValue() < MIN_LATE_SHARE_WITHOUT_TIMEOUT
        && workload.idempotency() == Idempotency.IDEMPOTENT) {
      Span longest = workload.latencyObjective().times(1 + 2 * workload.lateResponseValue());
      return statement.receivedAt().plus(longest).since(context.now());
    }
    return Span.NONE;
  }

  private boolean leavesTimeForRetry(Statement statement, Span timeout) {
    double usualMicros = serviceTimes.typicalMicros(statement.workloadIndex());
    Moment usefulUntil = statement.receivedAt().plus(statement.workload().latencyObjective());
    return context
        .now()
        .plus(timeout)
        .plus(new Span((long) (MIN_USEFUL_TIME_FACTOR * usualMicros)))
        .isBefore(usefulUntil);
  }

  private boolean isWithinWindow(Statement statement, Span timeout) {
    return statement
        .earliestPossibleExecution()
        .earlier(context.now())
        .plus(statement.workload().deduplicationWindow())
        .isAfter(context.now().plus(timeout));
  }

  /**
   * Until when an attempt may be sent; a connection may have to be opened first. Later, no proof
   * covers the staleness bound, and no deduplication window covers a repeat.
   */
  Moment sendBy(Statement statement, Endpoint endpoint) {
    Workload workload = statement.workload();
    boolean reliesOnProof =
        workload.consistency() == Workload.ReadConsistency.BOUNDED
            && !context.settings().replication().replicasCheckFreshness()
            && endpoint != statement.group().primary();
    if (reliesOnProof) {
      return endpoint.replication().provenPosition().plus(workload.maxStaleness());
    }
    return isRepeatableWrite(workload)
        ? statement.earliestPossibleExecution().plus(workload.deduplicationWindow())
        : Moment.NEVER;
  }

  /**
   * Whether the client should be left time to try another router: nothing was sent, and a late
   * answer is worth no more than half of one in time.
   */
  static boolean mayTryElsewhere(Statement statement) {
    return statement.attempts() == 0
        && statement.workload().lateResponseValue() <= MAX_LATE_SHARE_TO_TRY_ELSEWHERE;
  }
}
