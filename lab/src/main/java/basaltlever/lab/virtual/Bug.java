package basaltlever.lab.virtual;

/**
 * A defect injected between a router and its network, to show that the history checker detects the
 * violation that results from it.
 */
public enum Bug {
  NONE,
  /**
   * A connection reset is taken as proof that the statement was not executed, so that an executed
   * statement is sent again.
   */
  RESET_PROVES_NOT_RUN,
  /** A server that was primary once is still reported as primary by polls and responses. */
  OLD_PRIMARY_CLAIMS,
  /** Every hundredth response is delivered twice. */
  ANSWERS_TWICE,
  /** Draining endpoints are listed as ready. */
  IGNORES_DRAINS,
  /** Every hundredth response is dropped. */
  DROPS_ANSWERS,
  /** Statements accepted before a change of settings get no response. */
  SWITCH_FORGETS,
  /** Attempts in flight at a change of settings are reported as not executed. */
  SWITCH_REPEATS,
  /** While a version is prepared, a read that is bounded by one version only is not bounded. */
  PREPARED_DROPS_BOUND,
  /** While a version is prepared, a session read of one version only sees no writes. */
  PREPARED_DROPS_SESSION
}
