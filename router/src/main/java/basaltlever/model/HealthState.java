package basaltlever.model;

import basaltlever.time.Moment;

/** Faults of an endpoint that this router has seen. */
public final class HealthState {
  /** More trials than this do not make the pause between them any longer. */
  private static final int MAX_COUNTED_TRIALS = 2;

  private static final int MAX_COUNTED_FULL_ANSWERS = 5;

  private boolean answered;
  private boolean silent;
  private Moment silentSince = Moment.LONG_AGO;
  private int silenceTrials;
  private Moment lastTrialAt = Moment.LONG_AGO;
  private boolean down;
  private Moment downSince = Moment.NEVER;
  private int consecutiveFullAnswers;
  private Moment backoffUntil = Moment.LONG_AGO;
  private final DecayingValue failureRate = new DecayingValue();

  /** Whether it has ever answered anything, if only a poll. */
  public boolean hasAnswered() {
    return answered;
  }

  /** It has answered something. */
  public void recordAnswer() {
    answered = true;
  }

  /** Whether it leaves unanswered what it should have answered. */
  public boolean isSilent() {
    return silent;
  }

  /** When it last fell silent. */
  public Moment silentSince() {
    return silentSince;
  }

  /** It leaves unanswered what it should have answered. */
  public void markSilent(Moment now) {
    silent = true;
    silentSince = now;
  }

  /** It answered a statement, so it is silent no longer. */
  public void clearSilence() {
    silent = false;
    silenceTrials = 0;
  }

  /** A statement is sent to see whether the silence is over: the pause before the next doubles. */
  public void recordTrial(Moment now) {
    silenceTrials = Math.min(MAX_COUNTED_TRIALS, silenceTrials + 1);
    lastTrialAt = now;
  }

  /** Trials in a row without an answer, as far as they are counted. */
  public int silenceTrials() {
    return silenceTrials;
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
  public int consecutiveFullAnswers() {
    return consecutiveFullAnswers;
  }

  /** Its queue was full once more. */
  public void recordFullAnswer() {
    consecutiveFullAnswers = Math.min(MAX_COUNTED_FULL_ANSWERS, consecutiveFullAnswers + 1);
  }

  /** It took an attempt. */
  public void resetFullAnswers() {
    consecutiveFullAnswers = 0;
  }

  /** At least so many in a row, as an earlier process counted them. */
  public void restoreFullAnswers(int count) {
    consecutiveFullAnswers =
        Math.min(MAX_COUNTED_FULL_ANSWERS, Math.max(consecutiveFullAnswers, count));
  }

  /** It gets no statement before this moment. */
  public Moment backoffUntil() {
    return backoffUntil;
  }

  /** Sets until when it gets no statement. */
  public void backOffUntil(Moment until) {
    backoffUntil = until;
  }

  /** Share of attempts that it recently lost or failed. */
  public DecayingValue failureRate() {
    return failureRate;
  }
}
