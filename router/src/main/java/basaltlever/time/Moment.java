package basaltlever.time;

/** A point in time on the clock that the caller hands in. */
public record Moment(long micros) {
  /** Before anything that can happen; far enough from the end of the range to be added to. */
  public static final Moment LONG_AGO = new Moment(Long.MIN_VALUE / 4);

  public static final Moment NEVER = new Moment(Long.MAX_VALUE / 4);

  public Moment plus(Span span) {
    return new Moment(micros + span.micros());
  }

  public Moment minus(Span span) {
    return new Moment(micros - span.micros());
  }

  public Span since(Moment earlier) {
    return new Span(micros - earlier.micros);
  }

  public boolean isBefore(Moment other) {
    return micros < other.micros;
  }

  public boolean isAfter(Moment other) {
    return micros > other.micros;
  }

  public Moment earlier(Moment other) {
    return micros <= other.micros ? this : other;
  }

  public Moment later(Moment other) {
    return micros >= other.micros ? this : other;
  }
}
