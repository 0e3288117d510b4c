package basaltlever.net;

import static basaltlever.SocketWorld.statement;
import static basaltlever.StandIn.check;

import basaltlever.SocketWorld.Client;
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
class FinalAnswerTest {
  /** Of a machine that runs other tests beside this. */
  private static final long SLACK_MILLIS = 90;

  /** Long enough that the decisions queue the statement; they are not woken after that. */
  private static final int WAITS_MILLIS = 2_000;

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  private static void isAnsweredInItsTime(BiConsumer<HeldUpRouter, Long> heldUp) throws Exception {
    try (HeldUpRouter router = new HeldUpRouter();
        Client client = new Client(router.port)) {
      client.start().answer();
      for (int i = 0; i < 3; i++) {
        heldUp.accept(router, 400L);
        Thread.sleep(40);
        long sent = System.nanoTime();
        String answer = client.ask(statement("a" + i, "list", 600)).answer();
        long took = millisSince(sent);
        check(answer.startsWith("error:58000") && took <= 600 + SLACK_MILLIS, answer + took);
      }
    }
  }

  @Example
  void whatComesWhileTheLoopIsBusyCountsFromThenOn() throws Exception {
    isAnsweredInItsTime(HeldUpRouter::stall);
  }

  @Example
  void whatComesWhileTheProcessStandsStillCountsFromThenOn() throws Exception {
    isAnsweredInItsTime(HeldUpRouter::standsStill);
  }

