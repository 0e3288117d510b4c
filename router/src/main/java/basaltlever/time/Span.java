package basaltlever.time;

/** A length of time; it may be negative, as the distance to something already past. */
public record Span(long micros) {
  public static final Span NONE = new Span(0);

  public static Span ofMillis(double millis) {
    return new Span(Math.round(millis * 1_000));
  }

  public Span plus(Span other) {
    return new Span(micros + other.micros);
  }

  public Span minus(Span other) {
    return new Span(micros - other.micros);
  }

  public Span times(double factor) {
    return new Span(Math.round(micros * factor));
  }

  public double over(Span other) {
    return (double) micros / other.micros;
  }

  public Span shorter(Span other) {
    return micros <= other.micros ? this : other;
  }

  public Span longer(Span other) {
    return micros >= other.micros ? this : other;
  }

  public boolean isShorterThan(Span other) {
    return micros < other.micros;
  }

  public boolean isLongerThan(Span other) {
    return micros > other.micros;
  }
}
