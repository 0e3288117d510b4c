package basaltlever.balancer;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.model.DecayingValue;
import basaltlever.model.Endpoint;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** Estimates the setup cost of connections, and detects endpoints that run out of connections. */
final class ConnectionUse {
  /** A connection attempt that failed within this time was refused. */
  private static final Span MAX_REFUSAL_TIME = Span.ofMillis(100);

  /** Above this scarcity, idle connections are closed. */
  private static final double SCARCITY_LIMIT = 0.2;

  /**
   * Setup is expensive if it takes more than this share of a typical statement's execution time.
   */
  private static final double EXPENSIVE_SETUP_SHARE = 0.3;

  private final DecisionContext context;
  private final ServiceTimes serviceTimes;
  private final DecayingValue scarcity = new DecayingValue();
  private double setupMicros;

  ConnectionUse(DecisionContext context, ServiceTimes serviceTimes) {
    this.context = context;
    this.serviceTimes = serviceTimes;
  }

  /** Updates the setup cost and the scarcity of connections after an attempt. */
  void recordAttempt(Endpoint endpoint, Statement statement, int attempt, AttemptOutcome outcome) {
    Moment now = context.now();
    Span duration = now.since(statement.sentAt(attempt));
    boolean openedConnection = statement.openedConnection(attempt);
    if (outcome.answeredByEndpoint) {
      endpoint.load().recordIdleConnection(now);
      scarcity.moveTowards(now, Timing.LONG_DECAY, openedConnection ? Timing.LEARNING_RATE : 0, 0);
    } else if (outcome == AttemptOutcome.NO_CONNECTION
        && duration.isShorterThan(MAX_REFUSAL_TIME)) {
      endpoint.load().recordRefusedConnection(now);
    }
    closeIdleIfScarce(endpoint);
    if (openedConnection && (outcome == AttemptOutcome.COMPLETED || !outcome.answeredByEndpoint)) {
      double typicalMicros = serviceTimes.typicalMicros(statement.workloadIndex());
      setupMicros += Timing.LEARNING_RATE * (duration.micros() - typicalMicros - setupMicros);
    }
  }

  /**
   * Routers that keep idle connections can exhaust the connection limit of an endpoint and so lock
   * each other out.
   */
  private void closeIdleIfScarce(Endpoint endpoint) {
    if (scarcity.valueAt(context.now(), Timing.LONG_DECAY) > SCARCITY_LIMIT
        && endpoint.load().inFlight() == 0
        && endpoint.load().idleConnections() > 0) {
      endpoint.load().clearIdleConnections();
      context.sink().closeIdleConnections(endpoint.id());
    }
  }

  /**
   * Records a response of the endpoint: if it has just refused a connection, it has reached its
   * connection limit and is not down. A single refusal raises the scarcity too little to close idle
   * connections.
   */
  void recordResponse(Endpoint endpoint) {
    Moment now = context.now();
    if (now.since(endpoint.load().connectionRefusedAt()).isShorterThan(Timing.ONE_SECOND)) {
      endpoint.load().clearRefusedConnection();
      scarcity.moveTowards(now, Timing.LONG_DECAY, 2 * Timing.LEARNING_RATE, 1);
    }
  }

  /** Whether a connection to the endpoint is likely open and free. */
  boolean hasFreeConnection(Endpoint endpoint) {
    return context
            .now()
            .since(endpoint.load().lastIdleConnectionAt())
            .isShorterThan(context.settings().poolSettings().idleTimeout())
        && context
            .settings()
            .poolSettings()
            .hasCapacity(endpoint.load().inFlight(), endpoint.load().idleConnections());
  }

  /** The estimated time until a new connection is open. */
  Span setupTime() {
    return new Span((long) setupMicros);
  }

  /** Whether an attempt at the endpoint needs a new connection while setup is expensive. */
  boolean needsExpensiveConnection(Endpoint endpoint) {
    return !hasFreeConnection(endpoint)
        && setupMicros > EXPENSIVE_SETUP_SHARE * serviceTimes.overallMicros();
  }
}
