package basaltlever.lab.endtoend;

/**
 * Unix milliseconds as of the start of a day, moved on by the monotonic clock: steps of the wall
 * clock change nothing.
 */
final class MonotonicClock {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private final long startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  long nowMillis() {
    return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
  }
}
