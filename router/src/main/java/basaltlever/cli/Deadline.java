package basaltlever.cli;

/** The end of a wait, by the monotonic clock, which no step of the wall clock changes. */
final class Deadline {
  /** Between two checks of what is waited for. */
  static final long POLL_INTERVAL_MILLIS = 50;

  private final long startNanos = System.nanoTime();
  private final long millis;

  private Deadline(long millis) {
    this.millis = millis;
  }

  static Deadline inMillis(long millis) {
    return new Deadline(millis);
  }

  boolean isOver() {
    return (System.nanoTime() - startNanos) / 1_000_000 >= millis;
  }
}
