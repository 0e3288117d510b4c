package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Seen: connections of several clients were ended in one moment, each 50 to 90 ms after its
 * statement had been sent. How: a turn of the loop took that long, and in the next one an idle
 * connection was ended for another client before its own socket was read. Cause: what was received
 * and not yet read did not count. Proof: below, in that order, on a loop that is held up.
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
            "it rests");
      }
      try (Client another = new Client(router.port)) {
        check(another.sendStartup().readResponse().isEmpty(), "it has asked nothing yet");
        router.stallOutsideIteration(100);
        Thread.sleep(20);
        another.sendQuery("");
        idleClients.get(0).sendQuery(statement("r1", "list", WAIT_MILLIS));
        check(another.readResponse().equals("I"), "one more asks, and one has to go for it");
        String answer = idleClients.get(0).readResponse();
        check(
            answer.startsWith("error:58000"),
            "the longest idle had sent a statement by then: " + answer);
      }
    } finally {
      for (Client client : idleClients) {
        client.close();
      }
    }
  }

  /**
   * What was sent while nothing could be accepted has waited since then: its time is not counted
   * from when it is read.
   */
  @Example
  void timeInTheListenQueueCountsTowardsTheTimeout() throws Exception {
    try (StallableRouter router = new StallableRouter(100)) {
      try (Client first = new Client(router.port)) {
        first.sendStartup().sendQuery(statement("q0", "list", 100));
        check(
            first.readResponse().isEmpty() && first.readResponse().startsWith("error:58000"),
            "a first one");
      }
      router.failsAccept = true;
      long sentAt = System.nanoTime();
      try (Client client = new Client(router.port)) {
        client.sendStartup().sendQuery(statement("q1", "list", WAIT_MILLIS));
        Thread.sleep(WAIT_MILLIS / 2);
        router.failsAccept = false;
        check(
            client.readResponse().isEmpty() && client.readResponse().startsWith("error:58000"),
            "the guard's answer");
        long elapsedMillis = (System.nanoTime() - sentAt) / 1_000_000;
        check(elapsedMillis <= WAIT_MILLIS + SLACK_MILLIS, "in its time: " + elapsedMillis);
      }
    }
  }
}
