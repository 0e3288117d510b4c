package basaltlever.balancer;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * Measures how long scans of the open statements were overdue, because the process got no CPU time
 * or one iteration of its event loop took long. Endpoints could not show free capacity in that
 * time, so it does not count as time that a statement has waited for capacity.
 */
final class ScanDelay {
  /** A scan that is late by no more than this is on time. */
  private static final Span TOLERANCE = Timing.SCAN_INTERVAL;

  private Moment dueAt = Moment.NEVER;
  private Span totalDelay = Span.NONE;

  /** Records when the next scan is due; {@code NEVER} if there are no open statements. */
  void recordSchedule(Moment at) {
    dueAt = at;
  }

  /** Records the start of a scan. */
  void recordScan(Moment now) {
    totalDelay = total(now);
    dueAt = Moment.NEVER;
  }

  /** Returns the sum of all delays up to now, including that of an overdue scan. */
  Span total(Moment now) {
    return now.isAfter(dueAt) && now.since(dueAt).isLongerThan(TOLERANCE)
        ? totalDelay.plus(now.since(dueAt))
        : totalDelay;
  }
}
