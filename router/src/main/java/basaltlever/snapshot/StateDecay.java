package basaltlever.snapshot;

import basaltlever.time.Span;

/**
 * Reduces the weight of a learned state with its age. The weight decays exponentially: slowly for
 * the health of an endpoint, quickly for the load that traffic put on it. The class does no I/O;
 * docs/restart.md gives the reasons.
 */
public final class StateDecay {
  /** Time in which the weight of an endpoint's health falls to 1/e. */
  static final Span HEALTH_DECAY = Span.ofMillis(120_000);

  /** Time in which the weight of an endpoint's load falls to 1/e, as in a running router. */
  static final Span LOAD_DECAY = Span.ofMillis(15_000);

  /**
   * Health weight below which the states down and unresponsive only contribute to the failure rate.
   */
  private static final double MIN_STATUS_WEIGHT = 0.5;

  /** Keeps the division by a decayed weight finite. */
  private static final double MIN_DIVISOR = 1e-6;

  private StateDecay() {}

  /** Returns the weight of state of the given age, from 1 towards 0; 0 for a negative age. */
  public static double weight(Span age, Span decay) {
    return age.micros() < 0 ? 0 : Math.exp(-age.ratioTo(decay));
  }

  /** Returns the weight of an endpoint's health, as the commands show it. */
  public static double weight(Span age) {
    return weight(age, HEALTH_DECAY);
  }

  /**
   * Returns the state aged by the given time. Draining and a spent slow-start budget don't decay:
   * they apply until they end.
   */
  public static EndpointState decay(EndpointState state, Span age) {
    double healthWeight = weight(age, HEALTH_DECAY);
    double loadWeight = weight(age, LOAD_DECAY);
    boolean retainsStatus = healthWeight >= MIN_STATUS_WEIGHT;
    double failureRate = state.unresponsive() || state.isDown() ? 1 : state.failureRate();
    return state.toBuilder()
        .sinceStart(extend(state.sinceStart(), age))
        .sinceNotPrimary(extend(state.sinceNotPrimary(), age))
        .unresponsive(state.unresponsive() && retainsStatus)
        .downFor(retainsStatus ? extend(state.downFor(), age) : EndpointState.NEVER)
        .failureRate(failureRate * healthWeight)
        .latencyStrain(Math.max(0, state.latencyStrain()) * loadWeight)
        .capacity(state.capacity() / Math.max(loadWeight, MIN_DIVISOR))
        .consecutiveRejections(retainsStatus ? state.consecutiveRejections() : 0)
        .remainingBackoff(state.remainingBackoff().minus(age).longer(Span.NONE))
        .lag(state.lag().times(loadWeight))
        .sinceSlowStartSpent(extend(state.sinceSlowStartSpent(), age))
        .build();
  }

  private static Span extend(Span ago, Span age) {
    return ago.isShorterThan(EndpointState.NEVER) ? ago.plus(age) : ago;
  }
}
