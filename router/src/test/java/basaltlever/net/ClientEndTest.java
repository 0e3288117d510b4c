package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Guards against ending an idle connection over a statement that was received and not yet read.
 * Connections of several clients were ended together, each 50 to 90 ms after its statement had been
 * sent: an event loop iteration took that long, and the next one ended an idle connection to make
 * room for another client before it read its socket. The test repeats that order on a stalled event
 * loop.
 */
class ClientEndTest {
  private static final int WAIT_MILLIS = 600;
  private static final int SLACK_MILLIS = 120;

  @Example
  void anIdleConnectionWithAReceivedStatementIsNotEnded() throws Exception {
    List<Client> idleClients = new ArrayList<>();
    try (StallableRouter router = new StallableRouter(40)) {
      for (int i = 0; i < 10; i++) {
        idleClients.add(new Client(router.port).sendStartup().sendQuery(""));
        check(
            idleClients.get(i).readResponse().isEmpty()
                && idleClients.get(i).readResponse().equals("I"),
            "the client starts up and its empty query is answered");
      }
      try (Client another = new Client(router.port)) {
        check(another.sendStartup().readResponse().isEmpty(), "another client starts up");
        router.stallOutsideIteration(100);
        Thread.sleep(20);
        another.sendQuery("");
        idleClients.get(0).sendQuery(statement("r1", "list", WAIT_MILLIS));
        check(
            another.readResponse().equals("I"),
            "the new client's empty query is answered while an idle one is evicted");
        String answer = idleClients.get(0).readResponse();
        check(
            answer.startsWith("error:58000"),
            "the longest idle client had sent a statement and gets its answer: " + answer);
      }
    } finally {
      for (Client client : idleClients) {
        client.close();
      }
    }
  }

  /**
   * Guards against a deadline that counts from when a statement is read: while accepting fails, the
   * statement waits in the listen queue.
   */
  @Example
  void timeInTheListenQueueCountsTowardsTheTimeout() throws Exception {
    try (StallableRouter router = new StallableRouter(100)) {
      try (Client first = new Client(router.port)) {
        first.sendStartup().sendQuery(statement("q0", "list", 100));
        check(
            first.readResponse().isEmpty() && first.readResponse().startsWith("error:58000"),
            "the first statement times out");
      }
      router.failsAccept = true;
      long sentAt = System.nanoTime();
      try (Client client = new Client(router.port)) {
        client.sendStartup().sendQuery(statement("q1", "list", WAIT_MILLIS));
        Thread.sleep(WAIT_MILLIS / 2);
        router.failsAccept = false;
        check(
            client.readResponse().isEmpty() && client.readResponse().startsWith("error:58000"),
            "the queued statement times out");
        long elapsedMillis = (System.nanoTime() - sentAt) / 1_000_000;
        check(
            elapsedMillis <= WAIT_MILLIS + SLACK_MILLIS,
            "milliseconds until the timeout answer: " + elapsedMillis);
      }
    }
  }
}
