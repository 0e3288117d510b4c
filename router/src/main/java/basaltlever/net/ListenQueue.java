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
  private static final Span APART = Span.ofMillis(5);
  private static final int MOST_SAMPLES = 256;

  private record Sample(Moment at, long accepted) {}

  private final int length;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /** By the latest sample that is more than a whole queue behind. */
  private Moment outnumberedAt = Moment.LONG_AGO;

  /** Never where the last look found the queue empty. */
  private Moment waitingSince = Moment.NEVER;

  private Moment waitingBefore = Moment.NEVER;
  private long accepted;

  /** The system holds one more than the length. */
  ListenQueue(int length) {
    this.length = length + 1;
  }

  /**
   * The next connection is accepted, in a look that finds what came after this moment; since when
   * it may have waited.
   */
  Moment accepts(Moment cameSince, Moment now) {
    if (samples.isEmpty() || now.since(samples.peekLast().at()).isLongerThan(APART)) {
      if (samples.size() == MOST_SAMPLES) {
        samples.removeFirst();
      }
      samples.addLast(new Sample(now, accepted));
    }
    accepted++;
    while (!samples.isEmpty() && accepted - samples.peekFirst().accepted() > length) {
      outnumberedAt = samples.removeFirst().at();
    }
    return waitingSince.earlier(cameSince).later(outnumberedAt);
  }

  /** A look at the queue has ended, and whether nothing was left in it. */
  void looked(boolean foundEmpty, Moment cameSince) {
    waitingBefore = waitingSince;
    waitingSince = foundEmpty ? Moment.NEVER : waitingSince.earlier(cameSince);
  }

  /**
   * The look that has just ended was broken off by a fault: what was left in the queue is not
   * known.
   */
  void lookFailed(Moment cameSince) {
    waitingSince = waitingBefore.earlier(cameSince);
  }
}
