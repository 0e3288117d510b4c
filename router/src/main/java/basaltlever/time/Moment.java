package basaltlever.time;

/** A point in time, in microseconds on the clock of the caller. */
public record Moment(long micros) {
  /** Before any event; far enough from the end of the range that spans can be added. */
  public static final Moment LONG_AGO = new Moment(Long.MIN_VALUE / 4);

  /** After any event; far enough from the end of the range that spans can be added. */
  public static final Moment NEVER = new Moment(Long.MAX_VALUE / 4);

  /** Returns the moment that is later by the span. */
  public Moment plus(Span span) {
    return new Moment(micros + span.micros());
  }

  /** Returns the moment that is earlier by the span. */
  public Moment minus(Span span) {
    return new Moment(micros - span.micros());
  }

  /** Returns the time from the other moment to this one. */
  public Span since(Moment earlier) {
    return new Span(micros - earlier.micros);
  }

  /** Returns whether this moment is before the other. */
  public boolean isBefore(Moment other) {
    return micros < other.micros;
  }

  /** Returns whether this moment is after the other. */
  public boolean isAfter(Moment other) {
    return micros > other.micros;
  }

  /** Returns the earlier of the two. */
  public Moment earlier(Moment other) {
    return micros <= other.micros ? this : other;
  }

  /** Returns the later of the two. */
  public Moment later(Moment other) {
    return micros >= other.micros ? this : other;
  }
}
