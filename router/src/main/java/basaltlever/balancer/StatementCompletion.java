package basaltlever.balancer;

import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.DeduplicationScope;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.model.Statement;
import basaltlever.time.Span;

/** Ends statements: by a rejection, by an abort, or because no answer is needed any more. */
final class StatementCompletion {
  private final DecisionContext context;
  private final WaitEstimator waits;

  StatementCompletion(DecisionContext context, WaitEstimator waits) {
    this.context = context;
    this.waits = waits;
  }

  /** Rejects the statement if a retry is proven safe, and aborts it otherwise. */
  void rejectOrAbort(Statement statement, RejectReason reason) {
    boolean retrySafe = isRetrySafe(statement);
    Span retryAfter = retryAfter(statement);
    finish(statement);
    if (retrySafe) {
      context.sink().reject(statement.id(), retryAfter, reason);
    } else {
      context.sink().abort(statement.id());
    }
  }

  /** Returns when a retry would find its turn, as far as the settings allow such advice. */
  private Span retryAfter(Statement statement) {
    return waits
        .untilWorthRetrying(statement)
        .shorter(context.settings().attemptLimits().maxRetryAfter());
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
