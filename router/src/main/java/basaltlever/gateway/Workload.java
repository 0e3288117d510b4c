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
 * @param checkedByReplicas whether replicas that check the freshness of reads check the one that is
 *     required here; they know the workload by its name alone and are not told what a router
 *     requires
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
    double lateResponseValue,
    boolean checkedByReplicas) {

  /** The required freshness of the data. */
  public enum ReadConsistency {
    WRITE,
    FRESH,
    SESSION,
    BOUNDED,
    ANY,

    /** Both SESSION and BOUNDED. No start file states it; it results from two versions. */
    SESSION_AND_BOUNDED;

    /** Returns whether the data must include all earlier writes of the session. */
    public boolean includesSessionWrites() {
      return this == SESSION || this == SESSION_AND_BOUNDED;
    }

    /** Returns whether the staleness of the data is bounded. */
    public boolean isBounded() {
      return this == BOUNDED || this == SESSION_AND_BOUNDED;
    }
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

  /** Returns this workload with another required freshness of the data. */
  public Workload withConsistency(ReadConsistency otherConsistency) {
    return new Workload(
        otherConsistency,
        maxStaleness,
        idempotency,
        deduplicationScope,
        deduplicationWindow,
        latencyObjective,
        timeout,
        priorityWeight,
        lateResponseValue,
        checkedByReplicas);
  }

  /** Returns whether both require the same freshness of the data. */
  public boolean requiresSameFreshnessAs(Workload other) {
    return consistency == other.consistency
        && (!consistency.isBounded() || maxStaleness.micros() == other.maxStaleness.micros());
  }

  /** Returns whether only the primary can execute its statements. */
  public boolean requiresPrimary() {
    return consistency == ReadConsistency.WRITE || consistency == ReadConsistency.FRESH;
  }
}
