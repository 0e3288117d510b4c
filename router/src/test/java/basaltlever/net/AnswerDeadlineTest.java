package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * From its last byte on a statement owns a time by which its answer goes out. Here the decisions
 * never say a word of any statement, which is the worst that they could forget, and the loop is
 * held up.
 */
class AnswerDeadlineTest {
  /** Of a machine that runs other tests beside this. */
  private static final long SLACK_MILLIS = 90;

  /** Long enough that the decisions queue the statement; they are not woken after that. */
  private static final int STATEMENT_TIMEOUT_MILLIS = 2_000;

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  private static void checkAnsweredInTime(BiConsumer<StallableRouter, Long> stall)
      throws Exception {
    try (StallableRouter router = new StallableRouter();
        Client client = new Client(router.port)) {
      client.sendStartup().readResponse();
      for (int i = 0; i < 3; i++) {
        stall.accept(router, 400L);
        Thread.sleep(40);
        long sent = System.nanoTime();
        String answer = client.sendQuery(statement("a" + i, "list", 600)).readResponse();
        long took = millisSince(sent);
        check(answer.startsWith("error:58000") && took <= 600 + SLACK_MILLIS, answer + took);
      }
    }
  }

  @Example
  void statementReceivedWhileLoopIsBusyIsTimedFromItsArrival() throws Exception {
    checkAnsweredInTime(StallableRouter::stallInIteration);
  }

  @Example
  void statementReceivedWhileProcessIsStalledIsTimedFromItsArrival() throws Exception {
    checkAnsweredInTime(StallableRouter::stallOutsideIteration);
  }

