package basaltlever.lab.sockets;

import basaltlever.lab.world.Scheduler;
import basaltlever.time.Moment;
import io.netty.channel.EventLoop;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Real time, in microseconds of Unix time. All tasks run on one event loop, so that simulated
 * servers and clients need no locks.
 */
final class EventLoopScheduler implements Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopScheduler.class);

  private final EventLoop loop;
  private final long startMicros = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  private final long startNanos = System.nanoTime();

  EventLoopScheduler(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public Moment now() {
    return new Moment(startMicros + (System.nanoTime() - startNanos) / 1_000);
  }

  @Override
  public void runAt(Moment when, Runnable task) {
    loop.schedule(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            LOG.error("scheduled task failed", e);
          }
        },
        Math.max(0, when.since(now()).micros()),
        TimeUnit.MICROSECONDS);
  }
}
