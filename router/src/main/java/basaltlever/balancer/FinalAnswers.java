package basaltlever.balancer;

import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.DeduplicationScope;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.model.Statement;

/** Ends statements: by a rejection, an abort, or because they need no answer any more. */
final class FinalAnswers {
  /** Rejected clients come back after this share of the longest Retry-After at least. */
  private static final double MIN_RETRY_AFTER_SHARE = 0.75;

  private final DecisionContext context;

  FinalAnswers(DecisionContext context) {
    this.context = context;
  }

  /** Rejects the statement where a repeat is proven to be harmless, else aborts it. */
  void giveUp(Statement statement, boolean mayReturnAtOnce, RejectReason reason) {
    boolean harmless = isRepeatHarmless(statement);
    finish(statement);
    if (harmless) {
      // In a hold the client may return at once: only held statements are released in order to a
      // new primary.
      double share =
          mayReturnAtOnce
              ? 0
              : MIN_RETRY_AFTER_SHARE + (1 - MIN_RETRY_AFTER_SHARE) * context.random().nextDouble();
      context
          .sink()
          .reject(
              statement.id(),
              context.settings().attemptLimits().maxRetryAfter().times(share),
              reason);
    } else {
      context.sink().abort(statement.id());
    }
  }

  private static boolean isRepeatHarmless(Statement statement) {
    Workload workload = statement.workload();
    return workload.idempotency() == Idempotency.IDEMPOTENT
        || (!statement.mayHaveExecuted() && statement.attemptsInFlight() == 0)
        || (workload.idempotency() == Idempotency.DEDUPLICATED
            && workload.deduplicationScope() == DeduplicationScope.ALL);
  }

  /** The statement needs nothing any more: it leaves its queue, and its attempts are cancelled. */
  void finish(Statement statement) {
    statement.finish();
    if (statement.isQueued() && statement.workload().requiresPrimary()) {
      leaveHold(statement);
    }
    cancelAttempts(statement, 0);
  }

  void leaveHold(Statement statement) {
    statement.setQueued(false);
    statement.group().heldStatements().remove(statement);
  }

  /** Cancels the attempts in flight from the given one on, where settings allow it. */
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
