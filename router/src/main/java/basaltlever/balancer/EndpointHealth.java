package basaltlever.balancer;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.model.DecayingValue;
import basaltlever.model.Endpoint;
import basaltlever.model.HealthState;
import basaltlever.model.LoadState;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * Outlier detection: which endpoints fail, are silent, down or overloaded, and how many attempts
 * each may have in flight.
 */
final class EndpointHealth {
  static final double BUSY_UTILIZATION = 0.9;

  /** From this failure rate on an endpoint is an outlier. */
  static final double OUTLIER_FAILURE_RATE = 0.3;

  static final double MIN_CAPACITY_ATTEMPTS = 0.2;
  private static final double MAX_CAPACITY_ATTEMPTS = 500;
  private static final double INITIAL_LATENCY_STRAIN = 0.25;
  private static final double MAX_COUNTED_STRAIN = 5;

  /** Latency strain at which a busy endpoint's capacity is reduced. */
  private static final double BUSY_STRAIN_LIMIT = 0.24;

  /** Latency strain at which any endpoint's capacity is reduced, as timed-out work runs on. */
  private static final double STRAIN_LIMIT = 0.8;

  private static final double LATE_SHARE_OF_OBJECTIVE = 0.9;
  private static final Span MIN_SILENCE = Span.ofMillis(150);
  private static final Span MAX_UNPOLLED_WHEN_LATE = Timing.ONE_SECOND;

  /** An endpoint that answered within this time serves, whatever becomes of polls. */
  private static final Span SERVES_AFTER_ANSWER = Timing.ONE_SECOND.times(2);

  private final DecisionContext context;
  private final ServiceTimes serviceTimes;
  private final SlowStart slowStart;
  private final PollScheduler polls;
  private final PrimaryTracker primaries;
  private final ConnectionUse connections;
  private final CongestionTracker congestion;
  private double usualLatencyStrain = INITIAL_LATENCY_STRAIN;

