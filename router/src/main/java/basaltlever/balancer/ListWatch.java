package basaltlever.balancer;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/** When to ask for the endpoint list: until it answers, and after failures with a backoff. */
final class ListWatch {
  private static final Span INITIAL_BACKOFF = Span.ofMillis(250);

  private final DecisionContext context;
  private Moment nextCallAt;
  private Moment calledAt = Moment.NEVER;
  private Span backoff = INITIAL_BACKOFF;

  ListWatch(DecisionContext context) {
    this.context = context;
    nextCallAt = context.settings().drainPolicy().listWatchEnabled() ? context.now() : Moment.NEVER;
  }

  Moment nextCallAt() {
    return nextCallAt;
  }

  /** Asks for the list and its changes. */
  void call() {
    context.sink().watchEndpointList();
    calledAt = context.now();
    nextCallAt =
        context.now().plus(context.settings().drainPolicy().listRenewalInterval().times(0.5));
  }

  /** The call was answered. */
  void recordAnswer() {
    nextCallAt = Moment.NEVER;
    calledAt = Moment.NEVER;
    backoff = INITIAL_BACKOFF;
  }

  /**
   * A call failed, or the watch broke, which does not tell whether changes would still be heard:
   * asks anew. Pauses count from the start of the call, so that some calls may fail within the time
   * in which changes must be heard.
   */
  void recordFailure() {
    if (!context.settings().drainPolicy().listWatchEnabled()) {
      return;
    }
    Moment now = context.now();
    Span pause = backoff.times(0.5 + context.random().nextDouble());
    nextCallAt = now.earlier(calledAt).plus(pause).later(now);
    backoff =
        backoff
            .times(2)
            .shorter(Timing.ONE_SECOND)
            .shorter(context.settings().drainPolicy().listRenewalInterval().times(0.25));
  }
}
