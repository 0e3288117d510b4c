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

/** A judge whose own loop is late blames no router for it, and still finds what routers do. */
class LateJudgeTest {
  private static final String SERVER = "127.16.0.1";
  private static final int HELD_UP_MILLIS = 500;
  private static final int TOO_LONG_BY_MILLIS = 1_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final DayClock clock = new DayClock();
  private final StatementLedger ledger = new StatementLedger();
  private final DaySettings settings = DaySettings.usual();
  private final StatementClass view = settings.draw(new SplittableRandom(1));

  private int deadlinesBroken(long writtenBeforeMillis, boolean heldUp) throws Exception {
    DayOptions day = DayOptions.parse(List.of("servers=10", "members=5"));
    ServerFarm farm = new ServerFarm(loop, day, settings, clock, ledger, new SplittableRandom(1));
    farm.listen();
    try (Socket router = new Socket(InetAddress.getByName(SERVER), farm.port())) {
      ByteBuf startup = Unpooled.buffer();
      MessageEncoder.writeStartupMessage(startup, "app", "shop");
      router.getOutputStream().write(ByteBufUtil.getBytes(startup));
      router.getInputStream().read(new byte[512]);
      long deadlineMillis = view.deadlineMillis();
      loop.submit(() -> ledger.begins("r0x1", view, 0, clock.nowMillis() - writtenBeforeMillis))
          .sync();
      if (heldUp) {
        loop.execute(LateJudgeTest::holdUp);
      }
      ByteBuf query = Unpooled.buffer();
      MessageEncoder.writeQuery(
          query, "/* id=r0x1,c=" + view.key() + ",d=" + deadlineMillis + " */ SELECT 1");
      router.getOutputStream().write(ByteBufUtil.getBytes(query));
      router.getInputStream().read(new byte[512]);
      return loop.submit(() -> (int) ledger.figures().get("deadline")).get();
    } finally {
      farm.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void holdUp() {
    try {
      Thread.sleep(HELD_UP_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void check(boolean holds, String what) {
    if (!holds) {
      throw new AssertionError(what);
    }
  }

  /**
   * Guards against: beside load a router was said to have told a server too long a deadline, where
   * the judge had read it late.
   */
  @Example
  void aDeadlineIsJudgedByWhenItCameAndNotByWhenItWasRead() throws Exception {
    check(deadlinesBroken(0, true) == 0, "told in time, read late");
  }

  @Example
  void aDeadlineThatIsTooLongIsFound() throws Exception {
    check(deadlinesBroken(TOO_LONG_BY_MILLIS, false) == 1, "told too late");
  }
}
