package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.StatementForms.Form;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Example;

/** Tests over sockets that unsound input gets no row and reaches no server. */
class UnsoundInputTest {
  /** Time between the two pieces of an input, as in the evidence of issue 72. */
  private static final int LATE_REST_MILLIS = 450;

  private static final int READ_TIMEOUT_MILLIS = 1_500;

  /**
   * Guards against unsound statements that are answered as served (issue 72): each form is written
   * in two pieces, the second one late.
   */
  @Example
  void unsoundFormsWithLateRestGetNoRow() throws Exception {
    List<String> served = Collections.synchronizedList(new ArrayList<>());
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      warmUp(cluster);
      List<Thread> clients = new ArrayList<>();
      int number = 0;
      for (Form form : StatementForms.unsound("0")) {
        String id = "u" + number++;
        byte[] bytes = StatementForms.unsound(id).get(number - 1).bytes();
        Thread client = new Thread(() -> sendInPieces(cluster, form.name(), bytes, served));
        clients.add(client);
        client.start();
      }
      for (Thread client : clients) {
        client.join();
      }
      cluster.modesByStatement.keySet().stream()
          .filter(id -> id.startsWith("u"))
          .forEach(id -> served.add("executed: " + id));
    }
    check(served.isEmpty(), String.join("\n", served));
  }

  private static void warmUp(LoopbackCluster cluster) throws IOException {
    try (Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      check(
          client.sendQuery(statement("w", "view", 900)).readResponse().equals("row:w"),
          "expected a row");
    }
  }

  private static void sendInPieces(
      LoopbackCluster cluster, String name, byte[] bytes, List<String> served) {
    String answers = "";
    try (Client client = new Client(cluster.port)) {
      client.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      client.sendStartup().readResponse();
      client.sendBytes(Arrays.copyOf(bytes, bytes.length / 2));
      Thread.sleep(LATE_REST_MILLIS);
      client.sendBytes(Arrays.copyOfRange(bytes, bytes.length / 2, bytes.length));
      answers = client.readResponse();
      answers += client.readResponse();
    } catch (IOException expected) {
      // The router has ended the connection, or waits for the rest of a message.
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    if (answers.contains("row:")) {
      served.add(name + ": " + answers);
    }
  }

  /** Guards against rejecting what the protocol allows. */
  @Example
  void soundFormsAreServed() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      int count = StatementForms.sound("s").size();
      for (int i = 0; i < count; i++) {
        Form form = StatementForms.sound("s" + i).get(i);
        try (Client client = new Client(cluster.port)) {
          client.sendStartup().readResponse();
          client.sendBytes(form.bytes());
          check(client.readResponse().equals("row:s" + i), "expected a row for " + form.name());
        }
      }
    }
  }

  /** Guards against startup messages that are taken although they are malformed. */
  @Example
  void malformedStartupMessagesAreRejected() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      for (String parameters :
          new String[] {
            "",
            "\0\0",
            "user\0app",
            "user\0app\0",
            "user\0\0database\0",
            "database\0shop\0\0",
            "user\0app\0database\0\0shop\0\0",
            "user\0app\0database\0shop\0\0x"
          }) {
        try (Client client = new Client(cluster.port)) {
          byte[] bytes = parameters.getBytes(java.nio.charset.StandardCharsets.US_ASCII);
          LoopbackCluster.send(
              client.socket,
              Unpooled.buffer().writeInt(8 + bytes.length).writeInt(196608).writeBytes(bytes));
          check(
              client.readResponse().equals("error:08P01:closed"),
              "expected an error for " + parameters.replace('\0', '|'));
        }
      }
    }
  }
}
