package basaltlever.balancer;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.model.DecayingValue;
import basaltlever.model.Endpoint;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** What new connections cost, and whether endpoints run out of connections. */
final class ConnectionUse {
  /** A connection that failed sooner than this was refused. */
  private static final Span MAX_REFUSAL_TIME = Span.ofMillis(100);

  /** Above this scarcity idle connections are closed. */
  private static final double SCARCITY_LIMIT = 0.2;

  /** Setup is expensive where it takes more than this share of a typical statement's time. */
  private static final double EXPENSIVE_SETUP_SHARE = 0.3;

  private final DecisionContext context;
  private final ServiceTimes serviceTimes;
  private final DecayingValue scarcity = new DecayingValue();
  private double setupMicros;

  ConnectionUse(DecisionContext context, ServiceTimes serviceTimes) {
    this.context = context;
    this.serviceTimes = serviceTimes;
  }

  /** Takes in what the end of an attempt tells of connections. */
  void recordAttempt(Endpoint endpoint, Statement statement, int attempt, AttemptOutcome outcome) {
    Moment now = context.now();
    Span took = now.since(statement.sentAt(attempt));
    boolean opened = statement.openedConnection(attempt);
    if (outcome.answeredByEndpoint) {
      endpoint.load().recordIdleConnection(now);
      scarcity.moveTowards(now, Timing.LONG_DECAY, opened ? Timing.LEARNING_RATE : 0, 0);
    } else if (outcome == AttemptOutcome.NO_CONNECTION && took.isShorterThan(MAX_REFUSAL_TIME)) {
      endpoint.load().recordRefusedConnection(now);
    }
    closeIdleIfScarce(endpoint);
    if (opened && (outcome == AttemptOutcome.COMPLETED || !outcome.answeredByEndpoint)) {
      double typicalMicros = serviceTimes.typicalMicros(statement.workloadIndex());
      setupMicros += Timing.LEARNING_RATE * (took.micros() - typicalMicros - setupMicros);
    }
  }

  /** Routers that keep idle connections can shut each other out of endpoints with a limit. */
  private void closeIdleIfScarce(Endpoint endpoint) {
    if (scarcity.valueAt(context.now(), Timing.LONG_DECAY) > SCARCITY_LIMIT
        && endpoint.load().inFlight() == 0
        && endpoint.load().idleConnections() > 0) {
      endpoint.load().clearIdleConnections();
      context.sink().closeIdleConnections(endpoint.id());
    }
  }

  /**
   * The endpoint answers: where it has just refused a connection it is at its limit and not gone. A
   * single refusal moves the scarcity too little for idle connections to be closed.
   */
  void recordSignOfLife(Endpoint endpoint) {
    Moment now = context.now();
    if (now.since(endpoint.load().connectionRefusedAt()).isShorterThan(Timing.ONE_SECOND)) {
      endpoint.load().clearRefusedConnection();
      scarcity.moveTowards(now, Timing.LONG_DECAY, 2 * Timing.LEARNING_RATE, 1);
    }
  }

  /** Whether a connection to the endpoint is likely open and free. */
  boolean isConnected(Endpoint endpoint) {
    return context
            .now()
            .since(endpoint.load().lastIdleConnectionAt())
            .isShorterThan(context.settings().poolSettings().idleTimeout())
        && context
            .settings()
            .poolSettings()
            .hasCapacity(endpoint.load().inFlight(), endpoint.load().idleConnections());
  }

  /** Whether an attempt there needs a new connection while those are expensive. */
  boolean needsExpensiveConnection(Endpoint endpoint) {
    return !isConnected(endpoint)
        && setupMicros > EXPENSIVE_SETUP_SHARE * serviceTimes.overallMicros();
  }
}
