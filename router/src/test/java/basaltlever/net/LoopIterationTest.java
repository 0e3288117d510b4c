package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;

/** Tests that input which effects produce is processed in a later iteration of the event loop. */
class LoopIterationTest {
  private static final int TIMERS = 20;

  /**
   * Guards against an iteration that does not end while effects produce new input (issue 72): no
   * timer fired and no socket was read meanwhile.
   */
  @Example
  void timersFireWhileEachEffectProducesInput() throws Exception {
    Clock clock = new Clock();
    ReadinessClock readinessClock = new ReadinessClock(clock::now);
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, PreciseSelectStrategy.newFactory(readinessClock));
    SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
    AtomicBoolean stopped = new AtomicBoolean();
    AtomicInteger inputs = new AtomicInteger();
    CountDownLatch timers = new CountDownLatch(TIMERS);
    try {
      loop.submit(
              () -> {
                LoopIteration iteration = new LoopIteration(loop, clock, readinessClock);
                produceInput(iteration, stopped, inputs);
                loop.scheduleAtFixedRate(timers::countDown, 1, 1, TimeUnit.MILLISECONDS);
              })
          .sync();
      boolean fired = timers.await(2, TimeUnit.SECONDS);
      stopped.set(true);
      check(fired, timers.getCount() + " of " + TIMERS + " timers did not fire; inputs: " + inputs);
    } finally {
      stopped.set(true);
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  private static void produceInput(
      LoopIteration iteration, AtomicBoolean stopped, AtomicInteger inputs) {
    iteration.enqueue(
        now ->
            iteration.addEffect(
                () -> {
                  inputs.incrementAndGet();
                  if (!stopped.get()) {
                    produceInput(iteration, stopped, inputs);
                  }
                }));
  }
}
