package basaltlever.gateway;

import basaltlever.time.Span;

/**
 * One kind of statement, as agreed in the settings.
 *
 * @param consistency how new the data must be
 * @param maxStaleness the staleness allowed where it is bounded
 * @param idempotency whether a statement may be executed more than once
 * @param deduplicationScope where repeats of a deduplicated statement are dropped
 * @param deduplicationWindow for how long repeats are dropped
 * @param latencyObjective the latency objective
 * @param timeout how long clients wait
 * @param priorityWeight the priority weight
 * @param lateResponseValue what a late answer is worth, as a share of one in time
 */
public record Workload(
    ReadConsistency consistency,
    Span maxStaleness,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    Span deduplicationWindow,
    Span latencyObjective,
    Span timeout,
    double priorityWeight,
    double lateResponseValue) {

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
  public boolean requiresPrimary() {
    return consistency == ReadConsistency.WRITE || consistency == ReadConsistency.FRESH;
  }
}
