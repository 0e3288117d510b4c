package basaltlever.balancer;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * Schedules requests for the endpoint list: repeated until one is answered, and after failures with
 * a backoff.
 */
final class ListWatch {
  private static final Span INITIAL_BACKOFF = Span.ofMillis(250);

  private final DecisionContext context;
  private Moment nextRequestAt;
  private Moment requestedAt = Moment.NEVER;
  private Span backoff = INITIAL_BACKOFF;

  ListWatch(DecisionContext context) {
    this.context = context;
    nextRequestAt =
        context.settings().drainPolicy().listWatchEnabled() ? context.now() : Moment.NEVER;
  }

  Moment nextRequestAt() {
    return nextRequestAt;
  }

  /** Requests the list and subscribes to its changes. */
  void requestList() {
    context.sink().watchEndpointList();
    requestedAt = context.now();
    nextRequestAt = context.now().plus(answerTimeout());
  }

  /** The time after which a request counts as unanswered and is repeated. */
  private Span answerTimeout() {
    return context.settings().drainPolicy().listRenewalInterval().times(0.5);
  }

  /** Repeats an unanswered request, or one after a failure, as early as new settings demand. */
  void applySettings() {
    if (nextRequestAt.isBefore(Moment.NEVER)) {
      nextRequestAt = nextRequestAt.earlier(context.now().plus(answerTimeout()));
    }
  }

  /** Records that the request was answered. */
  void recordAnswer() {
    nextRequestAt = Moment.NEVER;
    requestedAt = Moment.NEVER;
    backoff = INITIAL_BACKOFF;
  }

  /**
   * Schedules a new request after one has failed or the watch has broken, since it is then unknown
   * whether changes would still be received. Delays count from the start of the failed request, so
   * that several requests can fail within the time in which changes must be received.
   */
  void recordFailure() {
    if (!context.settings().drainPolicy().listWatchEnabled()) {
      return;
    }
    Moment now = context.now();
    Span delay = backoff.shorter(maxBackoff()).times(0.5 + context.random().nextDouble());
    nextRequestAt = now.earlier(requestedAt).plus(delay).later(now);
    backoff = backoff.times(2).shorter(maxBackoff());
  }

  private Span maxBackoff() {
    return context
        .settings()
        .drainPolicy()
        .listRenewalInterval()
        .times(0.25)
        .shorter(Timing.ONE_SECOND);
  }
}
