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

  private static boolean isRejection(String response) {
    return response.startsWith("error:53300");
  }

  /** The router's loop has looked at all that was sent to it before. */
  private static void awaitProcessed(LoopbackCluster world) throws IOException {
    try (Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      for (int i = 0; i < 3; i++) {
        client.sendQuery("SET x = 1").readResponse();
      }
    }
  }

  private static void awaitCondition(java.util.function.BooleanSupplier condition)
      throws InterruptedException {
    for (int i = 0; i < 400 && !condition.getAsBoolean(); i++) {
      Thread.sleep(5);
    }
    check(condition.getAsBoolean(), "it never came to it");
  }

  @Example
  void closingWithUnreadBytesDoesNotResetConnection() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().sendQuery(statement("a1", "view", 900));
      check(client.readResponse().isEmpty(), "the start");
      awaitCondition(() -> world.modesByStatement.containsKey("a1"));
      awaitProcessed(world);
      // A message that is too long, and far more of it than is read at once.
      byte[] oversizedMessage = new byte[400_000];
      oversizedMessage[0] = 'Q';
      oversizedMessage[1] = 0x7f;
      client.sendBytes(oversizedMessage);
      check(client.readResponse().equals("row:a1"), "the answer before it");
      check(client.readResponse().equals("error:54000:closed"), "and the end");
      for (int i = 0; i < 3; i++) {
        // Written to a connection that was reset, the first of these fails or the next one does.
        client.sendBytes(oversizedMessage);
        awaitProcessed(world);
      }
    }
  }

  /** The first servers say nothing; what the later ones are told is what is left by then. */
  @Example
  void laterAttemptsSendRemainingTimeToServer() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      for (int i = 0; i < 200; i++) {
        // So that silence is told from what is usual.
        client.sendQuery(statement("warm" + i, "view", 900)).readResponse();
      }
      world.servers.forEach(server -> server.statementTimes.clear());
      for (LoopbackCluster.DatabaseServer server : world.servers) {
        server.responseMode = server.primary ? ResponseMode.ROW : ResponseMode.NO_RESPONSE;
      }
      int queriesBefore = world.receivedQueries.size();
      long startNanos = System.nanoTime();
      client.sendQuery(statement("dl", "view", 1_500)).readResponse();
      List<Long> arrivals = new ArrayList<>();
      world.servers.forEach(server -> arrivals.addAll(server.statementTimes));
      Collections.sort(arrivals);
      List<String> queries =
          List.copyOf(world.receivedQueries).subList(queriesBefore, world.receivedQueries.size());
      check(queries.size() > 1 && arrivals.size() == queries.size(), "more than one: " + queries);
      for (int i = 0; i < queries.size(); i++) {
        long remainingMillis =
            Long.parseLong(queries.get(i).replaceAll("(?s).*,d=(\\d+),.*", "$1"));
        long elapsedMillis = (arrivals.get(i) - startNanos) / 1_000_000;
        check(
            remainingMillis <= 1_500 - elapsedMillis + 20,
            "execution " + i + " was told " + remainingMillis + " after " + elapsedMillis + " ms");
      }
      check(
          (arrivals.get(arrivals.size() - 1) - startNanos) / 1_000_000 > 50,
          "the last one came later");
    }
  }

  @Example
  void statementReadAfterDrainClosedConnectionIsNotSent() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().sendQuery(statement("b1", "view", 900));
      check(client.readResponse().isEmpty() && client.readResponse().equals("row:b1"), "at first");
      world.router.drain();
      check(client.readResponse().equals("closed"), "it ends while its client rests");
      client.sendQuery(statement("b2", "view", 900));
      world.router.awaitStop();
      check(!world.modesByStatement.containsKey("b2"), "its client sends it again elsewhere");
    }
  }

  /** Above all it must be seen to have gone, though it sent more than anybody reads. */
  @Example
  void pipelinedStatementsOfDisconnectedClientAreNotStarted() throws Exception {
    for (int size : new int[] {20_000, 400_000, 1_500_000}) {
      try (LoopbackCluster world = new LoopbackCluster()) {
        try (Client client = new Client(world.port)) {
          client.sendStartup().readResponse();
          check(
              client.sendQuery(statement("c0", "post", 900)).readResponse().equals("row:c0"),
              "at first");
          world.servers.get(0).kill();
          Thread.sleep(150);
          client.sendQuery(statement("c1", "post", 2_000));
          for (int sentBytes = 0; sentBytes < size; sentBytes += 20_000) {
            client.sendQuery(statement("c2", "post", 2_000) + " /* " + "z".repeat(20_000) + " */");
          }
        }
        awaitProcessed(world);
        world.servers.set(0, world.new DatabaseServer("s-0", true));
        world.publishList();
        try (Client other = new Client(world.port)) {
          other.sendStartup().readResponse();
          String answer = "";
          for (int i = 0; i < 40 && !answer.equals("row:c3"); i++) {
            answer = other.sendQuery(statement("c3", "post", 900)).readResponse();
          }
          check(answer.equals("row:c3"), "the hold is over: " + answer);
        }
        check(!world.modesByStatement.containsKey("c1"), "nobody waits for what was held: " + size);
        check(!world.modesByStatement.containsKey("c2"), "nor for what came behind it: " + size);
      }
    }
  }

  @Example
  void completeStatementsBeforePipelineLimitAreAnswered() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      check(
          client.sendQuery(statement("d0", "post", 900)).readResponse().equals("row:d0"),
          "at first");
      world.servers.get(0).kill();
      Thread.sleep(150);
      client.sendQuery(statement("d1", "post", 1_000));
      Thread sender =
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
                } catch (IOException closed) {
                  // Nobody reads on for ever.
                }
              });
      sender.start();
      check(isRejection(client.readResponse()), "the one in hand");
      int rows = 0;
      String answer = client.readResponse();
      for (; answer.startsWith("row:"); answer = client.readResponse()) {
        check(answer.equals("row:d2" + (char) ('a' + rows++)), "in their order: " + answer);
      }
      check(answer.equals("error:53300:closed"), "then what is wrong: " + answer);
      check(
          rows >= 8 && rows < 20 && world.modesByStatement.size() == rows + 1,
          "no more than was answered: " + rows);
      sender.join();
    }
  }

  /**
   * Found by reading: the rest of the half went before the next answer, and that one was spoilt.
   */
  @Example
  void partialMessageOnIdleServerConnectionClosesOnlyThatConnection() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      for (int i = 0; i < 3; i++) {
        check(
            client.sendQuery(statement("e" + i, "post", 900)).readResponse().equals("row:e" + i),
            "at first");
        for (Socket socket : new ArrayList<>(world.servers.get(0).openSockets)) {
          try {
            socket.getOutputStream().write(new byte[] {'S', 0, 0});
          } catch (IOException closed) {
            // One that was ended already.
          }
        }
        awaitProcessed(world);
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
      try (LoopbackCluster world = new LoopbackCluster(false)) {
        world.writeStartFile(
            text ->
                text.replace("\"Cancel\":true", "\"Cancel\":" + cancel)
                    .replace("\"MayProbe\":true", "\"MayProbe\":false"));
        world.router.start(world.startFilePath, null);
        try (Client client = new Client(world.port)) {
          client.sendStartup().readResponse();
          CountDownLatch startupGate = new CountDownLatch(1);
          int startupSum = 0;
          for (LoopbackCluster.DatabaseServer server : world.servers) {
            startupSum += server.startupCount.get();
            server.startupGate = startupGate;
            for (Socket socket : new ArrayList<>(server.openSockets)) {
              socket.close();
            }
          }
          awaitProcessed(world);
          client.sendQuery(statement("g1", "view", 900));
          int startupsBefore = startupSum;
          awaitCondition(
              () ->
                  world.servers.stream().mapToInt(server -> server.startupCount.get()).sum()
                      > startupsBefore);
          client.close();
          awaitProcessed(world);
          startupGate.countDown();
          Thread.sleep(120);
          check(!world.modesByStatement.containsKey("g1"), "cancel " + cancel);
        } finally {
          world.servers.forEach(server -> server.startupGate = null);
        }
      }
    }
  }

  @Example
  void connectionAcceptedDuringDrainIsServedOneStatement() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client idle = new Client(world.port)) {
      idle.sendStartup().sendQuery("").readResponse();
      check(idle.readResponse().equals("I"), "it rests");
      world.router.drain();
      Thread.sleep(420);
      try (Client late = new Client(world.port)) {
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
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      world.servers.forEach(server -> server.responseMode = ResponseMode.NO_RESPONSE);
      for (int i = 0; i < 5; i++) {
        client.sendQuery(statement("i" + i, "post", 60_000));
      }
      awaitProcessed(world);
      long startNanos = System.nanoTime();
      world.router.drain();
      for (int i = 0; i < 5; i++) {
        String answer = client.readResponse();
        check(
            i == 0 ? answer.startsWith("error:") && !isRejection(answer) : isRejection(answer),
            i + ": " + answer);
      }
      check(System.nanoTime() - startNanos < 2_700_000_000L, "before it may be killed");
      check(client.readResponse().equals("closed"), "by no reset");
      world.router.drain();
      world.router.awaitStop();
    }
  }

  /**
   * A signal to end finds a process that could not listen: nobody would ever tell it that all is
   * answered.
   */
  @Example
  void routerThatFailedToBindStopsImmediatelyOnDrain() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster(false);
        ServerSocket boundListener = LoopbackCluster.listen(world.port)) {
      try {
        world.router.start(world.startFilePath, null);
        check(false, "its address is taken");
      } catch (InvalidSettingsException fault) {
        check(fault.getMessage().contains("can't be bound"), fault.getMessage());
      }
      Thread stopThread =
          new Thread(
              () -> {
                world.router.drain();
                try {
                  world.router.awaitStop();
                } catch (InterruptedException interrupted) {
                  Thread.currentThread().interrupt();
                }
              });
      stopThread.setDaemon(true);
      stopThread.start();
      stopThread.join(2_000);
      check(!stopThread.isAlive(), "nothing is owed to anybody");
      check(!boundListener.isClosed(), "and the address was taken all the while");
    }
  }

  private static void reloadWorkloads(LoopbackCluster world, String classes, String consistencies)
      throws Exception {
    world.writeStartFile(
        text ->
            text.replaceAll("(?s)\"Classes\":.*?\\}\\]", "\"Classes\":[" + classes + "]")
                .replace("[\"bounded\",\"write\"]", consistencies)
                .replace("[500000,0]", "[500000,500000]"));
    world.router.reload();
    awaitProcessed(world);
  }

  private static String workloadJson(String name, String repeat, double lateWorth) {
    return "{\"Name\":\""
        + name
        + "\",\"Repeat\":\""
        + repeat
        + "\",\"Slo\":400000,\"HardLimit\":2000000,"
        + "\"Worth\":1.0,\"LateWorth\":"
        + lateWorth
        + "}";
  }

  /** A write that is out while settings give its name to a read, and take another's away. */
  @Example
  void openStatementKeepsItsWorkloadAfterSettingsReplaceWorkloads() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client writer = new Client(world.port);
        Client other = new Client(world.port)) {
      writer.sendStartup().readResponse();
      other.sendStartup().readResponse();
      world.servers.get(0).responseMode = ResponseMode.NO_RESPONSE;
      writer.sendQuery(statement("j1", "post", 1_200));
      awaitCondition(() -> world.modesByStatement.containsKey("j1"));
      reloadWorkloads(
          world,
          workloadJson("pay", "at_most_once", 0.9) + "," + workloadJson("post", "idempotent", 0),
          "[\"write\",\"bounded\"]");
      check(
          other.sendQuery(statement("j2", "view", 900)).readResponse().equals("error:08P01:"),
          "a name that has gone");
      check(
          other.sendQuery(statement("j3", "post", 900)).readResponse().equals("row:j3"),
          "a read by now");
      String answer = writer.readResponse();
      check(
          answer.startsWith("error:58000"),
          "a write when it was taken, and it may have run: " + answer);
      check(world.modesByStatement.get("j1").size() == 1, "and ran once");
    }
  }

  @Example
  void heldStatementOfRemovedWorkloadIsReleased() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client writer = new Client(world.port);
        Client other = new Client(world.port)) {
      writer.sendStartup().readResponse();
      other.sendStartup().readResponse();
      reloadWorkloads(
          world,
          workloadJson("pay", "at_most_once", 0.9) + "," + workloadJson("view", "idempotent", 0),
          "[\"write\",\"bounded\"]");
      check(
          writer.sendQuery(statement("j3", "pay", 900)).readResponse().equals("row:j3"),
          "at first");
      world.servers.get(0).kill();
      Thread.sleep(150);
      writer.sendQuery(statement("j4", "pay", 1_900));
      awaitProcessed(world);
      reloadWorkloads(
          world,
          workloadJson("post", "at_most_once", 0.5) + "," + workloadJson("view", "idempotent", 0),
          "[\"write\",\"bounded\"]");
      check(
          other.sendQuery(statement("j5", "pay", 900)).readResponse().equals("error:08P01:"),
          "gone by now");
      check(
          other.sendQuery(statement("j6", "view", 900)).readResponse().equals("row:j6"),
          "the others as ever");
      world.servers.set(0, world.new DatabaseServer("s-0", true));
      world.publishList();
      String answer = writer.readResponse();
      check(
          answer.equals("row:j4") && world.modesByStatement.get("j4").size() == 1,
          "released: " + answer);
      check(
          other.sendQuery(statement("j7", "post", 900)).readResponse().equals("row:j7"),
          "its successor");
    }
  }

  @Example
  void settingsWithDuplicateOrTooManyWorkloadsAreRejected() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      reloadWorkloads(
          world,
          workloadJson("list", "idempotent", 0) + "," + workloadJson("list", "idempotent", 0),
          "[\"bounded\",\"any\"]");
      check(
          client.sendQuery(statement("n1", "list", 900)).readResponse().equals("error:08P01:"),
          "refused whole");
      for (int round = 0; round < 3; round++) {
        StringBuilder workloads = new StringBuilder(workloadJson("view", "idempotent", 0));
        StringBuilder consistencies = new StringBuilder("[\"any\"");
        for (int i = 1; i < 120; i++) {
          workloads.append(',').append(workloadJson("kind" + round + "x" + i, "idempotent", 0));
          consistencies.append(",\"any\"");
        }
        reloadWorkloads(world, workloads.toString(), consistencies.append(']').toString());
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
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port);
        Client other = new Client(world.port)) {
      client.sendStartup().readResponse();
      other.sendStartup().readResponse();
      world.servers.get(0).responseMode = ResponseMode.ENDLESS_PARAMETERS;
      long startNanos = System.nanoTime();
      client.sendQuery(statement("k1", "post", 600));
      awaitCondition(() -> world.modesByStatement.containsKey("k1"));
      check(
          other.sendQuery(statement("k2", "view", 500)).readResponse().equals("row:k2"),
          "others go on meanwhile");
      check(client.readResponse().startsWith("error:58000"), "it may have run");
      check(System.nanoTime() - startNanos < 900_000_000L, "in its time");
      world.servers.get(0).responseMode = ResponseMode.ROW;
      String answer = "";
      for (int i = 0; i < 60 && !answer.equals("row:k3"); i++) {
        answer = client.sendQuery(statement("k3", "post", 900)).readResponse();
      }
      check(answer.equals("row:k3"), "on another connection: " + answer);
    }
  }

  /**
   * Its end might never come: a second row is one too many, and so is what no row could take up.
   */
  @Example
  void responseThatCannotBecomeValidEndsAttemptBeforeDeadline() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster();
        Client client = new Client(world.port)) {
      client.sendStartup().readResponse();
      for (ResponseMode mode :
          List.of(ResponseMode.ENDLESS_ROWS, ResponseMode.ENDLESS_PARAMETERS)) {
        world.servers.get(0).responseMode = mode;
        long startNanos = System.nanoTime();
        check(
            client
                .sendQuery(statement("m" + mode, "post", 7_000))
                .readResponse()
                .startsWith("error:58000"),
            "it may have run");
        check(System.nanoTime() - startNanos < 5_000_000_000L, "long before its time: " + mode);
        world.servers.get(0).responseMode = ResponseMode.ROW;
      }
    }
  }

  @Example
  void statementBeyondMaxOpenIsRejectedImmediately() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      world.writeStartFile(text -> text.replace("\"MaxOpen\":500", "\"MaxOpen\":2"));
      world.router.start(world.startFilePath, null);
      world.servers.forEach(server -> server.responseMode = ResponseMode.NO_RESPONSE);
      List<Client> clients = new ArrayList<>();
      try {
        for (int i = 0; i < 3; i++) {
          Client client = new Client(world.port).sendStartup();
          clients.add(client);
          client.readResponse();
        }
        for (int i = 0; i < 2; i++) {
          String id = "l" + i;
          clients.get(i).sendQuery(statement(id, "post", 700));
          awaitProcessed(world);
        }
        long startNanos = System.nanoTime();
        check(
            isRejection(clients.get(2).sendQuery(statement("l2", "post", 700)).readResponse()),
            "turned away");
        check(System.nanoTime() - startNanos < 400_000_000L, "at once");
        for (int i = 0; i < 2; i++) {
          check(clients.get(i).readResponse().startsWith("error:"), "one end each");
        }
        world.servers.forEach(server -> server.responseMode = ResponseMode.ROW);
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
    SplittableRandom random = new SplittableRandom(seed);
    List<String> faults = Collections.synchronizedList(new ArrayList<>());
    try (LoopbackCluster world = new LoopbackCluster()) {
      List<Thread> clients = new ArrayList<>();
      for (int c = 0; c < 10; c++) {
        SplittableRandom clientRandom = random.split();
        String name = Integer.toHexString(0xa0 + c);
        clients.add(
            new Thread(
                () -> {
                  try {
                    for (int i = 0; i < 12; i++) {
                      sendAndDisconnect(
                          world, clientRandom, name + String.format("%04x", i), faults);
                    }
                  } catch (Throwable fault) {
                    faults.add("" + fault);
                  }
                }));
      }
      clients.forEach(Thread::start);
      for (int step = 0; step < 25; step++) {
        Thread.sleep(50);
        LoopbackCluster.DatabaseServer server = world.servers.get(random.nextInt(3));
        server.responseMode =
            random.nextInt(3) > 0
                ? ResponseMode.ROW
                : List.of(
                        ResponseMode.NO_RESPONSE,
                        ResponseMode.DISCONNECT,
                        ResponseMode.FULL,
                        ResponseMode.TRUNCATED,
                        ResponseMode.ERROR)
                    .get(random.nextInt(5));
        for (Socket socket :
            random.nextInt(4) == 0 ? new ArrayList<>(server.openSockets) : List.<Socket>of()) {
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
    SplittableRandom random = new SplittableRandom(seed);
    List<String> faults = Collections.synchronizedList(new ArrayList<>());
    AtomicBoolean finished = new AtomicBoolean();
    int receivedAfterListChange = 0;
    int serversInUse = 0;
    try (LoopbackCluster world = new LoopbackCluster()) {
      List<Thread> clients = new ArrayList<>();
      for (int c = 0; c < 8; c++) {
        SplittableRandom clientRandom = random.split();
        String name = Integer.toHexString(0xa0 + c);
        clients.add(
            new Thread(
                () -> {
                  try (Client client = new Client(world.port)) {
                    client.sendStartup().readResponse();
                    for (int i = 0; !finished.get(); i++) {
                      String id = name + String.format("%04x", i);
                      String answer =
                          client
                              .sendQuery(
                                  statement(
                                      id,
                                      clientRandom.nextInt(4) == 0 ? "post" : "view",
                                      200 + clientRandom.nextInt(700)))
                              .readResponse();
                      if (!answer.startsWith("row:" + id) && !answer.startsWith("error:")) {
                        faults.add(id + " got " + answer);
                      }
                      Thread.sleep(clientRandom.nextInt(8));
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
        LoopbackCluster.DatabaseServer server =
            random.nextInt(3) == 0
                ? world.servers.get(0)
                : Collections.max(
                    world.servers.subList(1, 3),
                    Comparator.comparingLong(
                        replica ->
                            replica.statementTimes.stream().mapToLong(at -> at).max().orElse(0)));
        long recentSince = System.nanoTime() - 150_000_000L;
        serversInUse += server.statementTimes.stream().anyMatch(at -> at > recentSince) ? 1 : 0;
        CountDownLatch startupGate = new CountDownLatch(1);
        server.startupGate = startupGate;
        for (Socket socket : new ArrayList<>(server.openSockets)) {
          socket.close();
        }
        server.responseMode =
            List.of(ResponseMode.ROW, ResponseMode.FULL, ResponseMode.ERROR).get(random.nextInt(3));
        Thread.sleep(random.nextInt(80));
        server.listedLifecycle = "terminating";
        world.publishList();
        long listedAt = System.nanoTime();
        Thread.sleep(random.nextInt(160));
        server.startupGate = null;
        startupGate.countDown();
        Thread.sleep(500);
        receivedAfterListChange +=
            (int) server.statementTimes.stream().filter(at -> at > listedAt).count();
        server.statementTimes.stream()
            .filter(at -> at - listedAt > CONNECT_TIMEOUT_WITH_SLACK_MILLIS * 1_000_000L)
            .forEach(
                at ->
                    faults.add(
                        server.id
                            + " got one "
                            + (at - listedAt) / 1_000_000
                            + " ms after it was told to drain"));
        server.responseMode = ResponseMode.ROW;
        server.listedLifecycle = "in_service";
        world.publishList();
        Thread.sleep(150);
      }
      finished.set(true);
      for (Thread client : clients) {
        client.join();
      }
      check(serversInUse >= 3, "in use when it began to drain: " + serversInUse + " of 6");
    }
    check(faults.isEmpty(), faults + ", " + receivedAfterListChange + " in their grace");
  }

  private static void sendAndDisconnect(
      LoopbackCluster world, SplittableRandom random, String id, List<String> faults)
      throws Exception {
    long disconnectedAt;
    try (Client client = new Client(world.port)) {
      client.sendStartup();
      int statementCount = 1 + random.nextInt(4);
      for (int i = 0; i < statementCount; i++) {
        client.sendQuery(
            statement(id + (char) ('a' + i), random.nextBoolean() ? "post" : "view", 1_500));
      }
      Thread.sleep(random.nextInt(30));
      disconnectedAt = System.nanoTime();
    }
    Thread.sleep(150);
    for (char i = 'a'; i < 'e'; i++) {
      long receivedAt = world.lastReceivedAt.getOrDefault(id + i, disconnectedAt);
      if (receivedAt - disconnectedAt > 100_000_000L) {
        faults.add(
            id
                + i
                + " began "
                + (receivedAt - disconnectedAt) / 1_000_000
                + " ms after its client had gone");
      }
    }
  }
}
