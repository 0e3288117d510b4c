package basaltlever.model;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/** Tracks how far an endpoint has applied the log: a proven position and an estimate of its lag. */
public final class ReplicationState {
  private static final Span LAG_TIME_CONSTANT = Span.ofMillis(5_000);

  private Moment provenPosition = Moment.LONG_AGO;
  private final DecayingValue lagMicros = new DecayingValue();

  /**
   * Returns the position up to which the endpoint is proven to have applied all commits. It is
   * never estimated.
   */
  public Moment provenPosition() {
    return provenPosition;
  }

  /** Records a position that the endpoint reported. */
  public void recordPosition(Moment position) {
    provenPosition = provenPosition.later(position);
  }

  /** Discards the proven position, when positions recorded so far are no longer valid. */
  public void resetPosition() {
    provenPosition = Moment.LONG_AGO;
  }

  /**
   * Returns the lag observed last, decayed over time. It is no proof of freshness; it only guides
   * the choice of a replica where replicas check freshness themselves.
   */
  public Span estimatedLag(Moment now) {
    return new Span((long) lagMicros.valueAt(now, LAG_TIME_CONSTANT));
  }

  /** Records the lag observed now. */
  public void recordLag(Moment now, Span lag) {
    lagMicros.set(now, (double) Math.max(0, lag.micros()));
  }
}
