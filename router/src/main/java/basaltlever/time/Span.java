package basaltlever.time;

/** A length of time; it may be negative, as the distance to something already past. */
public record Span(long micros) {
  /** No time at all. */
  public static final Span NONE = new Span(0);

  /** Milliseconds, rounded to microseconds. */
  public static Span ofMillis(double millis) {
    return new Span(Math.round(millis * 1_000));
  }

  /** The sum of both. */
  public Span plus(Span other) {
    return new Span(micros + other.micros);
  }

  /** The difference; negative where the other is longer. */
  public Span minus(Span other) {
    return new Span(micros - other.micros);
  }

  /** This length times a factor, rounded to microseconds. */
  public Span times(double factor) {
    return new Span(Math.round(micros * factor));
  }

  /** How many times the other fits into this one. */
  public double ratioTo(Span other) {
    return (double) micros / other.micros;
  }

  /** The shorter of the two. */
  public Span shorter(Span other) {
    return micros <= other.micros ? this : other;
  }

  /** The longer of the two. */
  public Span longer(Span other) {
    return micros >= other.micros ? this : other;
  }

  /** Whether this length is less than the other. */
  public boolean isShorterThan(Span other) {
    return micros < other.micros;
  }

  /** Whether this length exceeds the other. */
  public boolean isLongerThan(Span other) {
    return micros > other.micros;
  }
}
