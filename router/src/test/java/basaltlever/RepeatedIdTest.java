package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.LoopbackCluster.ResponseMode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Example;

/** Tests that no statement id is executed for two requests. */
class RepeatedIdTest {
  private static final int SETTLE_MILLIS = 100;
  private static final int CLIENTS = 20;

  private static int executions(LoopbackCluster cluster, String id) {
    return cluster.modesByStatement.getOrDefault(id, List.of()).size();
  }

  private static void checkRejected(String answer) {
    check(answer.startsWith("error:08P01"), "expected an error for a repeated id, got " + answer);
  }

  /** Guards against a statement that runs again when its id comes after its answer (issue 72). */
  @Example
  void repeatedIdIsNotExecutedAfterItsAnswer() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port);
        Client other = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      other.sendStartup().readResponse();
      for (String workload : List.of("view", "post")) {
        String id = "a" + workload;
        String first = client.sendQuery(statement(id, workload, 900)).readResponse();
        check(first.equals("row:" + id), "expected a row, got " + first);
        checkRejected(client.sendQuery(statement(id, workload, 900)).readResponse());
        checkRejected(other.sendQuery(statement(id, workload, 900)).readResponse());
        check(executions(cluster, id) == 1, "executed " + executions(cluster, id) + " times");
      }
      check(
          other.sendQuery(statement("fresh", "post", 900)).readResponse().equals("row:fresh"),
          "expected the connection to serve the next statement");
    }
  }

  /** Guards against a second execution while the first is in progress, also in one write. */
  @Example
  void repeatedIdIsNotExecutedWhileItRuns() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      cluster.servers.forEach(server -> server.responseMode = ResponseMode.NO_RESPONSE);
      List<Client> clients = new ArrayList<>();
      try {
        for (int i = 0; i < CLIENTS; i++) {
          clients.add(new Client(cluster.port).sendStartup());
          clients.get(i).readResponse();
        }
        for (Client client : clients) {
          client.sendQuery(statement("b", "post", 600));
          client.sendQuery(statement("b", "post", 600));
        }
        int repeated = 0;
        for (Client client : clients) {
          repeated += client.readResponse().startsWith("error:08P01") ? 1 : 0;
          repeated += client.readResponse().startsWith("error:08P01") ? 1 : 0;
        }
        check(repeated == 2 * CLIENTS - 1, repeated + " rejected as repeated");
        check(executions(cluster, "b") == 1, "executed " + executions(cluster, "b") + " times");
      } finally {
        for (Client client : clients) {
          client.close();
        }
      }
    }
  }

  /** Guards against a second execution after the client of the first has left (issue 72). */
  @Example
  void repeatedIdIsNotExecutedAfterItsClientLeft() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      cluster.servers.forEach(server -> server.responseMode = ResponseMode.NO_RESPONSE);
      try (Client client = new Client(cluster.port)) {
        client.sendStartup().readResponse();
        client.sendQuery(statement("c", "post", 900));
        Thread.sleep(SETTLE_MILLIS);
      }
      Thread.sleep(SETTLE_MILLIS);
      cluster.servers.forEach(server -> server.responseMode = ResponseMode.ROW);
      try (Client client = new Client(cluster.port)) {
        client.sendStartup().readResponse();
        checkRejected(client.sendQuery(statement("c", "post", 900)).readResponse());
      }
      check(executions(cluster, "c") == 1, "executed " + executions(cluster, "c") + " times");
    }
  }

  /** A statement of which nothing was sent may come again, as its rejection says. */
  @Example
  void rejectedIdMayComeAgain() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      check(
          client.sendQuery(statement("d", "view", 0)).readResponse().startsWith("error:53300"),
          "expected a rejection of a statement without time");
      String answer = client.sendQuery(statement("d", "view", 900)).readResponse();
      check(answer.equals("row:d"), "expected a row, got " + answer);
    }
  }

  /**
   * The protocol's lawful second sending: the router ends an idle connection while a statement is
   * under way, and the client sends it once more on a new one.
   */
  @Example
  void statementThatCrossedTheCloseOfItsConnectionIsServed() throws Exception {
    List<String> faults = Collections.synchronizedList(new ArrayList<>());
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      List<Client> idle = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        idle.add(new Client(cluster.port).sendStartup());
        idle.get(i).readResponse();
        idle.get(i).sendQuery(statement("w" + i, "view", 900)).readResponse();
      }
      // Idle connections are closed after 2 s while there are many.
      Thread.sleep(2_050);
      for (int i = 0; i < idle.size(); i++) {
        String id = "x" + i;
        String answer;
        try {
          answer = idle.get(i).sendQuery(statement(id, "post", 900)).readResponse();
        } catch (java.io.IOException reset) {
          answer = "closed";
        }
        idle.get(i).close();
        if (answer.equals("closed")) {
          try (Client again = new Client(cluster.port)) {
            again.sendStartup().readResponse();
            answer = again.sendQuery(statement(id, "post", 900)).readResponse();
          }
        }
        if (!answer.equals("row:" + id) || executions(cluster, id) != 1) {
          faults.add(id + ": " + answer + ", executed " + executions(cluster, id));
        }
      }
    }
    check(faults.isEmpty(), "" + faults);
  }
}
