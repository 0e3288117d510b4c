package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.LoopbackCluster.ResponseMode;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** A whole router on loopback between stand-ins of clients, nodes and discovery. */
class RouterTest {
  private static boolean rejected(String answer) {
    return answer.startsWith("error:53300") || answer.startsWith("error:57P03");
  }

  private static boolean aborted(String answer) {
    return answer.startsWith("error:") && !rejected(answer);
  }

  @Example
  void aStatementSentRightBehindTheStartIsCompleted() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client
          .sendStartup()
          .sendQuery("")
          .sendQuery(statement("a1", "view", 1_500))
          .sendQuery("SET x = 1");
      client.sendQuery(statement("a2", "post", 1_500));
      check(
          client.readResponse().isEmpty() && client.readResponse().equals("I"),
          "the start, and an empty query");
      check(
          client.readResponse().equals("row:a1") && client.readResponse().isEmpty(),
          "a read, then a command");
      check(client.readResponse().equals("row:a2"), "a write, in its order");
      String sent =
          world.receivedQueries.stream()
              .filter(text -> text.contains("id=a2"))
              .findFirst()
              .orElse("");
      int wait = Integer.parseInt(sent.replaceAll("(?s).*,d=([0-9]+),.*", "$1"));
      check(
          wait <= 1_500 && wait > 500 && sent.equals(statement("a2", "post", wait)),
          "only d is new");
    }
  }

  @Example
  void eachOutcomeOfAWriteIsToldAsWhatIsProven() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      for (ResponseMode mode : ResponseMode.values()) {
        world.servers.get(0).responseMode = mode;
        String id = "b" + mode.ordinal();
        long start = System.nanoTime();
        String answer = client.sendQuery(statement(id, "post", 700)).readResponse();
        List<ResponseMode> runs = world.modesByStatement.getOrDefault(id, List.of());
        check(System.nanoTime() - start < 1_500_000_000L, mode + ": answered in time");
        if (mode.hasValidResponse()) {
          check(answer.startsWith("row:" + id) && runs.size() == 1, mode + ": " + answer);
        } else if (mode.provesNotExecuted()) {
          check(rejected(answer), mode + " is harmless: " + answer);
        } else {
          check(aborted(answer) && runs.size() == 1, mode + " may have run: " + answer + runs);
        }
        world.servers.get(0).responseMode = ResponseMode.ROW;
        String next = "";
        for (int i = 0; i < 90 && !next.equals("row:bb"); i++) {
          next = client.sendQuery(statement("bb", "post", 900)).readResponse();
          Thread.sleep(100);
        }
      }
    }
  }

  @Example
  void whatNeverReachedANodeIsRejectedAndAReadGoesElsewhere() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      check(
          client.sendQuery(statement("c1", "post", 900)).readResponse().equals("row:c1"),
          "at first");
      world.servers.get(0).kill();
      // A write that crosses the end of an open connection may have run: this is about later ones.
      Thread.sleep(150);
      String answer = client.sendQuery(statement("c2", "post", 600)).readResponse();
      check(rejected(answer), "refused, never sent: " + answer);
      check(
          client.sendQuery(statement("c3", "view", 900)).readResponse().equals("row:c3"),
          "replicas go on");
      world.servers.get(1).responseMode = ResponseMode.DISCONNECT;
      for (int i = 0; i < 6; i++) {
        answer = client.sendQuery(statement("c4" + i, "view", 1_500)).readResponse();
        check(answer.equals("row:c4" + i), "a read may run again: " + answer);
      }
    }
  }

  @Example
  void anIdleConnectionThatTheNodeClosesCostsNothing() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      check(
          client.sendQuery(statement("d1", "post", 900)).readResponse().equals("row:d1"),
          "at first");
      for (LoopbackCluster.DatabaseServer node : world.servers) {
        for (java.net.Socket socket : new ArrayList<>(node.openSockets)) {
          socket.close();
        }
      }
      Thread.sleep(150);
      check(
          client.sendQuery(statement("d2", "post", 900)).readResponse().equals("row:d2"),
          "on a new connection");
      Thread.sleep(2_300);
      check(
          client.sendQuery(statement("d3", "post", 900)).readResponse().equals("row:d3"),
          "past the idle time");
    }
  }

  @Example
  void nothingNewGoesToANodeThatDrainsAndABrokenWatchIsAskedForAgain() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      client.sendQuery(statement("e1", "view", 900)).readResponse();
      world.rejectsDiscoveryCalls = true;
      world.closeWatch();
      Thread.sleep(700);
      check(world.discoveryCalls.get() >= 2, "asked again, and told no");
      world.rejectsDiscoveryCalls = false;
      world.servers.get(1).listedLifecycle = "terminating";
      Thread.sleep(1_600);
      world.servers.get(1).responseMode = ResponseMode.ERROR;
      int before = world.receivedQueries.size();
      for (int i = 0; i < 12; i++) {
        check(
            client.sendQuery(statement("e2" + i, "view", 900)).readResponse().equals("row:e2" + i),
            "served");
      }
      check(
          world.receivedQueries.size() == before + 12,
          "one execution each, none at the node that drains");
    }
  }

  @Example
  void aNodeThatMovesUnderItsNameIsFoundAtItsNewAddress() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      check(
          client.sendQuery(statement("j1", "post", 900)).readResponse().equals("row:j1"),
          "at first");
      LoopbackCluster.DatabaseServer old = world.servers.get(0);
      old.responseMode = ResponseMode.ERROR;
      world.servers.set(0, world.new DatabaseServer("s-0", true));
      world.publishList();
      Thread.sleep(200);
      check(
          client.sendQuery(statement("j2", "post", 900)).readResponse().equals("row:j2"),
          "not on an old connection");
      old.kill();
      check(
          client.sendQuery(statement("j3", "post", 900)).readResponse().equals("row:j3"),
          "the old one is not missed");
    }
  }

  @Example
  void aReloadFollowsDiscoveryAndAFaultyFileChangesNothing() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      check(
          client.sendQuery(statement("k1", "post", 900)).readResponse().equals("row:k1"),
          "at first");
      Files.writeString(world.startFilePath, "{\"discovery\":\"nowhere\"}");
      world.router.reload();
      Thread.sleep(200);
      check(world.discoveryCalls.get() == 1, "a faulty file is left alone");
      world.servers.get(0).responseMode = ResponseMode.NO_RESPONSE;
      client.sendQuery(statement("k2", "post", 900));
      Thread.sleep(100);
      world.servers.set(2, world.new DatabaseServer("s-9", false));
      world.moveDiscovery();
      world.router.reload();
      world.router.reload();
      Thread.sleep(400);
      check(
          world.discoveryCalls.get() == 2 && world.discoveryRequest.contains("since=0 "),
          "the whole list: " + world.discoveryRequest);
      check(aborted(client.readResponse()), "what was open is answered");
      world.servers.get(0).responseMode = ResponseMode.ROW;
      world.servers.get(1).responseMode = ResponseMode.ERROR;
      client.sendQuery(statement("k3", "view", 900)).readResponse();
      check(
          client.sendQuery(statement("k4", "view", 900)).readResponse().equals("row:k4"),
          "by the new member");
    }
  }

  /** Found on sockets: every spoilt answer began a hold, and spoilt ones were passed on. */
  @Example
  void aSpoiltAnswerIsNoSignOfALossAndWhatComesBehindAGoodOneIsNeverServed() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      check(
          client.sendQuery(statement("l1", "post", 900)).readResponse().equals("row:l1"),
          "at first");
      LoopbackCluster.DatabaseServer primary = world.servers.get(0);
      primary.ignoresPolls = true;
      for (ResponseMode mode :
          List.of(
              ResponseMode.GARBAGE,
              ResponseMode.WRONG_LENGTH,
              ResponseMode.TWO_RESPONSES,
              ResponseMode.TRAILING_GARBAGE)) {
        primary.responseMode = mode;
        String answer = client.sendQuery(statement("l2", "post", 900)).readResponse();
        check(
            mode.hasValidResponse() ? answer.equals("row:l2") : aborted(answer),
            mode + ": " + answer);
        primary.responseMode = ResponseMode.ROW;
        check(
            client.sendQuery(statement("l3", "post", 900)).readResponse().equals("row:l3"),
            "no hold: " + mode);
      }
    }
  }

  @Example
  void whoSaysNothingOrHalfOfSomethingIsSentAwayAndSoAreTheLongIdleWhereTheyAreMany()
      throws Exception {
    List<Client> many = new ArrayList<>();
    try (LoopbackCluster world = new LoopbackCluster();
        Client used = new Client(world.port);
        Client silent = new Client(world.port);
        Client mute = new Client(world.port);
        Client half = new Client(world.port)) {
      long start = System.nanoTime();
      used.sendStartup().sendQuery("").readResponse();
      mute.sendStartup().readResponse();
      check(half.sendStartup().readResponse().isEmpty(), "the start");
      LoopbackCluster.send(
          half.socket,
          io.netty.buffer.Unpooled.buffer().writeByte('Q').writeInt(90).writeByte('/'));
      check(used.readResponse().equals("I"), "it serves");
      check(silent.readResponse().equals("error:08P01:closed"), "no start");
      check(mute.readResponse().equals("closed"), "no query");
      check(half.readResponse().equals("error:08P01:closed"), "half a query");
      check(System.nanoTime() - start < 3_000_000_000L, "within 3 s");
      String stays = used.sendQuery(statement("m1", "view", 900)).readResponse();
      check(
          stays.equals("row:m1"),
          "few may stay: "
              + stays
              + "; descriptors: "
              + new java.io.File("/proc/self/fd").list().length);
      for (int i = 0; i < 20; i++) {
        many.add(
            new Client(world.port).sendStartup().sendQuery(statement("m2" + i, "view", 1_900)));
      }
      for (Client client : many) {
        check(
            client.readResponse().isEmpty() && !client.readResponse().endsWith("closed"),
            "each asks once");
      }
      Thread.sleep(2_500);
      check(many.get(0).readResponse().equals("closed"), "the longest idle");
    } finally {
      for (Client client : many) {
        client.close();
      }
    }
  }

  @Example
  void badInputCostsItsConnectionAtMost() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster()) {
      int[][] starts = {
        {8, 80877103},
        {8, 80877104},
        {8, 80877102},
        {8, 0x20000},
        {-1, 0},
        {1 << 30, 196608},
        {5, 0}
      };
      String[] told = {
        "N",
        "N",
        "closed",
        "error:0A000:closed",
        "error:08P01:closed",
        "error:54000:closed",
        "error:08P01:closed"
      };
      for (int i = 0; i < starts.length; i++) {
        try (Client client = new Client(world.port)) {
          LoopbackCluster.send(
              client.socket,
              io.netty.buffer.Unpooled.buffer().writeInt(starts[i][0]).writeInt(starts[i][1]));
          String got = told[i].equals("N") ? "" + (char) client.in.read() : client.readResponse();
          check(got.equals(told[i]), "start " + i + " got " + got);
        }
      }
      try (Client client = new Client(world.port)) {
        client.sendStartup().readResponse();
        for (String bad : new String[] {"SELECT 1", "/* id=1 */", statement("1", "nowhere", 5)}) {
          check(
              client.sendQuery(bad).readResponse().equals("error:08P01:"),
              "an error, and the connection lives");
        }
        LoopbackCluster.send(
            client.socket,
            io.netty.buffer.Unpooled.buffer()
                .writeByte('P')
                .writeInt(4)
                .writeByte('B')
                .writeInt(4)
                .writeByte('S')
                .writeInt(4));
        check(client.readResponse().equals("error:0A000:"), "one error up to the next Sync");
        check(
            client.sendQuery(statement("f1", "view", 900)).readResponse().equals("row:f1"),
            "and it serves");
        String large = statement("f2", "view", 900) + " /* " + "z".repeat(140_000) + " */";
        check(client.sendQuery(large).readResponse().equals("row:f2"), "a large one");
        check(
            client.sendQuery("z".repeat(300_000)).readResponse().equals("error:54000:closed"),
            "too large");
      } catch (IOException reset) {
        check(
            reset.getMessage().contains("reset") || reset.getMessage().contains("Broken"),
            "closed on it");
      }
      try (Client client = new Client(world.port)) {
        check(client.sendStartup().readResponse().isEmpty(), "others are served as before");
        check(
            client.sendQuery(statement("f3", "post", 900)).readResponse().equals("row:f3"),
            "in full");
      }
    }
  }

  @Example
  void aClientThatReadsSlowlyGetsAllItsLargeAnswersInOrder() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      world.servers.forEach(node -> node.responseMode = ResponseMode.LARGE);
      for (int i = 0; i < 120; i++) {
        client.sendQuery(statement("h" + i, i % 3 == 0 ? "post" : "view", 1_500));
      }
      Thread.sleep(500);
      int before = world.receivedQueries.size();
      check(before < 120, "it stops taking statements while answers are not read: " + before);
      for (int i = 0; i < 120; i++) {
        String answer = client.readResponse();
        check(
            answer.startsWith("row:h" + i + "-") && answer.length() > 65_536,
            "in its order, whole");
      }
    }
  }

  @Example
  void whereDescriptorsRunOutTheLongestIdleMakeRoom() throws Exception {
    List<Client> many = new ArrayList<>();
    try (LoopbackCluster world = new LoopbackCluster()) {
      for (int i = 0; i < 150; i++) {
        many.add(new Client(world.port).sendStartup());
        check(many.get(i).readResponse().isEmpty(), "admitted: " + i);
      }
      check(
          many.get(0).readResponse().equals("error:53300:250closed"),
          "the longest idle is told to go");
      String answer = many.get(149).sendQuery(statement("i1", "view", 900)).readResponse();
      check(answer.equals("row:i1"), "the latest is served: " + answer);
    } finally {
      for (Client client : many) {
        client.close();
      }
    }
  }

  /**
   * Found on sockets (an incident): a new connection for each statement, all kept by their clients.
   */
  @Example
  void clientsThatAskOnceAndStayAreClosedAsOthersComeAndNoStatementIsLost() throws Exception {
    List<Client> once = new ArrayList<>();
    try (LoopbackCluster world = new LoopbackCluster();
        Client used = new Client(world.port)) {
      check(used.sendStartup().readResponse().isEmpty(), "the start");
      for (int i = 0; i < 90; i++) {
        Client client =
            new Client(world.port).sendStartup().sendQuery(statement("o" + i, "view", 900));
        once.add(client);
        check(
            client.readResponse().isEmpty() && client.readResponse().equals("row:o" + i),
            "each is answered");
        check(
            used.sendQuery(statement("p" + i, "view", 900)).readResponse().equals("row:p" + i),
            "used: kept");
      }
      long start = System.nanoTime();
      check(once.get(20).readResponse().equals("closed"), "the longest idle");
      check(System.nanoTime() - start < 200_000_000L, "at once");
    } finally {
      for (Client client : once) {
        client.close();
      }
    }
  }

  /** Found on sockets (an incident): connections that say nothing pushed out those in use. */
  @Example
  void connectionsThatSayNothingMakeRoomBeforeThoseThatAsked() throws Exception {
    List<Client> silent = new ArrayList<>();
    try (LoopbackCluster world = new LoopbackCluster();
        Client used = new Client(world.port)) {
      check(used.sendStartup().readResponse().isEmpty(), "the start");
      check(used.sendQuery(statement("n1", "view", 900)).readResponse().equals("row:n1"), "in use");
      for (int i = 0; i < 300; i++) {
        silent.add(new Client(world.port));
      }
      check(
          used.sendQuery(statement("n2", "view", 900)).readResponse().equals("row:n2"),
          "still here");
      check(
          silent.get(0).readResponse().equals("error:53300:250closed"),
          "the oldest that said nothing made room");
    } finally {
      for (Client client : silent) {
        client.close();
      }
    }
  }

  @Example
  void aDrainingRouterAnswersAllItTookAndStops() throws Exception {
    LoopbackCluster world = new LoopbackCluster();
    try (Client idle = new Client(world.port);
        Client client = new Client(world.port)) {
      idle.sendStartup().readResponse();
      client.sendStartup().readResponse();
      for (LoopbackCluster.DatabaseServer node : world.servers) {
        node.responseMode = ResponseMode.NO_RESPONSE;
      }
      client.sendQuery(statement("g1", "post", 1_200));
      Thread.sleep(100);
      world.router.drain();
      Thread.sleep(100);
      world.servers.forEach(node -> node.responseMode = ResponseMode.ROW);
      try (Client late = new Client(world.port)) {
        check(
            late.sendStartup().readResponse().isEmpty(),
            "new clients are still served for a while");
        String answer = late.sendQuery(statement("g2", "view", 900)).readResponse();
        check(answer.equals("row:g2"), "in full: " + answer);
      }
      check(idle.readResponse().equals("closed"), "an idle connection is closed");
      check(aborted(client.readResponse()), "what was taken gets its answer");
      long start = System.nanoTime();
      world.router.awaitStop();
      check(System.nanoTime() - start < 2_000_000_000L, "then it stops");
    } finally {
      world.close();
    }
  }

  /**
   * Rules 1 and 2 on sockets: one answer in time each, and no effect twice or behind a rejection.
   */
  @Property(tries = 3, seed = "271", shrinking = ShrinkingMode.OFF)
  void theRulesHoldOnSockets(@ForAll long seed) throws Exception {
    SplittableRandom chance = new SplittableRandom(seed);
    List<String> faults = Collections.synchronizedList(new ArrayList<>());
    try (LoopbackCluster world = new LoopbackCluster()) {
      List<Thread> clients = new ArrayList<>();
      for (int c = 0; c < 12; c++) {
        SplittableRandom own = chance.split();
        String name = Integer.toHexString(0xa0 + c);
        clients.add(
            new Thread(
                () -> {
                  try {
                    converse(world, own, name);
                  } catch (Throwable fault) {
                    faults.add(fault.toString());
                  }
                }));
      }
      clients.forEach(Thread::start);
      for (int step = 0; step < 30; step++) {
        Thread.sleep(50);
        world.servers.get(chance.nextInt(3)).responseMode =
            chance.nextInt(3) > 0
                ? ResponseMode.ROW
                : ResponseMode.values()[chance.nextInt(ResponseMode.values().length)];
        if (chance.nextInt(10) == 0) {
          world.closeWatch();
        }
      }
      for (Thread client : clients) {
        client.join();
      }
    }
    check(faults.isEmpty(), faults.toString());
  }

  private static void converse(LoopbackCluster world, SplittableRandom chance, String name)
      throws IOException {
    Client client = new Client(world.port).sendStartup();
    client.readResponse();
    for (int i = 0; i < 25; i++) {
      String id = name + String.format("%04x", i);
      boolean write = chance.nextInt(3) == 0;
      int wait = chance.nextInt(20, 700);
      long start = System.nanoTime();
      client.sendQuery(statement(id, write ? "post" : "view", wait));
      if (chance.nextInt(12) == 0) {
        client.close();
        client = new Client(world.port).sendStartup();
        client.readResponse();
        continue;
      }
      String answer = client.readResponse();
      check((System.nanoTime() - start) / 1_000_000 < wait + 400, "rule 1: late");
      check(answer.startsWith("row:" + id) || answer.startsWith("error:"), "no answer: " + answer);
      long maybe =
          world.modesByStatement.getOrDefault(id, List.of()).stream()
              .filter(m -> !m.provesNotExecuted())
              .count();
      check(!write || maybe <= 1, "rule 2: run twice");
      check(!write || !rejected(answer) || maybe == 0, "rule 2: rejected what may have run");
    }
    client.close();
  }
}
