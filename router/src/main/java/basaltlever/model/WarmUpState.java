package basaltlever.model;

import basaltlever.time.Moment;

/** Since when an endpoint is warming up, and the work this router has charged to it meanwhile. */
public final class WarmUpState {
  private Moment startedAt = Moment.LONG_AGO;
  private double chargedMicros;
  private Moment chargedAt = Moment.LONG_AGO;
  private boolean unusedSinceStart;

  /** Its latest start, as listed, or as the router itself saw it where that is later. */
  public Moment startedAt() {
    return startedAt;
  }

  /** Work charged, in microseconds, as of {@link #chargedAt}. */
  public double chargedMicros() {
    return chargedMicros;
  }

  /** When work was charged last. */
  public Moment chargedAt() {
    return chargedAt;
  }

  /** Whether this router has sent it nothing since its latest start. */
  public boolean isUnusedSinceStart() {
    return unusedSinceStart;
  }

  /** It started at that moment; the initial charge delays this router's first statement. */
  public void recordStart(Moment at, Moment now, double initialChargeMicros) {
    startedAt = at;
    chargedMicros = initialChargeMicros;
    unusedSinceStart = true;
    chargedAt = now;
  }

  /** A statement was sent to it: the total of what is charged now. */
  public void charge(Moment now, double totalMicros) {
    chargedMicros = totalMicros;
    chargedAt = now;
    unusedSinceStart = false;
  }

  /** Takes over what an earlier process charged. */
  public void restore(Moment now, double totalMicros, boolean wasUnused) {
    chargedMicros = totalMicros;
    chargedAt = now;
    unusedSinceStart &= wasUnused;
  }
}
