package basaltlever.time;

/**
 * How far the clock of this process is from that of the servers, where the machine's was stepped
 * before it started: afterwards it runs on the monotonic clock. A primary stands at the present, so
 * what primaries report as their position tells. Each figure is turned so that a wrong estimate
 * costs service and breaks no rule: positions never look newer than they are, and servers never
 * look warmer.
 */
public final class ClockOffset {
  /** Reports come that much late, and clocks differ that much, without anything being wrong. */
  private static final Span BEHIND_TOLERANCE = Span.ofMillis(1_000);

  private static final Span AHEAD_TOLERANCE = Span.ofMillis(5_000);

  /** Two reports that agree within this make an estimate: one may be spoilt. */
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
   * A primary reported its position; true where the estimate has changed, and what was told before
   * is to be told anew.
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

  /** A position that a server told, on the clock of this process: never newer than it is. */
  public Moment correctPosition(Moment reported) {
    return reported.isAfter(Moment.LONG_AGO) ? reported.minus(behind) : reported;
  }

  /** A commit that a read has to see: never older than it is. */
  public Moment correctCommit(Moment reported) {
    return reported.isAfter(Moment.LONG_AGO) && behind.isLongerThan(Span.NONE)
        ? reported.minus(behind.minus(BEHIND_TOLERANCE))
        : reported;
  }

  /** The start of a server, as a list tells it: never earlier than it was. */
  public Moment correctStart(Moment reported) {
    return reported.isAfter(Moment.LONG_AGO) ? reported.plus(ahead) : reported;
  }

  /** How far this clock is behind the servers, at most; none where it is not. */
  public Span behind() {
    return behind;
  }

  /** How far this clock is ahead of the servers; none where it is not. */
  public Span ahead() {
    return ahead;
  }
}
