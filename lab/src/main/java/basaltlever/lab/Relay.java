package basaltlever.lab;

import basaltlever.lab.sockets.Echo;
import basaltlever.lab.sockets.Ports;
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
 * What a router costs: the same statements over a direct connection and through it, in turn so that
 * what the machine does falls on both; then as many as many clients can push through, with the
 * processor time that each took.
 */
final class Relay {
  private static final int BATCH = 500;
  private static final List<String> FLAGS =
      List.of(
          "-Xmx48m",
          "-Xms48m",
          "-XX:MaxDirectMemorySize=32m",
          "-Dio.netty.maxDirectMemory=33554432",
          "-Xss256k",
          "-XX:-UsePerfData");

  @Parameter(
      names = "--statements",
      description = "relay: how many over each path, one after the other")
  private int statements = 20_000;

  @Parameter(
      names = "--jvm",
      description = "relay: a further flag of the router's runtime; may be repeated")
  private List<String> more = new ArrayList<>();

  @Parameter(names = "--clients", description = "relay: how many push at once in its second part")
  private int clients = 16;

  private static final int SECONDS = 8;

  /** A client on a blocking socket. */
  private static final class Client implements AutoCloseable {
    private final Socket socket;
    private final DataInputStream in;
    private final byte[] query;

    Client(InetSocketAddress to, int number) throws IOException {
      socket = new Socket(to.getAddress(), to.getPort());
      socket.setTcpNoDelay(true);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      socket.getOutputStream().write(ByteBufUtil.getBytes(out));
      upToReady();
      out = Unpooled.buffer();
      MessageEncoder.writeQuery(
          out,
          "/* id=r" + number + ",c=view,d=5000,cluster=1 */ SELECT doc FROM items WHERE id = 'k'");
      query = ByteBufUtil.getBytes(out);
    }

    private boolean upToReady() throws IOException {
      boolean row = false;
      for (byte type = in.readByte(); type != 'Z'; type = in.readByte()) {
        row |= type == 'D';
        in.skipNBytes(in.readInt() - 4);
      }
      in.skipNBytes(in.readInt() - 4);
      return row;
    }

    long ask() throws IOException {
      long start = System.nanoTime();
      socket.getOutputStream().write(query);
      if (!upToReady()) {
        throw new IOException("no row came");
      }
      return System.nanoTime() - start;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  int run(Path jar, String json) throws Exception {
    Path folder = Files.createTempDirectory("relay");
    Ports ports = new Ports();
    Map<String, Object> figures = new LinkedHashMap<>();
    List<String> flags = new ArrayList<>(FLAGS);
    flags.addAll(more);
    try (Echo echo = new Echo();
        RouterProcess router =
            new RouterProcess(
                "n1",
                folder,
                jar,
                flags,
                ports.next(),
                "127.0.0.1:" + echo.listPort(),
                7,
                echo.list(),
                Echo.SETTINGS,
                "");
        RouterProcess bare =
            new RouterProcess(folder, FLAGS, ports.next(), echo.address().getPort())) {
      router.awaitReady();
      bare.awaitReady();
      try (Client direct = new Client(echo.address(), 1);
          Client through = new Client(router.address(), 2);
          Client piped = new Client(bare.address(), 3)) {
        for (int i = 0; i < 4 * BATCH; i++) {
          direct.ask();
          through.ask();
          piped.ask();
        }
        Histogram pipe = new Histogram(10_000_000_000L, 3);
        List<Double> bareTails = new ArrayList<>();
        Histogram plain = new Histogram(10_000_000_000L, 3);
        Histogram routed = new Histogram(10_000_000_000L, 3);
        List<Double> medians = new ArrayList<>();
        List<Double> tails = new ArrayList<>();
        for (int done = 0; done < statements; done += BATCH) {
          Histogram one = batch(direct);
          Histogram other = batch(through);
          Histogram third = batch(piped);
          pipe.add(third);
          bareTails.add((third.getValueAtPercentile(99) - one.getValueAtPercentile(99)) / 1e6);
          plain.add(one);
          routed.add(other);
          medians.add((other.getValueAtPercentile(50) - one.getValueAtPercentile(50)) / 1e6);
          tails.add((other.getValueAtPercentile(99) - one.getValueAtPercentile(99)) / 1e6);
        }
        figures.put("direct_p50_us", plain.getValueAtPercentile(50) / 1e3);
        figures.put("direct_p99_us", plain.getValueAtPercentile(99) / 1e3);
        figures.put("routed_p50_us", routed.getValueAtPercentile(50) / 1e3);
        figures.put("routed_p99_us", routed.getValueAtPercentile(99) / 1e3);
        figures.put("bare_p50_us", pipe.getValueAtPercentile(50) / 1e3);
        figures.put("bare_p99_us", pipe.getValueAtPercentile(99) / 1e3);
        figures.put("bare_added_p99_ms", median(bareTails));
        figures.put(
            "ratio_p50", (double) routed.getValueAtPercentile(50) / plain.getValueAtPercentile(50));
        figures.put("added_p50_ms", median(medians));
        figures.put("added_p99_ms", median(tails));
      }
      push(bare, "bare_", figures);
      push(router, "", figures);
      figures.put("router_alive", router.process().isAlive() ? 1 : 0);
    } finally {
      try (var files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
    Figures.tell(figures, json);
    return 0;
  }

  private static double median(List<Double> values) {
    Collections.sort(values);
    return values.get(values.size() / 2);
  }

  private static Histogram batch(Client client) throws IOException {
    Histogram times = new Histogram(10_000_000_000L, 3);
    for (int i = 0; i < BATCH; i++) {
      times.recordValue(client.ask());
    }
    return times;
  }

  private void push(RouterProcess router, String before, Map<String, Object> figures)
      throws Exception {
    long[] counts = new long[clients];
    Thread[] threads = new Thread[clients];
    long until = System.nanoTime() + (SECONDS + 2) * 1_000_000_000L;
    for (int i = 0; i < clients; i++) {
      int own = i;
      threads[i] =
          Fleet.thread(
              () -> {
                try (Client client = new Client(router.address(), 10 + own)) {
                  while (System.nanoTime() < until) {
                    client.ask();
                    counts[own]++;
                  }
                }
              });
    }
    Thread.sleep(2_000);
    long earlier = Arrays.stream(counts).sum();
    double cpu = router.cpuMicros();
    long start = System.nanoTime();
    Thread.sleep(SECONDS * 1_000L - 500);
    long count = Arrays.stream(counts).sum() - earlier;
    double wall = (System.nanoTime() - start) / 1e9;
    double used = router.cpuMicros() - cpu;
    for (Thread thread : threads) {
      thread.join(5_000);
    }
    figures.put(before + "pushed_a_second", count / wall);
    figures.put(before + "cpu_us_a_statement", used / Math.max(1, count));
    figures.put(before + "a_second_on_one_core", 1e6 * count / Math.max(1, used));
  }
}
