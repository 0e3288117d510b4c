package basaltlever.model;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/** A value that decays exponentially with time; its reader gives the time constant. */
public final class DecayingValue {
  private double value;
  private Moment updatedAt = Moment.LONG_AGO;

  /** The value at that moment, decayed since it was last set. */
  public double valueAt(Moment now, Span timeConstant) {
    return value == 0 ? 0 : value * Math.exp(-now.since(updatedAt).ratioTo(timeConstant));
  }

  /** Sets the value as of that moment. */
  public void set(Moment now, double value) {
    this.value = value;
    updatedAt = now;
  }

  /** Adds to the value as decayed by then. */
  public void add(Moment now, Span timeConstant, double amount) {
    set(now, valueAt(now, timeConstant) + amount);
  }

  /** Moves the decayed value towards the target, by the weight as a share of the distance. */
  public void moveTowards(Moment now, Span timeConstant, double weight, double target) {
    add(now, timeConstant, weight * (target - valueAt(now, timeConstant)));
  }

  /** When the value was last set. */
  public Moment updatedAt() {
    return updatedAt;
  }
}