  /** Whatever is read first, and though it comes only while the loop is held up behind its look. */
  @Example
  void newsOfDiscoveryIsHeardBeforeStatements() throws Exception {
    List<String> order = Collections.synchronizedList(new ArrayList<>());
    try (HeldUpRouter router = new HeldUpRouter();
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
                      router.iteration.hearNews(now -> order.add("news"));
                    }
                  })
              .connect(discovery.getLocalSocketAddress())
              .sync();
      try (Socket socket = discovery.accept()) {
        router
            .loop
            .submit(
                () -> {
                  router.iteration.hear(now -> order.add("statement"));
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
  void theGuardAsksTheDecisionsBeforeItAborts() throws Exception {
    try (HeldUpRouter router = new HeldUpRouter();
        Client client = new Client(router.port)) {
      client.start().answer();
      router.answers = true;
      long sent = System.nanoTime();
      String answer = client.ask(statement("g1", "list", WAITS_MILLIS)).answer();
      check(answer.startsWith("error:53300"), "nothing was sent, so it is rejected: " + answer);
      // Its time counts from when it may have come, which a slow start of the loop puts earlier.
      check(millisSince(sent) >= WAITS_MILLIS / 2, "not at its arrival: " + millisSince(sent));
    }
  }

  /** Nothing is proven of it, so it is aborted; at once, and it is out of the books. */
  @Example
  void aFaultInTheDecisionsAbortsTheStatementAtOnce() throws Exception {
    try (HeldUpRouter router = new HeldUpRouter();
        Client client = new Client(router.port)) {
      client.start().answer();
      router.throwsUp = true;
      long sent = System.nanoTime();
      String answer = client.ask(statement("f1", "list", 5_000)).answer();
      check(
          answer.startsWith("error:58000") && millisSince(sent) < 2_500,
          answer + millisSince(sent));
      check(router.loop.submit(router.executor::open).sync().getNow().equals(0), "none is open");
      check(client.ask("").answer().equals("I"), "and its connection goes on");
    }
  }

  @Example
  void aFaultOfTheListenerKeepsNobodyWaiting() throws Exception {
    try (HeldUpRouter router = new HeldUpRouter()) {
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
        check(client.start().answer().isEmpty() && millisSince(since) < 400, "accepted at once");
      }
    }
  }

  /**
   * Those that the machine has accepted while the loop was busy are owed an answer like all others.
   */
  @Example
  void aListenerIsClosedOverNoConnectionThatWaitsInIt() throws Exception {
    List<Client> waiting = new ArrayList<>();
    try (HeldUpRouter router = new HeldUpRouter()) {
      try (Client first = new Client(router.port)) {
        first.start().answer();
      }
      CountDownLatch closes = new CountDownLatch(1);
      CountDownLatch goesOn = new CountDownLatch(1);
      router.loop.execute(
          () -> {
            try {
              goesOn.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            router.accepting.closeWhenQueueIsEmpty(closes::countDown);
          });
      for (int i = 0; i < 60; i++) {
        waiting.add(new Client(router.port).start());
      }
      goesOn.countDown();
      check(closes.await(2, TimeUnit.SECONDS), "it is closed");
      for (Client client : waiting) {
        check(client.answer().isEmpty(), "each is welcomed");
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
  void nobodyIsToldToGoWhileTheMachineStillTakesConnections() throws Exception {
    try (HeldUpRouter router = new HeldUpRouter(140);
        Client client = new Client(router.port)) {
      check(client.start().answer().isEmpty(), "it serves");
      java.util.concurrent.CompletableFuture<String> comesBack =
          new java.util.concurrent.CompletableFuture<>();
      router.loop.execute(
          () ->
              router.accepting.closeWhenQueueIsEmpty(
                  () -> {
                    try (Socket again = new Socket()) {
                      again.connect(new InetSocketAddress("127.0.0.1", router.port), 500);
                      comesBack.complete("connected, and will be reset");
                    } catch (IOException refused) {
                      comesBack.complete("refused");
                    }
                  }));
      check(comesBack.get(2, TimeUnit.SECONDS).equals("refused"), comesBack.get());
    }
  }

  @Example
  void whoSentHalfOfAFirstStatementMakesRoom() throws Exception {
    List<Client> halves = new ArrayList<>();
    try (HeldUpRouter router = new HeldUpRouter(8)) {
      for (int i = 0; i < 6; i++) {
        halves.add(new Client(router.port).start());
        halves.get(i).answer();
        halves.get(i).sendBytes(new byte[] {'Q', 0, 0, 0, 90, '/'});
      }
      Thread.sleep(50);
      long since = System.nanoTime();
      try (Client whole = new Client(router.port)) {
        check(whole.start().answer().isEmpty(), "admitted");
        check(
            halves.get(0).answer().equals("error:53300:closed") && millisSince(since) < 1_000,
            "in its place");
      }
    } finally {
      for (Client half : halves) {
        half.close();
      }
    }
  }

  /** Clients that send the next ones early, on a loop that is held up again and again. */
  @Property(tries = 4, seed = "281", shrinking = ShrinkingMode.OFF)
  void eachIsAnsweredOnceAndInItsTimeThoughTheDecisionsForgetIt(@ForAll long seed)
      throws Exception {
    SplittableRandom chance = new SplittableRandom(seed);
    List<String> faults = Collections.synchronizedList(new ArrayList<>());
    try (HeldUpRouter router = new HeldUpRouter()) {
      try (Client first = new Client(router.port)) {
        // Loading classes holds up the loop for longer than any stall here.
        first.start().ask(statement("w", "list", 100)).ask(statement("x", "list", 100));
        first.answer();
        first.answer();
        first.answer();
      }
      List<Thread> threads = new ArrayList<>();
      for (int c = 0; c < 8; c++) {
        SplittableRandom own = chance.split();
        Thread thread =
            new Thread(
                () -> {
                  try (Client client = new Client(router.port)) {
                    client.start().answer();
                    for (int i = 0; i < 3; i++) {
                      int wait = 200 + own.nextInt(300);
                      int many = 1 + own.nextInt(3);
                      long sent = System.nanoTime();
                      for (int k = 0; k < many; k++) {
                        client.ask(statement("s" + own.nextLong(), "list", wait));
                      }
                      for (int k = 0; k < many; k++) {
                        String answer = client.answer();
                        long took = millisSince(sent);
                        if (!answer.startsWith("error:58000") || took > wait + 120 + SLACK_MILLIS) {
                          faults.add(k + " of " + many + " took " + took + " of " + wait + answer);
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
        router.stall(20 + chance.nextInt(100));
        Thread.sleep(150);
      }
      for (Thread thread : threads) {
        thread.join();
      }
    }
    check(faults.isEmpty(), "" + faults);
  }
}
