package basaltlever.net;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;

/**
 * Estimates since when a connection may have waited in the listen queue: since the last read that
 * emptied the queue. If a crowd never lets it become empty, the capacity is a second bound: if more
 * connections than the capacity have been accepted since some moment, the latest of them arrived
 * after that moment.
 */
final class ListenQueue {
  private static final Span SAMPLE_INTERVAL = Span.ofMillis(5);
  private static final int MAX_SAMPLES = 256;

  private record Sample(Moment at, long accepted) {}

  private final int capacity;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /**
   * The time of the latest sample that lies more than a full queue of accepted connections back.
   */
  private Moment fullQueueBound = Moment.LONG_AGO;

  /** Never if the last read emptied the queue. */
  private Moment nonEmptySince = Moment.NEVER;

  private Moment nonEmptySinceBefore = Moment.NEVER;
  private long accepted;

  /** Creates an estimate for this backlog; Linux holds one connection more than the backlog. */
  ListenQueue(int length) {
    this.capacity = length + 1;
  }

  /**
   * Records an accepted connection, in a read that finds what arrived after {@code
   * earliestArrival}. Returns the earliest time at which the connection may have entered the queue.
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

  /** Records the end of a read, and whether it emptied the queue. */
  void onReadComplete(boolean foundEmpty, Moment earliestArrival) {
    nonEmptySinceBefore = nonEmptySince;
    nonEmptySince = foundEmpty ? Moment.NEVER : nonEmptySince.earlier(earliestArrival);
  }

  /**
   * Records that the read that has just ended failed, so that the remaining queue length is
   * unknown.
   */
  void onReadFailed(Moment earliestArrival) {
    nonEmptySince = nonEmptySinceBefore.earlier(earliestArrival);
  }
}
