package basaltlever.balancer;

import basaltlever.time.Span;

/** Time constants that several decisions share. */
final class Timing {
  static final Span ONE_SECOND = Span.ofMillis(1_000);

  /** Between two passes over the open statements. */
  static final Span SCAN_INTERVAL = Span.ofMillis(10);

  /** Estimates that follow recent events decay by this time constant. */
  static final Span SHORT_DECAY = Span.ofMillis(5_000);

  /** Estimates that need many events decay by this time constant. */
  static final Span LONG_DECAY = Span.ofMillis(15_000);

  /** The weight of one event in an estimate where events are frequent. */
  static final double LEARNING_RATE = 0.1;

  private Timing() {}
}
