package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.pg.MessageEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import net.jqwik.api.Example;

/** Tests that nothing is sent for a client that has left, however much of its input is unread. */
class DepartedClientTest {
  private static final int CLIENTS = 40;
  private static final int STATEMENTS = 12;
  private static final int VALUE_HEX_DIGITS = 130_000;
  private static final long MAX_DELAY_NANOS = 100_000_000;
  private static final int SETTLE_MILLIS = 800;

  private static byte[] statements(String prefix) {
    ByteBuf out = Unpooled.buffer();
    for (int i = 0; i < STATEMENTS; i++) {
      MessageEncoder.writeQuery(
          out,
          statement(prefix + "n" + i, "post", 2_000)
              + " AND doc = '\\x"
              + "f".repeat(VALUE_HEX_DIGITS)
              + "'");
    }
    return ByteBufUtil.getBytes(out);
  }

  /**
   * Guards against statements that are sent for clients that have closed their connections over
   * much unread input (issue 72, picture a).
   */
  @Example
  void nothingIsSentForClientsThatLeftOverUnreadStatements() throws Exception {
    Map<String, Long> closedAt = new ConcurrentHashMap<>();
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      List<Thread> threads = new ArrayList<>();
      for (int c = 0; c < CLIENTS; c++) {
        String prefix = "c" + c;
        byte[] input = statements(prefix);
        Thread thread = new Thread(() -> sendAndLeave(cluster.port, prefix, input, closedAt));
        threads.add(thread);
      }
      threads.forEach(Thread::start);
      for (Thread thread : threads) {
        thread.join();
      }
      Thread.sleep(SETTLE_MILLIS);
      List<String> late = new ArrayList<>();
      cluster.lastReceivedAt.forEach(
          (id, at) -> {
            Long closed = closedAt.get(id.replaceAll("n.*", ""));
            if (closed != null && at - closed > MAX_DELAY_NANOS) {
              late.add(id + " " + (at - closed) / 1_000_000 + " ms");
            }
          });
      check(late.isEmpty(), "received behind the close of their clients: " + late);
    }
  }

  private static void sendAndLeave(
      int port, String prefix, byte[] input, Map<String, Long> closedAt) {
    try (Client client = new Client(port)) {
      client.sendStartup().readResponse();
      client.sendBytes(input);
    } catch (IOException reset) {
      // The router has closed the connection first.
    }
    closedAt.put(prefix, System.nanoTime());
  }
}
