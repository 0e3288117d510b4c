package basaltlever.lab.sockets;

import basaltlever.lab.world.Timeline;
import basaltlever.time.Moment;
import io.netty.channel.EventLoop;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Real time on one event loop: stand-ins and clients need no locks. Microseconds of Unix time. */
final class LoopTime implements Timeline {
  private static final Logger LOG = LoggerFactory.getLogger(LoopTime.class);

  private final EventLoop loop;
  private final long start = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  private final long steady = System.nanoTime();

  LoopTime(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public Moment now() {
    return new Moment(start + (System.nanoTime() - steady) / 1_000);
  }

  @Override
  public void at(Moment when, Runnable act) {
    loop.schedule(
        () -> {
          try {
            act.run();
          } catch (RuntimeException fault) {
            LOG.error("what was scheduled failed", fault);
          }
        },
        Math.max(0, when.since(now()).micros()),
        TimeUnit.MICROSECONDS);
  }
}
