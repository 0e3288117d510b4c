package basaltlever;

import basaltlever.balancer.LoadBalancer;
import basaltlever.gateway.AttemptLimits;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.DecisionSink;
import basaltlever.gateway.DrainPolicy;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.PoolSettings;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Replication;
import basaltlever.gateway.Role;
import basaltlever.gateway.RouterIdentity;
import basaltlever.gateway.Settings;
import basaltlever.gateway.SlowStartPolicy;
import basaltlever.gateway.StatementRequest;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.DeduplicationScope;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.hold.HoldBudget;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Drives one load balancer: records its decisions, checks the rules at each of them, and can
 * simulate endpoints.
 */
public final class LoadBalancerHarness implements DecisionSink {
  static final int ANY = 0;
  static final int BOUNDED = 1;
  static final int SESSION = 2;
  static final int FRESH = 3;
  static final int WRITE = 4;
  static final int DEDUPLICATED = 5;
  static final int LATE_TOLERANT = 6;
  static final int LONG_RUNNING = 7;
  static final Span ANSWER_SLACK = ms(20);

  record SentAttempt(
      int statement, int attempt, int endpoint, Span timeout, Moment sentAt, Moment sendBy) {}

  private record ScheduledAction(Moment dueAt, int sequence, Runnable action) {}

  /**
   * The actual state of an endpoint, which the load balancer observes only through polls, responses
   * and the list.
   */
  static final class SimulatedEndpoint {
    boolean alive = true;
    boolean hanging;
    boolean primary;
    boolean listedReady = true;
    boolean wasPrimary;
    boolean reportedAsReplica;
    Moment position;
    Moment startedAt = Moment.LONG_AGO;
    Moment listedStartedAt = Moment.LONG_AGO;
    double errorRate;
    final List<Moment> attemptTimes = new ArrayList<>();
  }

  static final class StatementRecord {
    Moment clientDeadline;

    /** The workload in force when the statement was received. */
    Workload workload;

    long session;
    Moment requiredPosition = Moment.LONG_AGO;
    boolean answered;
    boolean mayHaveExecuted;
    Moment firstUncertainSentAt = Moment.NEVER;
    int attempts;
    int inFlight;
  }

