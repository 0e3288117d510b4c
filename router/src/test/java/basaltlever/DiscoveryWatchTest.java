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
    final ServerSocket listener = LoopbackCluster.listen(0);
    final BlockingQueue<Socket> calls = new LinkedBlockingQueue<>();
    final LoopbackCluster world;

    ScriptedDiscovery() throws Exception {
      world = new LoopbackCluster(false);
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
                  // The test is over.
                }
              });
      acceptThread.setDaemon(true);
      acceptThread.start();
      world.writeStartFile(
          text ->
              text.replaceAll(
                  "\"discovery\":\"[^\"]*\"",
                  "\"discovery\":\"127.0.0.1:" + listener.getLocalPort() + "\""));
    }

    /** Starts the router, and answers its first call. */
    Socket startRouter() throws Exception {
      Thread startThread =
          new Thread(
              () -> {
                try {
                  world.router.start(world.startFilePath, null);
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
          + world.instancesJson()
          + "}\n";
    }

    /** A replica that is told to drain gets nothing more, and would err. */
    void checkServerIsDrained(int index) throws IOException {
      world.servers.get(index).responseMode = LoopbackCluster.ResponseMode.ERROR;
      try (Client client = new Client(world.port)) {
        client.sendStartup().readResponse();
        client.sendQuery("SET x = 1").readResponse();
        for (int i = 0; i < 12; i++) {
          String id = "d" + index + (char) ('a' + i);
          client.sendQuery(statement(id, "view", 900)).readResponse();
          check(
              world
                  .modesByStatement
                  .getOrDefault(id, List.of())
                  .equals(List.of(LoopbackCluster.ResponseMode.ROW)),
              "one execution, at another: " + world.modesByStatement.get(id));
        }
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (Socket call : calls) {
        call.close();
      }
      world.close();
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  private static void awaitProcessed(LoopbackCluster world) throws IOException {
    try (Client client = new Client(world.port)) {
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
        discovery.world.servers.get(1).listedLifecycle = "terminating";
        write(silent, chunk(discovery.listJson(3)));
        awaitProcessed(discovery.world);
        discovery.checkServerIsDrained(1);
        discovery.world.servers.get(1).listedLifecycle = "in_service";
        discovery.world.servers.get(2).listedLifecycle = "terminating";
        discovery.world.servers.get(1).responseMode = LoopbackCluster.ResponseMode.ROW;
        write(second, RESPONSE_HEAD + chunk(discovery.listJson(4)));
        awaitProcessed(discovery.world);
        check(silent.getInputStream().read() < 0, "one watch is enough");
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
      check(second != null, "asked for anew");
      second.close();
    }
  }

  /** All three within the 6 s: behind a call that was given up no pause is left. */
  @Example
  void unansweredCallIsAbandonedAndRepeated() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket silent = discovery.startRouter();
        Socket unanswered = discovery.pollCall(3_900);
        Socket third = discovery.pollCall(2_650)) {
      check(unanswered != null && third != null, "asked again");
      discovery.world.servers.get(1).listedLifecycle = "terminating";
      write(third, RESPONSE_HEAD + chunk(discovery.listJson(3)));
      awaitProcessed(discovery.world);
      discovery.checkServerIsDrained(1);
      check(silent.getInputStream().read() < 0, "the silent one is let go");
    }
  }

  @Example
  void indentedListInPiecesIsAppliedAtItsLastBrace() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket watch = discovery.startRouter()) {
      discovery.world.servers.get(1).listedLifecycle = "terminating";
      String list = discovery.listJson(3).trim().replace(",", ",\n  ").replace("{", "{\n ");
      for (int at = 0; at < list.length(); at += 7) {
        write(watch, chunk(list.substring(at, Math.min(list.length(), at + 7))));
      }
      awaitProcessed(discovery.world);
      discovery.checkServerIsDrained(1);
    }
  }

  @Example
  void listReceivedRightBeforeWatchEndsIsApplied() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery();
        Socket watch = discovery.startRouter()) {
      discovery.world.servers.get(1).listedLifecycle = "terminating";
      write(watch, chunk(discovery.listJson(3)) + "0\r\n\r\n");
      awaitProcessed(discovery.world);
      discovery.checkServerIsDrained(1);
    }
  }

  /**
   * From its first moment a process is held to what discovery knows, whatever its start file says.
   */
  @Example
  void routerListensOnceFirstListArrived() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery()) {
      Thread startThread =
          new Thread(
              () -> {
                try {
                  discovery.world.router.start(discovery.world.startFilePath, null);
                } catch (Exception fault) {
                  throw new IllegalStateException(fault);
                }
              });
      startThread.start();
      try (Socket call = discovery.pollCall(5_000)) {
        Thread.sleep(800);
        check(startThread.isAlive(), "it does not serve yet");
        discovery.world.servers.get(1).listedLifecycle = "terminating";
        write(call, RESPONSE_HEAD + chunk(discovery.listJson(2)));
        startThread.join(1_000);
        check(!startThread.isAlive(), "at once");
        discovery.checkServerIsDrained(1);
      }
    }
  }

  /** Of three starts the quickest: it waits for the members' first words, and no longer. */
  @Example
  void startupWaitsForOnePollOfEachEndpoint() throws Exception {
    long shortestMillis = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) {
      try (ScriptedDiscovery discovery = new ScriptedDiscovery()) {
        // Where polls have a price a router without traffic asks nobody twice, and nothing has
        // changed.
        String startFileText =
            Files.readString(discovery.world.startFilePath)
                .replace("\"Probe\":0.0", "\"Probe\":0.02");
        Files.writeString(discovery.world.startFilePath, startFileText);
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
                    // Seen in how long the start took.
                  }
                });
        discoveryThread.start();
        long startNanos = System.nanoTime();
        discovery.world.router.start(discovery.world.startFilePath, null);
        shortestMillis = Math.min(shortestMillis, (System.nanoTime() - startNanos) / 1_000_000);
      }
    }
    check(shortestMillis < 900, shortestMillis + " ms");
  }

  @Example
  void routerServesWhenDiscoveryDoesNotRespond() throws Exception {
    try (ScriptedDiscovery discovery = new ScriptedDiscovery()) {
      long startNanos = System.nanoTime();
      discovery.world.router.start(discovery.world.startFilePath, null);
      check(System.nanoTime() - startNanos < 4_000_000_000L, "by the list of its start file");
      try (Client client = new Client(discovery.world.port)) {
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
    LoadBalancerHarness world =
        new LoadBalancerHarness(false, false, false, true, true).listEndpoints(2);
    for (int i = 0; i < 20; i++) {
      int requestsBefore = world.watchRequests;
      world.balancer.onListRequestFailed(world.now);
      check(world.watchRequests == requestsBefore, "a watch that broke is followed by a pause");
      while (world.watchRequests == requestsBefore) {
        world.advance(5);
      }
      world.advance(1_600);
      world.balancer.onListRequestFailed(world.now);
      check(world.watchRequests == requestsBefore + 2, "a call that took 1.6 s to fail by none");
      world.listEndpoints(2);
    }
  }

  /**
   * However long discovery was down: 6 s after its return, and a failed call, news counts as told.
   */
  @Example
  void pausesBetweenFailedCallsStayShort() {
    LoadBalancerHarness world =
        new LoadBalancerHarness(false, false, false, true, true).listEndpoints(2);
    for (int i = 0; i < 200; i++) {
      int requestsBefore = world.watchRequests;
      world.balancer.onListRequestFailed(world.now);
      Moment failedAt = world.now;
      while (world.watchRequests == requestsBefore) {
        world.advance(5);
      }
      check(!world.now.since(failedAt).isLongerThan(ms(1_510)), "" + world.now.since(failedAt));
      check(
          i < 9 || !world.now.since(failedAt).isShorterThan(ms(490)),
          "nor is it called without pause");
    }
  }
}
