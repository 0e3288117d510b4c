package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Tests a router whose listener defers connections that have sent nothing. */
class DeferredAcceptTest {
  private static final int SILENT_CONNECTIONS = 1_000;
  private static final long SHORTER_THAN_DEFERRAL_MILLIS = 700;

  /**
   * Guards against a client with a statement that waits behind a crowd of silent connections, each
   * of which is accepted and rejected first.
   */
  @Example
  void silentConnectionsDoNotDelayAClientWithAStatement() throws Exception {
    List<Client> silent = new ArrayList<>();
    try (LoopbackCluster world = new LoopbackCluster()) {
      long connectingSince = System.nanoTime();
      for (int i = 0; i < SILENT_CONNECTIONS; i++) {
        silent.add(new Client(world.port));
      }
      try (Client client = new Client(world.port).sendStartup()) {
        client.readResponse();
        check(
            client.sendQuery(statement("a1", "view", 900)).readResponse().equals("row:a1"),
            "the statement is answered with a row");
      }
      boolean deferred =
          System.nanoTime() - connectingSince < SHORTER_THAN_DEFERRAL_MILLIS * 1_000_000;
      check(!deferred || silent.get(0).in.available() == 0, "no silent connection was rejected");
    } finally {
      for (Client silentClient : silent) {
        silentClient.close();
      }
    }
  }

  /** Guards against a listener that resets deferred connections when it closes at shutdown. */
  @Example
  void aDeferredConnectionIsServedWhenTheRouterShutsDown() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      world.router.drain();
      Thread.sleep(SHORTER_THAN_DEFERRAL_MILLIS);
      check(client.sendStartup().readResponse().isEmpty(), "the deferred connection starts up");
      check(
          client.sendQuery(statement("a1", "view", 900)).readResponse().equals("row:a1"),
          "the statement is answered with a row");
    }
  }
}
