package basaltlever.balancer;

import basaltlever.time.Span;

/** Time constants shared by several decisions. */
final class Timing {
  static final Span ONE_SECOND = Span.ofMillis(1_000);

  /** Interval between two scans of the open statements. */
  static final Span SCAN_INTERVAL = Span.ofMillis(10);

  /** Decay time constant of estimates that follow recent events. */
  static final Span SHORT_DECAY = Span.ofMillis(5_000);

  /** Decay time constant of estimates that need many events. */
  static final Span LONG_DECAY = Span.ofMillis(15_000);

  /** The weight of one event in an estimate when events are frequent. */
  static final double LEARNING_RATE = 0.1;

  private Timing() {}
}