  EndpointHealth(
      DecisionContext context,
      ServiceTimes serviceTimes,
      SlowStart slowStart,
      PollScheduler polls,
      PrimaryTracker primaries,
      ConnectionUse connections,
      CongestionTracker congestion) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    this.slowStart = slowStart;
    this.polls = polls;
    this.primaries = primaries;
    this.connections = connections;
    this.congestion = congestion;
  }

  /** Share of recent attempts that the endpoint lost or failed. */
  double failureRate(Endpoint endpoint) {
    return endpoint.health().failureRate().valueAt(context.now(), Timing.LONG_DECAY);
  }

  boolean isOutlier(Endpoint endpoint) {
    return !(failureRate(endpoint) < OUTLIER_FAILURE_RATE);
  }

  /** Recent response time over the latency objective. */
  double latencyStrain(Endpoint endpoint) {
    return usualLatencyStrain
        + endpoint.load().excessLatencyRatio().valueAt(context.now(), Timing.SHORT_DECAY);
  }

  /** The latency strain of endpoints in general. */
  double usualLatencyStrain() {
    return usualLatencyStrain;
  }

  /** Whether a share of the endpoint's capacity allows one more attempt. */
  boolean hasCapacity(Endpoint endpoint, double share) {
    return endpoint.load().inFlight() + abandonedAttempts(endpoint)
        < endpoint.load().capacity() * share;
  }

  /** Attempts given up on occupy the endpoint for about as long as a statement takes. */
  private double abandonedAttempts(Endpoint endpoint) {
    return endpoint
        .load()
        .abandonedAttempts()
        .valueAt(context.now(), new Span((long) serviceTimes.overallMicros()));
  }

  private void addAbandonedAttempt(Endpoint endpoint) {
    endpoint.load().abandonedAttempts().set(context.now(), abandonedAttempts(endpoint) + 1);
  }

  /** Takes in the end of an attempt. */
  void recordAttempt(Endpoint endpoint, Statement statement, AttemptOutcome outcome, Span took) {
    if (outcome == AttemptOutcome.NO_DESCRIPTOR) {
      // The fault is this router's own.
      return;
    }
    recordOutcome(endpoint, statement, outcome, took);
    boolean late =
        !took.isShorterThan(statement.workload().latencyObjective().times(LATE_SHARE_OF_OBJECTIVE));
    if (late
        && context.now().since(endpoint.polling().sentAt()).isLongerThan(MAX_UNPOLLED_WHEN_LATE)) {
      polls.pollNow(endpoint);
    }
    congestion.recordAttempt(endpoint, statement, outcome, late);
    if (outcome == AttemptOutcome.COMPLETED) {
      recordCompletion(endpoint, statement, took);
    }
    endpoint.load().clearUnansweredIfIdle();
    pauseBelowOneAttempt(endpoint);
  }

  private void recordOutcome(
      Endpoint endpoint, Statement statement, AttemptOutcome outcome, Span took) {
    switch (outcome) {
      case FULL -> recordFullQueue(endpoint);
      case COMPLETED, ERROR, MISS -> recordAnswer(endpoint, outcome);
      case RESET, NO_CONNECTION -> {
        recordFailure(endpoint, 1);
        markDown(endpoint);
      }
      case CANCELLED -> addAbandonedAttempt(endpoint);
      case TIMED_OUT -> recordTimeout(endpoint, statement, took);
      default -> {
        // Never sent, or unknown: tells nothing of the endpoint.
      }
    }
  }

  /** An endpoint that hangs with a full queue answers so at once: this is no sign of life. */
  private void recordFullQueue(Endpoint endpoint) {
    HealthState health = endpoint.health();
    LoadState load = endpoint.load();
    health.recordQueueFullResponse();
    double pauseMicros =
        serviceTimes.overallMicros() * (1 << health.consecutiveQueueFullResponses()) / 2;
    health.setBackoffUntil(context.now().plus(new Span((long) pauseMicros)));
    if (context
        .now()
        .since(load.capacityReducedAt())
        .isLongerThan(new Span((long) serviceTimes.overallMicros()))) {
      load.reduceCapacity(
          context.now(),
          Math.max(MIN_CAPACITY_ATTEMPTS, 0.7 * Math.min(load.capacity(), load.inFlight() + 1)));
    }
  }

  private void recordAnswer(Endpoint endpoint, AttemptOutcome outcome) {
    endpoint.health().resetQueueFullResponses();
    markUp(endpoint);
    endpoint.health().markResponsive();
    endpoint.load().recordResponse(context.now());
    if (outcome != AttemptOutcome.ERROR) {
      recordFailure(endpoint, 0);
    }
  }

  private void recordTimeout(Endpoint endpoint, Statement statement, Span took) {
    addAbandonedAttempt(endpoint);
    if (!endpoint.load().unansweredSince().isAfter(context.now().minus(took))) {
      // No answer at all came back since it was sent: it is lost. An endpoint that answers others
      // is only slow.
      recordFailure(endpoint, 1);
    }
    recordLatency(endpoint, statement, took);
    polls.pollNow(endpoint);
  }

  private void recordCompletion(Endpoint endpoint, Statement statement, Span took) {
    recordLatency(endpoint, statement, took);
    serviceTimes.recordCompletion(statement.workloadIndex(), took);
    // Only answers show what an endpoint can do; what is sent may be a storm of retries.
    endpoint
        .load()
        .completedWork()
        .add(
            context.now(),
            Timing.SHORT_DECAY,
            serviceTimes.typicalMicros(statement.workloadIndex()));
  }

  /** A capacity of less than one attempt is kept by a pause after each one. */
  private void pauseBelowOneAttempt(Endpoint endpoint) {
    if (endpoint.load().capacity() < 1) {
      double occupied = Math.max(abandonedAttempts(endpoint), 1 / endpoint.load().capacity() - 1);
      endpoint.load().abandonedAttempts().set(context.now(), occupied);
    }
  }

  /** Learns the latency strain, and adapts the capacity to it. */
  private void recordLatency(Endpoint endpoint, Statement statement, Span took) {
    DecayingValue excess = endpoint.load().excessLatencyRatio();
    double latest =
        Math.min(MAX_COUNTED_STRAIN, took.over(statement.workload().latencyObjective()));
    double strain =
        latencyStrain(endpoint)
            + context.eventWeight(excess.updatedAt()) * (latest - latencyStrain(endpoint));
    usualLatencyStrain += Timing.LEARNING_RATE / 4 * (strain - usualLatencyStrain);
    excess.set(context.now(), strain - usualLatencyStrain);
    adaptCapacity(endpoint.load(), strain, latest);
  }

  private static void adaptCapacity(LoadState load, double strain, double latest) {
    boolean busy = load.cpuUtilization() > BUSY_UTILIZATION;
    double capacity = load.capacity();
    if (Math.min(strain, latest) > (busy ? BUSY_STRAIN_LIMIT : STRAIN_LIMIT)) {
      double step = Math.min(0.3, 0.1 * capacity);
      load.setCapacity(Math.max(MIN_CAPACITY_ATTEMPTS, capacity - step));
    } else if (load.inFlight() + 1 > 0.7 * capacity && strain < 1.5 * BUSY_STRAIN_LIMIT) {
      double step = load.cpuUtilization() < BUSY_UTILIZATION ? 0.5 : 1 / Math.max(2, capacity);
      load.setCapacity(Math.min(MAX_CAPACITY_ATTEMPTS, capacity + step));
    }
  }

  private void recordFailure(Endpoint endpoint, double severity) {
    DecayingValue failureRate = endpoint.health().failureRate();
    failureRate.moveTowards(
        context.now(), Timing.LONG_DECAY, context.eventWeight(failureRate.updatedAt()), severity);
  }

  /**
   * An error may be the endpoint's or the statement's own. Where a statement that erred succeeds
   * elsewhere, the endpoint failed. A statement that errs at two endpoints, neither known to fail,
   * is taken to be faulty itself and no endpoint is blamed; this is wrong where several endpoints
   * begin to fail at once, until some statement succeeds.
   */
  void recordError(Statement statement, int attempt, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.ERROR) {
      statement.recordError(
          attempt, failureRate(statement.endpoint(attempt)) < OUTLIER_FAILURE_RATE);
    } else if (outcome == AttemptOutcome.COMPLETED && statement.errorsOnHealthyEndpoints() > 0) {
      for (int i = 0; i < statement.attempts(); i++) {
        if (statement.endedInError(i)) {
          recordFailure(statement.endpoint(i), 1);
        }
      }
    }
  }

  /** Whether an attempt is unanswered for too long, given what its workload usually takes. */
  void detectSilence(Endpoint endpoint, Statement statement, Moment sent) {
    double usualMicros =
        serviceTimes.typicalMicros(statement.workloadIndex())
            * Math.max(1, latencyStrain(endpoint) / usualLatencyStrain);
    Span patience =
        new Span((long) (usualMicros * (2 + 4.0 / Math.max(1, endpoint.load().inFlight()))))
            .longer(MIN_SILENCE);
    if (!endpoint.health().isUnresponsive()
        && context
            .now()
            .since(endpoint.load().unansweredSince().later(sent))
            .isLongerThan(patience)) {
      polls.pollNow(endpoint);
      markSilent(endpoint);
    }
  }

  void markSilent(Endpoint endpoint) {
    endpoint.health().markUnresponsive(context.now());
    endpoint.group().subset().markStale();
    primaries.lose(endpoint);
  }

  void markDown(Endpoint endpoint) {
    if (!endpoint.health().isDown()) {
      endpoint.group().subset().markStale();
    }
    endpoint.health().markDown(context.now());
    polls.pollNow(endpoint);
    primaries.lose(endpoint);
  }

  /** The endpoint has answered something. */
  void markUp(Endpoint endpoint) {
    HealthState health = endpoint.health();
    recordAnyAnswer(endpoint);
    endpoint.polling().resetMissedPolls();
    connections.recordSignOfLife(endpoint);
    if (health.isDown()
        && context.now().since(health.downSince()).isLongerThan(Timing.ONE_SECOND)) {
      // The list tells of a restart only seconds later.
      slowStart.recordStart(endpoint, context.now());
    }
    health.markUp();
  }

  /** The endpoint exists, whatever it answered. */
  void recordAnyAnswer(Endpoint endpoint) {
    endpoint.health().recordResponse();
    endpoint.group().recordResponse();
  }

  /** A poll was answered by a refusal, or not at all. */
  void recordMissedPoll(Endpoint endpoint, boolean refused) {
    endpoint.polling().recordMissedPoll();
    int missed = endpoint.polling().missedPolls();
    if (refused) {
      markDown(endpoint);
    } else if (missed > 1 && !servesStatements(endpoint) && !endpoint.health().isUnresponsive()) {
      markSilent(endpoint);
    }
    boolean asksAgain = polls.isPolledRegularly(endpoint) || missed == 1;
    endpoint
        .polling()
        .scheduleAt(asksAgain ? context.now().plus(repeatPause(endpoint, refused)) : Moment.NEVER);
  }

  private Span repeatPause(Endpoint endpoint, boolean refused) {
    return refused || endpoint.polling().missedPolls() > 1
        ? polls.backoff(endpoint)
        : PollScheduler.MIN_INTERVAL;
  }

  private boolean servesStatements(Endpoint endpoint) {
    return context
        .now()
        .since(endpoint.load().lastIdleConnectionAt())
        .isShorterThan(SERVES_AFTER_ANSWER);
  }
}
