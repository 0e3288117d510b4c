package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Connections that the system keeps out of a router's listen queue until they have sent something.
 */
class DeferredAcceptTest {
  private static final int SILENT_CONNECTIONS = 1_000;
  private static final long SHORTER_THAN_DEFERRAL_MILLIS = 700;

  /**
   * Guards against: a client with a statement waited behind a crowd that said nothing, each of
   * which was accepted and rejected before it.
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
            "served");
      }
      boolean deferred =
          System.nanoTime() - connectingSince < SHORTER_THAN_DEFERRAL_MILLIS * 1_000_000;
      check(!deferred || silent.get(0).in.available() == 0, "nobody was rejected for it");
    } finally {
      for (Client silentClient : silent) {
        silentClient.close();
      }
    }
  }

  /** Guards against: a listener that ends resets who has connected and is kept back. */
  @Example
  void aDeferredConnectionIsServedWhenTheRouterShutsDown() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      world.router.drain();
      Thread.sleep(SHORTER_THAN_DEFERRAL_MILLIS);
      check(client.sendStartup().readResponse().isEmpty(), "welcomed");
      check(
          client.sendQuery(statement("a1", "view", 900)).readResponse().equals("row:a1"), "served");
    }
  }
}
