package basaltlever.lab.endtoend;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * How late an event loop of the laboratory runs its timers: what is measured on it can't be blamed
 * on a router.
 */
final class LoopLateness {
  private static final long PERIOD_NANOS = 5_000_000;
  private static final long REMEMBERED_NANOS = 200_000_000;
  private static final long MILLI = 1_000_000;
  private final EventLoop loop;
  private long dueNanos;
  private long lastTickNanos = System.nanoTime();
  private long tickBeforeNanos = lastTickNanos;
  private long mostNanos;
  private long recentNanos;
  private long recentSinceNanos;

  LoopLateness(EventLoop loop) {
    this.loop = loop;
    loop.execute(this::next);
  }

  private void next() {
    dueNanos = System.nanoTime() + PERIOD_NANOS;
    loop.schedule(
        () -> {
          note();
          next();
        },
        PERIOD_NANOS,
        TimeUnit.NANOSECONDS);
  }

  private void note() {
    long now = System.nanoTime();
    tickBeforeNanos = lastTickNanos;
    lastTickNanos = now;
    long late = Math.max(0, now - dueNanos);
    mostNanos = Math.max(mostNanos, late);
    if (late >= recentNanos || now - recentSinceNanos > REMEMBERED_NANOS) {
      recentNanos = late;
      recentSinceNanos = now;
    }
  }

  /**
   * The latest that it was in the last fifth of a second, with what it is right now; on the loop
   * only.
   */
  long recentMillis() {
    return Math.max(recentNanos, System.nanoTime() - dueNanos) / MILLI;
  }

  /**
   * For how long what is read right now may have lain unread, at most: the loop has looked at its
   * sockets between any two of its timers. On the loop only.
   */
  long unreadMillisAtMost() {
    return (System.nanoTime() - tickBeforeNanos) / MILLI;
  }

  long mostMillis() {
    return mostNanos / MILLI;
  }
}
