package basaltlever.model;

import basaltlever.time.Moment;

/** Tracks the faults of an endpoint that this router has observed. */
public final class HealthState {
  /** The pause between recovery trials stops growing after this number of trials. */
  private static final int MAX_COUNTED_RECOVERY_TRIALS = 2;

  private static final int MAX_COUNTED_QUEUE_FULL_RESPONSES = 5;

  private boolean hasResponded;
  private boolean unresponsive;
  private Moment unresponsiveSince = Moment.LONG_AGO;
  private int recoveryTrials;
  private Moment lastRecoveryTrialAt = Moment.LONG_AGO;
  private boolean down;
  private Moment downSince = Moment.NEVER;
  private int consecutiveQueueFullResponses;
  private Moment backoffUntil = Moment.LONG_AGO;
  private final DecayingValue failureRate = new DecayingValue();

  /** Returns whether the endpoint has ever responded to a statement or a poll. */
  public boolean hasResponded() {
    return hasResponded;
  }

  /** Records that the endpoint has responded to a statement or a poll. */
  public void recordResponse() {
    hasResponded = true;
  }

  /** Returns whether the endpoint leaves statements or polls without a response for too long. */
  public boolean isUnresponsive() {
    return unresponsive;
  }

  /** Returns the time at which the endpoint last became unresponsive. */
  public Moment unresponsiveSince() {
    return unresponsiveSince;
  }

  /** Marks the endpoint as unresponsive. */
  public void markUnresponsive(Moment now) {
    unresponsive = true;
    unresponsiveSince = now;
  }

  /** Marks the endpoint as responsive after it responded to a statement. */
  public void markResponsive() {
    unresponsive = false;
    recoveryTrials = 0;
  }

  /**
   * Records that a statement was sent to an unresponsive endpoint to test whether it has recovered.
   * Each recorded trial doubles the pause before the next one, up to a limit.
   */
  public void recordRecoveryTrial(Moment now) {
    recoveryTrials = Math.min(MAX_COUNTED_RECOVERY_TRIALS, recoveryTrials + 1);
    lastRecoveryTrialAt = now;
  }

  /** Returns the number of consecutive recovery trials without a response, up to a limit. */
  public int recoveryTrials() {
    return recoveryTrials;
  }

  /** Returns the time of the latest recovery trial. */
  public Moment lastRecoveryTrialAt() {
    return lastRecoveryTrialAt;
  }

  /** Returns whether connections to the endpoint fail. */
  public boolean isDown() {
    return down;
  }

  /** Returns the time since which connections to the endpoint fail. */
  public Moment downSince() {
    return downSince;
  }

  /** Records that connections to the endpoint fail. */
  public void markDown(Moment now) {
    downSince = down ? downSince : now;
    down = true;
  }

  /** Restores the time of the failure that an earlier process recorded. */
  public void restoreDownSince(Moment since) {
    downSince = since;
  }

  /** Marks the endpoint as reachable. */
  public void markUp() {
    down = false;
  }

  /**
   * Returns the number of consecutive attempts that the endpoint rejected because its queue was
   * full.
   */
  public int consecutiveQueueFullResponses() {
    return consecutiveQueueFullResponses;
  }

  /** Records one more rejection because of a full queue. */
  public void recordQueueFullResponse() {
    consecutiveQueueFullResponses =
        Math.min(MAX_COUNTED_QUEUE_FULL_RESPONSES, consecutiveQueueFullResponses + 1);
  }

  /** Resets the count of rejections after the endpoint accepted an attempt. */
  public void resetQueueFullResponses() {
    consecutiveQueueFullResponses = 0;
  }

  /**
   * Raises the count of consecutive rejections to at least the one that an earlier process
   * recorded.
   */
  public void restoreQueueFullResponses(int count) {
    consecutiveQueueFullResponses =
        Math.min(MAX_COUNTED_QUEUE_FULL_RESPONSES, Math.max(consecutiveQueueFullResponses, count));
  }

  /** Returns the time before which no statement is sent to the endpoint. */
  public Moment backoffUntil() {
    return backoffUntil;
  }

  /** Sets the time before which no statement is sent to the endpoint. */
  public void setBackoffUntil(Moment until) {
    backoffUntil = until;
  }

  /** Returns the share of recent attempts that the endpoint lost or failed. */
  public DecayingValue failureRate() {
    return failureRate;
  }
}
