package basaltlever.gateway;

/** The outcome of an attempt or a poll. */
public enum AttemptOutcome {
  COMPLETED(false, true),
  ERROR(false, true),
  FULL(true, true),
  TIMED_OUT(false, false),
  NO_CONNECTION(true, false),
  RESET(false, false),
  CANCELLED(false, false),
  NEVER_SENT(true, false),
  /** This router had no free file descriptor; no evidence about the state of the endpoint. */
  NO_DESCRIPTOR(true, false),
  MISS(true, true),
  /**
   * The endpoint completed a fresh read but reported itself a replica, so its row may lack required
   * data. The statement was executed.
   */
  STALE(false, true),
  UNKNOWN(false, false);

  /** Whether the outcome itself proves that the statement was not executed. */
  public final boolean provesNotExecuted;

  /** Whether the endpoint itself responded. */
  public final boolean answeredByEndpoint;

  AttemptOutcome(boolean provesNotExecuted, boolean answeredByEndpoint) {
    this.provesNotExecuted = provesNotExecuted;
    this.answeredByEndpoint = answeredByEndpoint;
  }
}
