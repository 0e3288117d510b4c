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
 * Outlier detection: determines which endpoints fail, are silent, down or overloaded, and how many
 * attempts each may have in flight.
 */
final class EndpointHealth {
  static final double BUSY_UTILIZATION = 0.9;

  /** An endpoint with at least this failure rate is an outlier. */
  static final double OUTLIER_FAILURE_RATE = 0.3;

  static final double MIN_CAPACITY_ATTEMPTS = 0.2;
  private static final double MAX_CAPACITY_ATTEMPTS = 500;

  /** The slowdown of an execution that does not wait in a queue of its endpoint. */
  private static final double UNQUEUED_SLOWDOWN = 2;

  /** Above this slowdown a statement waits at the endpoint for longer than it is executed. */
  private static final double QUEUED_SLOWDOWN = 2;

  /** One extremely slow answer must not outweigh all others. */
  private static final double MAX_SLOWDOWN_SAMPLE = 20;

  private static final Span MIN_SILENCE_TIMEOUT = Span.ofMillis(150);
  private static final Span MAX_POLL_AGE_WHEN_LATE = Timing.ONE_SECOND;

  /** An endpoint that answered an attempt within this time is serving, even if it misses polls. */
  private static final Span MAX_ANSWER_AGE_WHEN_SERVING = Timing.ONE_SECOND.times(2);

  private final DecisionContext context;
  private final ServiceTimes serviceTimes;
  private final SlowStart slowStart;
  private final PollScheduler polls;
  private final PrimaryTracker primaries;
  private final ConnectionUse connections;
  private double averageSlowdown = UNQUEUED_SLOWDOWN;

