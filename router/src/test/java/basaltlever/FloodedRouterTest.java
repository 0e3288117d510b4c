package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.LoopbackCluster.ResponseMode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import net.jqwik.api.Example;

/** Tests how long callers wait while other clients send at full speed. */
class FloodedRouterTest {
  private static final int FLOODS = 8;
  private static final int CALLERS = 10;
  private static final int CALLER_TIMEOUT_MILLIS = 797;

  /** The protocol's slack of time limits on sockets. */
  private static final int SLACK_MILLIS = 50;

  /**
   * Longest wait of a caller (docs/overload.md): four iterations, in each of which a flooding
   * connection gets its share of the loop, and the slack.
   */
  private static final int MAX_WAIT_MILLIS = 4 * FLOODS * 5 + SLACK_MILLIS;

  /** An answer later than this after its deadline counts as lost. */
  private static final int LOST_AFTER_MILLIS = 500;

  private static final int FLOOD_BEFORE_CALLS_MILLIS = 300;
  private static final int ROUNDS = 3;
  private static final int PAUSE_MILLIS = 400;

  private static void checkCallersWait(IntFunction<String> floodText) throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      List<FloodingClient> floods = new ArrayList<>();
      try {
        for (int i = 0; i < FLOODS; i++) {
          floods.add(new FloodingClient(cluster.port, i + 1, floodText));
        }
        Thread.sleep(FLOOD_BEFORE_CALLS_MILLIS);
        for (int round = 0; round < ROUNDS; round++) {
          List<String> slow = callAtOnce(cluster, "c" + round + "x");
          check(slow.isEmpty(), "callers beside " + FLOODS + " floods: " + slow);
          Thread.sleep(PAUSE_MILLIS);
        }
      } finally {
        for (FloodingClient flood : floods) {
          flood.close();
        }
      }
    }
  }

  /** Returns a description of each caller that got no row or waited for too long. */
  private static List<String> callAtOnce(LoopbackCluster cluster, String prefix)
      throws InterruptedException {
    List<String> slow = java.util.Collections.synchronizedList(new ArrayList<>());
    AtomicInteger answered = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      String id = prefix + i;
      Thread caller =
          new Thread(
              () -> {
                long start = System.nanoTime();
                String answer = "none";
                try (Client client = new Client(cluster.port)) {
                  client.sendStartup().readResponse();
                  start = System.nanoTime();
                  answer =
                      client
                          .sendQuery(statement(id, workloadOf(id), CALLER_TIMEOUT_MILLIS))
                          .readResponse();
                } catch (IOException failed) {
                  answer = "" + failed;
                }
                long waited = (System.nanoTime() - start) / 1_000_000;
                if (!answer.equals("row:" + id) || waited > MAX_WAIT_MILLIS) {
                  slow.add(answer + " after " + waited + " ms");
                }
                answered.incrementAndGet();
              });
      callers.add(caller);
      caller.start();
    }
    for (Thread caller : callers) {
      caller.join();
    }
    return slow;
  }

  private static String workloadOf(String id) {
    return (id.hashCode() & 1) == 0 ? "view" : "post";
  }

  /**
   * Guards against a loop that serves a flood without reading other sockets or its timers (issue
   * 72): callers beside eight clients with sound statements got no answer till these ended.
   */
  @Example
  void callersAreAnsweredBesideFloodsOfSoundStatements() throws Exception {
    checkCallersWait(n -> statement("f" + n, "view", 900));
  }

  /** The same with a field that is new in each statement. */
  @Example
  void callersAreAnsweredBesideFloodsWithEverNewFields() throws Exception {
    checkCallersWait(
        n -> statement("f" + n, "post", 900).replace(",cluster=1", ",cluster=1,n" + n + "=" + n));
  }

  /** The same with statements of an unknown class, of which each name is new. */
  @Example
  void callersAreAnsweredBesideFloodsOfUnknownClasses() throws Exception {
    checkCallersWait(n -> statement("f" + n, "new" + n, 900));
  }

  /** The same with statements whose ids come again. */
  @Example
  void callersAreAnsweredBesideFloodsOfOneId() throws Exception {
    checkCallersWait(n -> statement("same", "view", 900));
  }

  /** Guards against deadlines that do not fire while other clients flood the router (issue 72). */
  @Example
  void deadlinesFireBesideFloods() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      cluster.servers.forEach(server -> server.responseMode = ResponseMode.NO_RESPONSE);
      List<FloodingClient> floods = new ArrayList<>();
      try {
        for (int i = 0; i < FLOODS; i++) {
          floods.add(new FloodingClient(cluster.port, i + 1, n -> statement("f" + n, "view", 200)));
        }
        Thread.sleep(FLOOD_BEFORE_CALLS_MILLIS);
        try (Client client = new Client(cluster.port)) {
          client.sendStartup().readResponse();
          long start = System.nanoTime();
          String answer =
              client.sendQuery(statement("due", "post", CALLER_TIMEOUT_MILLIS)).readResponse();
          long waited = (System.nanoTime() - start) / 1_000_000;
          check(
              answer.startsWith("error:") && waited < CALLER_TIMEOUT_MILLIS + LOST_AFTER_MILLIS,
              answer + " after " + waited + " ms");
        }
      } finally {
        for (FloodingClient flood : floods) {
          flood.close();
        }
      }
    }
  }

  /** The same with large statements, whose bytes are the load. */
  @Example
  void callersAreAnsweredBesideFloodsOfLargeStatements() throws Exception {
    String value = "f".repeat(100_000);
    checkCallersWait(n -> statement("f" + n, "view", 900) + " AND doc = '\\x" + value + "'");
  }
}
