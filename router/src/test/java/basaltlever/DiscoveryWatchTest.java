package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.time.Moment;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** The list that goes quiet: a discovery that each test scripts byte by byte. */
class DiscoveryWatchTest {
  private static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Every call is the test's to answer. */
  private static final class ScriptedDiscovery implements AutoCloseable {
    final ServerSocket server = LoopbackCluster.listen(0);
    final BlockingQueue<Socket> calls = new LinkedBlockingQueue<>();
    final LoopbackCluster cluster;

    ScriptedDiscovery() throws Exception {
      cluster = new LoopbackCluster(false);
      Thread accepts =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Socket call = server.accept();
                    call.setTcpNoDelay(true);
                    call.getInputStream().read(new byte[4_096]);
                    calls.add(call);
                  }
                } catch (IOException closed) {
                  // The test is over.
                }
              });
      accepts.setDaemon(true);
      accepts.start();
      cluster.writeStartFile(
          text ->
              text.replaceAll(
                  "\"discovery\":\"[^\"]*\"",
                  "\"discovery\":\"127.0.0.1:" + server.getLocalPort() + "\""));
    }

    /** Starts the router, and answers its first call. */
    Socket startRouter() throws Exception {
      Thread start =
          new Thread(
              () -> {
                try {
                  cluster.router.start(cluster.startFilePath, null);
                } catch (Exception fault) {
                  throw new IllegalStateException(fault);
                }
              });
      start.start();
      Socket call = calls.poll(5, TimeUnit.SECONDS);
      write(call, RESPONSE_HEAD + chunk(listJson(2)));
      start.join();
      return call;
    }

    Socket pollCall(long withinMillis) throws InterruptedException {
      return calls.poll(withinMillis, TimeUnit.MILLISECONDS);
    }

    String listJson(int generation) {
      return "{\"generation\":"
          + generation
          + ",\"reset\":true,\"instances\":"
          + cluster.instancesJson()
          + "}\n";
    }

    /** A replica that is told to drain gets nothing more, and would err. */
    void checkServerIsDrained(int node) throws IOException {
      cluster.servers.get(node).responseMode = LoopbackCluster.ResponseMode.ERROR;
      try (Client client = new Client(cluster.port)) {
        client.sendStartup().readResponse();
        client.sendQuery("SET x = 1").readResponse();
        for (int i = 0; i < 12; i++) {
          String id = "d" + node + (char) ('a' + i);
          client.sendQuery(statement(id, "view", 900)).readResponse();
          check(
              cluster
                  .modesByStatement
                  .getOrDefault(id, List.of())
                  .equals(List.of(LoopbackCluster.ResponseMode.ROW)),
              "one execution, at another: " + cluster.modesByStatement.get(id));
        }
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (Socket call : calls) {
        call.close();
      }
      cluster.close();
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static void write(Socket to, String text) throws IOException {
    to.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  private static void awaitProcessed(LoopbackCluster cluster) throws IOException {
    try (Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      for (int i = 0; i < 3; i++) {
        client.sendQuery("SET x = 1").readResponse();
      }
    }
  }

  /** 6 s after it fell silent what it missed counts as told: the new one needs some of them. */
  @Example
  void silentWatchIsReplacedAndStillReadUntilThen() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket silent = discovery.startRouter()) {
      try (Socket second = discovery.pollCall(3_900)) {
        check(second != null, "asked for anew");
        discovery.cluster.servers.get(1).listedLifecycle = "terminating";
        write(silent, chunk(discovery.listJson(3)));
        awaitProcessed(discovery.cluster);
        discovery.checkServerIsDrained(1);
        discovery.cluster.servers.get(1).listedLifecycle = "in_service";
        discovery.cluster.servers.get(2).listedLifecycle = "terminating";
        discovery.cluster.servers.get(1).responseMode = LoopbackCluster.ResponseMode.ROW;
        write(second, RESPONSE_HEAD + chunk(discovery.listJson(4)));
        awaitProcessed(discovery.cluster);
        check(silent.getInputStream().read() < 0, "one watch is enough");
        discovery.checkServerIsDrained(2);
      }
    }
  }

  @Example
  void bytesWithoutCompleteLineDoNotKeepWatchAlive() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket dribbles = discovery.startRouter()) {
      Socket second = null;
      for (int i = 0; i < 50 && second == null; i++) {
        write(dribbles, chunk(" "));
        second = discovery.pollCall(100);
      }
      check(second != null, "asked for anew");
      second.close();
    }
  }

  /** All three within the 6 s: behind a call that was given up no pause is left. */
  @Example
  void unansweredCallIsAbandonedAndRepeated() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket silent = discovery.startRouter();
        Socket mute = discovery.pollCall(3_900);
        Socket third = discovery.pollCall(2_650)) {
      check(mute != null && third != null, "asked again");
      discovery.cluster.servers.get(1).listedLifecycle = "terminating";
      write(third, RESPONSE_HEAD + chunk(discovery.listJson(3)));
      awaitProcessed(discovery.cluster);
      discovery.checkServerIsDrained(1);
      check(silent.getInputStream().read() < 0, "the silent one is let go");
    }
  }

  @Example
  void indentedListInPiecesIsAppliedAtItsLastBrace() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket watch = discovery.startRouter()) {
      discovery.cluster.servers.get(1).listedLifecycle = "terminating";
      String list = discovery.listJson(3).trim().replace(",", ",\n  ").replace("{", "{\n ");
      for (int at = 0; at < list.length(); at += 7) {
        write(watch, chunk(list.substring(at, Math.min(list.length(), at + 7))));
      }
      awaitProcessed(discovery.cluster);
      discovery.checkServerIsDrained(1);
    }
  }

  @Example
  void listReceivedRightBeforeWatchEndsIsApplied() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket watch = discovery.startRouter()) {
      discovery.cluster.servers.get(1).listedLifecycle = "terminating";
      write(watch, chunk(discovery.listJson(3)) + "0\r\n\r\n");
      awaitProcessed(discovery.cluster);
      discovery.checkServerIsDrained(1);
    }
  }

  /**
   * From its first moment a process is held to what discovery knows, whatever its start file says.
   */
  @Example
  void routerListensOnceFirstListArrived() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery()) {
      Thread start =
          new Thread(
              () -> {
                try {
                  discovery.cluster.router.start(discovery.cluster.startFilePath, null);
                } catch (Exception fault) {
                  throw new IllegalStateException(fault);
                }
              });
      start.start();
      try (Socket call = discovery.pollCall(5_000)) {
        Thread.sleep(800);
        check(start.isAlive(), "it does not serve yet");
        discovery.cluster.servers.get(1).listedLifecycle = "terminating";
        write(call, RESPONSE_HEAD + chunk(discovery.listJson(2)));
        start.join(1_000);
        check(!start.isAlive(), "at once");
        discovery.checkServerIsDrained(1);
      }
    }
  }

  /** Of three starts the quickest: it waits for the members' first words, and no longer. */
  @Example
  void startupWaitsForOnePollOfEachEndpoint() throws Exception {
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) {
      try (ScriptedDiscovery discovery = new ScriptedDiscovery()) {
        // Where polls have a price a router without traffic asks nobody twice, and nothing has
        // changed.
        String priced =
            Files.readString(discovery.cluster.startFilePath)
                .replace("\"Probe\":0.0", "\"Probe\":0.02");
        Files.writeString(discovery.cluster.startFilePath, priced);
        Thread answers =
            new Thread(
                () -> {
                  try (Socket call = discovery.pollCall(5_000)) {
                    write(
                        call,
                        RESPONSE_HEAD
                            + chunk("{\"generation\":1,\"reset\":false,\"instances\":[]}\n"));
                    discovery.pollCall(2_500);
                  } catch (IOException | InterruptedException over) {
                    // Seen in how long the start took.
                  }
                });
        answers.start();
        long since = System.nanoTime();
        discovery.cluster.router.start(discovery.cluster.startFilePath, null);
        least = Math.min(least, (System.nanoTime() - since) / 1_000_000);
      }
    }
    check(least < 900, least + " ms");
  }

  @Example
  void routerServesWhenDiscoveryDoesNotRespond() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery()) {
      long since = System.nanoTime();
      discovery.cluster.router.start(discovery.cluster.startFilePath, null);
      check(System.nanoTime() - since < 4_000_000_000L, "by the list of its start file");
      try (Client client = new Client(discovery.cluster.port)) {
        client.sendStartup().readResponse();
        check(
            client.sendQuery(statement("e1", "post", 900)).readResponse().equals("row:e1"),
            "it serves");
      }
    }
  }

  /** A call that took as long to fail as a pause lasts is followed by the next one at once. */
  @Example
  void retryPauseCountsFromStartOfFailedCall() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(false, false, false, true, true).listEndpoints(2);
    for (int i = 0; i < 20; i++) {
      int asked = harness.watchRequests;
      harness.balancer.onListRequestFailed(harness.now);
      check(harness.watchRequests == asked, "a watch that broke is followed by a pause");
      while (harness.watchRequests == asked) {
        harness.advance(5);
      }
      harness.advance(1_600);
      harness.balancer.onListRequestFailed(harness.now);
      check(harness.watchRequests == asked + 2, "a call that took 1.6 s to fail by none");
      harness.listEndpoints(2);
    }
  }

  /**
   * However long discovery was down: 6 s after its return, and a failed call, news counts as told.
   */
  @Example
  void pausesBetweenFailedCallsStayShort() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(false, false, false, true, true).listEndpoints(2);
    for (int i = 0; i < 200; i++) {
      int asked = harness.watchRequests;
      harness.balancer.onListRequestFailed(harness.now);
      Moment failed = harness.now;
      while (harness.watchRequests == asked) {
        harness.advance(5);
      }
      check(!harness.now.since(failed).isLongerThan(ms(1_510)), "" + harness.now.since(failed));
      check(
          i < 9 || !harness.now.since(failed).isShorterThan(ms(490)),
          "nor is it called without pause");
    }
  }
}
