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
  private static final Span BEHIND_TOLERATED = Span.ofMillis(1_000);

  private static final Span AHEAD_TOLERATED = Span.ofMillis(5_000);

  /** Two reports that agree within this make an estimate: one may be spoilt. */
  private static final Span AGREES = Span.ofMillis(1_000);

  private static final Span WINDOW = Span.ofMillis(5_000);

  private Span behind = Span.NONE;
  private Span ahead = Span.NONE;
  private Span suspected;
  private Moment suspectedBy;
  private Moment windowEnds = Moment.LONG_AGO;
  private Span freshest;
  private int reports;

  /**
   * A primary reported its position; true where the estimate has changed, and what was told before
   * is to be told anew.
   */
  public boolean primaryAt(Moment now, Moment position) {
    Span gap = position.since(now);
    if (gap.isLongerThan(BEHIND_TOLERATED) && gap.isLongerThan(behind)) {
      return suspect(gap, position);
    }
    return window(now, now.since(position));
  }

  private boolean suspect(Span gap, Moment position) {
    boolean agrees =
        suspected != null
            && !position.equals(suspectedBy)
            && gap.minus(suspected).isShorterThan(AGREES)
            && suspected.minus(gap).isShorterThan(AGREES);
    suspected = agrees ? null : gap;
    suspectedBy = position;
    if (agrees) {
      behind = gap.plus(BEHIND_TOLERATED);
    }
    return agrees;
  }

  private boolean window(Moment now, Span age) {
    if (now.isBefore(windowEnds)) {
      freshest = freshest.shorter(age);
      reports++;
      return false;
    }
    Span estimate = reports > 1 && freshest.isLongerThan(AHEAD_TOLERATED) ? freshest : Span.NONE;
    boolean changed =
        reports > 1
            && (estimate.minus(ahead).isLongerThan(AGREES)
                || ahead.minus(estimate).isLongerThan(AGREES));
    ahead = changed ? estimate : ahead;
    windowEnds = now.plus(WINDOW);
    freshest = age;
    reports = 1;
    return changed;
  }

  /** A position that a server told, on the clock of this process: never newer than it is. */
  public Moment position(Moment told) {
    return told.isAfter(Moment.LONG_AGO) ? told.minus(behind) : told;
  }

  /** A commit that a read has to see: never older than it is. */
  public Moment committed(Moment told) {
    return told.isAfter(Moment.LONG_AGO) && behind.isLongerThan(Span.NONE)
        ? told.minus(behind.minus(BEHIND_TOLERATED))
        : told;
  }

  /** The start of a server, as a list tells it: never earlier than it was. */
  public Moment started(Moment told) {
    return told.isAfter(Moment.LONG_AGO) ? told.plus(ahead) : told;
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
