package basaltlever.model;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/** A value that fades by itself; how fast is said by who reads it. */
public final class DecayingValue {
  private double value;
  private Moment updatedAt = Moment.LONG_AGO;

  public double at(Moment now, Span span) {
    return value == 0 ? 0 : value * Math.exp(-now.since(updatedAt).over(span));
  }

  public void set(Moment now, double value) {
    this.value = value;
    updatedAt = now;
  }

  public void add(Moment now, Span span, double more) {
    set(now, at(now, span) + more);
  }

  /** Moves what has faded some of the way to the target. */
  public void move(Moment now, Span span, double weight, double target) {
    add(now, span, weight * (target - at(now, span)));
  }

  public Moment updatedAt() {
    return updatedAt;
  }
}
