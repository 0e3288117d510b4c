package basaltlever.balancer;

import basaltlever.model.Endpoint;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** Sends a statement to an endpoint, and records the attempt with both. */
final class AttemptLauncher {
  private final DecisionContext context;
  private final AttemptPolicy attempts;
  private final ConnectionUse connections;
  private final SlowStart slowStart;

  AttemptLauncher(
      DecisionContext context,
      AttemptPolicy attempts,
      ConnectionUse connections,
      SlowStart slowStart) {
    this.context = context;
    this.attempts = attempts;
    this.connections = connections;
    this.slowStart = slowStart;
  }

  void launch(Statement statement, Endpoint endpoint) {
    Moment now = context.now();
    Span timeout = attempts.timeout(statement, endpoint);
    Moment sendBy = attempts.sendBy(statement, endpoint);
    boolean opensConnection = !connections.isConnected(endpoint);
    statement.startAttempt(endpoint, now, opensConnection);
    if (endpoint.health().isUnresponsive()) {
      endpoint.health().recordRecoveryTrial(now);
    }
    endpoint.load().recordAttemptStart(now, opensConnection);
    slowStart.chargeAttempt(endpoint, statement);
    context.sink().startAttempt(statement.id(), endpoint.id(), timeout, sendBy);
  }
}
