package basaltlever.gateway;

/** How an execution or a poll ended. */
public enum AttemptOutcome {
  COMPLETED(false, true),
  ERROR(false, true),
  FULL(true, true),
  TIMED_OUT(false, false),
  NO_CONNECTION(true, false),
  RESET(false, false),
  CANCELLED(false, false),
  NEVER_SENT(true, false),
  /** This router had no descriptor for it: tells nothing of the node. */
  NO_DESCRIPTOR(true, false),
  MISS(true, true),
  UNKNOWN(false, false);

  /** True where the ending itself proves that nothing ran. */
  public final boolean provesNotExecuted;

  /** True where it is an answer of the node. */
  public final boolean answeredByEndpoint;

  AttemptOutcome(boolean provesNotExecuted, boolean answeredByEndpoint) {
    this.provesNotExecuted = provesNotExecuted;
    this.answeredByEndpoint = answeredByEndpoint;
  }
}
