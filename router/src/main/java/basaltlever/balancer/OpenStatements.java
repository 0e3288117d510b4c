package basaltlever.balancer;

import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/**
 * Tracks all statements without a final answer, and scans them periodically for silent endpoints,
 * overdue statements, and attempts worth retrying at another endpoint.
 */
final class OpenStatements {
  private static final int INITIAL_STATEMENTS = 256;

  private final DecisionContext context;
  private final EndpointHealth health;
  private final EvaluationQueue evaluations;
  private final AdmissionControl admission;
  private final AttemptPolicy attempts;
  private final StatementCompletion completion;
  private final StatementDispatcher dispatcher;
  private final List<Statement> open = new ArrayList<>();
  private Statement[] byId = new Statement[INITIAL_STATEMENTS];
  private Moment nextScanAt = Moment.NEVER;

  OpenStatements(
      DecisionContext context,
      EndpointHealth health,
      EvaluationQueue evaluations,
      AdmissionControl admission,
      AttemptPolicy attempts,
      StatementCompletion completion,
      StatementDispatcher dispatcher) {
    this.context = context;
    this.health = health;
    this.evaluations = evaluations;
    this.admission = admission;
    this.attempts = attempts;
    this.completion = completion;
    this.dispatcher = dispatcher;
  }

  /** Returns the statement that has this id or had it last; null if there was none. */
  Statement statement(int id) {
    return byId[id];
  }

  void add(Statement statement) {
    int id = statement.id();
    byId = id < byId.length ? byId : Arrays.copyOf(byId, 2 * id);
    byId[id] = statement;
    open.add(statement);
  }

  /** Ensures that a scan follows within the scan interval. */
  void scheduleScan() {
    scheduleScan(nextScanAt.earlier(context.now().plus(Timing.SCAN_INTERVAL)));
  }

  private void scheduleScan(Moment at) {
    nextScanAt = at;
  }

  Moment nextScanAt() {
    return nextScanAt;
  }

  /**
   * Cancels hedged requests when settings no longer allow them; only the first attempt in flight
   * continues.
   */
  void cancelHedgedRequests() {
    for (Statement statement : open) {
      if (statement.attemptsInFlight() > 1) {
        completion.cancelAttempts(statement, statement.firstInFlight() + 1);
      }
    }
  }

  /**
   * Scans the open statements; finished ones are removed and their groups passed to the callback.
   */
  void scan(Consumer<ReplicaGroup> onFinished) {
    for (int i = open.size() - 1; i >= 0; i--) {
      Statement statement = open.get(i);
      boolean stuck = isStuck(statement);
      if (statement.isFinished()) {
        Collections.swap(open, i, open.size() - 1);
        open.remove(open.size() - 1);
        onFinished.accept(statement.group());
      } else if (statement.isQueued()) {
        scanQueued(statement);
      } else if (stuck) {
        retryElsewhere(statement);
      }
    }
    scheduleScan(open.isEmpty() ? Moment.NEVER : context.now().plus(Timing.SCAN_INTERVAL));
  }

  /** Whether all attempts of the statement in flight are at endpoints that are down or silent. */
  private boolean isStuck(Statement statement) {
    boolean stuck = statement.attemptsInFlight() > 0;
    for (int i = 0; statement.attemptsInFlight() > 0 && i < statement.attempts(); i++) {
      if (statement.isInFlight(i)) {
        health.detectSilence(statement.endpoint(i), statement, statement.sentAt(i));
        stuck &= isStuck(statement, i);
      }
    }
    return stuck;
  }

  private boolean isStuck(Statement statement, int attempt) {
    Endpoint endpoint = statement.endpoint(attempt);
    // A trial is not cancelled with the other attempts: otherwise no trial could ever end a
    // silence.
    boolean isTrial = statement.sentAt(attempt).isAfter(endpoint.health().unresponsiveSince());
    return endpoint.health().isDown()
        || (endpoint.health().isUnresponsive()
            && (context.settings().attemptLimits().hedgingEnabled() || !isTrial));
  }

  private void scanQueued(Statement statement) {
    evaluations.add(statement.group());
    if (!statement.isLate() && attempts.canOnlyBeLate(statement)) {
      dispatcher.lowerPriority(statement);
    }
    if (statement.workload().requiresPrimary() && admission.isOverdue(statement)) {
      completion.removeFromHold(statement);
      dispatcher.add(statement);
    }
  }

  /**
   * Retries at another endpoint, where the answer may still be in time. Without hedged requests the
   * attempts in flight are cancelled first.
   */
  private void retryElsewhere(Statement statement) {
    boolean hedgingAllowed = context.settings().attemptLimits().hedgingEnabled();
    if (!attempts.canRetry(statement, hedgingAllowed ? statement.attemptsInFlight() : 0)) {
      return;
    }
    if (hedgingAllowed) {
      dispatcher.add(statement);
    } else {
      completion.cancelAttempts(statement, 0);
    }
  }
}
