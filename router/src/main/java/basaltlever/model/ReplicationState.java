package basaltlever.model;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/** How far an endpoint has applied the log: a proven position, and an estimate of its lag. */
public final class ReplicationState {
  private static final Span LAG_TIME_CONSTANT = Span.ofMillis(5_000);

  private Moment provenPosition = Moment.LONG_AGO;
  private final DecayingValue lagMicros = new DecayingValue();

  /** All commits up to here are in its data: proven, never estimated. */
  public Moment provenPosition() {
    return provenPosition;
  }

  /** A position that the endpoint reported. */
  public void recordPosition(Moment position) {
    provenPosition = provenPosition.later(position);
  }

  /** Positions known so far prove nothing any more. */
  public void resetPosition() {
    provenPosition = Moment.LONG_AGO;
  }

  /**
   * How far behind it was when last seen, decaying with time. It proves nothing; it tells which
   * replica to try where replicas check freshness themselves.
   */
  public Span estimatedLag(Moment now) {
    return new Span((long) lagMicros.valueAt(now, LAG_TIME_CONSTANT));
  }

  /** The lag as observed now. */
  public void recordLag(Moment now, Span lag) {
    lagMicros.set(now, (double) Math.max(0, lag.micros()));
  }
}
