package basaltlever.lab.world;

import basaltlever.time.Span;

/**
 * One workload of a scenario.
 *
 * @param index position in the list of workloads, from 0
 * @param consistency write, fresh, session, bounded or any, as in start files
 * @param repeatPolicy idempotent or at_most_once
 * @param ratePerSecond statements per second of one group
 * @param serviceTime mean time that a statement occupies a core
 * @param stalenessBound maximum age of the data for bounded reads
 * @param slo latency objective
 * @param timeout time after which a client stops waiting
 * @param importance value of a response, for the settings of the routers
 * @param lateImportance value of a late response, as a share of the value of one in time
 */
public record Workload(
    int index,
    String name,
    String consistency,
    String repeatPolicy,
    double ratePerSecond,
    Span serviceTime,
    Span stalenessBound,
    Span slo,
    Span timeout,
    double importance,
    double lateImportance) {
  /** Returns this workload with another requirement for the freshness of reads. */
  public Workload withFreshness(String newConsistency, Span newStalenessBound) {
    return new Workload(
        index,
        name,
        newConsistency,
        repeatPolicy,
        ratePerSecond,
        serviceTime,
        newStalenessBound,
        slo,
        timeout,
        importance,
        lateImportance);
  }

  /** Returns whether statements of this workload have to run on the primary and change data. */
  public boolean isWrite() {
    return consistency.equals("write");
  }
}
