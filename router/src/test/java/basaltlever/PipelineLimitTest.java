package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.LoopbackCluster.ResponseMode;
import java.io.IOException;
import net.jqwik.api.Example;

/** Tests that each statement a client has sent ahead is answered, however many there are. */
class PipelineLimitTest {
  private static final int VALUE_HEX_DIGITS = 2 * 64 * 1024;

  private static String largeStatement(String id, int timeoutMillis) {
    return statement(id, "post", timeoutMillis) + " /* " + "f".repeat(VALUE_HEX_DIGITS) + " */";
  }

  private static boolean isRejection(String answer) {
    return answer.startsWith("error:53300") || answer.startsWith("error:57P03");
  }

  /**
   * Guards against the loss of review/3: twelve writes with values of 64 KiB, sent at once, of
   * which the last two got no answer.
   */
  @Example
  void everyStatementSentAheadIsAnsweredInOrder() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      for (int round = 0; round < 3; round++) {
        for (int i = 0; i < 12; i++) {
          client.sendQuery(largeStatement("r" + round + "n" + i, 2_000));
        }
        int rows = 0;
        for (int i = 0; i < 12; i++) {
          String answer = client.readResponse();
          boolean row = answer.equals("row:r" + round + "n" + i);
          check(row || isRejection(answer), "statement " + i + ", got " + answer);
          rows += row ? 1 : 0;
        }
        check(rows > 0, "expected rows");
      }
    }
  }

  /**
   * Guards against memory that grows with the input, and against statements that get lost in a long
   * sequence: 24 MB are sent while the first statement is held, with a message cut in two.
   */
  @Example
  void statementsFarBeyondTheLimitAreRejectedOneByOne() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      cluster.servers.forEach(server -> server.responseMode = ResponseMode.NO_RESPONSE);
      for (int i = 0; i < 180; i++) {
        client.sendQuery(largeStatement("s" + i, 1_000));
      }
      for (int i = 0; i < 180; i++) {
        String answer = client.readResponse();
        check(answer.startsWith("error:"), "expected an error for statement " + i + ": " + answer);
        check(i < 10 || isRejection(answer), "expected a rejection of " + i + ": " + answer);
      }
      cluster.servers.forEach(server -> server.responseMode = ResponseMode.ROW);
      check(
          client.sendQuery(statement("t", "view", 900)).readResponse().equals("row:t"),
          "expected the connection to serve the next statement");
    }
  }

  /**
   * Guards against statements that are lost when the router stops behind one in progress: those
   * beyond the limit, and more of them than one batch of messages has.
   */
  @Example
  void statementsSentAheadAreAnsweredWhenTheRouterStops() throws Exception {
    for (int count : new int[] {1, 16, 17, 200}) {
      try (LoopbackCluster cluster = new LoopbackCluster();
          Client small = new Client(cluster.port);
          Client large = new Client(cluster.port)) {
        cluster.servers.forEach(server -> server.responseMode = ResponseMode.NO_RESPONSE);
        small.sendStartup().readResponse();
        large.sendStartup().readResponse();
        for (int i = 0; i < count; i++) {
          small.sendQuery(statement("u" + i, "post", 60_000));
        }
        for (int i = 0; i < 20; i++) {
          large.sendQuery(largeStatement("v" + i, 60_000));
        }
        cluster.router.drain();
        checkAllAnswered(small, count);
        checkAllAnswered(large, 20);
      }
    }
  }

  private static void checkAllAnswered(Client client, int count) throws IOException {
    for (int i = 0; i < count; i++) {
      String answer = client.readResponse();
      check(
          i == 0 ? answer.startsWith("error:") : isRejection(answer) && !answer.endsWith("closed"),
          "expected an error for statement " + i + " of " + count + ", got " + answer);
    }
    check(client.readResponse().endsWith("closed"), "expected the end of the connection");
  }
}
