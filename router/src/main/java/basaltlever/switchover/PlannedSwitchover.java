package basaltlever.switchover;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * The planned switchover of one group's primary, as announced by its members. Free of I/O: {@code
 * PrimaryTracker} tells it what it sees. An announcement never outweighs a report of being primary:
 * statements are only held for it, for a bounded time, and the target gets none before it reports
 * itself primary.
 */
public final class PlannedSwitchover {
  /**
   * In their order; an announcement that ends without its target as primary is called off from any
   * of them.
   */
  public enum Phase {
    NOT_CREATED,
    CREATED,
    PREPARATION,
    IN_PROGRESS,
    POST,
    COMPLETED,
    CALLED_OFF
  }

  /** Polls and connections are made ready this long before the announced time. */
  static final Span PREPARATION_TIME = Span.ofMillis(2_000);

  /** Held for longer, statements would run out of time for a change that may never come. */
  static final Span MAX_HOLD_TIME = Span.ofMillis(3_000);

  /**
   * How long the members are watched closely afterwards: the old primary may come back with old
   * claims.
   */
  static final Span POST_SWITCHOVER_WATCH_TIME = Span.ofMillis(5_000);

  /** Announced for a time that is over by more than this, it has happened or never will. */
  static final Span MAX_START_DELAY = Span.ofMillis(1_000);

  static final Span MAX_ANNOUNCEMENT_LEAD_TIME = Span.ofMillis(24 * 3_600_000.0);

  /** No known member; members go by the small indices that the decisions use. */
  public static final int UNKNOWN_ENDPOINT = -1;

  /** Is notified of each phase as it is entered. */
  public interface Listener {
    /** The switchover to the target has entered a phase. */
    void onPhaseEntered(Phase phase, int target);
  }

  private final Listener listener;
  private Phase phase = Phase.NOT_CREATED;
  private long announcementNumber;
  private int target = UNKNOWN_ENDPOINT;
  private int formerPrimary = UNKNOWN_ENDPOINT;
  private Moment startAt = Moment.NEVER;
  private Moment phaseEnteredAt = Moment.LONG_AGO;

  public PlannedSwitchover(Listener listener) {
    this.listener = listener;
  }

  /** The present phase. */
  public Phase phase() {
    return phase;
  }

  /** The member that is to be primary; unknown before the first announcement. */
  public int target() {
    return target;
  }

  private boolean isPending() {
    return phase.ordinal() >= Phase.CREATED.ordinal()
        && phase.ordinal() <= Phase.IN_PROGRESS.ordinal();
  }

  /** New statements for the primary wait, whatever the old one still says. */
  public boolean isHoldingStatements() {
    return phase == Phase.IN_PROGRESS;
  }

  /** The members are polled often. */
  public boolean needsFrequentPolls() {
    return phase == Phase.PREPARATION || phase == Phase.IN_PROGRESS || phase == Phase.POST;
  }

  /** While the change goes on, what the old primary claims is its past. */
  public boolean isExcluded(int endpoint) {
    return phase == Phase.IN_PROGRESS && endpoint == formerPrimary;
  }

  /**
   * What a member's table says: a number that rises with each announcement, whom it names and from
   * when on. True where anything changed. Members may lag behind each other: an older number says
   * nothing any more.
   */
  public boolean onAnnouncement(
      Moment now, long newNumber, int newTarget, Moment newStartAt, boolean cancelled) {
    if (cancelled) {
      return newNumber == announcementNumber && isPending() && enter(now, Phase.CALLED_OFF);
    }
    if (newTarget == UNKNOWN_ENDPOINT
        || newNumber <= announcementNumber
        || now.since(newStartAt).isLongerThan(MAX_START_DELAY)
        || newStartAt.since(now).isLongerThan(MAX_ANNOUNCEMENT_LEAD_TIME)) {
      return false;
    }
    // A later one takes the place of an earlier, also of one that is held for: it has not come to
    // its
    // end.
    announcementNumber = newNumber;
    target = newTarget;
    startAt = newStartAt;
    return enter(now, Phase.CREATED);
  }

  /**
   * Moves on by the clock and by what the router sees: its primary, NOBODY where it knows none, and
   * whether it would send the target anything.
   */
  public void advance(Moment now, int primary, boolean targetIsUsable) {
    while (tryAdvance(now, primary, targetIsUsable)) {
      // Several phases may be over at once.
    }
  }

  private boolean tryAdvance(Moment now, int primary, boolean targetIsUsable) {
    return switch (phase) {
      case CREATED, PREPARATION -> tryAdvanceBeforeStart(now, primary, targetIsUsable);
      case IN_PROGRESS -> tryAdvanceInProgress(now, primary, targetIsUsable);
      case POST ->
          now.since(phaseEnteredAt).isLongerThan(POST_SWITCHOVER_WATCH_TIME)
              && enter(now, Phase.COMPLETED);
      default -> false;
    };
  }

  private boolean tryAdvanceBeforeStart(Moment now, int primary, boolean targetIsUsable) {
    if (isTarget(primary)) {
      // It took over before its time.
      return enter(now, Phase.POST);
    }
    if (!targetIsUsable) {
      return enter(now, Phase.CALLED_OFF);
    }
    if (!now.isBefore(startAt)) {
      // Where one switchover replaces another, the old primary is out of use already.
      formerPrimary = primary == UNKNOWN_ENDPOINT ? formerPrimary : primary;
      return enter(now, Phase.IN_PROGRESS);
    }
    return phase == Phase.CREATED
        && !now.isBefore(startAt.minus(PREPARATION_TIME))
        && enter(now, Phase.PREPARATION);
  }

  private boolean tryAdvanceInProgress(Moment now, int primary, boolean targetIsUsable) {
    if (isTarget(primary)) {
      return enter(now, Phase.POST);
    }
    boolean otherPrimary = primary != UNKNOWN_ENDPOINT && primary != formerPrimary;
    return (otherPrimary
            || !targetIsUsable
            || now.since(phaseEnteredAt).isLongerThan(MAX_HOLD_TIME))
        && enter(now, Phase.CALLED_OFF);
  }

  private boolean isTarget(int primary) {
    return primary != UNKNOWN_ENDPOINT && primary == target;
  }

  /** When it has to be looked at next by the clock alone. */
  public Moment nextStepAt() {
    Moment step =
        switch (phase) {
          case CREATED -> startAt.minus(PREPARATION_TIME);
          case PREPARATION -> startAt;
          case IN_PROGRESS -> phaseEnteredAt.plus(MAX_HOLD_TIME);
          case POST -> phaseEnteredAt.plus(POST_SWITCHOVER_WATCH_TIME);
          default -> Moment.NEVER;
        };
    // Past the limits above, not at them.
    return phase.ordinal() >= Phase.IN_PROGRESS.ordinal() ? step.plus(new Span(1)) : step;
  }

  private boolean enter(Moment now, Phase next) {
    phase = next;
    phaseEnteredAt = now;
    listener.onPhaseEntered(phase, target);
    return true;
  }
}
