package basaltlever.lab.endtoend;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs one router as a separate process with the memory options of deploy/balancer.toml and
 * measures its resource usage.
 */
final class RouterUnderTest implements AutoCloseable {
  private static final long STARTUP_TIMEOUT_MILLIS = 60_000;
  private static final String OVERDUE_EVENT = "event=overdue ";

  /** Class data sharing archive that the build of deploy/balancer.toml creates beside the jar. */
  private static final String CLASS_DATA_ARCHIVE = "basaltlever.jsa";

  private static final List<String> JVM_OPTIONS =
      List.of(
          "-Xmx48m",
          "-Xms48m",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:MaxDirectMemorySize=32m",
          "-Dio.netty.maxDirectMemory=33554432",
          "-XX:MaxMetaspaceSize=28m",
          "-XX:ReservedCodeCacheSize=16m",
          "-Xss256k",
          "-XX:-UsePerfData",
          "-Xshare:auto",
          "-Dio.netty.machineId=00:00:00:00:00:00:00:01",
          "-Dio.netty.processId=1");

  private final List<String> command = new ArrayList<>();
  private final InetSocketAddress address;
  private final Path logFile;
  private final Path startFilePath;
  private FaultShim shim;
  private Process process;
  private int maxDescriptors;
  private long maxMemoryKb;
  private double previousCpuSeconds;
  private long startupMillis;

  RouterUnderTest(Path folder, int index, int port, Path jar, String startFile) throws IOException {
    address = new InetSocketAddress("127.0.0.1", port);
    logFile = folder.resolve("n" + index + ".log");
    Path file = Files.writeString(folder.resolve("n" + index + ".json"), startFile);
    command.add(System.getProperty("java.home") + "/bin/java");
    command.addAll(JVM_OPTIONS);
    if (jar != null && Files.exists(jar.resolveSibling(CLASS_DATA_ARCHIVE))) {
      command.add("-XX:SharedArchiveFile=" + jar.resolveSibling(CLASS_DATA_ARCHIVE));
    }
    command.addAll(
        jar != null
            ? List.of("-jar", jar.toString())
            : List.of("-cp", System.getProperty("java.class.path"), "basaltlever.cli.Main"));
    command.addAll(List.of("serve", "--file", file.toString()));
    startFilePath = file;
  }

  /** Preloads a fault shim from the next start on. */
  void setShim(FaultShim newShim) {
    shim = newShim;
  }

  FaultShim shim() {
    return shim;
  }

  /** Traces each statement that takes longer in the router's log, from the next start on. */
  void traceStatementsLongerThan(long millis) {
    command.addAll(List.of("--follow", "" + millis));
  }

  /** Makes the router store its learned state in the folder, from the next start on. */
  void keepStateIn(Path folder) throws IOException {
    Path operatorFile =
        Files.writeString(
            startFilePath.resolveSibling(startFilePath.getFileName() + ".ini"),
            "[state]\nfolder = " + folder + "\nperiod_ms = 500\n");
    command.addAll(List.of("--operator", operatorFile.toString()));
  }

  /** Replaces the start file atomically, as an operator would. */
  void replaceStartFile(String text) throws IOException {
    Path newFile =
        Files.writeString(startFilePath.resolveSibling(startFilePath.getFileName() + ".new"), text);
    Files.move(newFile, startFilePath, StandardCopyOption.ATOMIC_MOVE);
  }

  void sendSignal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
  }

  boolean waitForExit(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  /** Ends the process with SIGKILL if it is still running. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  void start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
    if (shim != null) {
      builder.environment().putAll(shim.environment());
    }
    Process started = builder.start();
    process = started;
    // No router process remains if the laboratory exits during a run.
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  InetSocketAddress address() {
    return address;
  }

  void awaitReady(long sinceNanos) throws IOException, InterruptedException {
    while (process.isAlive()
        && System.nanoTime() < sinceNanos + STARTUP_TIMEOUT_MILLIS * 1_000_000) {
      try (Socket socket = new Socket()) {
        socket.connect(address, 500);
        startupMillis = (System.nanoTime() - sinceNanos) / 1_000_000;
        return;
      } catch (IOException ignored) {
        Thread.sleep(10);
      }
    }
    throw new IOException(
        "the router did not start serving; its log:\n" + Files.readString(logFile));
  }

  long startupMillis() {
    return startupMillis;
  }

  /** Samples the open descriptors and the peak memory of the process. */
  void sampleUsage() {
    String[] descriptors = new File("/proc/" + process.pid() + "/fd").list();
    if (descriptors != null) {
      maxDescriptors = Math.max(maxDescriptors, descriptors.length);
    }
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmHWM:")) {
          maxMemoryKb = Math.max(maxMemoryKb, Long.parseLong(line.replaceAll("[^0-9]", "")));
        }
      }
    } catch (IOException ignored) {
      // The process has ended; the earlier samples remain valid.
    }
  }

  int maxDescriptors() {
    return maxDescriptors;
  }

  double maxMemoryMegabytes() {
    return maxMemoryKb / 1_024.0;
  }

  double cpuSeconds() {
    return previousCpuSeconds
        + process.info().totalCpuDuration().map(used -> used.toNanos() / 1e9).orElse(0.0);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the number of statements that the router's core left unanswered at their deadline. */
  int overdueStatements() {
    return readLog().split(OVERDUE_EVENT, -1).length - 1;
  }

  /** Returns the log output of all processes of this router so far. */
  String readLog() {
    try {
      return Files.exists(logFile) ? Files.readString(logFile) : "";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Stops the process with SIGTERM and starts a new one. */
  void restart() throws IOException, InterruptedException {
    double used = cpuSeconds();
    stop();
    previousCpuSeconds = used;
    start();
  }

  private void stop() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(8, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
  }

  @Override
  public void close() {
    try {
      stop();
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
