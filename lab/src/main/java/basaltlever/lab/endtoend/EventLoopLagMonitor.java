package basaltlever.lab.endtoend;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * How late an event loop of the laboratory runs its timers: what is measured on it can't be blamed
 * on a router.
 */
final class EventLoopLagMonitor {
  private static final long TICK_PERIOD_NANOS = 5_000_000;
  private static final long RECENT_WINDOW_NANOS = 200_000_000;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private final EventLoop loop;
  private long nextTickNanos;
  private long lastTickNanos = System.nanoTime();
  private long previousTickNanos = lastTickNanos;
  private long maxLagNanos;
  private long recentMaxLagNanos;
  private long recentMaxAtNanos;

  EventLoopLagMonitor(EventLoop loop) {
    this.loop = loop;
    loop.execute(this::scheduleTick);
  }

  private void scheduleTick() {
    nextTickNanos = System.nanoTime() + TICK_PERIOD_NANOS;
    loop.schedule(
        () -> {
          recordTick();
          scheduleTick();
        },
        TICK_PERIOD_NANOS,
        TimeUnit.NANOSECONDS);
  }

  private void recordTick() {
    long nowNanos = System.nanoTime();
    previousTickNanos = lastTickNanos;
    lastTickNanos = nowNanos;
    long lagNanos = Math.max(0, nowNanos - nextTickNanos);
    maxLagNanos = Math.max(maxLagNanos, lagNanos);
    if (lagNanos >= recentMaxLagNanos || nowNanos - recentMaxAtNanos > RECENT_WINDOW_NANOS) {
      recentMaxLagNanos = lagNanos;
      recentMaxAtNanos = nowNanos;
    }
  }

  /**
   * The latest that it was in the last fifth of a second, with what it is right now; on the loop
   * only.
   */
  long recentMaxLagMillis() {
    return Math.max(recentMaxLagNanos, System.nanoTime() - nextTickNanos) / NANOS_PER_MILLI;
  }

  /**
   * For how long what is read right now may have lain unread, at most: the loop has looked at its
   * sockets between any two of its timers. On the loop only.
   */
  long maxUnreadMillis() {
    return (System.nanoTime() - previousTickNanos) / NANOS_PER_MILLI;
  }

  long maxLagMillis() {
    return maxLagNanos / NANOS_PER_MILLI;
  }
}
