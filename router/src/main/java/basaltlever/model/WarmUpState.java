package basaltlever.model;

import basaltlever.time.Moment;

/**
 * Tracks the start of an endpoint's warm-up and the work that this router has charged to it since.
 */
public final class WarmUpState {
  private Moment startedAt = Moment.LONG_AGO;
  private double chargedStatements;
  private Moment chargedAt = Moment.LONG_AGO;
  private boolean unusedSinceStart;

  /**
   * Returns the latest start of the endpoint, as listed or as observed by this router, whichever is
   * later.
   */
  public Moment startedAt() {
    return startedAt;
  }

  /** Returns the work charged, in typical statements, as of {@link #chargedAt}. */
  public double chargedStatements() {
    return chargedStatements;
  }

  /** Returns the time at which work was last charged. */
  public Moment chargedAt() {
    return chargedAt;
  }

  /** Returns whether this router has sent the endpoint no statement since its latest start. */
  public boolean isUnusedSinceStart() {
    return unusedSinceStart;
  }

  /** Records a start of the endpoint. The initial charge delays this router's first statement. */
  public void recordStart(Moment at, Moment now, double initialCharge) {
    startedAt = at;
    chargedStatements = initialCharge;
    unusedSinceStart = true;
    chargedAt = now;
  }

  /** Records that a statement was sent, with the new total of the charged work. */
  public void charge(Moment now, double total) {
    chargedStatements = total;
    chargedAt = now;
    unusedSinceStart = false;
  }

  /** Restores the charge that an earlier process recorded. */
  public void restore(Moment now, double total, boolean wasUnused) {
    chargedStatements = total;
    chargedAt = now;
    unusedSinceStart &= wasUnused;
  }
}
