package basaltlever.lab;

import basaltlever.pg.MessageEncoder;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Nine nodes of which one fails, one hangs and one is cold; a router that served them is killed and
 * started again, once with its view and once without, under reads that arrive by the clock. What
 * reached the bad nodes in the first seconds is counted by them.
 */
@Parameters(
    commandDescription = "Restarts routers with and without what they had learned, and compares")
final class RestartPaired {
  private static final int CLIENTS = 48;
  private static final int SLO_MILLIS = 400;
  private static final int LEARN_SECONDS = 5;
  private static final int SECONDS = 3;

  @Parameter(names = "--seeds", description = "how many pairs")
  private int seeds = 20;

  @Parameter(names = "--seed", description = "of the first pair")
  private long seed = 1;

  @Parameter(names = "--rate", description = "reads a second")
  private int rate = 200;

  @Parameter(names = "--at-once", description = "pairs measured side by side")
  private int atOnce = 2;

  @Parameter(names = "--json", description = "file for the figures")
  private String json;

  private record Life(
      long readyMillis, int failing, int hanging, int cold, int inTime, int statements) {
    int bad() {
      return failing + hanging;
    }
  }

  int run() throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(atOnce, Fleet::daemon);
    List<Future<Life[]>> all = new ArrayList<>();
    for (int i = 0; i < seeds; i++) {
      long own = seed + i;
      all.add(threads.submit((Callable<Life[]>) () -> pair(own)));
    }
    Life[] sums = {new Life(0, 0, 0, 0, 0, 0), new Life(0, 0, 0, 0, 0, 0)};
    List<Object> pairs = new ArrayList<>();
    int worse = 0;
    for (Future<Life[]> one : all) {
      Life[] pair = one.get();
      worse += pair[1].bad() > pair[0].bad() ? 1 : 0;
      for (int with = 0; with < 2; with++) {
        Life a = sums[with];
        Life b = pair[with];
        sums[with] =
            new Life(
                a.readyMillis + b.readyMillis,
                a.failing + b.failing,
                a.hanging + b.hanging,
                a.cold + b.cold,
                a.inTime + b.inTime,
                a.statements + b.statements);
      }
      pairs.add(Map.of("without", told(pair[0], 1), "with", told(pair[1], 1)));
    }
    threads.shutdown();
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("seeds", seeds);
    figures.put("without", told(sums[0], seeds));
    figures.put("with", told(sums[1], seeds));
    figures.put("bad_executions_fewer", 1 - (double) sums[1].bad() / Math.max(1, sums[0].bad()));
    figures.put("seeds_worse", worse);
    figures.put("pairs", pairs);
    Figures.tell(figures, json);
    return worse * 4 > seeds || sums[1].bad() > sums[0].bad() ? 1 : 0;
  }

  private static Map<String, Object> told(Life life, int runs) {
    Map<String, Object> told = new LinkedHashMap<>();
    told.put("ready_ms", (double) life.readyMillis / runs);
    told.put("to_failing", (double) life.failing / runs);
    told.put("to_hanging", (double) life.hanging / runs);
    told.put("to_cold", (double) life.cold / runs);
    told.put("in_time", (double) life.inTime / Math.max(1, life.statements));
    return told;
  }

  private Life[] pair(long own) throws Exception {
    Life[] lives = new Life[2];
    for (int turn = 0; turn < 2; turn++) {
      // Either goes first as often, so that nothing the machine does favours one.
      int with = own % 2 == 0 ? turn : 1 - turn;
      lives[with] = restart(own, with == 1);
    }
    return lives;
  }

  private Life restart(long own, boolean with) throws Exception {
    List<Fleet.Manner> manners =
        new ArrayList<>(List.of(Fleet.Manner.FAILS, Fleet.Manner.HANGS, Fleet.Manner.COLD));
    manners.addAll(Collections.nCopies(5, Fleet.Manner.SOUND));
    Collections.shuffle(manners, new java.util.Random(own));
    manners.add(0, Fleet.Manner.SOUND);
    Path folder = Files.createTempDirectory("restart");
    Path views = Files.createDirectory(folder.resolve("views"));
    Path ini =
        Files.writeString(
            folder.resolve("operator.ini"),
            "[state]\nfolder = " + (with ? views : "") + "\nperiod_ms = 1000\n");
    try (Fleet fleet = new Fleet(manners)) {
      int port;
      try (ServerSocket free = Fleet.listen()) {
        port = free.getLocalPort();
      }
      Path start = Files.writeString(folder.resolve("start.json"), startFile(port, fleet, own));
      Process first = router(start, ini, folder);
      Life learned = null;
      try {
        learned = load(fleet, first, port, LEARN_SECONDS);
      } finally {
        // As a machine would: no last word.
        first.destroyForcibly().waitFor();
      }
      if (learned.statements == 0) {
        throw new IOException("the router never served");
      }
      Process second = router(start, ini, folder);
      try {
        return load(fleet, second, port, SECONDS);
      } finally {
        second.destroyForcibly().waitFor();
      }
    } finally {
      try (var files = Files.walk(folder)) {
        for (Path file : files.sorted(Collections.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }

  private static Process router(Path start, Path ini, Path folder) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "basaltlever.cli.Main",
                "serve",
                "--file",
                start.toString(),
                "--operator",
                ini.toString()));
    File log = folder.resolve("log").toFile();
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        .start();
  }

  /**
   * From the first connection on, reads arrive by the clock; each is counted from when it was due.
   */
  private Life load(Fleet fleet, Process router, int port, int seconds) throws Exception {
    long begun = System.nanoTime();
    Socket ready = connect(router, port);
    long readyMillis = (System.nanoTime() - begun) / 1_000_000;
    ready.close();
    int[] before = fleet.nodes.stream().mapToInt(node -> node.executions.get()).toArray();
    LinkedBlockingQueue<Long> due = new LinkedBlockingQueue<>();
    AtomicInteger inTime = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Thread client = new Thread(() -> client(port, number, due, inTime));
      client.setDaemon(true);
      client.start();
      clients.add(client);
    }
    int statements = rate * seconds;
    long from = System.nanoTime();
    for (int i = 0; i < statements; i++) {
      long at = from + i * 1_000_000_000L / rate;
      for (long left = at - System.nanoTime(); left > 0; left = at - System.nanoTime()) {
        TimeUnit.NANOSECONDS.sleep(left);
      }
      due.add(at);
    }
    int[] reached = new int[Fleet.Manner.values().length];
    for (Fleet.Node node : fleet.nodes) {
      reached[node.manner.ordinal()] += node.executions.get() - before[node.number];
    }
    clients.forEach(client -> due.add(-1L));
    for (Thread client : clients) {
      client.join(3_000);
    }
    return new Life(
        readyMillis,
        reached[Fleet.Manner.FAILS.ordinal()],
        reached[Fleet.Manner.HANGS.ordinal()],
        reached[Fleet.Manner.COLD.ordinal()],
        inTime.get(),
        statements);
  }

  private static Socket connect(Process router, int port) throws Exception {
    for (int i = 0; i < 2_000; i++) {
      try {
        return new Socket(InetAddress.getLoopbackAddress(), port);
      } catch (IOException notYet) {
        if (!router.isAlive()) {
          throw new IOException("the router ended: " + router.exitValue());
        }
        Thread.sleep(5);
      }
    }
    throw new IOException("the router never listened");
  }

  private static void client(
      int port, int number, LinkedBlockingQueue<Long> due, AtomicInteger inTime) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(4_000);
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      Fleet.send(socket, out);
      isRow(in);
      int asked = 0;
      for (long at = due.take(); at >= 0; at = due.take()) {
        out = Unpooled.buffer();
        MessageEncoder.writeQuery(
            out,
            "/* id=q"
                + number
                + "x"
                + asked++
                + ",c=view,d=2000,cluster=1 */ SELECT doc FROM items"
                + " WHERE id = 'k'");
        Fleet.send(socket, out);
        if (isRow(in) && System.nanoTime() - at < SLO_MILLIS * 1_000_000L) {
          inTime.incrementAndGet();
        }
      }
    } catch (IOException closed) {
      // What it would have asked is not in time.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean isRow(DataInputStream in) throws IOException {
    boolean row = false;
    for (byte type = in.readByte(); ; type = in.readByte()) {
      in.readFully(new byte[in.readInt() - 4]);
      row |= type == 'D';
      if (type == 'Z') {
        return row;
      }
    }
  }

  private static String startFile(int port, Fleet fleet, long own) {
    return """
            {"name":"n1","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x","limits":{"sockets":512},
             "known":%s,
             "settings":{"Balancers":2,"Zone":0,"Zones":["a","b"],"Discovery":"on_request",
              "Bounds":{"Cancel":true,"ConnectTimeout":250000,"IdleClose":15000000,"MaxAttempts":4,
               "MaxRetryAfter":1000000,"MayDuplicate":true,"MayProbe":true,"RetryAfter":true,"StreamsPerConn":1},
              "Classes":[{"Name":"view","Repeat":"idempotent","Slo":400000,"HardLimit":2000000,"Worth":1.0}],
              "Costs":{"Probe":0.001},"Reporting":{"How":"probe","Fields":["x0","x1","utilization"]},
              "FamilyInfo":{"Checks":"wait","ClassRead":["bounded"],"LagAllowed":[2000000],
               "ProgressTold":true,"SessionMarks":"carried"},
              "Rules":{"AnswerSlack":20000,"Cold":60000000,"ColdFrom":0.2,"FallMultiple":3.0,"Fall":1000000,
               "MustAskIn":10000000}}}
            """
        .formatted(
            port, fleet.discoveryPort(), new SplittableRandom(own).nextLong(), fleet.list(1));
  }
}
