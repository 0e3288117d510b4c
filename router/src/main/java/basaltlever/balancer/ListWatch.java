package basaltlever.balancer;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/** When to ask for the endpoint list: until it answers, and after failures with a backoff. */
final class ListWatch {
  private static final Span INITIAL_BACKOFF = Span.ofMillis(250);

  private final DecisionContext context;
  private Moment nextRequestAt;
  private Moment requestedAt = Moment.NEVER;
  private Span backoff = INITIAL_BACKOFF;

  ListWatch(DecisionContext context) {
    this.context = context;
    nextRequestAt = context.settings().drains().listIsWatched() ? context.now() : Moment.NEVER;
  }

  Moment nextRequestAt() {
    return nextRequestAt;
  }

  /** Asks for the list and its changes. */
  void requestList() {
    context.sink().watchEndpointList();
    requestedAt = context.now();
    nextRequestAt =
        context.now().plus(context.settings().drains().listRenewalInterval().times(0.5));
  }

  /** The call was answered. */
  void recordAnswer() {
    nextRequestAt = Moment.NEVER;
    requestedAt = Moment.NEVER;
    backoff = INITIAL_BACKOFF;
  }

  /**
   * A call failed, or the watch broke, which does not tell whether changes would still be heard:
   * asks anew. Pauses count from the start of the call, so that some calls may fail within the time
   * in which changes must be heard.
   */
  void recordFailure() {
    if (!context.settings().drains().listIsWatched()) {
      return;
    }
    Moment now = context.now();
    Span delay = backoff.times(0.5 + context.random().nextDouble());
    nextRequestAt = now.earlier(requestedAt).plus(delay).later(now);
    backoff =
        backoff
            .times(2)
            .shorter(Timing.ONE_SECOND)
            .shorter(context.settings().drains().listRenewalInterval().times(0.25));
  }
}
