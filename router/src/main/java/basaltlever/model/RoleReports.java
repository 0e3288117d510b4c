package basaltlever.model;

import basaltlever.time.Moment;

/** What an endpoint reported about being its group's primary. */
public final class RoleReports {
  private Moment lastPrimaryReportAt = Moment.LONG_AGO;
  private Moment lastNotPrimaryReportAt = Moment.LONG_AGO;
  private boolean replaced;

  /** The latest moment at which it is known to have been primary. */
  public Moment lastPrimaryReportAt() {
    return lastPrimaryReportAt;
  }

  /** The latest moment at which it is known not to have been primary. */
  public Moment lastNotPrimaryReportAt() {
    return lastNotPrimaryReportAt;
  }

  /** Whether another took its place as primary and it has not reported itself replica since. */
  public boolean isReplaced() {
    return replaced;
  }

  /** Whether it reported itself primary at some time. */
  public boolean hasReportedPrimary() {
    return lastPrimaryReportAt.isAfter(Moment.LONG_AGO);
  }

  /** Whether its latest report says that it is primary. */
  public boolean isLatestReportPrimary() {
    return lastPrimaryReportAt.isAfter(lastNotPrimaryReportAt);
  }

  /** Whether its latest report says that it is not primary. */
  public boolean isLatestReportNotPrimary() {
    return lastNotPrimaryReportAt.isAfter(lastPrimaryReportAt);
  }

  /** It was primary at that moment. */
  public void recordPrimary(Moment at) {
    lastPrimaryReportAt = lastPrimaryReportAt.later(at);
  }

  /** It was not primary at that moment. */
  public void recordNotPrimary(Moment at) {
    lastNotPrimaryReportAt = lastNotPrimaryReportAt.later(at);
  }

  /** Reports of being primary do not count up to that moment, replacing an earlier limit. */
  public void ignorePrimaryReportsUntil(Moment until) {
    lastNotPrimaryReportAt = until;
  }

  /** Another member is primary in its place. */
  public void recordReplaced() {
    replaced = true;
  }

  /** It is primary again, or has reported itself replica. */
  public void clearReplaced() {
    replaced = false;
  }
}
