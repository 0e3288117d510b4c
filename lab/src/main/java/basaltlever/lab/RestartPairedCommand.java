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
 * Compares the restart of a router with and without its stored state. A router serves nine
 * endpoints, of which one fails, one hangs and one is cold. It is killed and restarted, once with
 * the stored state and once without, while reads arrive at fixed times. The simulated servers count
 * the statements that reach them in the first seconds after the restart.
 */
@Parameters(
    commandDescription = "Compares the restart of routers with and without their stored state")
final class RestartPairedCommand {
  private static final int CLIENT_COUNT = 48;
  private static final int SLO_MILLIS = 400;
  private static final int LEARN_SECONDS = 5;
  private static final int MEASURE_SECONDS = 3;

  @Parameter(names = "--seeds", description = "number of pairs")
  private int pairCount = 20;

  @Parameter(names = "--seed", description = "random seed of the first pair")
  private long firstSeed = 1;

  @Parameter(names = "--rate", description = "reads per second")
  private int readsPerSecond = 200;

  @Parameter(names = "--at-once", description = "number of pairs measured concurrently")
  private int parallelPairs = 2;

  @Parameter(names = "--json", description = "output file for the figures")
  private String figuresFile;

  private record RunResult(
      long readyMillis,
      int failingExecutions,
      int hangingExecutions,
      int coldExecutions,
      int inTimeCount,
      int statementCount) {
    int badExecutions() {
      return failingExecutions + hangingExecutions;
    }
  }

  int run() throws Exception {
    ExecutorService threads =
        Executors.newFixedThreadPool(parallelPairs, SimulatedGroup::newDaemonThread);
    List<Future<RunResult[]>> futures = new ArrayList<>();
    for (int i = 0; i < pairCount; i++) {
      long pairSeed = firstSeed + i;
      futures.add(threads.submit((Callable<RunResult[]>) () -> measurePair(pairSeed)));
    }
    RunResult[] totals = {new RunResult(0, 0, 0, 0, 0, 0), new RunResult(0, 0, 0, 0, 0, 0)};
    List<Object> pairFigures = new ArrayList<>();
    int worsePairs = 0;
    for (Future<RunResult[]> future : futures) {
      RunResult[] results = future.get();
      worsePairs += results[1].badExecutions() > results[0].badExecutions() ? 1 : 0;
      for (int variant = 0; variant < 2; variant++) {
        RunResult a = totals[variant];
        RunResult b = results[variant];
        totals[variant] =
            new RunResult(
                a.readyMillis + b.readyMillis,
                a.failingExecutions + b.failingExecutions,
                a.hangingExecutions + b.hangingExecutions,
                a.coldExecutions + b.coldExecutions,
                a.inTimeCount + b.inTimeCount,
                a.statementCount + b.statementCount);
      }
      pairFigures.add(
          Map.of("without", toFigures(results[0], 1), "with", toFigures(results[1], 1)));
    }
    threads.shutdown();
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("seeds", pairCount);
    figures.put("without", toFigures(totals[0], pairCount));
    figures.put("with", toFigures(totals[1], pairCount));
    figures.put(
        "bad_executions_fewer",
        1 - (double) totals[1].badExecutions() / Math.max(1, totals[0].badExecutions()));
    figures.put("seeds_worse", worsePairs);
    figures.put("pairs", pairFigures);
    FiguresWriter.publish(figures, figuresFile);
    return worsePairs * 4 > pairCount || totals[1].badExecutions() > totals[0].badExecutions()
        ? 1
        : 0;
  }

