package basaltlever;

import static basaltlever.SocketWorld.statement;
import static basaltlever.StandIn.check;
import static basaltlever.StandIn.ms;

import basaltlever.SocketWorld.Client;
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
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Every call is the test's to answer. */
  private static final class Discovery implements AutoCloseable {
    final ServerSocket server = SocketWorld.listen(0);
    final BlockingQueue<Socket> calls = new LinkedBlockingQueue<>();
    final SocketWorld world;

    Discovery() throws Exception {
      world = new SocketWorld(false);
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
      world.writeStart(
          text ->
              text.replaceAll(
                  "\"discovery\":\"[^\"]*\"",
                  "\"discovery\":\"127.0.0.1:" + server.getLocalPort() + "\""));
    }

    /** Starts the router, and answers its first call. */
    Socket starts() throws Exception {
      Thread start =
          new Thread(
              () -> {
                try {
                  world.router.start(world.file, null);
                } catch (Exception fault) {
                  throw new IllegalStateException(fault);
                }
              });
      start.start();
      Socket call = calls.poll(5, TimeUnit.SECONDS);
      write(call, HEAD + chunk(list(2)));
      start.join();
      return call;
    }

    Socket next(long withinMillis) throws InterruptedException {
      return calls.poll(withinMillis, TimeUnit.MILLISECONDS);
    }

    String list(int generation) {
      return "{\"generation\":"
          + generation
          + ",\"reset\":true,\"instances\":"
          + world.entries()
          + "}\n";
    }

    /** A replica that is told to drain gets nothing more, and would err. */
    void checkDrained(int node) throws IOException {
      world.nodes.get(node).mode = SocketWorld.Mode.ERROR;
      try (Client client = new Client(world.port)) {
        client.start().answer();
        client.ask("SET x = 1").answer();
        for (int i = 0; i < 12; i++) {
          String id = "d" + node + (char) ('a' + i);
          client.ask(statement(id, "view", 900)).answer();
          check(
              world.ran.getOrDefault(id, List.of()).equals(List.of(SocketWorld.Mode.ROW)),
              "one execution, at another: " + world.ran.get(id));
        }
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (Socket call : calls) {
        call.close();
      }
      world.close();
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static void write(Socket to, String text) throws IOException {
    to.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  private static void settles(SocketWorld world) throws IOException {
    try (Client client = new Client(world.port)) {
      client.start().answer();
      for (int i = 0; i < 3; i++) {
        client.ask("SET x = 1").answer();
      }
    }
  }

  /** 6 s after it fell silent what it missed counts as told: the new one needs some of them. */
  @Example
  void aSilentWatchIsAskedForAnewInHalfOfTheTimeAndHeardUntilThen() throws Exception {
    try (Discovery discovery = new Discovery();
        Socket silent = discovery.starts()) {
      try (Socket second = discovery.next(3_900)) {
        check(second != null, "asked for anew");
        discovery.world.nodes.get(1).listed = "terminating";
        write(silent, chunk(discovery.list(3)));
        settles(discovery.world);
        discovery.checkDrained(1);
        discovery.world.nodes.get(1).listed = "in_service";
        discovery.world.nodes.get(2).listed = "terminating";
        discovery.world.nodes.get(1).mode = SocketWorld.Mode.ROW;
        write(second, HEAD + chunk(discovery.list(4)));
        settles(discovery.world);
        check(silent.getInputStream().read() < 0, "one watch is enough");
        discovery.checkDrained(2);
      }
    }
  }

  @Example
  void bytesThatNeverMakeALineAreNoSignOfLife() throws Exception {
    try (Discovery discovery = new Discovery();
        Socket dribbles = discovery.starts()) {
      Socket second = null;
      for (int i = 0; i < 50 && second == null; i++) {
        write(dribbles, chunk(" "));
        second = discovery.next(100);
      }
      check(second != null, "asked for anew");
      second.close();
    }
  }

  /** All three within the 6 s: behind a call that was given up no pause is left. */
  @Example
  void aCallThatIsNotAnsweredIsGivenUpAndAnother() throws Exception {
    try (Discovery discovery = new Discovery();
        Socket silent = discovery.starts();
        Socket mute = discovery.next(3_900);
        Socket third = discovery.next(2_650)) {
      check(mute != null && third != null, "asked again");
      discovery.world.nodes.get(1).listed = "terminating";
      write(third, HEAD + chunk(discovery.list(3)));
      settles(discovery.world);
      discovery.checkDrained(1);
      check(silent.getInputStream().read() < 0, "the silent one is let go");
    }
  }

  @Example
  void anIndentedListInPiecesIsTakenWithItsLastBrace() throws Exception {
    try (Discovery discovery = new Discovery();
        Socket watch = discovery.starts()) {
      discovery.world.nodes.get(1).listed = "terminating";
      String list = discovery.list(3).trim().replace(",", ",\n  ").replace("{", "{\n ");
      for (int at = 0; at < list.length(); at += 7) {
        write(watch, chunk(list.substring(at, Math.min(list.length(), at + 7))));
      }
      settles(discovery.world);
      discovery.checkDrained(1);
    }
  }

  @Example
  void whatAWatchSaysRightBeforeItEndsIsHeard() throws Exception {
    try (Discovery discovery = new Discovery();
        Socket watch = discovery.starts()) {
      discovery.world.nodes.get(1).listed = "terminating";
      write(watch, chunk(discovery.list(3)) + "0\r\n\r\n");
      settles(discovery.world);
      discovery.checkDrained(1);
    }
  }

  /**
   * From its first moment a process is held to what discovery knows, whatever its start file says.
   */
  @Example
  void aProcessListensOnceItsFirstListHasCome() throws Exception {
    try (Discovery discovery = new Discovery()) {
      Thread start =
          new Thread(
              () -> {
                try {
                  discovery.world.router.start(discovery.world.file, null);
                } catch (Exception fault) {
                  throw new IllegalStateException(fault);
                }
              });
      start.start();
      try (Socket call = discovery.next(5_000)) {
        Thread.sleep(800);
        check(start.isAlive(), "it does not serve yet");
        discovery.world.nodes.get(1).listed = "terminating";
        write(call, HEAD + chunk(discovery.list(2)));
        start.join(1_000);
        check(!start.isAlive(), "at once");
        discovery.checkDrained(1);
      }
    }
  }

  /** Of three starts the quickest: it waits for the members' first words, and no longer. */
  @Example
  void aStartWaitsForOneLookAtEachMemberAndNotForItsLongest() throws Exception {
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) {
      try (Discovery discovery = new Discovery()) {
        // Where polls have a price a router without traffic asks nobody twice, and nothing has
        // changed.
        String priced =
            Files.readString(discovery.world.file).replace("\"Probe\":0.0", "\"Probe\":0.02");
        Files.writeString(discovery.world.file, priced);
        Thread answers =
            new Thread(
                () -> {
                  try (Socket call = discovery.next(5_000)) {
                    write(
                        call,
                        HEAD + chunk("{\"generation\":1,\"reset\":false,\"instances\":[]}\n"));
                    discovery.next(2_500);
                  } catch (IOException | InterruptedException over) {
                    // Seen in how long the start took.
                  }
                });
        answers.start();
        long since = System.nanoTime();
        discovery.world.router.start(discovery.world.file, null);
        least = Math.min(least, (System.nanoTime() - since) / 1_000_000);
      }
    }
    check(least < 900, least + " ms");
  }

  @Example
  void aProcessServesThoughDiscoverySaysNothing() throws Exception {
    try (Discovery discovery = new Discovery()) {
      long since = System.nanoTime();
      discovery.world.router.start(discovery.world.file, null);
      check(System.nanoTime() - since < 4_000_000_000L, "by the list of its start file");
      try (Client client = new Client(discovery.world.port)) {
        client.start().answer();
        check(client.ask(statement("e1", "post", 900)).answer().equals("row:e1"), "it serves");
      }
    }
  }

  /** A call that took as long to fail as a pause lasts is followed by the next one at once. */
  @Example
  void aPauseCountsFromTheStartOfTheCallThatFailed() {
    StandIn world = new StandIn(false, false, false, true, true).list(2);
    for (int i = 0; i < 20; i++) {
      int asked = world.watches;
      world.balancer.onListRequestFailed(world.now);
      check(world.watches == asked, "a watch that broke is followed by a pause");
      while (world.watches == asked) {
        world.later(5);
      }
      world.later(1_600);
      world.balancer.onListRequestFailed(world.now);
      check(world.watches == asked + 2, "a call that took 1.6 s to fail by none");
      world.list(2);
    }
  }

  /**
   * However long discovery was down: 6 s after its return, and a failed call, news counts as told.
   */
  @Example
  void pausesBetweenFailedCallsStayShort() {
    StandIn world = new StandIn(false, false, false, true, true).list(2);
    for (int i = 0; i < 200; i++) {
      int asked = world.watches;
      world.balancer.onListRequestFailed(world.now);
      Moment failed = world.now;
      while (world.watches == asked) {
        world.later(5);
      }
      check(!world.now.since(failed).isLongerThan(ms(1_510)), "" + world.now.since(failed));
      check(
          i < 9 || !world.now.since(failed).isShorterThan(ms(490)),
          "nor is it called without pause");
    }
  }
}
