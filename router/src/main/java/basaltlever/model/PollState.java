package basaltlever.model;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/** When an endpoint was polled, when it is polled next, and how many polls it missed in a row. */
public final class PollState {
  private Moment nextPollAt = Moment.NEVER;
  private Moment nextCheckAt = Moment.NEVER;
  private Moment sentAt = Moment.LONG_AGO;
  private boolean inFlight;
  private int missedPolls;

  /** When the next poll is due; never where nothing asks for one. */
  public Moment nextPollAt() {
    return nextPollAt;
  }

  /** When the schedule has to look at the endpoint next. */
  public Moment nextCheckAt() {
    return nextCheckAt;
  }

  /** When the latest poll was sent. */
  public Moment sentAt() {
    return sentAt;
  }

  /** Whether a poll has been sent and not been answered. */
  public boolean isInFlight() {
    return inFlight;
  }

  /** Polls in a row without an answer. */
  public int missedPolls() {
    return missedPolls;
  }

  /** Sets the time of the next poll; never cancels it. */
  public void scheduleAt(Moment at) {
    nextPollAt = at;
  }

  /** Brings the next poll forward to the given time where it would be later. */
  public void scheduleNoLaterThan(Moment at) {
    nextPollAt = nextPollAt.earlier(at);
  }

  /** A poll was sent. */
  public void recordPollSent(Moment now) {
    inFlight = true;
    sentAt = now;
  }

  /** The poll was answered, failed or timed out. */
  public void recordPollEnd() {
    inFlight = false;
  }

  /** Counts one more poll without an answer. */
  public void recordMissedPoll() {
    missedPolls++;
  }

  /** The endpoint has answered something. */
  public void resetMissedPolls() {
    missedPolls = 0;
  }

  /** Computes when to look at the endpoint next: its poll times out, or the next one is due. */
  public void updateNextCheckAt(Span timeout) {
    nextCheckAt = inFlight ? sentAt.plus(timeout) : nextPollAt;
  }
}
