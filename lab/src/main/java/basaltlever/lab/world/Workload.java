package basaltlever.lab.world;

import basaltlever.time.Span;

/**
 * One workload of a scenario.
 *
 * @param needs write, fresh, session, bounded or any, as start files name them
 * @param repeat idempotent or at_most_once
 * @param rate statements a second of one group
 * @param work what one takes of a core
 * @param bound how old its data may be, where it is bounded
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
  public boolean isWrite() {
    return consistency.equals("write");
  }
}
