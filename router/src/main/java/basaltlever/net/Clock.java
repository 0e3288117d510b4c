package basaltlever.net;

import basaltlever.time.Moment;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Unix time that never runs backwards: read once from the system clock, then advanced by the
 * monotonic clock.
 */
final class Clock {
  /**
   * In microseconds: with whole milliseconds, a position just reported by a server would lie in the
   * future.
   */
  private final long startMicros = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());

  private final long startNanos = System.nanoTime();

  Moment now() {
    return new Moment(startMicros + (System.nanoTime() - startNanos) / 1_000);
  }
}
