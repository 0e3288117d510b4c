package basaltlever.gateway;

import basaltlever.time.Span;

/**
 * One kind of statement, as agreed in the settings.
 *
 * @param needs how new the data must be
 * @param bound the staleness allowed where it is bounded
 * @param repeat whether a statement may be executed more than once
 * @param within where repeats of a deduplicated statement are dropped
 * @param window for how long repeats are dropped
 * @param slo the latency objective
 * @param timeout how long clients wait
 * @param importance the priority weight
 * @param lateShare what a late answer is worth, as a share of one in time
 */
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

  /** Whether a statement may be executed more than once. */
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

  /** Whether only the primary can execute its statements. */
  public boolean onlyPrimary() {
    return needs == ReadConsistency.WRITE || needs == ReadConsistency.FRESH;
  }
}
