package basaltlever.net;

import basaltlever.time.Span;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Timeout of a server. Time in which this loop was stalled, and could neither send nor read, is not
 * counted; otherwise a router short of processor time treats servers that answer promptly as
 * silent. Bytes received by the end are read before the timeout fires.
 */
final class PeerTimeout {
  /** Limits the sum of all extensions, as a multiple of the timeout. */
  private static final int MAX_EXTENSION_FACTOR = 4;

  private final LoopIteration iteration;
  private final EventLoop loop;
  private final Runnable onTimeout;
  private Span extensionLeft;
  private Span stalledTimeAtStart;
  private Future<?> timer;
  private boolean cancelled;

  private PeerTimeout(LoopIteration iteration, EventLoop loop, Span limit, Runnable onTimeout) {
    this.iteration = iteration;
    this.loop = loop;
    this.onTimeout = onTimeout;
    extensionLeft = limit.times(MAX_EXTENSION_FACTOR);
  }

  /** Runs the task when the time is over, unless it is cancelled before. */
  static PeerTimeout start(
      LoopIteration iteration, EventLoop loop, Span limit, Runnable onTimeout) {
    PeerTimeout timeout = new PeerTimeout(iteration, loop, limit, onTimeout);
    timeout.schedule(limit);
    return timeout;
  }

  void cancel() {
    cancelled = true;
    timer.cancel(false);
  }

  private void schedule(Span limit) {
    stalledTimeAtStart = iteration.stalledTime();
    timer = loop.schedule(this::onTimer, Math.max(1, limit.micros()), TimeUnit.MICROSECONDS);
  }

  private void onTimer() {
    Span stalledTime = iteration.stalledTime().minus(stalledTimeAtStart).shorter(extensionLeft);
    if (stalledTime.isLongerThan(Span.NONE)) {
      extensionLeft = extensionLeft.minus(stalledTime);
      schedule(stalledTime);
    } else {
      iteration.runAfterNextSelect(this::fire);
    }
  }

  private void fire() {
    if (!cancelled) {
      onTimeout.run();
    }
  }
}
