package basaltlever.model;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/** A value that decays exponentially over time; the caller supplies the time constant. */
public final class DecayingValue {
  private double value;
  private Moment updatedAt = Moment.LONG_AGO;

  /** Returns the value at the given time, decayed since it was last set. */
  public double valueAt(Moment now, Span timeConstant) {
    return value == 0 ? 0 : value * Math.exp(-now.since(updatedAt).ratioTo(timeConstant));
  }

  /** Sets the value at the given time. */
  public void set(Moment now, double value) {
    this.value = value;
    updatedAt = now;
  }

  /** Adds the amount to the value decayed until the given time. */
  public void add(Moment now, Span timeConstant, double amount) {
    set(now, valueAt(now, timeConstant) + amount);
  }

  /** Moves the decayed value towards the target by the given fraction of the distance. */
  public void moveTowards(Moment now, Span timeConstant, double weight, double target) {
    add(now, timeConstant, weight * (target - valueAt(now, timeConstant)));
  }

  /** Returns the time at which the value was last set. */
  public Moment updatedAt() {
    return updatedAt;
  }
}
