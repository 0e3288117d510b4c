package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.LoopbackCluster.ResponseMode;
import net.jqwik.api.Example;

/**
 * Tests servers that send each response twice. The copy comes at the worst moment, however slow the
 * machine is: once the server has received the next query and before it answers that.
 */
class UnrequestedResponseTest {
  private static LoopbackCluster startCluster() throws Exception {
    LoopbackCluster cluster = new LoopbackCluster();
    cluster.servers.forEach(server -> server.repeatsResponses = true);
    return cluster;
  }

  /** Guards against the foreign values of review/2: each client got the value of the one before. */
  @Example
  void copiedRowIsNotServedToTheNextStatement() throws Exception {
    try (LoopbackCluster cluster = startCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      for (int i = 0; i < 40; i++) {
        String workload = i % 3 == 0 ? "post" : "view";
        String answer = client.sendQuery(statement("k" + i, workload, 900)).readResponse();
        check(answer.equals("row:k" + i), "expected the row of k" + i + ", got " + answer);
      }
    }
  }

  /** The same with many statements in flight at once, whose connections change their use. */
  @Example
  void copiedRowsAreNotServedToStatementsOfOtherClients() throws Exception {
    try (LoopbackCluster cluster = startCluster()) {
      Client[] clients = new Client[8];
      for (int i = 0; i < clients.length; i++) {
        clients[i] = new Client(cluster.port);
        clients[i].sendStartup().readResponse();
      }
      for (int round = 0; round < 20; round++) {
        for (int i = 0; i < clients.length; i++) {
          clients[i].sendQuery(statement("m" + round + "c" + i, "view", 900));
        }
        for (int i = 0; i < clients.length; i++) {
          String answer = clients[i].readResponse();
          check(
              answer.equals("row:m" + round + "c" + i) || answer.startsWith("error:53300"),
              "expected the row of round " + round + ", client " + i + ", got " + answer);
        }
      }
      for (Client client : clients) {
        client.close();
      }
    }
  }

  /**
   * Guards against a double execution: the copy of an answer that proves "not executed" was taken
   * as proof for the next write, which then ran again elsewhere or was rejected although it ran.
   */
  @Example
  void copiedRejectionProvesNothingAboutTheNextWrite() throws Exception {
    for (ResponseMode rejection :
        new ResponseMode[] {ResponseMode.FULL, ResponseMode.NOT_PRIMARY}) {
      try (LoopbackCluster cluster = startCluster();
          Client client = new Client(cluster.port)) {
        client.sendStartup().readResponse();
        for (int i = 0; i < 10; i++) {
          cluster.servers.forEach(server -> server.responseMode = rejection);
          client.sendQuery(statement("n" + i, "post", 300)).readResponse();
          cluster.servers.forEach(server -> server.responseMode = ResponseMode.ROW);
          String id = "o" + i;
          String answer = client.sendQuery(statement(id, "post", 1_500)).readResponse();
          int executions = cluster.modesByStatement.getOrDefault(id, java.util.List.of()).size();
          check(
              executions <= 1, rejection + ": expected one execution of " + id + ": " + executions);
          check(
              answer.equals("row:" + id) || (executions == 0 && answer.startsWith("error:53300")),
              rejection + ": expected the row of " + id + " or a true rejection: " + answer);
        }
      }
    }
  }
}
