package basaltlever.switchover;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * The planned switchover of one group's primary, as announced by the endpoints of the group.
 * Performs no I/O; {@code PrimaryTracker} passes in announcements and the state of the group. An
 * announcement never overrides a report of being primary: it only causes statements to be held, for
 * a limited time, and the target receives none before it reports itself primary.
 */
public final class PlannedSwitchover {
  /**
   * The phases in their order. From any phase before {@code POST}, a switchover is called off if it
   * ends without its target as primary.
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

  /** Frequent polls start and connections are opened this long before the announced time. */
  static final Span PREPARATION_TIME = Span.ofMillis(2_000);

  /** Statements held for longer would time out waiting for a change that may never happen. */
  static final Span MAX_HOLD_TIME = Span.ofMillis(3_000);

  /**
   * The time for which endpoints are polled frequently after the switchover, because the former
   * primary may return and still report itself primary.
   */
  static final Span POST_SWITCHOVER_WATCH_TIME = Span.ofMillis(5_000);

  /**
   * An announcement whose start time is further in the past than this is ignored: the switchover
   * has already happened or never will.
   */
  static final Span MAX_START_DELAY = Span.ofMillis(1_000);

  static final Span MAX_ANNOUNCEMENT_LEAD_TIME = Span.ofMillis(24 * 3_600_000.0);

  /**
   * Stands for an unknown endpoint; known ones are identified by the indices that the decisions
   * use.
   */
  public static final int UNKNOWN_ENDPOINT = -1;

  /** Is notified when a switchover enters a phase. */
  public interface Listener {
    /** Called when the switchover to the target has entered a phase. */
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

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /**
   * Returns the endpoint that is to become primary; {@link #UNKNOWN_ENDPOINT} before the first
   * announcement.
   */
  public int target() {
    return target;
  }

  private boolean isPending() {
    return phase.ordinal() >= Phase.CREATED.ordinal()
        && phase.ordinal() <= Phase.IN_PROGRESS.ordinal();
  }

  /**
   * Returns whether new statements for the primary are held, even if the former primary still
   * reports itself primary.
   */
  public boolean isHoldingStatements() {
    return phase == Phase.IN_PROGRESS;
  }

  /** Returns whether the endpoints of the group are polled frequently. */
  public boolean needsFrequentPolls() {
    return phase == Phase.PREPARATION || phase == Phase.IN_PROGRESS || phase == Phase.POST;
  }

  /**
   * Returns whether the endpoint is the former primary of a switchover in progress; its reports of
   * being primary are then out of date.
   */
  public boolean isExcluded(int endpoint) {
    return phase == Phase.IN_PROGRESS && endpoint == formerPrimary;
  }

  /**
   * Processes an announcement read from an endpoint's control table: its number, which rises with
   * each announcement, its target and its start time. Returns whether the state has changed.
   * Endpoints may lag behind each other, so an announcement with an older number is ignored.
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
    // A later announcement replaces an earlier one that has not completed, even while statements
    // are held for it.
    announcementNumber = newNumber;
    target = newTarget;
    startAt = newStartAt;
    return enter(now, Phase.CREATED);
  }

  /**
   * Advances the phase according to the clock and the state of the group.
   *
   * @param primary the known primary, or {@link #UNKNOWN_ENDPOINT}
   * @param targetIsUsable whether the router would send statements to the target
   */
  public void advance(Moment now, int primary, boolean targetIsUsable) {
    while (tryAdvance(now, primary, targetIsUsable)) {
      // Several phases can end at the same time.
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
      // The target became primary before the announced time.
      return enter(now, Phase.POST);
    }
    if (!targetIsUsable) {
      return enter(now, Phase.CALLED_OFF);
    }
    if (!now.isBefore(startAt)) {
      // If one switchover replaces another, the former primary is already excluded.
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

  /** Returns the next time at which the phase can change through the passage of time alone. */
  public Moment nextStepAt() {
    Moment step =
        switch (phase) {
          case CREATED -> startAt.minus(PREPARATION_TIME);
          case PREPARATION -> startAt;
          case IN_PROGRESS -> phaseEnteredAt.plus(MAX_HOLD_TIME);
          case POST -> phaseEnteredAt.plus(POST_SWITCHOVER_WATCH_TIME);
          default -> Moment.NEVER;
        };
    // The limits of these phases are exclusive: the phase ends only after the limit has passed.
    return phase.ordinal() >= Phase.IN_PROGRESS.ordinal() ? step.plus(new Span(1)) : step;
  }

  private boolean enter(Moment now, Phase next) {
    phase = next;
    phaseEnteredAt = now;
    listener.onPhaseEntered(phase, target);
    return true;
  }
}
