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

/**
 * Tests the watch of the endpoint list against a discovery server that each test scripts byte by
 * byte.
 */
class DiscoveryWatchTest {
  private static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Accepts discovery calls and leaves every response to the test. */
  private static final class ScriptedDiscovery implements AutoCloseable {
    final ServerSocket listener = LoopbackCluster.listen(0);
    final BlockingQueue<Socket> calls = new LinkedBlockingQueue<>();
    final LoopbackCluster cluster;

    ScriptedDiscovery() throws Exception {
      cluster = new LoopbackCluster(false);
      Thread acceptThread =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Socket call = listener.accept();
                    call.setTcpNoDelay(true);
                    call.getInputStream().read(new byte[4_096]);
                    calls.add(call);
                  }
                } catch (IOException closed) {
                  // The listener was closed at the end of the test.
                }
              });
      acceptThread.setDaemon(true);
      acceptThread.start();
      cluster.writeStartFile(
          text ->
              text.replaceAll(
                  "\"discovery\":\"[^\"]*\"",
                  "\"discovery\":\"127.0.0.1:" + listener.getLocalPort() + "\""));
    }

    /** Starts the router and answers its first call with the list. */
    Socket startRouter() throws Exception {
      Thread startThread =
          new Thread(
              () -> {
                try {
                  cluster.router.start(cluster.startFilePath, null);
                } catch (Exception fault) {
                  throw new IllegalStateException(fault);
                }
              });
      startThread.start();
      Socket call = calls.poll(5, TimeUnit.SECONDS);
      write(call, RESPONSE_HEAD + chunk(listJson(2)));
      startThread.join();
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

    /**
     * Checks that a draining replica receives no statements; it would respond to them with an
     * error.
     */
    void checkServerIsDrained(int index) throws IOException {
      cluster.servers.get(index).responseMode = LoopbackCluster.ResponseMode.ERROR;
      try (Client client = new Client(cluster.port)) {
        client.sendStartup().readResponse();
        client.sendQuery("SET x = 1").readResponse();
        for (int i = 0; i < 12; i++) {
          String id = "d" + index + (char) ('a' + i);
          client.sendQuery(statement(id, "view", 900)).readResponse();
          check(
              cluster
                  .modesByStatement
                  .getOrDefault(id, List.of())
                  .equals(List.of(LoopbackCluster.ResponseMode.ROW)),
              "expected exactly one attempt, on another server: "
                  + cluster.modesByStatement.get(id));
        }
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (Socket call : calls) {
        call.close();
      }
      cluster.close();
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  private static void awaitProcessed(LoopbackCluster cluster) throws IOException {
    try (Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      for (int i = 0; i < 3; i++) {
        client.sendQuery("SET x = 1").readResponse();
      }
    }
  }

  /**
   * List changes count as received 6 s after the watch fell silent. The new watch is requested
   * after half of that time, since it needs part of the rest to respond.
   */
  @Example
  void silentWatchIsReplacedAndStillReadUntilThen() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket silent = discovery.startRouter()) {
      try (Socket second = discovery.pollCall(3_900)) {
        check(second != null, "expected a new watch request");
        discovery.cluster.servers.get(1).listedLifecycle = "terminating";
        write(silent, chunk(discovery.listJson(3)));
        awaitProcessed(discovery.cluster);
        discovery.checkServerIsDrained(1);
        discovery.cluster.servers.get(1).listedLifecycle = "in_service";
        discovery.cluster.servers.get(2).listedLifecycle = "terminating";
        discovery.cluster.servers.get(1).responseMode = LoopbackCluster.ResponseMode.ROW;
        write(second, RESPONSE_HEAD + chunk(discovery.listJson(4)));
        awaitProcessed(discovery.cluster);
        check(silent.getInputStream().read() < 0, "expected the silent watch to be closed");
        discovery.checkServerIsDrained(2);
      }
    }
  }

  @Example
  void bytesWithoutCompleteLineDoNotKeepWatchAlive() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket first = discovery.startRouter()) {
      Socket second = null;
      for (int i = 0; i < 50 && second == null; i++) {
        write(first, chunk(" "));
        second = discovery.pollCall(100);
      }
      check(second != null, "expected a new watch request");
      second.close();
    }
  }

  /**
   * All three calls fall within the 6 s: the call after an abandoned one follows without a pause.
   */
  @Example
  void unansweredCallIsAbandonedAndRepeated() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket silent = discovery.startRouter();
        Socket unanswered = discovery.pollCall(3_900);
        Socket third = discovery.pollCall(2_650)) {
      check(unanswered != null && third != null, "expected two more calls after the silent one");
      discovery.cluster.servers.get(1).listedLifecycle = "terminating";
      write(third, RESPONSE_HEAD + chunk(discovery.listJson(3)));
      awaitProcessed(discovery.cluster);
      discovery.checkServerIsDrained(1);
      check(silent.getInputStream().read() < 0, "expected the silent watch to be closed");
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
   * A router must follow the list of discovery from the start, whatever its start file contains.
   */
  @Example
  void routerListensOnceFirstListArrived() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery()) {
      Thread startThread =
          new Thread(
              () -> {
                try {
                  discovery.cluster.router.start(discovery.cluster.startFilePath, null);
                } catch (Exception fault) {
                  throw new IllegalStateException(fault);
                }
              });
      startThread.start();
      try (Socket call = discovery.pollCall(5_000)) {
        Thread.sleep(800);
        check(startThread.isAlive(), "expected the router not to serve before its first list");
        discovery.cluster.servers.get(1).listedLifecycle = "terminating";
        write(call, RESPONSE_HEAD + chunk(discovery.listJson(2)));
        startThread.join(1_000);
        check(!startThread.isAlive(), "expected startup to finish within 1 s of the first list");
        discovery.checkServerIsDrained(1);
      }
    }
  }

  /**
   * Measures the fastest of three starts: startup waits for the first poll response of each
   * endpoint and no longer.
   */
  @Example
  void startupWaitsForOnePollOfEachEndpoint() throws Exception {
    long shortestMillis = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) {
      try (ScriptedDiscovery discovery = new ScriptedDiscovery()) {
        // Where polls have a cost, a router without traffic polls no endpoint twice as long as
        // nothing changes.
        String startFileText =
            Files.readString(discovery.cluster.startFilePath)
                .replace("\"Probe\":0.0", "\"Probe\":0.02");
        Files.writeString(discovery.cluster.startFilePath, startFileText);
        Thread discoveryThread =
            new Thread(
                () -> {
                  try (Socket call = discovery.pollCall(5_000)) {
                    write(
                        call,
                        RESPONSE_HEAD
                            + chunk("{\"generation\":1,\"reset\":false,\"instances\":[]}\n"));
                    discovery.pollCall(2_500);
                  } catch (IOException | InterruptedException ended) {
                    // A failure here shows in the duration of the start.
                  }
                });
        discoveryThread.start();
        long startNanos = System.nanoTime();
        discovery.cluster.router.start(discovery.cluster.startFilePath, null);
        shortestMillis = Math.min(shortestMillis, (System.nanoTime() - startNanos) / 1_000_000);
      }
    }
    check(shortestMillis < 900, shortestMillis + " ms, expected startup within 900 ms");
  }

  @Example
  void routerServesWhenDiscoveryDoesNotRespond() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery()) {
      long startNanos = System.nanoTime();
      discovery.cluster.router.start(discovery.cluster.startFilePath, null);
      check(
          System.nanoTime() - startNanos < 4_000_000_000L,
          "expected startup within 4 s with the list of the start file");
      try (Client client = new Client(discovery.cluster.port)) {
        client.sendStartup().readResponse();
        check(
            client.sendQuery(statement("e1", "post", 900)).readResponse().equals("row:e1"),
            "expected the statement to be served");
      }
    }
  }

  /** A call that takes as long to fail as a pause lasts is followed by the next one immediately. */
  @Example
  void retryPauseCountsFromStartOfFailedCall() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(false, false, false, true, true).listEndpoints(2);
    for (int i = 0; i < 20; i++) {
      int requestsBefore = harness.watchRequests;
      harness.balancer.onListRequestFailed(harness.now);
      check(harness.watchRequests == requestsBefore, "expected a pause after a watch that failed");
      while (harness.watchRequests == requestsBefore) {
        harness.advance(5);
      }
      harness.advance(1_600);
      harness.balancer.onListRequestFailed(harness.now);
      check(
          harness.watchRequests == requestsBefore + 2,
          "expected no pause after a call that failed after 1.6 s");
      harness.listEndpoints(2);
    }
  }

  /**
   * However long discovery was down, list changes count as received 6 s after its return, one
   * failed call included, so pauses stay short.
   */
  @Example
  void pausesBetweenFailedCallsStayShort() {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(false, false, false, true, true).listEndpoints(2);
    for (int i = 0; i < 200; i++) {
      int requestsBefore = harness.watchRequests;
      harness.balancer.onListRequestFailed(harness.now);
      Moment failedAt = harness.now;
      while (harness.watchRequests == requestsBefore) {
        harness.advance(5);
      }
      check(!harness.now.since(failedAt).isLongerThan(ms(1_510)), "" + harness.now.since(failedAt));
      check(
          i < 9 || !harness.now.since(failedAt).isShorterThan(ms(490)),
          "expected a pause of at least 490 ms from the tenth failure on");
    }
  }
}