  EndpointHealth(
      DecisionContext context,
      ServiceTimes serviceTimes,
      SlowStart slowStart,
      PollScheduler polls,
      PrimaryTracker primaries,
      ConnectionUse connections) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    this.slowStart = slowStart;
    this.polls = polls;
    this.primaries = primaries;
    this.connections = connections;
  }

  /** Share of recent attempts that the endpoint lost or answered with a failure. */
  double failureRate(Endpoint endpoint) {
    return endpoint.health().failureRate().valueAt(context.now(), Timing.LONG_DECAY);
  }

  boolean isOutlier(Endpoint endpoint) {
    return !(failureRate(endpoint) < OUTLIER_FAILURE_RATE);
  }

  /** Recent response time of the endpoint divided by the time of an execution without a queue. */
  double slowdown(Endpoint endpoint) {
    return averageSlowdown
        + endpoint.load().excessSlowdown().valueAt(context.now(), Timing.SHORT_DECAY);
  }

  /** Whether statements wait at the endpoint for longer than they are executed. */
  boolean isQueueing(Endpoint endpoint) {
    return slowdown(endpoint) > QUEUED_SLOWDOWN;
  }

  /** Whether the given share of the endpoint's capacity allows an attempt of the statement. */
  boolean hasCapacity(Endpoint endpoint, Statement statement, double share) {
    LoadState load = endpoint.load();
    double occupied = load.inFlight() + abandonedAttempts(endpoint);
    return occupied < load.capacity() * share
        && (mayQueue(endpoint, statement)
            || occupied + unqueuedPause(endpoint) < load.unqueuedCapacity() * share);
  }

  /** The number of attempts of the statement's importance that the endpoint may have in flight. */
  double capacityFor(Endpoint endpoint, Statement statement) {
    LoadState load = endpoint.load();
    return mayQueue(endpoint, statement)
        ? load.capacity()
        : Math.min(load.capacity(), load.unqueuedCapacity());
  }

  /**
   * Whether the statement may wait in a queue at the endpoint, where nothing can overtake it: only
   * if no statement that the endpoint executes is more important.
   */
  private boolean mayQueue(Endpoint endpoint, Statement statement) {
    boolean isPrimary = endpoint == statement.group().primary();
    // A held statement that a more important one of its session waits for counts as that one.
    double priority = Math.max(statement.priority(), statement.holdPriority());
    return priority >= context.highestPriority(isPrimary);
  }

  private double unqueuedPause(Endpoint endpoint) {
    return endpoint
        .load()
        .unqueuedPause()
        .valueAt(context.now(), new Span((long) serviceTimes.overallMicros()));
  }

  /**
   * Returns the estimated number of cancelled and timed-out attempts still running at the endpoint:
   * each occupies it for about as long as a statement takes.
   */
  private double abandonedAttempts(Endpoint endpoint) {
    return endpoint
        .load()
        .abandonedAttempts()
        .valueAt(context.now(), new Span((long) serviceTimes.overallMicros()));
  }

  private void addAbandonedAttempt(Endpoint endpoint) {
    endpoint.load().abandonedAttempts().set(context.now(), abandonedAttempts(endpoint) + 1);
  }

  /** Updates failure rate, latency and capacity after an attempt. */
  void recordAttempt(
      Endpoint endpoint, Statement statement, AttemptOutcome outcome, Span duration) {
    if (outcome == AttemptOutcome.NO_DESCRIPTOR) {
      // The cause is this router's own lack of descriptors.
      return;
    }
    recordOutcome(endpoint, statement, outcome, duration);
    if (isLate(statement, duration)
        && context.now().since(endpoint.polling().sentAt()).isLongerThan(MAX_POLL_AGE_WHEN_LATE)) {
      polls.pollNow(endpoint);
    }
    if (outcome == AttemptOutcome.COMPLETED) {
      recordCompletion(endpoint, statement, duration);
    }
    endpoint.load().clearUnansweredIfIdle();
    enforceFractionalCapacity(endpoint);
  }

  /** Whether the attempt alone took longer than the deployment wants a statement to take. */
  private static boolean isLate(Statement statement, Span duration) {
    return !duration.isShorterThan(statement.workload().latencyObjective());
  }

  private void recordOutcome(
      Endpoint endpoint, Statement statement, AttemptOutcome outcome, Span duration) {
    switch (outcome) {
      case FULL -> recordFullQueue(endpoint);
      case COMPLETED, ERROR, MISS, STALE -> recordAnswer(endpoint, outcome);
      case RESET, NO_CONNECTION -> {
        recordFailure(endpoint, 1);
        markDown(endpoint);
      }
      case CANCELLED -> addAbandonedAttempt(endpoint);
      case TIMED_OUT -> recordTimeout(endpoint, statement, duration);
      default -> {
        // Never sent, or unknown: gives no information about the endpoint.
      }
    }
  }

  /**
   * Backs off after a full queue. An endpoint that hangs with a full queue still sends this answer
   * immediately, so it does not show that the endpoint is working.
   */
  private void recordFullQueue(Endpoint endpoint) {
    HealthState health = endpoint.health();
    LoadState load = endpoint.load();
    health.recordQueueFullResponse();
    double backoffMicros =
        serviceTimes.overallMicros() * (1 << health.consecutiveQueueFullResponses()) / 2;
    health.setBackoffUntil(context.now().plus(new Span((long) backoffMicros)));
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

  private void recordTimeout(Endpoint endpoint, Statement statement, Span duration) {
    addAbandonedAttempt(endpoint);
    if (!endpoint.load().unansweredSince().isAfter(context.now().minus(duration))) {
      // The endpoint has answered nothing since the attempt was sent, so the attempt is lost. An
      // endpoint that answers other attempts is only slow.
      recordFailure(endpoint, 1);
    }
    // An attempt that was sent with little time left says nothing of the endpoint's speed.
    if (!serviceTimes.isKnown(statement.workloadIndex())
        || duration.micros() >= serviceTimes.typicalMicros(statement.workloadIndex())) {
      recordLatency(endpoint, statement, duration, true);
    }
    polls.pollNow(endpoint);
  }

  private void recordCompletion(Endpoint endpoint, Statement statement, Span duration) {
    serviceTimes.recordCompletion(
        statement.workloadIndex(), duration, isBusy(endpoint.load()), context.now());
    recordLatency(endpoint, statement, duration, isLate(statement, duration));
    // Only answers show the capacity of an endpoint; the attempts sent may be a retry storm.
    endpoint
        .load()
        .completedWork()
        .add(
            context.now(),
            Timing.SHORT_DECAY,
            serviceTimes.typicalMicros(statement.workloadIndex()));
  }

  /** A capacity below one attempt is enforced by a pause after each attempt. */
  private void enforceFractionalCapacity(Endpoint endpoint) {
    LoadState load = endpoint.load();
    if (load.capacity() < 1) {
      double occupied = Math.max(abandonedAttempts(endpoint), 1 / load.capacity() - 1);
      load.abandonedAttempts().set(context.now(), occupied);
    }
    if (load.unqueuedCapacity() < 1) {
      load.unqueuedPause().set(context.now(), 1 / load.unqueuedCapacity() - 1);
    }
  }

  /** Updates the slowdown, and adapts the capacity to it. */
  private void recordLatency(
      Endpoint endpoint, Statement statement, Span duration, boolean tooLate) {
    DecayingValue excessSlowdown = endpoint.load().excessSlowdown();
    double latestSlowdown = slowdownOf(statement, duration);
    double slowdown =
        slowdown(endpoint)
            + context.eventWeight(excessSlowdown.updatedAt())
                * (latestSlowdown - slowdown(endpoint));
    averageSlowdown += Timing.LEARNING_RATE / 4 * (slowdown - averageSlowdown);
    excessSlowdown.set(context.now(), slowdown - averageSlowdown);
    adaptCapacity(endpoint.load(), slowdown, tooLate);
  }

  private double slowdownOf(Statement statement, Span duration) {
    double unqueuedMicros = serviceTimes.unqueuedMicros(statement.workloadIndex());
    return unqueuedMicros == 0
        ? UNQUEUED_SLOWDOWN
        : Math.min(MAX_SLOWDOWN_SAMPLE, duration.micros() / unqueuedMicros);
  }

  /**
   * Answers that come too late reduce the capacity. A queue at a busy endpoint reduces it only for
   * statements of less importance, since more important ones can't overtake them there.
   */
  private static void adaptCapacity(LoadState load, double slowdown, boolean tooLate) {
    boolean busy = isBusy(load);
    boolean queueing = busy && slowdown > QUEUED_SLOWDOWN;
    load.setCapacity(adapt(load.capacity(), tooLate, busy, load.inFlight()));
    load.setUnqueuedCapacity(
        adapt(load.unqueuedCapacity(), tooLate || queueing, busy, load.inFlight()));
  }

  private static double adapt(double capacity, boolean reduce, boolean busy, int inFlight) {
    double gradualStep = Math.min(0.3, 0.1 * capacity);
    if (reduce) {
      return Math.max(MIN_CAPACITY_ATTEMPTS, capacity - gradualStep);
    }
    boolean nearlyUsed = inFlight + 1 > 0.7 * capacity;
    double step = busy ? gradualStep : 0.5;
    return nearlyUsed ? Math.min(MAX_CAPACITY_ATTEMPTS, capacity + step) : capacity;
  }

  private static boolean isBusy(LoadState load) {
    return load.cpuUtilization() > BUSY_UTILIZATION;
  }

  private void recordFailure(Endpoint endpoint, double severity) {
    DecayingValue failureRate = endpoint.health().failureRate();
    failureRate.moveTowards(
        context.now(), Timing.LONG_DECAY, context.eventWeight(failureRate.updatedAt()), severity);
  }

  /**
   * Attributes errors, which may be caused by the endpoint or by the statement. If a statement that
   * failed with an error succeeds elsewhere, the endpoint is at fault. A statement that fails at
   * two endpoints, neither of them an outlier, is considered faulty itself and no endpoint is
   * blamed; this is wrong if several endpoints begin to fail at the same time, until some statement
   * succeeds.
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

  /**
   * Marks the endpoint silent if an attempt is unanswered for too long, given the typical time of
   * its workload.
   */
  void detectSilence(Endpoint endpoint, Statement statement, Moment sent) {
    if (!endpoint.health().isUnresponsive()
        && context
            .now()
            .since(endpoint.load().unansweredSince().later(sent))
            .isLongerThan(silenceTimeout(endpoint, statement))) {
      polls.pollNow(endpoint);
      markSilent(endpoint);
    }
  }

  private Span silenceTimeout(Endpoint endpoint, Statement statement) {
    if (!serviceTimes.isKnown(statement.workloadIndex())) {
      // Nothing is known of the work but the time in which its answer is wanted.
      return statement.workload().latencyObjective().longer(MIN_SILENCE_TIMEOUT);
    }
    double expectedMicros =
        serviceTimes.typicalMicros(statement.workloadIndex())
            * Math.max(1, slowdown(endpoint) / averageSlowdown);
    return new Span((long) (expectedMicros * (2 + 4.0 / Math.max(1, endpoint.load().inFlight()))))
        .longer(MIN_SILENCE_TIMEOUT);
  }

  void markSilent(Endpoint endpoint) {
    endpoint.health().markUnresponsive(context.now());
    endpoint.group().subset().markStale();
    primaries.markLost(endpoint);
  }

  void markDown(Endpoint endpoint) {
    if (!endpoint.health().isDown()) {
      endpoint.group().subset().markStale();
    }
    endpoint.health().markDown(context.now());
    polls.pollNow(endpoint);
    primaries.markLost(endpoint);
  }

  /** The endpoint has answered an attempt or a poll. */
  void markUp(Endpoint endpoint) {
    HealthState health = endpoint.health();
    recordResponse(endpoint);
    endpoint.polling().resetMissedPolls();
    connections.recordResponse(endpoint);
    if (health.isDown()
        && context.now().since(health.downSince()).isLongerThan(Timing.ONE_SECOND)) {
      // The endpoint list reports a restart only seconds later.
      slowStart.recordStart(endpoint, context.now());
    }
    health.markUp();
  }

  /** The endpoint exists, whatever its response was. */
  void recordResponse(Endpoint endpoint) {
    endpoint.health().recordResponse();
    endpoint.group().recordResponse();
  }

  /** Records a poll that was refused or not answered. */
  void recordMissedPoll(Endpoint endpoint, boolean refused) {
    endpoint.polling().recordMissedPoll();
    int missed = endpoint.polling().missedPolls();
    if (refused) {
      markDown(endpoint);
    } else if (missed > 1 && !isServing(endpoint) && !endpoint.health().isUnresponsive()) {
      markSilent(endpoint);
    }
    boolean repeatsPoll = polls.isPolledRegularly(endpoint) || missed == 1;
    endpoint
        .polling()
        .scheduleAt(
            repeatsPoll ? context.now().plus(repeatDelay(endpoint, refused)) : Moment.NEVER);
  }

  private Span repeatDelay(Endpoint endpoint, boolean refused) {
    return refused || endpoint.polling().missedPolls() > 1
        ? polls.backoff(endpoint)
        : PollScheduler.MIN_INTERVAL;
  }

  private boolean isServing(Endpoint endpoint) {
    return context
        .now()
        .since(endpoint.load().lastIdleConnectionAt())
        .isShorterThan(MAX_ANSWER_AGE_WHEN_SERVING);
  }
}
