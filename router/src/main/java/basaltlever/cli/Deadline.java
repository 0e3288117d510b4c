package basaltlever.cli;

/** A deadline on the monotonic clock, which is not affected by changes of the system time. */
final class Deadline {
  /** The interval between two checks of the condition waited for. */
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
