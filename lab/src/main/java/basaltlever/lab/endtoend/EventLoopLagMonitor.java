package basaltlever.lab.endtoend;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late an event loop of the laboratory runs its timers, so that delays of the
 * laboratory itself are not attributed to a router.
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
   * Returns the maximum lag of the last 200 ms, including the lag of a timer that is overdue now.
   * Must be called on the event loop.
   */
  long recentMaxLagMillis() {
    return Math.max(recentMaxLagNanos, System.nanoTime() - nextTickNanos) / NANOS_PER_MILLI;
  }

  /**
   * Returns the maximum time for which data read now can have been waiting in a socket buffer. The
   * loop polls its sockets between any two timers, so this is the time since the tick before the
   * last one. Must be called on the event loop.
   */
  long maxUnreadMillis() {
    return (System.nanoTime() - previousTickNanos) / NANOS_PER_MILLI;
  }

  long maxLagMillis() {
    return maxLagNanos / NANOS_PER_MILLI;
  }
}
