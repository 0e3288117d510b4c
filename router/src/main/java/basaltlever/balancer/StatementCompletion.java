package basaltlever.balancer;

import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.DeduplicationScope;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.model.Statement;

/** Ends statements: by a rejection, by an abort, or because no answer is needed any more. */
final class StatementCompletion {
  /** Minimum Retry-After of rejected clients, as a share of the maximum. */
  private static final double MIN_RETRY_AFTER_SHARE = 0.75;

  private final DecisionContext context;

  StatementCompletion(DecisionContext context) {
    this.context = context;
  }

  /** Rejects the statement if a retry is proven safe, and aborts it otherwise. */
  void rejectOrAbort(Statement statement, boolean allowsImmediateRetry, RejectReason reason) {
    boolean retrySafe = isRetrySafe(statement);
    finish(statement);
    if (retrySafe) {
      // During a hold the client may retry immediately: only held statements are released in order
      // to a new primary.
      double retryAfterShare =
          allowsImmediateRetry
              ? 0
              : MIN_RETRY_AFTER_SHARE + (1 - MIN_RETRY_AFTER_SHARE) * context.random().nextDouble();
      context
          .sink()
          .reject(
              statement.id(),
              context.settings().attemptLimits().maxRetryAfter().times(retryAfterShare),
              reason);
    } else {
      context.sink().abort(statement.id());
    }
  }

  private static boolean isRetrySafe(Statement statement) {
    Workload workload = statement.workload();
    return workload.idempotency() == Idempotency.IDEMPOTENT
        || (!statement.mayHaveExecuted() && statement.attemptsInFlight() == 0)
        || (workload.idempotency() == Idempotency.DEDUPLICATED
            && workload.deduplicationScope() == DeduplicationScope.ALL);
  }

  /** Marks the statement finished, removes it from the hold queue, and cancels its attempts. */
  void finish(Statement statement) {
    statement.finish();
    if (statement.isQueued() && statement.workload().requiresPrimary()) {
      removeFromHold(statement);
    }
    cancelAttempts(statement, 0);
  }

  void removeFromHold(Statement statement) {
    statement.setQueued(false);
    statement.group().heldStatements().remove(statement);
  }

  /** Cancels the attempts in flight from the given one on, if the settings allow it. */
  void cancelAttempts(Statement statement, int fromAttempt) {
    if (!context.settings().attemptLimits().cancellationEnabled()) {
      return;
    }
    for (int i = fromAttempt; statement.attemptsInFlight() > 0 && i < statement.attempts(); i++) {
      if (statement.isInFlight(i)) {
        context.sink().cancel(statement.id(), i);
      }
    }
  }
}
