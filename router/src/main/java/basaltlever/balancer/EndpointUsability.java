package basaltlever.balancer;

import basaltlever.model.Endpoint;
import basaltlever.model.HealthState;
import basaltlever.model.Statement;
import basaltlever.time.Span;

/** Decides whether an endpoint may be sent a statement at all. */
final class EndpointUsability {
  /** Initial delay between trials of a silent endpoint; it doubles with each trial. */
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
        && !isLikelyNonexistent(endpoint)
        && !context.now().isBefore(health.backoffUntil())
        && (!health.isUnresponsive() || isTrialDue(endpoint))
        && slowStart.allows(endpoint, statement);
  }

  /**
   * The list may contain an endpoint that does not exist: it has never answered, while another
   * endpoint of its group has.
   */
  private static boolean isLikelyNonexistent(Endpoint endpoint) {
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
