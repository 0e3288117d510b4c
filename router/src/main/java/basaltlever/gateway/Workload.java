package basaltlever.gateway;

import basaltlever.time.Span;

/** One kind of statement, as agreed at start. */
public record Workload(
    Needs needs,
    Span bound,
    Repeat repeat,
    Within within,
    Span window,
    Span slo,
    Span timeout,
    double importance,
    double lateShare) {

  /** How new the data under it must be. */
  public enum Needs {
    WRITE,
    FRESH,
    SESSION,
    BOUNDED,
    ANY
  }

  public enum Repeat {
    IDEMPOTENT,
    DEDUPLICATED,
    NON_IDEMPOTENT
  }

  /** Where repeats of a deduplicated statement are dropped. */
  public enum Within {
    ALL,
    ZONE,
    GROUP
  }

  public boolean onlyPrimary() {
    return needs == Needs.WRITE || needs == Needs.FRESH;
  }
}
