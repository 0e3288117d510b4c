package basaltlever.lab.endtoend;

import basaltlever.pg.MessageEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Delays of the simulated server's own event loop are not counted as violations by the router. */
class LateJudgeTest {
  private static final String SERVER_ADDRESS = "127.16.0.1";
  private static final int LOOP_BLOCK_MILLIS = 500;
  private static final int EXCESS_MILLIS = 1_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final MonotonicClock clock = new MonotonicClock();
  private final StatementChecker checker = new StatementChecker();
  private final DaySettings settings = DaySettings.defaults();
  private final StatementClass workload = settings.pickClass(new SplittableRandom(1));

  private int deadlineViolations(long writtenBeforeMillis, boolean blockLoop) throws Exception {
    RunOptions options = RunOptions.parse(List.of("servers=10", "members=5"));
    ServerSimulator serverSimulator =
        new ServerSimulator(loop, options, settings, clock, checker, new SplittableRandom(1));
    serverSimulator.listen();
    try (Socket router =
        new Socket(InetAddress.getByName(SERVER_ADDRESS), serverSimulator.port())) {
      ByteBuf startup = Unpooled.buffer();
      MessageEncoder.writeStartupMessage(startup, "app", "shop");
      router.getOutputStream().write(ByteBufUtil.getBytes(startup));
      router.getInputStream().read(new byte[512]);
      long deadlineMillis = workload.deadlineMillis();
      loop.submit(
              () ->
                  checker.recordStart("r0x1", workload, 0, clock.nowMillis() - writtenBeforeMillis))
          .sync();
      if (blockLoop) {
        loop.execute(LateJudgeTest::blockLoop);
      }
      ByteBuf query = Unpooled.buffer();
      MessageEncoder.writeQuery(
          query, "/* id=r0x1,c=" + workload.key() + ",d=" + deadlineMillis + " */ SELECT 1");
      router.getOutputStream().write(ByteBufUtil.getBytes(query));
      router.getInputStream().read(new byte[512]);
      return loop.submit(() -> (int) checker.figures().get("deadline")).get();
    } finally {
      serverSimulator.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void blockLoop() {
    try {
      Thread.sleep(LOOP_BLOCK_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void check(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }

  /**
   * Guards against a false deadline violation: under load on the machine, the simulated server
   * reads an attempt late and compares its deadline with the time that is left by then.
   */
  @Example
  void deadlineReceivedInTimeButReadLateIsNoViolation() throws Exception {
    check(deadlineViolations(0, true) == 0, "no violation if received in time and read late");
  }

  @Example
  void excessiveDeadlineIsAViolation() throws Exception {
    check(deadlineViolations(EXCESS_MILLIS, false) == 1, "the excess is a violation");
  }
}
