package basaltlever.net;

import basaltlever.time.Span;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The time that a server has for something. Time in which this loop was held up, and could neither
 * send nor read, is none that the server took: without this a router that is short of processor
 * time takes servers that answer at once for silent ones. What has come by the end is read before
 * the time is said to be over.
 */
final class PeerTimeout {
  /** All extensions together are no longer than so many times the limit. */
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

  /** Runs the task when the limit is over, unless it is cancelled before. */
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
