package basaltlever.balancer;

import basaltlever.model.Endpoint;
import basaltlever.model.HealthState;
import basaltlever.model.Statement;
import basaltlever.time.Span;

/** Whether an endpoint may be sent a statement at all. */
final class EndpointUsability {
  /** The first pause between trials of a silent endpoint; it doubles with each trial. */
  private static final Span INITIAL_TRIAL_PAUSE = Span.ofMillis(500);

  private final DecisionContext context;
  private final SlowStart slowStart;

  EndpointUsability(DecisionContext context, SlowStart slowStart) {
    this.context = context;
    this.slowStart = slowStart;
  }

  boolean isUsable(Endpoint endpoint, Statement statement) {
    HealthState health = endpoint.health();
    return context.isListedForUse(endpoint)
        && !health.isDown()
        && !isLikelyMissing(endpoint)
        && !context.now().isBefore(health.backoffUntil())
        && (!health.isUnresponsive() || isTrialDue(endpoint))
        && slowStart.allows(endpoint, statement);
  }

  /** A list may name what does not exist: it never answered, where another member did. */
  private static boolean isLikelyMissing(Endpoint endpoint) {
    return !endpoint.health().hasResponded()
        && endpoint.group().hasResponded()
        && endpoint.wasContacted();
  }

  private boolean isTrialDue(Endpoint endpoint) {
    HealthState health = endpoint.health();
    return endpoint.load().inFlight() == 0
        && !context
            .now()
            .since(health.unresponsiveSince().later(health.lastRecoveryTrialAt()))
            .isShorterThan(INITIAL_TRIAL_PAUSE.times(1 << health.recoveryTrials()));
  }
}
