package basaltlever.time;

/**
 * Estimates the difference between the clock of this process and the clocks of the servers. The
 * difference arises if the clock of the machine was wrong when the process started; afterwards the
 * process uses the monotonic clock. The position of a primary is its present time, so the positions
 * that primaries report give the estimate. Corrections are conservative: a wrong estimate reduces
 * availability but violates no guarantee, since positions never appear newer than they are and
 * servers never appear to have run longer.
 */
public final class ClockOffset {
  /** Normal differences between clocks, which are not corrected. */
  private static final Span BEHIND_TOLERANCE = Span.ofMillis(1_000);

  /** Normal delays of reports together with differences between clocks, which are not corrected. */
  private static final Span AHEAD_TOLERANCE = Span.ofMillis(5_000);

  /** Two reports have to agree within this to make an estimate, since one may be wrong. */
  private static final Span AGREEMENT_TOLERANCE = Span.ofMillis(1_000);

  private static final Span WINDOW_LENGTH = Span.ofMillis(5_000);

  private Span behind = Span.NONE;
  private Span ahead = Span.NONE;
  private Span unconfirmedGap;
  private Moment unconfirmedPosition;
  private Moment windowEnd = Moment.LONG_AGO;
  private Span minAge;
  private int reportsInWindow;

  /**
   * Processes the position that a primary reported. Returns true if the estimate has changed, so
   * that values corrected before have to be corrected and passed on again.
   */
  public boolean onPrimaryPosition(Moment now, Moment position) {
    Span gap = position.since(now);
    if (gap.isLongerThan(BEHIND_TOLERANCE) && gap.isLongerThan(behind)) {
      return confirmBehind(gap, position);
    }
    return updateAhead(now, now.since(position));
  }

  private boolean confirmBehind(Span gap, Moment position) {
    boolean agrees =
        unconfirmedGap != null
            && !position.equals(unconfirmedPosition)
            && gap.minus(unconfirmedGap).isShorterThan(AGREEMENT_TOLERANCE)
            && unconfirmedGap.minus(gap).isShorterThan(AGREEMENT_TOLERANCE);
    unconfirmedGap = agrees ? null : gap;
    unconfirmedPosition = position;
    if (agrees) {
      behind = gap.plus(BEHIND_TOLERANCE);
    }
    return agrees;
  }

  private boolean updateAhead(Moment now, Span age) {
    if (now.isBefore(windowEnd)) {
      minAge = minAge.shorter(age);
      reportsInWindow++;
      return false;
    }
    Span estimate =
        reportsInWindow > 1 && minAge.isLongerThan(AHEAD_TOLERANCE) ? minAge : Span.NONE;
    boolean changed =
        reportsInWindow > 1
            && (estimate.minus(ahead).isLongerThan(AGREEMENT_TOLERANCE)
                || ahead.minus(estimate).isLongerThan(AGREEMENT_TOLERANCE));
    ahead = changed ? estimate : ahead;
    windowEnd = now.plus(WINDOW_LENGTH);
    minAge = age;
    reportsInWindow = 1;
    return changed;
  }

  /** Converts a reported position to the clock of this process; never newer than it is. */
  public Moment correctPosition(Moment reported) {
    return reported.isAfter(Moment.LONG_AGO) ? reported.minus(behind) : reported;
  }

  /** Converts the position of a commit that a read has to see; never older than it is. */
  public Moment correctCommit(Moment reported) {
    return reported.isAfter(Moment.LONG_AGO) && behind.isLongerThan(Span.NONE)
        ? reported.minus(behind.minus(BEHIND_TOLERANCE))
        : reported;
  }

  /** Converts the start time of a server in an endpoint list; never earlier than it was. */
  public Moment correctStart(Moment reported) {
    return reported.isAfter(Moment.LONG_AGO) ? reported.plus(ahead) : reported;
  }

  /** Returns how far this clock is behind the servers at most; zero if it is not behind. */
  public Span behind() {
    return behind;
  }

  /** Returns how far this clock is ahead of the servers; zero if it is not ahead. */
  public Span ahead() {
    return ahead;
  }
}
