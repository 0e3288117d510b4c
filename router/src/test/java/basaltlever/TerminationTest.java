package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.LoopbackCluster.ResponseMode;
import basaltlever.config.InvalidSettingsException;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** What is owed in the instant in which something ends (docs/endings.md), each in its bad order. */
class TerminationTest {
  /** How long a connection may take, with some slack for the threads of this test. */
  private static final long CONNECT_TIMEOUT_WITH_SLACK_MILLIS = 250 + 80;

  private static boolean isRejection(String answer) {
    return answer.startsWith("error:53300");
  }

  /** The router's loop has looked at all that was sent to it before. */
  private static void awaitProcessed(LoopbackCluster cluster) throws IOException {
    try (Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      for (int i = 0; i < 3; i++) {
        client.sendQuery("SET x = 1").readResponse();
      }
    }
  }

  private static void awaitCondition(java.util.function.BooleanSupplier what)
      throws InterruptedException {
    for (int i = 0; i < 400 && !what.getAsBoolean(); i++) {
      Thread.sleep(5);
    }
    check(what.getAsBoolean(), "it never came to it");
  }

  @Example
  void closingWithUnreadBytesDoesNotResetConnection() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().sendQuery(statement("a1", "view", 900));
      check(client.readResponse().isEmpty(), "the start");
      awaitCondition(() -> cluster.modesByStatement.containsKey("a1"));
      awaitProcessed(cluster);
      // A message that is too long, and far more of it than is read at once.
      byte[] much = new byte[400_000];
      much[0] = 'Q';
      much[1] = 0x7f;
      client.sendBytes(much);
      check(client.readResponse().equals("row:a1"), "the answer before it");
      check(client.readResponse().equals("error:54000:closed"), "and the end");
      for (int i = 0; i < 3; i++) {
        // Written to a connection that was reset, the first of these fails or the next one does.
        client.sendBytes(much);
        awaitProcessed(cluster);
      }
    }
  }

  /** The first servers say nothing; what the later ones are told is what is left by then. */
  @Example
  void laterAttemptsSendRemainingTimeToServer() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      for (int i = 0; i < 200; i++) {
        // So that silence is told from what is usual.
        client.sendQuery(statement("warm" + i, "view", 900)).readResponse();
      }
      cluster.servers.forEach(node -> node.statementTimes.clear());
      for (LoopbackCluster.DatabaseServer node : cluster.servers) {
        node.responseMode = node.primary ? ResponseMode.ROW : ResponseMode.NO_RESPONSE;
      }
      int before = cluster.receivedQueries.size();
      long start = System.nanoTime();
      client.sendQuery(statement("dl", "view", 1_500)).readResponse();
      List<Long> arrivals = new ArrayList<>();
      cluster.servers.forEach(node -> arrivals.addAll(node.statementTimes));
      Collections.sort(arrivals);
      List<String> queries =
          List.copyOf(cluster.receivedQueries).subList(before, cluster.receivedQueries.size());
      check(queries.size() > 1 && arrivals.size() == queries.size(), "more than one: " + queries);
      for (int i = 0; i < queries.size(); i++) {
        long told = Long.parseLong(queries.get(i).replaceAll("(?s).*,d=(\\d+),.*", "$1"));
        long passed = (arrivals.get(i) - start) / 1_000_000;
        check(
            told <= 1_500 - passed + 20,
            "execution " + i + " was told " + told + " after " + passed + " ms");
      }
      check(
          (arrivals.get(arrivals.size() - 1) - start) / 1_000_000 > 50, "the last one came later");
    }
  }

  @Example
  void statementReadAfterDrainClosedConnectionIsNotSent() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().sendQuery(statement("b1", "view", 900));
      check(client.readResponse().isEmpty() && client.readResponse().equals("row:b1"), "at first");
      cluster.router.drain();
      check(client.readResponse().equals("closed"), "it ends while its client rests");
      client.sendQuery(statement("b2", "view", 900));
      cluster.router.awaitStop();
      check(!cluster.modesByStatement.containsKey("b2"), "its client sends it again elsewhere");
    }
  }

  /** Above all it must be seen to have gone, though it sent more than anybody reads. */
  @Example
  void pipelinedStatementsOfDisconnectedClientAreNotStarted() throws Exception {
    for (int size : new int[] {20_000, 400_000, 1_500_000}) {
      try (LoopbackCluster cluster = new LoopbackCluster()) {
        try (Client client = new Client(cluster.port)) {
          client.sendStartup().readResponse();
          check(
              client.sendQuery(statement("c0", "post", 900)).readResponse().equals("row:c0"),
              "at first");
          cluster.servers.get(0).kill();
          Thread.sleep(150);
          client.sendQuery(statement("c1", "post", 2_000));
          for (int sent = 0; sent < size; sent += 20_000) {
            client.sendQuery(statement("c2", "post", 2_000) + " /* " + "z".repeat(20_000) + " */");
          }
        }
        awaitProcessed(cluster);
        cluster.servers.set(0, cluster.new DatabaseServer("s-0", true));
        cluster.publishList();
        try (Client other = new Client(cluster.port)) {
          other.sendStartup().readResponse();
          String answer = "";
          for (int i = 0; i < 40 && !answer.equals("row:c3"); i++) {
            answer = other.sendQuery(statement("c3", "post", 900)).readResponse();
          }
          check(answer.equals("row:c3"), "the hold is over: " + answer);
        }
        check(
            !cluster.modesByStatement.containsKey("c1"), "nobody waits for what was held: " + size);
        check(!cluster.modesByStatement.containsKey("c2"), "nor for what came behind it: " + size);
      }
    }
  }

  @Example
  void completeStatementsBeforePipelineLimitAreAnswered() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      check(
          client.sendQuery(statement("d0", "post", 900)).readResponse().equals("row:d0"),
          "at first");
      cluster.servers.get(0).kill();
      Thread.sleep(150);
      client.sendQuery(statement("d1", "post", 1_000));
      Thread sends =
          new Thread(
              () -> {
                try {
                  for (int i = 0; i < 20; i++) {
                    client.sendQuery(
                        statement("d2" + (char) ('a' + i), "view", 1_500)
                            + " /* "
                            + "z".repeat(100_000)
                            + " */");
                  }
                } catch (IOException end) {
                  // Nobody reads on for ever.
                }
              });
      sends.start();
      check(isRejection(client.readResponse()), "the one in hand");
      int rows = 0;
      String answer = client.readResponse();
      for (; answer.startsWith("row:"); answer = client.readResponse()) {
        check(answer.equals("row:d2" + (char) ('a' + rows++)), "in their order: " + answer);
      }
      check(answer.equals("error:53300:closed"), "then what is wrong: " + answer);
      check(
          rows >= 8 && rows < 20 && cluster.modesByStatement.size() == rows + 1,
          "no more than was answered: " + rows);
      sends.join();
    }
  }

  /**
   * Found by reading: the rest of the half went before the next answer, and that one was spoilt.
   */
  @Example
  void partialMessageOnIdleServerConnectionClosesOnlyThatConnection() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      for (int i = 0; i < 3; i++) {
        check(
            client.sendQuery(statement("e" + i, "post", 900)).readResponse().equals("row:e" + i),
            "at first");
        for (Socket socket : new ArrayList<>(cluster.servers.get(0).openSockets)) {
          try {
            socket.getOutputStream().write(new byte[] {'S', 0, 0});
          } catch (IOException closed) {
            // One that was ended already.
          }
        }
        awaitProcessed(cluster);
        String answer = client.sendQuery(statement("f" + i, "post", 900)).readResponse();
        check(answer.equals("row:f" + i), "on another connection: " + answer);
      }
    }
  }

  /**
   * Where executions may not be called off, and its connection comes up after its client has gone.
   */
  @Example
  void attemptAwaitingConnectionIsNotSentAfterClientDisconnects() throws Exception {
    for (String cancel : new String[] {"true", "false"}) {
      try (LoopbackCluster cluster = new LoopbackCluster(false)) {
        cluster.writeStartFile(
            text ->
                text.replace("\"Cancel\":true", "\"Cancel\":" + cancel)
                    .replace("\"MayProbe\":true", "\"MayProbe\":false"));
        cluster.router.start(cluster.startFilePath, null);
        try (Client client = new Client(cluster.port)) {
          client.sendStartup().readResponse();
          CountDownLatch welcomes = new CountDownLatch(1);
          int before = 0;
          for (LoopbackCluster.DatabaseServer node : cluster.servers) {
            before += node.startupCount.get();
            node.startupGate = welcomes;
            for (Socket socket : new ArrayList<>(node.openSockets)) {
              socket.close();
            }
          }
          awaitProcessed(cluster);
          client.sendQuery(statement("g1", "view", 900));
          int connects = before;
          awaitCondition(
              () ->
                  cluster.servers.stream().mapToInt(node -> node.startupCount.get()).sum()
                      > connects);
          client.close();
          awaitProcessed(cluster);
          welcomes.countDown();
          Thread.sleep(120);
          check(!cluster.modesByStatement.containsKey("g1"), "cancel " + cancel);
        } finally {
          cluster.servers.forEach(node -> node.startupGate = null);
        }
      }
    }
  }

  @Example
  void connectionAcceptedDuringDrainIsServedOneStatement() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client idle = new Client(cluster.port)) {
      idle.sendStartup().sendQuery("").readResponse();
      check(idle.readResponse().equals("I"), "it rests");
      cluster.router.drain();
      Thread.sleep(420);
      try (Client late = new Client(cluster.port)) {
        late.sendStartup().readResponse();
        check(idle.readResponse().equals("closed"), "the listener is closed by now");
        check(
            late.sendQuery(statement("h1", "view", 900)).readResponse().equals("row:h1"),
            "its first statement");
        check(late.readResponse().equals("closed"), "and no more");
      }
    }
  }

  @Example
  void drainAnswersAllReadStatementsBeforeClosing() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      cluster.servers.forEach(node -> node.responseMode = ResponseMode.NO_RESPONSE);
      for (int i = 0; i < 5; i++) {
        client.sendQuery(statement("i" + i, "post", 60_000));
      }
      awaitProcessed(cluster);
      long since = System.nanoTime();
      cluster.router.drain();
      for (int i = 0; i < 5; i++) {
        String answer = client.readResponse();
        check(
            i == 0 ? answer.startsWith("error:") && !isRejection(answer) : isRejection(answer),
            i + ": " + answer);
      }
      check(System.nanoTime() - since < 2_700_000_000L, "before it may be killed");
      check(client.readResponse().equals("closed"), "by no reset");
      cluster.router.drain();
      cluster.router.awaitStop();
    }
  }

  /**
   * A signal to end finds a process that could not listen: nobody would ever tell it that all is
   * answered.
   */
  @Example
  void routerThatFailedToBindStopsImmediatelyOnDrain() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster(false);
        ServerSocket taken = LoopbackCluster.listen(cluster.port)) {
      try {
        cluster.router.start(cluster.startFilePath, null);
        check(false, "its address is taken");
      } catch (InvalidSettingsException fault) {
        check(fault.getMessage().contains("can't be bound"), fault.getMessage());
      }
      Thread ends =
          new Thread(
              () -> {
                cluster.router.drain();
                try {
                  cluster.router.awaitStop();
                } catch (InterruptedException given) {
                  Thread.currentThread().interrupt();
                }
              });
      ends.setDaemon(true);
      ends.start();
      ends.join(2_000);
      check(!ends.isAlive(), "nothing is owed to anybody");
      check(!taken.isClosed(), "and the address was taken all the while");
    }
  }

  private static void reloadWorkloads(LoopbackCluster cluster, String classes, String needs)
      throws Exception {
    cluster.writeStartFile(
        text ->
            text.replaceAll("(?s)\"Classes\":.*?\\}\\]", "\"Classes\":[" + classes + "]")
                .replace("[\"bounded\",\"write\"]", needs)
                .replace("[500000,0]", "[500000,500000]"));
    cluster.router.reload();
    awaitProcessed(cluster);
  }

  private static String workloadJson(String name, String repeat, double late) {
    return "{\"Name\":\""
        + name
        + "\",\"Repeat\":\""
        + repeat
        + "\",\"Slo\":400000,\"HardLimit\":2000000,"
        + "\"Worth\":1.0,\"LateWorth\":"
        + late
        + "}";
  }

  /** A write that is out while settings give its name to a read, and take another's away. */
  @Example
  void openStatementKeepsItsWorkloadAfterSettingsReplaceWorkloads() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client out = new Client(cluster.port);
        Client other = new Client(cluster.port)) {
      out.sendStartup().readResponse();
      other.sendStartup().readResponse();
      cluster.servers.get(0).responseMode = ResponseMode.NO_RESPONSE;
      out.sendQuery(statement("j1", "post", 1_200));
      awaitCondition(() -> cluster.modesByStatement.containsKey("j1"));
      reloadWorkloads(
          cluster,
          workloadJson("pay", "at_most_once", 0.9) + "," + workloadJson("post", "idempotent", 0),
          "[\"write\",\"bounded\"]");
      check(
          other.sendQuery(statement("j2", "view", 900)).readResponse().equals("error:08P01:"),
          "a name that has gone");
      check(
          other.sendQuery(statement("j3", "post", 900)).readResponse().equals("row:j3"),
          "a read by now");
      String answer = out.readResponse();
      check(
          answer.startsWith("error:58000"),
          "a write when it was taken, and it may have run: " + answer);
      check(cluster.modesByStatement.get("j1").size() == 1, "and ran once");
    }
  }

  @Example
  void heldStatementOfRemovedWorkloadIsReleased() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client held = new Client(cluster.port);
        Client other = new Client(cluster.port)) {
      held.sendStartup().readResponse();
      other.sendStartup().readResponse();
      reloadWorkloads(
          cluster,
          workloadJson("pay", "at_most_once", 0.9) + "," + workloadJson("view", "idempotent", 0),
          "[\"write\",\"bounded\"]");
      check(
          held.sendQuery(statement("j3", "pay", 900)).readResponse().equals("row:j3"), "at first");
      cluster.servers.get(0).kill();
      Thread.sleep(150);
      held.sendQuery(statement("j4", "pay", 1_900));
      awaitProcessed(cluster);
      reloadWorkloads(
          cluster,
          workloadJson("post", "at_most_once", 0.5) + "," + workloadJson("view", "idempotent", 0),
          "[\"write\",\"bounded\"]");
      check(
          other.sendQuery(statement("j5", "pay", 900)).readResponse().equals("error:08P01:"),
          "gone by now");
      check(
          other.sendQuery(statement("j6", "view", 900)).readResponse().equals("row:j6"),
          "the others as ever");
      cluster.servers.set(0, cluster.new DatabaseServer("s-0", true));
      cluster.publishList();
      String answer = held.readResponse();
      check(
          answer.equals("row:j4") && cluster.modesByStatement.get("j4").size() == 1,
          "released: " + answer);
      check(
          other.sendQuery(statement("j7", "post", 900)).readResponse().equals("row:j7"),
          "its successor");
    }
  }

  @Example
  void settingsWithDuplicateOrTooManyWorkloadsAreRejected() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      reloadWorkloads(
          cluster,
          workloadJson("list", "idempotent", 0) + "," + workloadJson("list", "idempotent", 0),
          "[\"bounded\",\"any\"]");
      check(
          client.sendQuery(statement("n1", "list", 900)).readResponse().equals("error:08P01:"),
          "refused whole");
      for (int round = 0; round < 3; round++) {
        StringBuilder many = new StringBuilder(workloadJson("view", "idempotent", 0));
        StringBuilder needs = new StringBuilder("[\"any\"");
        for (int i = 1; i < 120; i++) {
          many.append(',').append(workloadJson("kind" + round + "x" + i, "idempotent", 0));
          needs.append(",\"any\"");
        }
        reloadWorkloads(cluster, many.toString(), needs.append(']').toString());
        String answer =
            client.sendQuery(statement("o" + round, "kind" + round + "x7", 900)).readResponse();
        check(answer.equals(round < 2 ? "row:o" + round : "error:08P01:"), round + ": " + answer);
      }
      check(
          client.sendQuery(statement("p1", "kind1x7", 900)).readResponse().equals("row:p1"),
          "the last ones hold");
    }
  }

  @Example
  void endlessResponseEndsStatementAtItsDeadline() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port);
        Client other = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      other.sendStartup().readResponse();
      cluster.servers.get(0).responseMode = ResponseMode.ENDLESS_PARAMETERS;
      long since = System.nanoTime();
      client.sendQuery(statement("k1", "post", 600));
      awaitCondition(() -> cluster.modesByStatement.containsKey("k1"));
      check(
          other.sendQuery(statement("k2", "view", 500)).readResponse().equals("row:k2"),
          "others go on meanwhile");
      check(client.readResponse().startsWith("error:58000"), "it may have run");
      check(System.nanoTime() - since < 900_000_000L, "in its time");
      cluster.servers.get(0).responseMode = ResponseMode.ROW;
      String next = "";
      for (int i = 0; i < 60 && !next.equals("row:k3"); i++) {
        next = client.sendQuery(statement("k3", "post", 900)).readResponse();
      }
      check(next.equals("row:k3"), "on another connection: " + next);
    }
  }

  /**
   * Its end might never come: a second row is one too many, and so is what no row could take up.
   */
  @Example
  void responseThatCannotBecomeValidEndsAttemptBeforeDeadline() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster();
        Client client = new Client(cluster.port)) {
      client.sendStartup().readResponse();
      for (ResponseMode mode :
          List.of(ResponseMode.ENDLESS_ROWS, ResponseMode.ENDLESS_PARAMETERS)) {
        cluster.servers.get(0).responseMode = mode;
        long since = System.nanoTime();
        check(
            client
                .sendQuery(statement("m" + mode, "post", 7_000))
                .readResponse()
                .startsWith("error:58000"),
            "it may have run");
        check(System.nanoTime() - since < 5_000_000_000L, "long before its time: " + mode);
        cluster.servers.get(0).responseMode = ResponseMode.ROW;
      }
    }
  }

  @Example
  void statementBeyondMaxOpenIsRejectedImmediately() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster(false)) {
      cluster.writeStartFile(text -> text.replace("\"MaxOpen\":500", "\"MaxOpen\":2"));
      cluster.router.start(cluster.startFilePath, null);
      cluster.servers.forEach(node -> node.responseMode = ResponseMode.NO_RESPONSE);
      List<Client> clients = new ArrayList<>();
      try {
        for (int i = 0; i < 3; i++) {
          Client client = new Client(cluster.port).sendStartup();
          clients.add(client);
          client.readResponse();
        }
        for (int i = 0; i < 2; i++) {
          String id = "l" + i;
          clients.get(i).sendQuery(statement(id, "post", 700));
          awaitProcessed(cluster);
        }
        long since = System.nanoTime();
        check(
            isRejection(clients.get(2).sendQuery(statement("l2", "post", 700)).readResponse()),
            "turned away");
        check(System.nanoTime() - since < 400_000_000L, "at once");
        for (int i = 0; i < 2; i++) {
          check(clients.get(i).readResponse().startsWith("error:"), "one end each");
        }
        cluster.servers.forEach(node -> node.responseMode = ResponseMode.ROW);
        check(
            clients
                .get(2)
                .sendQuery(statement("l3", "view", 900))
                .readResponse()
                .startsWith("row:l3"),
            "room again");
      } finally {
        for (Client client : clients) {
          client.close();
        }
      }
    }
  }

  /** Rule 1 at the rare moments: who has gone is owed nothing, and nothing begins for it. */
  @Property(tries = 3, seed = "34", shrinking = ShrinkingMode.OFF)
  void noAttemptStartsAfterClientDisconnects(@ForAll long seed) throws Exception {
    SplittableRandom chance = new SplittableRandom(seed);
    List<String> faults = Collections.synchronizedList(new ArrayList<>());
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      List<Thread> clients = new ArrayList<>();
      for (int c = 0; c < 10; c++) {
        SplittableRandom own = chance.split();
        String name = Integer.toHexString(0xa0 + c);
        clients.add(
            new Thread(
                () -> {
                  try {
                    for (int i = 0; i < 12; i++) {
                      sendAndDisconnect(cluster, own, name + String.format("%04x", i), faults);
                    }
                  } catch (Throwable fault) {
                    faults.add("" + fault);
                  }
                }));
      }
      clients.forEach(Thread::start);
      for (int step = 0; step < 25; step++) {
        Thread.sleep(50);
        LoopbackCluster.DatabaseServer node = cluster.servers.get(chance.nextInt(3));
        node.responseMode =
            chance.nextInt(3) > 0
                ? ResponseMode.ROW
                : List.of(
                        ResponseMode.NO_RESPONSE,
                        ResponseMode.DISCONNECT,
                        ResponseMode.FULL,
                        ResponseMode.TRUNCATED,
                        ResponseMode.ERROR)
                    .get(chance.nextInt(5));
        for (Socket socket :
            chance.nextInt(4) == 0 ? new ArrayList<>(node.openSockets) : List.<Socket>of()) {
          socket.close();
        }
      }
      for (Thread client : clients) {
        client.join();
      }
    }
    check(faults.isEmpty(), faults.toString());
  }

  /**
   * Rule 3: what waits for a connection, for room or for another try while its member begins to
   * drain.
   */
  @Property(tries = 3, seed = "343", shrinking = ShrinkingMode.OFF)
  void drainingServerReceivesNoNewStatements(@ForAll long seed) throws Exception {
    SplittableRandom chance = new SplittableRandom(seed);
    List<String> faults = Collections.synchronizedList(new ArrayList<>());
    AtomicBoolean over = new AtomicBoolean();
    int drainedGot = 0;
    int inUse = 0;
    try (LoopbackCluster cluster = new LoopbackCluster()) {
      List<Thread> clients = new ArrayList<>();
      for (int c = 0; c < 8; c++) {
        SplittableRandom own = chance.split();
        String name = Integer.toHexString(0xa0 + c);
        clients.add(
            new Thread(
                () -> {
                  try (Client client = new Client(cluster.port)) {
                    client.sendStartup().readResponse();
                    for (int i = 0; !over.get(); i++) {
                      String id = name + String.format("%04x", i);
                      String answer =
                          client
                              .sendQuery(
                                  statement(
                                      id,
                                      own.nextInt(4) == 0 ? "post" : "view",
                                      200 + own.nextInt(700)))
                              .readResponse();
                      if (!answer.startsWith("row:" + id) && !answer.startsWith("error:")) {
                        faults.add(id + " got " + answer);
                      }
                      Thread.sleep(own.nextInt(8));
                    }
                  } catch (Throwable fault) {
                    faults.add("" + fault);
                  }
                }));
      }
      clients.forEach(Thread::start);
      for (int round = 0; round < 6; round++) {
        // The primary, or whichever replica is in use just now: where one bears all, the other may
        // get nothing.
        LoopbackCluster.DatabaseServer node =
            chance.nextInt(3) == 0
                ? cluster.servers.get(0)
                : Collections.max(
                    cluster.servers.subList(1, 3),
                    Comparator.comparingLong(
                        of -> of.statementTimes.stream().mapToLong(at -> at).max().orElse(0)));
        long since = System.nanoTime() - 150_000_000L;
        inUse += node.statementTimes.stream().anyMatch(at -> at > since) ? 1 : 0;
        CountDownLatch comesUp = new CountDownLatch(1);
        node.startupGate = comesUp;
        for (Socket socket : new ArrayList<>(node.openSockets)) {
          socket.close();
        }
        node.responseMode =
            List.of(ResponseMode.ROW, ResponseMode.FULL, ResponseMode.ERROR).get(chance.nextInt(3));
        Thread.sleep(chance.nextInt(80));
        node.listedLifecycle = "terminating";
        cluster.publishList();
        long told = System.nanoTime();
        Thread.sleep(chance.nextInt(160));
        node.startupGate = null;
        comesUp.countDown();
        Thread.sleep(500);
        drainedGot += (int) node.statementTimes.stream().filter(at -> at > told).count();
        node.statementTimes.stream()
            .filter(at -> at - told > CONNECT_TIMEOUT_WITH_SLACK_MILLIS * 1_000_000L)
            .forEach(
                at ->
                    faults.add(
                        node.id
                            + " got one "
                            + (at - told) / 1_000_000
                            + " ms after it was told to drain"));
        node.responseMode = ResponseMode.ROW;
        node.listedLifecycle = "in_service";
        cluster.publishList();
        Thread.sleep(150);
      }
      over.set(true);
      for (Thread client : clients) {
        client.join();
      }
      check(inUse >= 3, "in use when it began to drain: " + inUse + " of 6");
    }
    check(faults.isEmpty(), faults + ", " + drainedGot + " in their grace");
  }

  private static void sendAndDisconnect(
      LoopbackCluster cluster, SplittableRandom chance, String id, List<String> faults)
      throws Exception {
    long left;
    try (Client client = new Client(cluster.port)) {
      client.sendStartup();
      int many = 1 + chance.nextInt(4);
      for (int i = 0; i < many; i++) {
        client.sendQuery(
            statement(id + (char) ('a' + i), chance.nextBoolean() ? "post" : "view", 1_500));
      }
      Thread.sleep(chance.nextInt(30));
      left = System.nanoTime();
    }
    Thread.sleep(150);
    for (char i = 'a'; i < 'e'; i++) {
      long seen = cluster.lastReceivedAt.getOrDefault(id + i, left);
      if (seen - left > 100_000_000L) {
        faults.add(
            id + i + " began " + (seen - left) / 1_000_000 + " ms after its client had gone");
      }
    }
  }
}
