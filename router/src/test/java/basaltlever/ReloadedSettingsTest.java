package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.LoopbackCluster.DatabaseServer;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import net.jqwik.api.Example;

/** Tests attempts that are decided before a reload and would be sent after it. */
class ReloadedSettingsTest {
  private static final int SETTLE_MILLIS = 300;

  /** Shorter than the connect timeout of the start file. */
  private static final int CONNECTING_MILLIS = 60;

  /** Each attempt opens a connection; servers that are gone may be used or not. */
  private static String withRemovals(String startFile, boolean removedMayBeUsed) {
    return startFile
        .replace("[\"bounded\",\"write\"]", "[\"any\",\"write\"]")
        .replace("\"IdleClose\":2000000", "\"IdleClose\":0")
        .replace("\"Rules\":{", "\"Rules\":{\"RemovalNotBinding\":" + removedMayBeUsed + ",");
  }

  /**
   * Guards against a statement that reaches a removed server after a reload that made removals
   * binding: its attempt was waiting for a connection.
   */
  @Example
  void attemptThatWaitsForItsConnectionIsDecidedAgainAfterAReload() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster(false)) {
      cluster.writeStartFile(text -> withRemovals(text, true));
      List<DatabaseServer> replicas = cluster.servers.subList(1, 3);
      replicas.forEach(replica -> replica.listedLifecycle = "terminated");
      cluster.router.start(cluster.startFilePath, null);
      try (Client client = new Client(cluster.port)) {
        client.sendStartup().readResponse();
        Thread.sleep(SETTLE_MILLIS);
        CountDownLatch gate = new CountDownLatch(1);
        replicas.forEach(replica -> replica.startupGate = gate);
        client.sendQuery(statement("a1", "view", 900));
        Thread.sleep(CONNECTING_MILLIS);
        check(cluster.receivedQueries.isEmpty(), "the attempt waits for its connection");
        cluster.writeStartFile(text -> withRemovals(text, false));
        cluster.router.reload();
        Thread.sleep(CONNECTING_MILLIS);
        gate.countDown();
        String answer = client.readResponse();
        check(answer.equals("row:a1"), "answered once: " + answer);
        check(
            replicas.stream().allMatch(replica -> replica.statementTimes.isEmpty()),
            "no removed server receives the statement");
      }
    }
  }
}
