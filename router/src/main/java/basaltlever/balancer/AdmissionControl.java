package basaltlever.balancer;

import basaltlever.gateway.RejectReason;
import basaltlever.model.Statement;
import basaltlever.time.Span;

/**
 * Decides which statements are rejected: those whose work can no longer be done in the time in
 * which the answer is of use to the client, and those without attempts left. The time that is left
 * and the work that is left decide alone, whether a statement is tried for the first time or again.
 */
final class AdmissionControl {
  /** A statement with errors at more endpoints than this is considered faulty itself. */
  private static final int MAX_UNEXPLAINED_ERRORS = 1;

  private final DecisionContext context;
  private final ServiceTimes serviceTimes;
  private final AttemptPolicy attempts;
  private final WaitEstimator waits;

  AdmissionControl(
      DecisionContext context,
      ServiceTimes serviceTimes,
      AttemptPolicy attempts,
      WaitEstimator waits) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    this.attempts = attempts;
    this.waits = waits;
  }

  /** Returns why the statement gets no attempt now or later; null if it may get one. */
  RejectReason rejectReason(Statement statement) {
    if (isOverdue(statement)) {
      return RejectReason.OVERDUE;
    }
    boolean attemptLeft =
        attempts.canRetry(statement, statement.attemptsInFlight())
            && statement.errorsOnHealthyEndpoints() <= MAX_UNEXPLAINED_ERRORS;
    return attemptLeft ? null : RejectReason.NO_ATTEMPT_LEFT;
  }

  /**
   * Whether it is too late to send the statement, because its work would not be done while the
   * answer is of use, or to wait for its attempts in flight.
   */
  boolean isOverdue(Statement statement) {
    Span remainingWork =
        statement.attemptsInFlight() == 0
            ? serviceTimes.expectedWork(statement.workloadIndex(), context.now())
            : Span.NONE;
    return !context.now().isBefore(attempts.usefulUntil(statement).minus(remainingWork));
  }

  /**
   * Load shedding: whether a statement that finds no capacity would wait in vain, because the work
   * ahead of it leaves too little time for its own. Work of statements that are more important is
   * always ahead, so the least important are shed first.
   */
  boolean wouldWaitInVain(Statement statement, double workAheadMicros) {
    Span wait = waits.untilExecuted(statement, workAheadMicros);
    Span likelyWork = serviceTimes.likelyWork(statement.workloadIndex(), context.now());
    return wait.isLongerThan(Span.NONE)
        && context.now().plus(wait).plus(likelyWork).isAfter(attempts.usefulUntil(statement));
  }
}