  /** Whatever is read first, and though it comes only while the loop is held up behind its look. */
  @Example
  void discoveryInputIsProcessedBeforeStatements() throws Exception {
    List<String> order = Collections.synchronizedList(new ArrayList<>());
    try (StallableRouter router = new StallableRouter();
        ServerSocket discovery = new ServerSocket(0)) {
      ChannelFuture watch =
          new Bootstrap()
              .group(router.loop)
              .channel(NioSocketChannel.class)
              .handler(
                  new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object read) {
                      ((ByteBuf) read).release();
                      router.iteration.enqueueDiscovery(now -> order.add("news"));
                    }
                  })
              .connect(discovery.getLocalSocketAddress())
              .sync();
      try (Socket socket = discovery.accept()) {
        router
            .loop
            .submit(
                () -> {
                  router.iteration.enqueue(now -> order.add("statement"));
                  try {
                    socket.getOutputStream().write(1);
                    Thread.sleep(120);
                  } catch (IOException | InterruptedException fault) {
                    order.add("" + fault);
                  }
                })
            .sync();
        for (int i = 0; i < 100 && order.size() < 2; i++) {
          Thread.sleep(10);
        }
      }
      watch.channel().close();
    }
    check(order.equals(List.of("news", "statement")), "" + order);
  }

  /**
   * Guards against: a read of which nothing was out was aborted at the end of its time, where the
   * decisions had a rejection to give and nobody had woken them.
   */
  @Example
  void deadlineGuardConsultsCoreBeforeItAborts() throws Exception {
    try (StallableRouter router = new StallableRouter();
        Client client = new Client(router.port)) {
      client.sendStartup().readResponse();
      router.forwardsRejections = true;
      long sent = System.nanoTime();
      String answer =
          client.sendQuery(statement("g1", "list", STATEMENT_TIMEOUT_MILLIS)).readResponse();
      check(answer.startsWith("error:53300"), "nothing was sent, so it is rejected: " + answer);
      // Its time counts from when it may have come, which a slow start of the loop puts earlier.
      check(
          millisSince(sent) >= STATEMENT_TIMEOUT_MILLIS / 2,
          "not at its arrival: " + millisSince(sent));
    }
  }

  /** Nothing is proven of it, so it is aborted; at once, and it is out of the books. */
  @Example
  void faultInCoreAbortsStatementImmediately() throws Exception {
    try (StallableRouter router = new StallableRouter();
        Client client = new Client(router.port)) {
      client.sendStartup().readResponse();
      router.throwsFaults = true;
      long sent = System.nanoTime();
      String answer = client.sendQuery(statement("f1", "list", 5_000)).readResponse();
      check(
          answer.startsWith("error:58000") && millisSince(sent) < 2_500,
          answer + millisSince(sent));
      check(
          router.loop.submit(router.executor::openStatements).sync().getNow().equals(0),
          "none is open");
      check(client.sendQuery("").readResponse().equals("I"), "and its connection goes on");
    }
  }

  @Example
  void listenerFaultDoesNotDelayAccepting() throws Exception {
    try (StallableRouter router = new StallableRouter()) {
      router
          .listener
          .pipeline()
          .fireExceptionCaught(new java.io.IOException("planted"))
          .channel()
          .eventLoop()
          .submit(() -> null)
          .sync();
      long since = System.nanoTime();
      try (Client client = new Client(router.port)) {
        check(
            client.sendStartup().readResponse().isEmpty() && millisSince(since) < 400,
            "accepted at once");
      }
    }
  }

  /**
   * Those that the machine has accepted while the loop was busy are owed an answer like all others.
   */
  @Example
  void listenerIsNotClosedWhileConnectionsWaitInItsQueue() throws Exception {
    List<Client> waiting = new ArrayList<>();
    try (StallableRouter router = new StallableRouter()) {
      try (Client first = new Client(router.port)) {
        first.sendStartup().readResponse();
      }
      CountDownLatch closed = new CountDownLatch(1);
      CountDownLatch stallEnds = new CountDownLatch(1);
      router.loop.execute(
          () -> {
            try {
              stallEnds.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            router.acceptHandler.closeWhenQueueIsEmpty(closed::countDown);
          });
      for (int i = 0; i < 60; i++) {
        waiting.add(new Client(router.port).sendStartup());
      }
      stallEnds.countDown();
      check(closed.await(2, TimeUnit.SECONDS), "it is closed");
      for (Client client : waiting) {
        check(client.readResponse().isEmpty(), "each is welcomed");
      }
      // The runtime closes the socket itself in the loop's next look; a timer runs behind one.
      router.loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
      try (Client late = new Client(router.port)) {
        check(false, "nobody listens any more");
      } catch (IOException refused) {
        check(refused instanceof java.net.ConnectException, "" + refused);
      }
    } finally {
      for (Client client : waiting) {
        client.close();
      }
    }
  }

  /**
   * Found by a soak: who is told to go comes back at once on a new connection, which must find no
   * listener.
   */
  @Example
  void clientsAreNotDisconnectedWhileSystemStillAcceptsConnections() throws Exception {
    try (StallableRouter router = new StallableRouter(140);
        Client client = new Client(router.port)) {
      check(client.sendStartup().readResponse().isEmpty(), "it serves");
      java.util.concurrent.CompletableFuture<String> reconnectResult =
          new java.util.concurrent.CompletableFuture<>();
      router.loop.execute(
          () ->
              router.acceptHandler.closeWhenQueueIsEmpty(
                  () -> {
                    try (Socket reconnect = new Socket()) {
                      reconnect.connect(new InetSocketAddress("127.0.0.1", router.port), 500);
                      reconnectResult.complete("connected, and will be reset");
                    } catch (IOException refused) {
                      reconnectResult.complete("refused");
                    }
                  }));
      check(reconnectResult.get(2, TimeUnit.SECONDS).equals("refused"), reconnectResult.get());
    }
  }

  @Example
  void clientWithIncompleteFirstStatementIsEvictedForNewClient() throws Exception {
    List<Client> incompleteClients = new ArrayList<>();
    try (StallableRouter router = new StallableRouter(8)) {
      for (int i = 0; i < 6; i++) {
        incompleteClients.add(new Client(router.port).sendStartup());
        incompleteClients.get(i).readResponse();
        incompleteClients.get(i).sendBytes(new byte[] {'Q', 0, 0, 0, 90, '/'});
      }
      Thread.sleep(50);
      long since = System.nanoTime();
      try (Client newClient = new Client(router.port)) {
        check(newClient.sendStartup().readResponse().isEmpty(), "admitted");
        check(
            incompleteClients.get(0).readResponse().equals("error:53300:closed")
                && millisSince(since) < 1_000,
            "in its place");
      }
    } finally {
      for (Client incompleteClient : incompleteClients) {
        incompleteClient.close();
      }
    }
  }

  /** Clients that send the next ones early, on a loop that is held up again and again. */
  @Property(tries = 4, seed = "281", shrinking = ShrinkingMode.OFF)
  void eachStatementIsAnsweredOnceAndInTimeWhenCoreNeverAnswers(@ForAll long seed)
      throws Exception {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> faults = Collections.synchronizedList(new ArrayList<>());
    try (StallableRouter router = new StallableRouter()) {
      try (Client first = new Client(router.port)) {
        // Loading classes holds up the loop for longer than any stall here.
        first
            .sendStartup()
            .sendQuery(statement("w", "list", 100))
            .sendQuery(statement("x", "list", 100));
        first.readResponse();
        first.readResponse();
        first.readResponse();
      }
      List<Thread> threads = new ArrayList<>();
      for (int c = 0; c < 8; c++) {
        SplittableRandom clientRandom = random.split();
        Thread thread =
            new Thread(
                () -> {
                  try (Client client = new Client(router.port)) {
                    client.sendStartup().readResponse();
                    for (int i = 0; i < 3; i++) {
                      int timeoutMillis = 200 + clientRandom.nextInt(300);
                      int statements = 1 + clientRandom.nextInt(3);
                      long sent = System.nanoTime();
                      for (int k = 0; k < statements; k++) {
                        client.sendQuery(
                            statement("s" + clientRandom.nextLong(), "list", timeoutMillis));
                      }
                      for (int k = 0; k < statements; k++) {
                        String answer = client.readResponse();
                        long took = millisSince(sent);
                        if (!answer.startsWith("error:58000")
                            || took > timeoutMillis + 120 + SLACK_MILLIS) {
                          faults.add(
                              k
                                  + " of "
                                  + statements
                                  + " took "
                                  + took
                                  + " of "
                                  + timeoutMillis
                                  + answer);
                        }
                      }
                    }
                  } catch (Exception fault) {
                    faults.add("" + fault);
                  }
                });
        thread.start();
        threads.add(thread);
      }
      for (int i = 0; i < 8; i++) {
        router.stallInIteration(20 + random.nextInt(100));
        Thread.sleep(150);
      }
      for (Thread thread : threads) {
        thread.join();
      }
    }
    check(faults.isEmpty(), "" + faults);
  }
}
