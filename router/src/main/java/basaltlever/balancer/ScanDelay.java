package basaltlever.balancer;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * How much time has passed in which this router did not look at its open statements though a scan
 * was due: its process had no processor, or one iteration of its loop took long. Endpoints could
 * not prove their capacity in that time, so it does not count as time that a statement has waited
 * for capacity.
 */
final class ScanDelay {
  /** A scan that comes no later than this is on time. */
  private static final Span TOLERANCE = Timing.SCAN_INTERVAL;

  private Moment dueAt = Moment.NEVER;
  private Span totalDelay = Span.NONE;

  /** The next scan is due then; never where there is nothing to look at. */
  void recordSchedule(Moment at) {
    dueAt = at;
  }

  /** A scan begins. */
  void recordScan(Moment now) {
    totalDelay = total(now);
    dueAt = Moment.NEVER;
  }

  /** All delays up to now, that of a scan which is overdue included. */
  Span total(Moment now) {
    return now.isAfter(dueAt) && now.since(dueAt).isLongerThan(TOLERANCE)
        ? totalDelay.plus(now.since(dueAt))
        : totalDelay;
  }
}
