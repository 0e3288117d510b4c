package basaltlever.lab;

import basaltlever.lab.sockets.ImmediateBackend;
import basaltlever.lab.sockets.PortAllocator;
import basaltlever.lab.sockets.RouterProcess;
import basaltlever.pg.MessageEncoder;
import com.beust.jcommander.Parameter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measures the overhead of a router. The first part sends the same statements over a direct
 * connection, through the router and through a process that only forwards bytes; batches alternate,
 * so that the load of the machine affects all of them alike. The second part measures the
 * throughput of many clients and the processor time per statement.
 */
final class RelayBenchmark {
  private static final int BATCH_SIZE = 500;
  private static final List<String> JVM_FLAGS =
      List.of(
          "-Xmx48m",
          "-Xms48m",
          "-XX:MaxDirectMemorySize=32m",
          "-Dio.netty.maxDirectMemory=33554432",
          "-Xss256k",
          "-XX:-UsePerfData");

  @Parameter(
      names = "--statements",
      description = "relay: number of sequential statements over each path")
  private int statementCount = 20_000;

  @Parameter(
      names = "--jvm",
      description = "relay: further JVM flag of the router; may be repeated")
  private List<String> extraJvmFlags = new ArrayList<>();

  @Parameter(
      names = "--clients",
      description = "relay: number of concurrent clients of the second part")
  private int clientCount = 16;

  private static final int THROUGHPUT_SECONDS = 8;

  /** A client with a blocking socket. */
  private static final class BlockingClient implements AutoCloseable {
    private final Socket socket;
    private final DataInputStream in;
    private final byte[] query;

    BlockingClient(InetSocketAddress address, int clientNumber) throws IOException {
      socket = new Socket(address.getAddress(), address.getPort());
      socket.setTcpNoDelay(true);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      socket.getOutputStream().write(ByteBufUtil.getBytes(out));
      readUntilReady();
      out = Unpooled.buffer();
      MessageEncoder.writeQuery(
          out,
          "/* id=r"
              + clientNumber
              + ",c=view,d=5000,cluster=1 */ SELECT doc FROM items WHERE id = 'k'");
      query = ByteBufUtil.getBytes(out);
    }

    /** Reads up to ReadyForQuery and returns whether a row was received. */
    private boolean readUntilReady() throws IOException {
      boolean hasRow = false;
      for (byte type = in.readByte(); type != 'Z'; type = in.readByte()) {
        hasRow |= type == 'D';
        in.skipNBytes(in.readInt() - 4);
      }
      in.skipNBytes(in.readInt() - 4);
      return hasRow;
    }

