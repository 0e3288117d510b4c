package basaltlever.net;

import basaltlever.time.Span;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * The sockets of a loop, waited for until the next timer and no less. The runtime waits in whole
 * milliseconds; Netty rounds what is left to the nearest one, and where that is none it looks at
 * the sockets over and over until the timer is due: up to half a millisecond of a core for each
 * timer, far more than all that a turn does. Here what is left is rounded up, so that a timer comes
 * up to a millisecond late and costs one look.
 */
final class PreciseSelectStrategy implements IoHandler {
  private static final long MICRO = TimeUnit.MICROSECONDS.toNanos(1);

  /** No loop waits for longer: a timer of the turn is always due sooner. */
  private static final long LONGEST_WAIT = TimeUnit.SECONDS.toNanos(1);

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private final IoHandler sockets;
  private final Rounded rounded = new Rounded();

  private final ReadinessClock readinessClock;

  private PreciseSelectStrategy(IoHandler sockets, ReadinessClock readinessClock) {
    this.sockets = sockets;
    this.readinessClock = readinessClock;
  }

  /** For one loop, whose looks at its sockets the clock is told of. */
  static IoHandlerFactory newFactory(ReadinessClock readinessClock) {
    IoHandlerFactory sockets = NioIoHandler.newFactory();
    return executor -> new PreciseSelectStrategy(sockets.newHandler(executor), readinessClock);
  }

  private final class Rounded implements IoHandlerContext {
    private IoHandlerContext of;

    private long up(long nanos) {
      return nanos <= 0 || nanos > Long.MAX_VALUE - MILLI
          ? nanos
          : (nanos + MILLI - 1) / MILLI * MILLI;
    }

    @Override
    public boolean canBlock() {
      return of.canBlock();
    }

    @Override
    public long delayNanos(long now) {
      long delay = up(of.delayNanos(now));
      readinessClock.waits(new Span(Math.max(0, Math.min(delay, LONGEST_WAIT)) / MICRO));
      return delay;
    }

    @Override
    public long deadlineNanos() {
      return of.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long nanos) {
      of.reportActiveIoTime(nanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return of.shouldReportActiveIoTime();
    }
  }

  @Override
  public int run(IoHandlerContext context) {
    rounded.of = context;
    readinessClock.begins();
    int handled = sockets.run(rounded);
    readinessClock.ends();
    return handled;
  }

  @Override
  public void initialize() {
    sockets.initialize();
  }

  @Override
  public void prepareToDestroy() {
    sockets.prepareToDestroy();
  }

  @Override
  public void destroy() {
    sockets.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return sockets.register(handle);
  }

  @Override
  public void wakeup() {
    sockets.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return sockets.isCompatible(type);
  }
}
