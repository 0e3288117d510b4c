package basaltlever.net;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;

/**
 * Since when a connection may have waited in the listen queue: since the last look that found the
 * queue empty. Where a crowd never lets it be empty, the queue's length bounds it too: who is
 * accepted behind more than it holds came after those.
 */
final class ListenQueue {
  private static final Span SAMPLE_INTERVAL = Span.ofMillis(5);
  private static final int MAX_SAMPLES = 256;

  private record Sample(Moment at, long accepted) {}

  private final int capacity;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /** By the latest sample that is more than a whole queue behind. */
  private Moment fullQueueBound = Moment.LONG_AGO;

  /** Never where the last look found the queue empty. */
  private Moment nonEmptySince = Moment.NEVER;

  private Moment nonEmptySinceBefore = Moment.NEVER;
  private long accepted;

  /** The system holds one more than the length. */
  ListenQueue(int length) {
    this.capacity = length + 1;
  }

  /**
   * The next connection is accepted, in a look that finds what came after this moment; since when
   * it may have waited.
   */
  Moment onAccept(Moment earliestArrival, Moment now) {
    if (samples.isEmpty() || now.since(samples.peekLast().at()).isLongerThan(SAMPLE_INTERVAL)) {
      if (samples.size() == MAX_SAMPLES) {
        samples.removeFirst();
      }
      samples.addLast(new Sample(now, accepted));
    }
    accepted++;
    while (!samples.isEmpty() && accepted - samples.peekFirst().accepted() > capacity) {
      fullQueueBound = samples.removeFirst().at();
    }
    return nonEmptySince.earlier(earliestArrival).later(fullQueueBound);
  }

  /** A look at the queue has ended, and whether nothing was left in it. */
  void onReadComplete(boolean foundEmpty, Moment earliestArrival) {
    nonEmptySinceBefore = nonEmptySince;
    nonEmptySince = foundEmpty ? Moment.NEVER : nonEmptySince.earlier(earliestArrival);
  }

  /**
   * The look that has just ended was broken off by a fault: what was left in the queue is not
   * known.
   */
  void onReadFailed(Moment earliestArrival) {
    nonEmptySince = nonEmptySinceBefore.earlier(earliestArrival);
  }
}