    /** Sends the query and returns the nanoseconds until its response was complete. */
    long measureQuery() throws IOException {
      long start = System.nanoTime();
      socket.getOutputStream().write(query);
      if (!readUntilReady()) {
        throw new IOException("the response contains no row");
      }
      return System.nanoTime() - start;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  int run(Path jar, String figuresFile) throws Exception {
    Path folder = Files.createTempDirectory("relay");
    PortAllocator ports = new PortAllocator();
    Map<String, Object> figures = new LinkedHashMap<>();
    List<String> flags = new ArrayList<>(JVM_FLAGS);
    flags.addAll(extraJvmFlags);
    try (ImmediateBackend echo = new ImmediateBackend();
        RouterProcess router =
            new RouterProcess(
                "n1",
                folder,
                jar,
                flags,
                ports.allocate(),
                "127.0.0.1:" + echo.discoveryPort(),
                7,
                echo.endpointList(),
                ImmediateBackend.SETTINGS,
                "");
        RouterProcess bare =
            new RouterProcess(
                folder, JVM_FLAGS, ports.allocate(), echo.serverAddress().getPort())) {
      router.awaitReady();
      bare.awaitReady();
      try (BlockingClient directClient = new BlockingClient(echo.serverAddress(), 1);
          BlockingClient routedClient = new BlockingClient(router.address(), 2);
          BlockingClient bareClient = new BlockingClient(bare.address(), 3)) {
        for (int i = 0; i < 4 * BATCH_SIZE; i++) {
          directClient.measureQuery();
          routedClient.measureQuery();
          bareClient.measureQuery();
        }
        Histogram bareTimes = new Histogram(10_000_000_000L, 3);
        List<Double> bareAddedP99Millis = new ArrayList<>();
        Histogram directTimes = new Histogram(10_000_000_000L, 3);
        Histogram routedTimes = new Histogram(10_000_000_000L, 3);
        List<Double> addedP50Millis = new ArrayList<>();
        List<Double> addedP99Millis = new ArrayList<>();
        for (int completed = 0; completed < statementCount; completed += BATCH_SIZE) {
          Histogram directBatch = measureBatch(directClient);
          Histogram routedBatch = measureBatch(routedClient);
          Histogram bareBatch = measureBatch(bareClient);
          bareTimes.add(bareBatch);
          bareAddedP99Millis.add(
              (bareBatch.getValueAtPercentile(99) - directBatch.getValueAtPercentile(99)) / 1e6);
          directTimes.add(directBatch);
          routedTimes.add(routedBatch);
          addedP50Millis.add(
              (routedBatch.getValueAtPercentile(50) - directBatch.getValueAtPercentile(50)) / 1e6);
          addedP99Millis.add(
              (routedBatch.getValueAtPercentile(99) - directBatch.getValueAtPercentile(99)) / 1e6);
        }
        figures.put("direct_p50_us", directTimes.getValueAtPercentile(50) / 1e3);
        figures.put("direct_p99_us", directTimes.getValueAtPercentile(99) / 1e3);
        figures.put("routed_p50_us", routedTimes.getValueAtPercentile(50) / 1e3);
        figures.put("routed_p99_us", routedTimes.getValueAtPercentile(99) / 1e3);
        figures.put("bare_p50_us", bareTimes.getValueAtPercentile(50) / 1e3);
        figures.put("bare_p99_us", bareTimes.getValueAtPercentile(99) / 1e3);
        figures.put("bare_added_p99_ms", median(bareAddedP99Millis));
        figures.put(
            "ratio_p50",
            (double) routedTimes.getValueAtPercentile(50) / directTimes.getValueAtPercentile(50));
        figures.put("added_p50_ms", median(addedP50Millis));
        figures.put("added_p99_ms", median(addedP99Millis));
      }
      measureThroughput(bare, "bare_", figures);
      measureThroughput(router, "", figures);
      figures.put("router_alive", router.process().isAlive() ? 1 : 0);
    } finally {
      try (var files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
    FiguresWriter.publish(figures, figuresFile);
    return 0;
  }

  private static double median(List<Double> values) {
    Collections.sort(values);
    return values.get(values.size() / 2);
  }

  private static Histogram measureBatch(BlockingClient client) throws IOException {
    Histogram times = new Histogram(10_000_000_000L, 3);
    for (int i = 0; i < BATCH_SIZE; i++) {
      times.recordValue(client.measureQuery());
    }
    return times;
  }

  private void measureThroughput(
      RouterProcess router, String keyPrefix, Map<String, Object> figures) throws Exception {
    long[] counts = new long[clientCount];
    Thread[] threads = new Thread[clientCount];
    long endNanos = System.nanoTime() + (THROUGHPUT_SECONDS + 2) * 1_000_000_000L;
    for (int i = 0; i < clientCount; i++) {
      int index = i;
      threads[i] =
          SimulatedGroup.startDaemonThread(
              () -> {
                try (BlockingClient client = new BlockingClient(router.address(), 10 + index)) {
                  while (System.nanoTime() < endNanos) {
                    client.measureQuery();
                    counts[index]++;
                  }
                }
              });
    }
    Thread.sleep(2_000);
    long countAtStart = Arrays.stream(counts).sum();
    double cpuMicrosAtStart = router.cpuMicros();
    long start = System.nanoTime();
    Thread.sleep(THROUGHPUT_SECONDS * 1_000L - 500);
    long count = Arrays.stream(counts).sum() - countAtStart;
    double elapsedSeconds = (System.nanoTime() - start) / 1e9;
    double cpuMicrosUsed = router.cpuMicros() - cpuMicrosAtStart;
    for (Thread thread : threads) {
      thread.join(5_000);
    }
    figures.put(keyPrefix + "pushed_a_second", count / elapsedSeconds);
    figures.put(keyPrefix + "cpu_us_a_statement", cpuMicrosUsed / Math.max(1, count));
    figures.put(keyPrefix + "a_second_on_one_core", 1e6 * count / Math.max(1, cpuMicrosUsed));
  }
}
