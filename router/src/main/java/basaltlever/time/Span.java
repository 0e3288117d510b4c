package basaltlever.time;

/** A duration in microseconds; negative for the time to a moment in the past. */
public record Span(long micros) {
  /** The duration of zero. */
  public static final Span NONE = new Span(0);

  /** Returns the duration of that many milliseconds, rounded to microseconds. */
  public static Span ofMillis(double millis) {
    return new Span(Math.round(millis * 1_000));
  }

  /** Returns the sum of both. */
  public Span plus(Span other) {
    return new Span(micros + other.micros);
  }

  /** Returns the difference; negative if the other is longer. */
  public Span minus(Span other) {
    return new Span(micros - other.micros);
  }

  /** Returns this duration times a factor, rounded to microseconds. */
  public Span times(double factor) {
    return new Span(Math.round(micros * factor));
  }

  /** Returns the ratio of this duration to the other. */
  public double ratioTo(Span other) {
    return (double) micros / other.micros;
  }

  /** Returns the shorter of the two. */
  public Span shorter(Span other) {
    return micros <= other.micros ? this : other;
  }

  /** Returns the longer of the two. */
  public Span longer(Span other) {
    return micros >= other.micros ? this : other;
  }

  /** Returns whether this duration is shorter than the other. */
  public boolean isShorterThan(Span other) {
    return micros < other.micros;
  }

  /** Returns whether this duration is longer than the other. */
  public boolean isLongerThan(Span other) {
    return micros > other.micros;
  }
}
