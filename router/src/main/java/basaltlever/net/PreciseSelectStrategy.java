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
 * Waits for the sockets of a loop until the next timer, and no less. The runtime waits in whole
 * milliseconds. Netty rounds the remaining time to the nearest one, and where that is zero it
 * selects repeatedly until the timer is due: up to half a millisecond of a core per timer, far more
 * than the work of an iteration. This handler rounds up, so that a timer fires up to a millisecond
 * late and costs one select.
 */
final class PreciseSelectStrategy implements IoHandler {
  private static final long NANOS_PER_MICRO = TimeUnit.MICROSECONDS.toNanos(1);

  /** Longest wait of a loop. A timer of {@link LoopIteration} is always due sooner. */
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private final IoHandler ioHandler;
  private final RoundingContext roundingContext = new RoundingContext();

  private final ReadinessClock readinessClock;

  private PreciseSelectStrategy(IoHandler ioHandler, ReadinessClock readinessClock) {
    this.ioHandler = ioHandler;
    this.readinessClock = readinessClock;
  }

  /** Returns the factory for one loop, whose selects are reported to the clock. */
  static IoHandlerFactory newFactory(ReadinessClock readinessClock) {
    IoHandlerFactory ioHandlerFactory = NioIoHandler.newFactory();
    return executor ->
        new PreciseSelectStrategy(ioHandlerFactory.newHandler(executor), readinessClock);
  }

  private final class RoundingContext implements IoHandlerContext {
    private IoHandlerContext delegate;

    private long roundUpToMillis(long nanos) {
      return nanos <= 0 || nanos > Long.MAX_VALUE - NANOS_PER_MILLI
          ? nanos
          : (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
    }

    @Override
    public boolean canBlock() {
      return delegate.canBlock();
    }

    @Override
    public long delayNanos(long now) {
      long delay = roundUpToMillis(delegate.delayNanos(now));
      readinessClock.onSelectWait(
          new Span(Math.max(0, Math.min(delay, MAX_WAIT_NANOS)) / NANOS_PER_MICRO));
      return delay;
    }

    @Override
    public long deadlineNanos() {
      return delegate.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long nanos) {
      delegate.reportActiveIoTime(nanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return delegate.shouldReportActiveIoTime();
    }
  }

  @Override
  public int run(IoHandlerContext context) {
    roundingContext.delegate = context;
    readinessClock.onSelectStart();
    int handled = ioHandler.run(roundingContext);
    readinessClock.onIterationEnd();
    return handled;
  }

  @Override
  public void initialize() {
    ioHandler.initialize();
  }

  @Override
  public void prepareToDestroy() {
    ioHandler.prepareToDestroy();
  }

  @Override
  public void destroy() {
    ioHandler.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return ioHandler.register(handle);
  }

  @Override
  public void wakeup() {
    ioHandler.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return ioHandler.isCompatible(type);
  }
}
