package basaltlever.time;

/** A point in time on the clock that the caller hands in. */
public record Moment(long micros) {
  /** Before anything that can happen; far enough from the end of the range to be added to. */
  public static final Moment LONG_AGO = new Moment(Long.MIN_VALUE / 4);

  /** After anything that can happen. */
  public static final Moment NEVER = new Moment(Long.MAX_VALUE / 4);

  /** The moment that much later. */
  public Moment plus(Span span) {
    return new Moment(micros + span.micros());
  }

  /** The moment that much earlier. */
  public Moment minus(Span span) {
    return new Moment(micros - span.micros());
  }

  /** The time from the other moment to this one. */
  public Span since(Moment earlier) {
    return new Span(micros - earlier.micros);
  }

  /** Whether this moment comes before the other. */
  public boolean isBefore(Moment other) {
    return micros < other.micros;
  }

  /** Whether this moment comes after the other. */
  public boolean isAfter(Moment other) {
    return micros > other.micros;
  }

  /** The earlier of the two. */
  public Moment earlier(Moment other) {
    return micros <= other.micros ? this : other;
  }

  /** The later of the two. */
  public Moment later(Moment other) {
    return micros >= other.micros ? this : other;
  }
}
