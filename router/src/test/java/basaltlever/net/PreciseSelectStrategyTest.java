package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Example;

/** A loop that has nothing to do but to wait for its next timer waits. */
class PreciseSelectStrategyTest {
  private static final int TIMERS = 100;

  /** Counts the looks at the sockets. */
  private record CountingIoHandler(IoHandler delegate, AtomicLong selects) implements IoHandler {
    @Override
    public int run(IoHandlerContext context) {
      selects.incrementAndGet();
      return delegate.run(context);
    }

    @Override
    public void initialize() {
      delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
      delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
      delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
      return delegate.register(handle);
    }

    @Override
    public void wakeup() {
      delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
      return delegate.isCompatible(type);
    }
  }

  /** One timer after the other, none a whole millisecond away. */
  private static void scheduleChain(
      EventExecutor loop, int left, AtomicLong early, CountDownLatch done) {
    if (left == 0) {
      done.countDown();
      return;
    }
    long micros = 2_050L + left * 37 % 900;
    long due = System.nanoTime() + micros * 1_000;
    loop.schedule(
        () -> {
          early.addAndGet(System.nanoTime() < due ? 1 : 0);
          scheduleChain(loop, left - 1, early, done);
        },
        micros,
        TimeUnit.MICROSECONDS);
  }

  @Example
  void timerCostsOneSelectRatherThanRepeatedSelects() throws Exception {
    AtomicLong selects = new AtomicLong();
    AtomicLong early = new AtomicLong();
    IoHandlerFactory sockets =
        PreciseSelectStrategy.newFactory(new ReadinessClock(new Clock()::now));
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, executor -> new CountingIoHandler(sockets.newHandler(executor), selects));
    try {
      CountDownLatch done = new CountDownLatch(1);
      EventExecutor loop = group.next();
      loop.execute(() -> scheduleChain(loop, TIMERS, early, done));
      check(done.await(20, TimeUnit.SECONDS), "each comes");
      check(early.get() == 0, "none too early");
      check(
          selects.get() <= 4 * TIMERS,
          "looks at the sockets for " + TIMERS + " timers: " + selects);
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }
}
