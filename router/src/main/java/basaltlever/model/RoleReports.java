package basaltlever.model;

import basaltlever.time.Moment;

/** Tracks what an endpoint reported about its role as primary of its group. */
public final class RoleReports {
  private Moment lastPrimaryReportAt = Moment.LONG_AGO;
  private Moment lastNotPrimaryReportAt = Moment.LONG_AGO;
  private boolean replaced;

  /** Returns the latest time at which the endpoint is known to have been primary. */
  public Moment lastPrimaryReportAt() {
    return lastPrimaryReportAt;
  }

  /** Returns the latest time at which the endpoint is known not to have been primary. */
  public Moment lastNotPrimaryReportAt() {
    return lastNotPrimaryReportAt;
  }

  /**
   * Returns whether another endpoint has replaced it as primary and it has not reported itself
   * replica since.
   */
  public boolean isReplaced() {
    return replaced;
  }

  /** Returns whether the endpoint has ever reported itself primary. */
  public boolean hasReportedPrimary() {
    return lastPrimaryReportAt.isAfter(Moment.LONG_AGO);
  }

  /** Returns whether the latest report states that the endpoint is primary. */
  public boolean isLatestReportPrimary() {
    return lastPrimaryReportAt.isAfter(lastNotPrimaryReportAt);
  }

  /** Returns whether the latest report states that the endpoint is not primary. */
  public boolean isLatestReportNotPrimary() {
    return lastNotPrimaryReportAt.isAfter(lastPrimaryReportAt);
  }

  /** Records that the endpoint was primary at the given time. */
  public void recordPrimary(Moment at) {
    lastPrimaryReportAt = lastPrimaryReportAt.later(at);
  }

  /** Records that the endpoint was not primary at the given time. */
  public void recordNotPrimary(Moment at) {
    lastNotPrimaryReportAt = lastNotPrimaryReportAt.later(at);
  }

  /** Ignores reports of being primary up to the given time; replaces an earlier limit. */
  public void ignorePrimaryReportsUntil(Moment until) {
    lastNotPrimaryReportAt = until;
  }

  /** Records that another endpoint has replaced this one as primary. */
  public void recordReplaced() {
    replaced = true;
  }

  /** Records that the endpoint is primary again or has reported itself replica. */
  public void clearReplaced() {
    replaced = false;
  }
}
