package basaltlever.gateway;

import basaltlever.time.Span;

/** One kind of statement, as agreed at start. */
public record Workload(
    ReadConsistency needs,
    Span bound,
    Idempotency repeat,
    DeduplicationScope within,
    Span window,
    Span slo,
    Span timeout,
    double importance,
    double lateShare) {

  /** How new the data under it must be. */
  public enum ReadConsistency {
    WRITE,
    FRESH,
    SESSION,
    BOUNDED,
    ANY
  }

  public enum Idempotency {
    IDEMPOTENT,
    DEDUPLICATED,
    NON_IDEMPOTENT
  }

  /** Where repeats of a deduplicated statement are dropped. */
  public enum DeduplicationScope {
    ALL,
    ZONE,
    GROUP
  }

  public boolean onlyPrimary() {
    return needs == ReadConsistency.WRITE || needs == ReadConsistency.FRESH;
  }
}
