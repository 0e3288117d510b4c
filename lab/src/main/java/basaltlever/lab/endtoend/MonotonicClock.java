package basaltlever.lab.endtoend;

/**
 * Clock in Unix milliseconds that reads the wall clock once and then advances with the monotonic
 * clock, so steps of the wall clock have no effect.
 */
final class MonotonicClock {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private final long startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  long nowMillis() {
    return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
  }
}
