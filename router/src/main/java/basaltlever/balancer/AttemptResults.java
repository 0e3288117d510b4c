package basaltlever.balancer;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.Role;
import basaltlever.model.Endpoint;
import basaltlever.model.Statement;
import basaltlever.time.Moment;

/** Applies the outcome of an attempt to the state of its endpoint and of its statement. */
final class AttemptResults {
  private final DecisionContext context;
  private final ConnectionUse connections;
  private final EndpointHealth health;
  private final PrimaryTracker primaries;
  private final ReplicaFreshness freshness;

  AttemptResults(EndpointModules endpoints) {
    context = endpoints.context;
    connections = endpoints.connections;
    health = endpoints.health;
    primaries = endpoints.primaries;
    freshness = endpoints.freshness;
  }

  void record(
      Statement statement, int attempt, AttemptOutcome outcome, Role role, Moment position) {
    Endpoint endpoint = statement.endpoint(attempt);
    Moment sent = statement.sentAt(attempt);
    statement.endAttempt(attempt);
    endpoint.load().recordAttemptEnd();
    connections.recordAttempt(endpoint, statement, attempt, outcome);
    health.recordAttempt(endpoint, statement, outcome, context.now().since(sent));
    primaries.recordAttempt(endpoint, statement, outcome, role, sent);
    freshness.recordPosition(endpoint, statement, outcome, position);
    if (!outcome.provesNotExecuted) {
      statement.recordPossibleExecution(sent);
    }
    statement.restartWait(context.now());
    if (outcome == AttemptOutcome.MISS || outcome == AttemptOutcome.STALE) {
      statement.recordStaleResponse();
    }
    health.recordError(statement, attempt, outcome);
    freshness.recordOutcome(endpoint, statement, outcome, sent);
  }
}
