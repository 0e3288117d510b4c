package basaltlever.model;

import basaltlever.time.Moment;

/** Faults of an endpoint that this router has seen. */
public final class HealthState {
  /** More trials than this do not make the pause between them any longer. */
  private static final int MAX_COUNTED_RECOVERY_TRIALS = 2;

  private static final int MAX_COUNTED_QUEUE_FULL_RESPONSES = 5;

  private boolean hasResponded;
  private boolean unresponsive;
  private Moment unresponsiveSince = Moment.LONG_AGO;
  private int recoveryTrials;
  private Moment lastTrialAt = Moment.LONG_AGO;
  private boolean down;
  private Moment downSince = Moment.NEVER;
  private int consecutiveQueueFullResponses;
  private Moment backoffUntil = Moment.LONG_AGO;
  private final DecayingValue failureRate = new DecayingValue();

  /** Whether it has ever answered anything, if only a poll. */
  public boolean hasResponded() {
    return hasResponded;
  }

  /** It has answered something. */
  public void recordResponse() {
    hasResponded = true;
  }

  /** Whether it leaves unanswered what it should have answered. */
  public boolean isUnresponsive() {
    return unresponsive;
  }

  /** When it last fell silent. */
  public Moment unresponsiveSince() {
    return unresponsiveSince;
  }

  /** It leaves unanswered what it should have answered. */
  public void markUnresponsive(Moment now) {
    unresponsive = true;
    unresponsiveSince = now;
  }

  /** It answered a statement, so it is silent no longer. */
  public void markResponsive() {
    unresponsive = false;
    recoveryTrials = 0;
  }

  /** A statement is sent to see whether the silence is over: the pause before the next doubles. */
  public void recordRecoveryTrial(Moment now) {
    recoveryTrials = Math.min(MAX_COUNTED_RECOVERY_TRIALS, recoveryTrials + 1);
    lastTrialAt = now;
  }

  /** Trials in a row without an answer, as far as they are counted. */
  public int recoveryTrials() {
    return recoveryTrials;
  }

  /** When the latest trial was sent. */
  public Moment lastTrialAt() {
    return lastTrialAt;
  }

  /** Whether connections to it fail. */
  public boolean isDown() {
    return down;
  }

  /** Since when connections to it fail. */
  public Moment downSince() {
    return downSince;
  }

  /** Connections to it fail. */
  public void markDown(Moment now) {
    downSince = down ? downSince : now;
    down = true;
  }

  /** It is down since that moment, as an earlier process saw it. */
  public void restoreDownSince(Moment since) {
    downSince = since;
  }

  /** It answers. */
  public void markUp() {
    down = false;
  }

  /** Attempts in a row that it turned away because its queue was full. */
  public int consecutiveQueueFullResponses() {
    return consecutiveQueueFullResponses;
  }

  /** Its queue was full once more. */
  public void recordQueueFullResponse() {
    consecutiveQueueFullResponses =
        Math.min(MAX_COUNTED_QUEUE_FULL_RESPONSES, consecutiveQueueFullResponses + 1);
  }

  /** It took an attempt. */
  public void resetQueueFullResponses() {
    consecutiveQueueFullResponses = 0;
  }

  /** At least so many in a row, as an earlier process counted them. */
  public void restoreQueueFullResponses(int count) {
    consecutiveQueueFullResponses =
        Math.min(MAX_COUNTED_QUEUE_FULL_RESPONSES, Math.max(consecutiveQueueFullResponses, count));
  }

  /** It gets no statement before this moment. */
  public Moment backoffUntil() {
    return backoffUntil;
  }

  /** Sets until when it gets no statement. */
  public void setBackoffUntil(Moment until) {
    backoffUntil = until;
  }

  /** Share of attempts that it recently lost or failed. */
  public DecayingValue failureRate() {
    return failureRate;
  }
}
