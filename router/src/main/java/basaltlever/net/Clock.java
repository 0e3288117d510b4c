package basaltlever.net;

import basaltlever.time.Moment;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Unix time that never runs backwards: read once from the system, from then on by the steady clock.
 */
final class Clock {
  /** Whole milliseconds would make a position that a node has just told lie in the future. */
  private final long startMicros = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());

  private final long startNanos = System.nanoTime();

  Moment now() {
    return new Moment(startMicros + (System.nanoTime() - startNanos) / 1_000);
  }
}
