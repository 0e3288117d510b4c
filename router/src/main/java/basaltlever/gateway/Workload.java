package basaltlever.gateway;

import basaltlever.time.Span;

/**
 * One kind of statement, as defined in the settings.
 *
 * @param consistency the required freshness of the data
 * @param maxStaleness the maximum staleness, for bounded consistency
 * @param idempotency whether a statement may be executed more than once
 * @param deduplicationScope where duplicates of a deduplicated statement are dropped
 * @param deduplicationWindow the time for which duplicates are dropped
 * @param latencyObjective the latency objective
 * @param timeout the time that clients wait
 * @param priorityWeight the priority weight
 * @param lateResponseValue the value of a late response, as a share of the value of one in time
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

  /** The required freshness of the data. */
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

  /** The scope within which duplicates of a deduplicated statement are dropped. */
  public enum DeduplicationScope {
    ALL,
    ZONE,
    GROUP
  }

  /** Returns whether only the primary can execute its statements. */
  public boolean requiresPrimary() {
    return consistency == ReadConsistency.WRITE || consistency == ReadConsistency.FRESH;
  }
}
