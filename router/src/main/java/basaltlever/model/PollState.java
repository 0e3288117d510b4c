package basaltlever.model;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * Tracks when an endpoint was polled, when its next poll is due, and how many consecutive polls it
 * missed.
 */
public final class PollState {
  private Moment nextPollAt = Moment.NEVER;
  private Moment nextCheckAt = Moment.NEVER;
  private Moment sentAt = Moment.LONG_AGO;
  private boolean inFlight;
  private int missedPolls;

  /** Returns the time at which the next poll is due; {@link Moment#NEVER} if none is scheduled. */
  public Moment nextPollAt() {
    return nextPollAt;
  }

  /** Returns the time at which the schedule must check the endpoint next. */
  public Moment nextCheckAt() {
    return nextCheckAt;
  }

  /** Returns the time at which the latest poll was sent. */
  public Moment sentAt() {
    return sentAt;
  }

  /** Returns whether a poll was sent and has not ended yet. */
  public boolean isInFlight() {
    return inFlight;
  }

  /** Returns the number of consecutive polls without a response. */
  public int missedPolls() {
    return missedPolls;
  }

  /** Sets the time of the next poll; {@link Moment#NEVER} cancels it. */
  public void scheduleAt(Moment at) {
    nextPollAt = at;
  }

  /** Moves the next poll forward to the given time if it is scheduled later. */
  public void scheduleNoLaterThan(Moment at) {
    nextPollAt = nextPollAt.earlier(at);
  }

  /** Records that a poll was sent. */
  public void recordPollSent(Moment now) {
    inFlight = true;
    sentAt = now;
  }

  /** Records that the poll was answered, failed or timed out. */
  public void recordPollEnd() {
    inFlight = false;
  }

  /** Counts one more poll without a response. */
  public void recordMissedPoll() {
    missedPolls++;
  }

  /** Resets the count of missed polls after the endpoint responded to a statement or a poll. */
  public void resetMissedPolls() {
    missedPolls = 0;
  }

  /**
   * Computes the time of the next check: when the poll in flight times out, or else when the next
   * poll is due.
   */
  public void updateNextCheckAt(Span timeout) {
    nextCheckAt = inFlight ? sentAt.plus(timeout) : nextPollAt;
  }
}