  Moment now = new Moment(1_000_000_000L);
  final LoadBalancer balancer;
  final HoldBudget holdBudget = new HoldBudget(10_000, 1 << 20);
  final List<PlannedSwitchover.Phase> phases = new ArrayList<>();
  int preparedConnections;
  final Settings settings;
  private final Span slo;
  Workload[] workloads;
  final Replication replication;
  final AttemptLimits attemptLimits;
  final SlowStartPolicy slowStart = new SlowStartPolicy(0.2, ms(10_000), 2, ms(1_000));
  final List<SentAttempt> attempts = new ArrayList<>();
  final List<Integer> polledEndpoints = new ArrayList<>();
  final List<Integer> endpointsWithIdleClosed = new ArrayList<>();
  final List<Integer> removedEndpoints = new ArrayList<>();
  final List<Integer> rejectedStatements = new ArrayList<>();
  final List<Integer> abortedStatements = new ArrayList<>();
  final List<SentAttempt> cancelledAttempts = new ArrayList<>();
  int watchRequests;
  Span lastRetryAfter;
  final Set<SentAttempt> endedAttempts = new HashSet<>();
  final List<SimulatedEndpoint> endpoints = new ArrayList<>();
  final List<StatementRecord> statements = new ArrayList<>();
  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          (a, b) ->
              a.dueAt.equals(b.dueAt)
                  ? Integer.compare(a.sequence, b.sequence)
                  : a.dueAt.isBefore(b.dueAt) ? -1 : 1);
  private final Map<Long, Moment> lastCommitBySession = new HashMap<>();
  private int nextSequence;

  /** If set, simulated endpoints respond to attempts and polls. */
  private SplittableRandom random;

  static Span ms(double millis) {
    return Span.ofMillis(millis);
  }

  private Workload createWorkload(
      ReadConsistency consistency,
      Idempotency idempotency,
      double priorityWeight,
      double lateValue) {
    return new Workload(
        consistency,
        ms(300),
        idempotency,
        DeduplicationScope.GROUP,
        ms(600),
        slo,
        ms(2_000),
        priorityWeight,
        lateValue,
        true);
  }

  LoadBalancerHarness(
      boolean replicasCheckFreshness,
      boolean positionsInResponses,
      boolean sessionsCarryTokens,
      boolean discoveryOnRequest,
      boolean hedgingEnabled) {
    this(
        replicasCheckFreshness,
        positionsInResponses,
        sessionsCarryTokens,
        discoveryOnRequest,
        hedgingEnabled,
        2,
        7);
  }

  LoadBalancerHarness(
      boolean replicasCheckFreshness,
      boolean positionsInResponses,
      boolean sessionsCarryTokens,
      boolean discoveryOnRequest,
      boolean hedgingEnabled,
      int routers,
      long seed) {
    this(
        replicasCheckFreshness,
        positionsInResponses,
        sessionsCarryTokens,
        discoveryOnRequest,
        hedgingEnabled,
        routers,
        seed,
        300);
  }

  LoadBalancerHarness(
      boolean replicasCheckFreshness,
      boolean positionsInResponses,
      boolean sessionsCarryTokens,
      boolean discoveryOnRequest,
      boolean hedgingEnabled,
      int routers,
      long seed,
      int sloMillis) {
    this(
        replicasCheckFreshness,
        positionsInResponses,
        sessionsCarryTokens,
        discoveryOnRequest,
        hedgingEnabled,
        routers,
        seed,
        sloMillis,
        0);
  }

  /** Adds a workload of long-running reads if {@code longMillis} is not 0. */
  LoadBalancerHarness(
      boolean replicasCheckFreshness,
      boolean positionsInResponses,
      boolean sessionsCarryTokens,
      boolean discoveryOnRequest,
      boolean hedgingEnabled,
      int routers,
      long seed,
      int sloMillis,
      int longMillis) {
    slo = ms(sloMillis);
    Workload[] defaultWorkloads = {
      createWorkload(ReadConsistency.ANY, Idempotency.IDEMPOTENT, 1, 0),
      createWorkload(ReadConsistency.BOUNDED, Idempotency.IDEMPOTENT, 2, 0.2),
      createWorkload(ReadConsistency.SESSION, Idempotency.IDEMPOTENT, 2, 0),
      createWorkload(ReadConsistency.FRESH, Idempotency.IDEMPOTENT, 1, 0.2),
      createWorkload(ReadConsistency.WRITE, Idempotency.NON_IDEMPOTENT, 4, 0.5),
      createWorkload(ReadConsistency.WRITE, Idempotency.DEDUPLICATED, 3, 0.5),
      createWorkload(ReadConsistency.WRITE, Idempotency.NON_IDEMPOTENT, 3, 0.8)
    };
    workloads =
        longMillis == 0 ? defaultWorkloads : Arrays.copyOf(defaultWorkloads, LONG_RUNNING + 1);
    if (longMillis > 0) {
      workloads[LONG_RUNNING] =
          new Workload(
              ReadConsistency.ANY,
              ms(0),
              Idempotency.IDEMPOTENT,
              DeduplicationScope.GROUP,
              ms(0),
              ms(longMillis),
              ms(2 * longMillis),
              4,
              0,
              true);
    }
    replication =
        new Replication(replicasCheckFreshness, positionsInResponses, sessionsCarryTokens);
    attemptLimits = new AttemptLimits(6, hedgingEnabled, true, true, ms(1_000), ANSWER_SLACK);
    settings =
        new Settings(
            new RouterIdentity(routers, 0),
            workloads,
            replication,
            new DrainPolicy(discoveryOnRequest, ms(10_000), true),
            slowStart,
            attemptLimits,
            new PoolSettings(1, ms(15_000), ms(250)));
    balancer = new LoadBalancer(this, new SplittableRandom(seed), settings, holdBudget, now);
  }

  /**
   * Returns a harness in which responses carry positions, replicas check freshness, one attempt may
   * be in flight and removals are not binding.
   */
  static LoadBalancerHarness withSingleAttempts() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(true, true, true, false, false, 2, 7, 300, 6_000);
    harness.balancer.applySettings(harness.now, harness.settingsWith(harness.attemptLimits, false));
    return harness;
  }

  Settings settingsWith(AttemptLimits limits, boolean removalIsBinding) {
    return new Settings(
        settings.identity(),
        workloads,
        replication,
        new DrainPolicy(false, ms(10_000), removalIsBinding),
        slowStart,
        limits,
        settings.poolSettings());
  }

  /** Applies settings with other workloads; statements received before keep theirs. */
  void applyWorkloads(Workload[] nextWorkloads) {
    workloads = nextWorkloads;
    balancer.applySettings(
        now,
        new Settings(
            settings.identity(),
            nextWorkloads,
            replication,
            settings.drainPolicy(),
            slowStart,
            attemptLimits,
            settings.poolSettings()));
  }

  static LoadBalancerHarness withDefaults() {
    return new LoadBalancerHarness(false, false, false, false, true);
  }

  // Events that the test triggers.

  LoadBalancerHarness listEndpoints(int count) {
    balancer.onListStarted();
    for (int i = 0; i < count; i++) {
      balancer.onEndpointListed(now, i, EndpointLifecycle.READY, 1, 0, 1, Moment.LONG_AGO);
    }
    balancer.onListFinished(now, true, true);
    return this;
  }

  void listEndpoint(int endpoint, EndpointLifecycle lifecycle, Moment startedAt) {
    balancer.onListStarted();
    balancer.onEndpointListed(now, endpoint, lifecycle, 1, 0, 1, startedAt);
    balancer.onListFinished(now, false, true);
  }

  LoadBalancerHarness advance(double millis) {
    for (Moment end = now.plus(ms(millis)); now.isBefore(end); ) {
      now = now.plus(ms(5)).earlier(end);
      balancer.onTimerFired(now);
    }
    return this;
  }

  void completePoll(int endpoint, Role role, Moment position) {
    balancer.onPollEnded(now, endpoint, AttemptOutcome.COMPLETED, role, position, 0.5, Double.NaN);
  }

  /**
   * Lists three endpoints; endpoint 0 reports as primary, the others as replicas with the given
   * lag.
   */
  LoadBalancerHarness discoverGroup(double lagMillis) {
    listEndpoints(3);
    completePoll(0, Role.PRIMARY, now);
    completePoll(1, Role.REPLICA, now.minus(ms(lagMillis)));
    completePoll(2, Role.REPLICA, now.minus(ms(lagMillis)));
    return this;
  }

  int receiveStatement(int workload) {
    return receiveStatement(workload, 9, Moment.LONG_AGO, 1_000);
  }

  int receiveStatement(int workload, long session, Moment committed, double deadlineMillis) {
    StatementRecord statement = new StatementRecord();
    statement.workload = workloads[workload];
    statement.session = session;
    statement.clientDeadline = now.plus(ms(deadlineMillis));
    ReadConsistency consistency = workloads[workload].consistency();
    statement.requiredPosition =
        consistency == ReadConsistency.FRESH
            ? now
            : consistency != ReadConsistency.SESSION
                ? Moment.LONG_AGO
                : replication.sessionsCarryTokens()
                    ? committed
                    : lastCommitBySession.getOrDefault(session, Moment.LONG_AGO);
    statements.add(statement);
    int id = statements.size() - 1;
    balancer.onStatementReceived(
        now,
        id,
        new StatementRequest(workload, 1, session, statement.clientDeadline, committed, 100));
    return id;
  }

  /**
   * Marks a random statement as answered, as for a client that disconnects early, and returns its
   * id.
   */
  int disconnectRandomClient(SplittableRandom source) {
    int id = statements.isEmpty() ? receiveStatement(ANY) : source.nextInt(statements.size());
    statements.get(id).answered = true;
    return id;
  }

  SentAttempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  void endAttempt(SentAttempt attempt, AttemptOutcome outcome, Role role) {
    endAttempt(attempt, outcome, role, Moment.LONG_AGO);
  }

  void endAttempt(SentAttempt attempt, AttemptOutcome outcome, Role role, Moment position) {
    StatementRecord statement = statements.get(attempt.statement);
    statement.inFlight--;
    if (!outcome.provesNotExecuted) {
      statement.mayHaveExecuted = true;
      statement.firstUncertainSentAt = statement.firstUncertainSentAt.earlier(attempt.sentAt);
    }
    boolean first = outcome == AttemptOutcome.COMPLETED && !statement.answered;
    if (first) {
      check(
          !now.isAfter(statement.clientDeadline.plus(ANSWER_SLACK)),
          "expected a response within the client's deadline");
      statement.answered = true;
    }
    if (role == Role.REPLICA && attempt.endpoint < endpoints.size()) {
      endpoints.get(attempt.endpoint).reportedAsReplica = true;
    }
    balancer.onAttemptEnded(
        now, attempt.statement, attempt.attempt, outcome, role, position, statement.answered);
  }

  /** Ends the selected attempts, each of them once. */
  void endAttempts(Predicate<SentAttempt> selected, AttemptOutcome outcome, Role role) {
    attempts.stream()
        .filter(selected)
        .filter(endedAttempts::add)
        .toList()
        .forEach(s -> endAttempt(s, outcome, role));
  }

  /** Times out the attempts in flight whose client deadline has passed. */
  void timeOutAttemptsPastDeadline() {
    endAttempts(
        s -> !now.isBefore(statements.get(s.statement).clientDeadline),
        AttemptOutcome.TIMED_OUT,
        Role.UNKNOWN);
  }

  boolean isOlder(SentAttempt attempt, double millis) {
    return now.since(attempt.sentAt).isLongerThan(ms(millis));
  }

  // Decisions of the load balancer, checked against the rules.

  public static void check(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }

  @Override
  public void startAttempt(int statement, int endpoint, Span timeout, Moment sendBy) {
    StatementRecord sentStatement = statements.get(statement);
    Workload workload = sentStatement.workload;
    check(!sentStatement.answered, "rule 1: expected no attempt after the final response");
    check(
        sentStatement.attempts < attemptLimits.maxAttempts(),
        "expected no more attempts than the limit");
    check(
        attemptLimits.hedgingEnabled() || sentStatement.inFlight == 0,
        "expected one attempt in flight with hedging disabled");
    if (workload.idempotency() == Idempotency.NON_IDEMPOTENT) {
      check(
          !sentStatement.mayHaveExecuted && sentStatement.inFlight == 0,
          "rule 2: expected no retry of a non-idempotent statement that may have been executed");
    } else if (workload.idempotency() == Idempotency.DEDUPLICATED
        && (sentStatement.mayHaveExecuted || sentStatement.inFlight > 0)) {
      check(
          now.isBefore(sentStatement.firstUncertainSentAt.plus(workload.deduplicationWindow()))
              && !sendBy.isAfter(
                  sentStatement.firstUncertainSentAt.plus(workload.deduplicationWindow())),
          "rule 2: expected retries only within the window, also on a late connection");
    }
    if (endpoint < endpoints.size()) {
      checkEndpoint(endpoints.get(endpoint), sentStatement, workload);
    }
    SentAttempt attempt =
        new SentAttempt(statement, sentStatement.attempts++, endpoint, timeout, now, sendBy);
    sentStatement.inFlight++;
    attempts.add(attempt);
    if (random != null) {
      simulateAttempt(attempt, endpoints.get(endpoint), sentStatement);
    }
  }

  private void checkEndpoint(
      SimulatedEndpoint endpoint, StatementRecord statement, Workload workload) {
    check(
        endpoint.listedReady,
        "rule 3: expected no attempt on an endpoint known to drain or be gone");
    if (!replication.replicasCheckFreshness()
        && !(endpoint.wasPrimary && !endpoint.reportedAsReplica)) {
      Moment requiredPosition =
          workload.consistency() == ReadConsistency.BOUNDED
              ? now.minus(workload.maxStaleness())
              : statement.requiredPosition;
      check(!actualPosition(endpoint).isBefore(requiredPosition), "rule 5: expected no stale read");
    }
    Span age = now.since(endpoint.startedAt);
    if (age.isShorterThan(slowStart.warmUpTime())
        && endpoint.listedStartedAt.equals(endpoint.startedAt)) {
      endpoint.attemptTimes.add(now);
      long recent =
          endpoint.attemptTimes.stream()
              .filter(at -> now.since(at).isShorterThan(slowStart.overloadTime()))
              .count();
      double capacity =
          ENDPOINT_STATEMENTS_PER_SECOND
              * (slowStart.initialShare()
                  + (1 - slowStart.initialShare()) * age.ratioTo(slowStart.warmUpTime()));
      check(
          recent <= Math.max(2, slowStart.overloadFactor() * capacity),
          "rule 4: expected no overload of a cold endpoint");
    }
  }

  @Override
  public void cancel(int statement, int attempt) {
    check(
        attempt < statements.get(statement).attempts,
        "expected cancellation only of attempts that were sent");
    cancelledAttempts.add(new SentAttempt(statement, attempt, -1, Span.NONE, now, now));
  }

  @Override
  public void reject(int statement, Span retryAfter, RejectReason reason) {
    StatementRecord rejectedStatement = statements.get(statement);
    check(
        !retryAfter.isLongerThan(attemptLimits.maxRetryAfter()),
        "expected a retry-after within the limit");
    check(
        rejectedStatement.workload.idempotency() == Idempotency.IDEMPOTENT
            || (!rejectedStatement.mayHaveExecuted && rejectedStatement.inFlight == 0),
        "rule 2: expected no rejection of a non-idempotent statement that may have been executed");
    markAnswered(rejectedStatement);
    lastRetryAfter = retryAfter;
    rejectedStatements.add(statement);
  }

  @Override
  public void abort(int statement) {
    markAnswered(statements.get(statement));
    abortedStatements.add(statement);
  }

  private void markAnswered(StatementRecord statement) {
    check(!statement.answered, "rule 1: expected a single response");
    check(
        !now.isAfter(statement.clientDeadline.plus(ANSWER_SLACK)),
        "rule 1: expected a response within the client's deadline");
    statement.answered = true;
  }

  @Override
  public void poll(int endpoint) {
    polledEndpoints.add(endpoint);
    if (random == null) {
      return;
    }
    SimulatedEndpoint polledEndpoint = endpoints.get(endpoint);
    Moment reportedAt = now.minus(ms(random.nextInt(150)));
    boolean primary = polledEndpoint.primary;
    Moment position = actualPosition(polledEndpoint).earlier(reportedAt);
    schedule(
        random.nextInt(1, 10),
        () -> {
          if (polledEndpoint.alive) {
            balancer.onPollEnded(
                now,
                endpoint,
                AttemptOutcome.COMPLETED,
                primary ? Role.PRIMARY : Role.REPLICA,
                position,
                random.nextInt(20) == 0 ? Double.NaN : random.nextDouble(),
                Double.NaN);
          } else {
            balancer.onPollEnded(
                now,
                endpoint,
                random.nextBoolean() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.NO_CONNECTION,
                Role.UNKNOWN,
                Moment.LONG_AGO,
                Double.NaN,
                Double.NaN);
          }
        });
  }

  @Override
  public void onEndpointRemoved(int endpoint) {
    removedEndpoints.add(endpoint);
  }

  @Override
  public void closeIdleConnections(int endpoint) {
    endpointsWithIdleClosed.add(endpoint);
  }

  @Override
  public void watchEndpointList() {
    watchRequests++;
    if (random != null) {
      schedule(
          random.nextInt(5, 200),
          () -> {
            if (random.nextInt(3) == 0) {
              balancer.onListRequestFailed(now);
            } else {
              listAllEndpoints();
            }
          });
    }
  }

  @Override
  public void setTimer(Span delay) {
    check(delay.micros() > 0, "expected a positive timer delay");
    schedule(Math.max(1, delay.micros() / 1_000.0), () -> balancer.onTimerFired(now));
  }

  @Override
  public void onPrimaryChanged(int group, int endpoint, boolean found) {}

  @Override
  public void openConnections(int endpoint, int connections) {
    preparedConnections = connections;
  }

  @Override
  public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, int target) {
    phases.add(phase);
  }

  // Simulated endpoints.

  static final double ENDPOINT_STATEMENTS_PER_SECOND = 100;

  void simulateEndpoints(SplittableRandom source, int count) {
    random = source;
    for (int i = 0; i < count; i++) {
      SimulatedEndpoint endpoint = new SimulatedEndpoint();
      endpoint.primary = endpoint.wasPrimary = i == 0;
      endpoint.position = now;
      endpoints.add(endpoint);
    }
    listAllEndpoints();
  }

  void listAllEndpoints() {
    balancer.onListStarted();
    for (int i = 0; i < endpoints.size(); i++) {
      SimulatedEndpoint endpoint = endpoints.get(i);
      endpoint.listedStartedAt = endpoint.startedAt;
      balancer.onEndpointListed(
          now,
          i,
          endpoint.listedReady ? EndpointLifecycle.READY : EndpointLifecycle.DRAINING,
          1,
          i % 2,
          1,
          endpoint.startedAt);
    }
    balancer.onListFinished(now, true, true);
  }

  private Moment actualPosition(SimulatedEndpoint endpoint) {
    return endpoint.primary && endpoint.alive ? now : endpoint.position;
  }

  private void schedule(double delayMillis, Runnable action) {
    scheduledActions.add(new ScheduledAction(now.plus(ms(delayMillis)), nextSequence++, action));
  }

  private void simulateAttempt(
      SentAttempt attempt, SimulatedEndpoint endpoint, StatementRecord statement) {
    boolean write = statement.workload.consistency() == ReadConsistency.WRITE;
    double timeoutMillis = attempt.timeout.micros() > 0 ? attempt.timeout.micros() / 1e3 : 1e9;
    double remainingMillis =
        Math.max(1, Math.min(timeoutMillis, statement.clientDeadline.since(now).micros() / 1e3));
    double durationMillis = endpoint.alive ? 1 + random.nextInt(40) : 3;
    AttemptOutcome outcome =
        !endpoint.alive
            ? random.nextBoolean() ? AttemptOutcome.NO_CONNECTION : AttemptOutcome.RESET
            : endpoint.hanging
                ? AttemptOutcome.TIMED_OUT
                : random.nextDouble() < endpoint.errorRate
                    ? AttemptOutcome.ERROR
                    : random.nextInt(50) == 0
                        ? AttemptOutcome.FULL
                        : write && !endpoint.primary
                            ? AttemptOutcome.MISS
                            : AttemptOutcome.COMPLETED;
    if (outcome == AttemptOutcome.TIMED_OUT || durationMillis > remainingMillis) {
      durationMillis = remainingMillis;
      outcome = AttemptOutcome.TIMED_OUT;
    }
    AttemptOutcome plannedOutcome = outcome;
    schedule(
        durationMillis,
        () -> {
          // A write in progress when its endpoint loses the primary role ends in an error.
          boolean roleLost =
              write
                  && plannedOutcome == AttemptOutcome.COMPLETED
                  && !(endpoint.primary && endpoint.alive);
          AttemptOutcome actualOutcome = roleLost ? AttemptOutcome.ERROR : plannedOutcome;
          boolean responds =
              actualOutcome == AttemptOutcome.COMPLETED
                  || actualOutcome == AttemptOutcome.MISS
                  || actualOutcome == AttemptOutcome.ERROR;
          boolean committed = write && actualOutcome == AttemptOutcome.COMPLETED;
          if (committed && !statement.answered) {
            lastCommitBySession.merge(statement.session, now, Moment::later);
          }
          endAttempt(
              attempt,
              actualOutcome,
              !responds ? Role.UNKNOWN : endpoint.primary ? Role.PRIMARY : Role.REPLICA,
              committed
                  ? now
                  : responds && replication.positionsInResponses()
                      ? endpoint.position
                      : Moment.LONG_AGO);
        });
  }

  /**
   * Advances the clock, runs scheduled actions in the order of their due times, and updates the
   * positions of the replicas.
   */
  void runFor(double millis) {
    Moment end = now.plus(ms(millis));
    while (!scheduledActions.isEmpty() && !scheduledActions.peek().dueAt.isAfter(end)) {
      ScheduledAction next = scheduledActions.poll();
      now = now.later(next.dueAt);
      next.action.run();
    }
    now = end;
    boolean hasLivePrimary = endpoints.stream().anyMatch(m -> m.primary && m.alive && !m.hanging);
    for (SimulatedEndpoint endpoint : endpoints) {
      if (endpoint.primary && endpoint.alive) {
        endpoint.position = now;
      } else if (endpoint.alive && hasLivePrimary) {
        endpoint.position =
            endpoint.position.later(now.minus(ms(random.nextInt(20) == 0 ? 500 : 20)));
      }
    }
    for (int i = 0; i < statements.size(); i++) {
      check(
          statements.get(i).answered
              || !now.isAfter(statements.get(i).clientDeadline.plus(ANSWER_SLACK)),
          "rule 1: expected a response to every statement by its deadline");
    }
  }
}