  private static Map<String, Object> toFigures(RunResult result, int runs) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("ready_ms", (double) result.readyMillis / runs);
    figures.put("to_failing", (double) result.failingExecutions / runs);
    figures.put("to_hanging", (double) result.hangingExecutions / runs);
    figures.put("to_cold", (double) result.coldExecutions / runs);
    figures.put("in_time", (double) result.inTimeCount / Math.max(1, result.statementCount));
    return figures;
  }

  private RunResult[] measurePair(long pairSeed) throws Exception {
    RunResult[] results = new RunResult[2];
    for (int turn = 0; turn < 2; turn++) {
      // The order alternates, so that the load of the machine favors neither variant.
      int variant = pairSeed % 2 == 0 ? turn : 1 - turn;
      results[variant] = measureRestart(pairSeed, variant == 1);
    }
    return results;
  }

  private RunResult measureRestart(long pairSeed, boolean withState) throws Exception {
    List<SimulatedGroup.Behavior> behaviors =
        new ArrayList<>(
            List.of(
                SimulatedGroup.Behavior.FAILS,
                SimulatedGroup.Behavior.HANGS,
                SimulatedGroup.Behavior.COLD));
    behaviors.addAll(Collections.nCopies(5, SimulatedGroup.Behavior.SOUND));
    Collections.shuffle(behaviors, new java.util.Random(pairSeed));
    behaviors.add(0, SimulatedGroup.Behavior.SOUND);
    Path folder = Files.createTempDirectory("restart");
    Path stateFolder = Files.createDirectory(folder.resolve("views"));
    Path operatorFile =
        Files.writeString(
            folder.resolve("operator.ini"),
            "[state]\nfolder = " + (withState ? stateFolder : "") + "\nperiod_ms = 1000\n");
    try (SimulatedGroup group = new SimulatedGroup(behaviors)) {
      int port;
      try (ServerSocket reserved = SimulatedGroup.listenOnLoopback()) {
        port = reserved.getLocalPort();
      }
      Path startFile =
          Files.writeString(folder.resolve("start.json"), startFileJson(port, group, pairSeed));
      Process first = startRouter(startFile, operatorFile, folder);
      RunResult learnResult = null;
      try {
        learnResult = applyLoad(group, first, port, LEARN_SECONDS);
      } finally {
        // A crash: the router stores no final snapshot.
        first.destroyForcibly().waitFor();
      }
      if (learnResult.statementCount == 0) {
        throw new IOException("no reads were sent before the restart");
      }
      Process second = startRouter(startFile, operatorFile, folder);
      try {
        return applyLoad(group, second, port, MEASURE_SECONDS);
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

  private static Process startRouter(Path startFile, Path operatorFile, Path folder)
      throws IOException {
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
                startFile.toString(),
                "--operator",
                operatorFile.toString()));
    File log = folder.resolve("log").toFile();
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        .start();
  }

  /**
   * Sends reads at fixed times, beginning with the first accepted connection. The latency of each
   * read is measured from its scheduled time.
   */
  private RunResult applyLoad(SimulatedGroup group, Process routerProcess, int port, int seconds)
      throws Exception {
    long waitStartNanos = System.nanoTime();
    Socket readySocket = awaitListening(routerProcess, port);
    long readyMillis = (System.nanoTime() - waitStartNanos) / 1_000_000;
    readySocket.close();
    int[] executionsBefore =
        group.servers.stream().mapToInt(server -> server.executions.get()).toArray();
    LinkedBlockingQueue<Long> dueTimes = new LinkedBlockingQueue<>();
    AtomicInteger inTimeCount = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      int clientNumber = i;
      Thread client = new Thread(() -> runClient(port, clientNumber, dueTimes, inTimeCount));
      client.setDaemon(true);
      client.start();
      clients.add(client);
    }
    int statementCount = readsPerSecond * seconds;
    long startNanos = System.nanoTime();
    for (int i = 0; i < statementCount; i++) {
      long dueNanos = startNanos + i * 1_000_000_000L / readsPerSecond;
      for (long remainingNanos = dueNanos - System.nanoTime();
          remainingNanos > 0;
          remainingNanos = dueNanos - System.nanoTime()) {
        TimeUnit.NANOSECONDS.sleep(remainingNanos);
      }
      dueTimes.add(dueNanos);
    }
    int[] executionsByBehavior = new int[SimulatedGroup.Behavior.values().length];
    for (SimulatedGroup.DatabaseServer server : group.servers) {
      executionsByBehavior[server.behavior.ordinal()] +=
          server.executions.get() - executionsBefore[server.index];
    }
    clients.forEach(client -> dueTimes.add(-1L));
    for (Thread client : clients) {
      client.join(3_000);
    }
    return new RunResult(
        readyMillis,
        executionsByBehavior[SimulatedGroup.Behavior.FAILS.ordinal()],
        executionsByBehavior[SimulatedGroup.Behavior.HANGS.ordinal()],
        executionsByBehavior[SimulatedGroup.Behavior.COLD.ordinal()],
        inTimeCount.get(),
        statementCount);
  }

  private static Socket awaitListening(Process routerProcess, int port) throws Exception {
    for (int i = 0; i < 2_000; i++) {
      try {
        return new Socket(InetAddress.getLoopbackAddress(), port);
      } catch (IOException notListening) {
        if (!routerProcess.isAlive()) {
          throw new IOException("the router exited with code " + routerProcess.exitValue());
        }
        Thread.sleep(5);
      }
    }
    throw new IOException("the router did not listen in time");
  }

  private static void runClient(
      int port, int clientNumber, LinkedBlockingQueue<Long> dueTimes, AtomicInteger inTimeCount) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(4_000);
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      SimulatedGroup.send(socket, out);
      readResponse(in);
      int queryCount = 0;
      for (long dueNanos = dueTimes.take(); dueNanos >= 0; dueNanos = dueTimes.take()) {
        out = Unpooled.buffer();
        MessageEncoder.writeQuery(
            out,
            "/* id=q"
                + clientNumber
                + "x"
                + queryCount++
                + ",c=view,d=2000,cluster=1 */ SELECT doc FROM items"
                + " WHERE id = 'k'");
        SimulatedGroup.send(socket, out);
        if (readResponse(in) && System.nanoTime() - dueNanos < SLO_MILLIS * 1_000_000L) {
          inTimeCount.incrementAndGet();
        }
      }
    } catch (IOException e) {
      // The remaining reads of this client don't count as in time.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads up to ReadyForQuery and returns whether a row was received. */
  private static boolean readResponse(DataInputStream in) throws IOException {
    boolean hasRow = false;
    for (byte type = in.readByte(); ; type = in.readByte()) {
      in.readFully(new byte[in.readInt() - 4]);
      hasRow |= type == 'D';
      if (type == 'Z') {
        return hasRow;
      }
    }
  }

  private static String startFileJson(int port, SimulatedGroup group, long pairSeed) {
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
            port,
            group.discoveryPort(),
            new SplittableRandom(pairSeed).nextLong(),
            group.endpointListJson(1));
  }
}
