package basaltlever.net;

import basaltlever.time.Moment;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Unix time that never runs backwards: read once from the system, from then on by the steady clock.
 */
final class Clock {
  /** Whole milliseconds would make a position that a node has just told lie in the future. */
  private final long start = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());

  private final long steady = System.nanoTime();

  Moment now() {
    return new Moment(start + (System.nanoTime() - steady) / 1_000);
  }
}
