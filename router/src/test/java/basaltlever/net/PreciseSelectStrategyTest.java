package basaltlever.net;

import static basaltlever.StandIn.check;

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
  private record Counted(IoHandler of, AtomicLong looks) implements IoHandler {
    @Override
    public int run(IoHandlerContext context) {
      looks.incrementAndGet();
      return of.run(context);
    }

    @Override
    public void initialize() {
      of.initialize();
    }

    @Override
    public void prepareToDestroy() {
      of.prepareToDestroy();
    }

    @Override
    public void destroy() {
      of.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
      return of.register(handle);
    }

    @Override
    public void wakeup() {
      of.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
      return of.isCompatible(type);
    }
  }

  /** One timer after the other, none a whole millisecond away. */
  private static void chain(EventExecutor loop, int left, AtomicLong early, CountDownLatch over) {
    if (left == 0) {
      over.countDown();
      return;
    }
    long micros = 2_050L + left * 37 % 900;
    long due = System.nanoTime() + micros * 1_000;
    loop.schedule(
        () -> {
          early.addAndGet(System.nanoTime() < due ? 1 : 0);
          chain(loop, left - 1, early, over);
        },
        micros,
        TimeUnit.MICROSECONDS);
  }

  @Example
  void aTimerCostsOneLookAtTheSocketsAndNotOneAfterTheOther() throws Exception {
    AtomicLong looks = new AtomicLong();
    AtomicLong early = new AtomicLong();
    IoHandlerFactory sockets =
        PreciseSelectStrategy.newFactory(new ReadinessClock(new Clock()::now));
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, executor -> new Counted(sockets.newHandler(executor), looks));
    try {
      CountDownLatch over = new CountDownLatch(1);
      EventExecutor loop = group.next();
      loop.execute(() -> chain(loop, TIMERS, early, over));
      check(over.await(20, TimeUnit.SECONDS), "each comes");
      check(early.get() == 0, "none too early");
      check(looks.get() <= 4 * TIMERS, "looks at the sockets for " + TIMERS + " timers: " + looks);
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }
}
