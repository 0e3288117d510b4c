package basaltlever.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A router in a separate process, run from a jar or from the class path of this program. */
public final class RouterProcess implements AutoCloseable {
  private static final int READY_TIMEOUT_MILLIS = 15_000;
  private final Path startFile;

  /** The contents of the start file up to the settings. */
  private final String startFilePrefix;

  private final List<String> command = new ArrayList<>();
  private final List<String> programCommand;
  private final Path operatorFile;
  private final InetSocketAddress address;
  private final Path logFile;
  private Process process;

  /**
   * Starts a router.
   *
   * @param jar the router's jar, or null to run it from the class path of this program
   * @param endpointList the endpoint list that the router has before its first discovery
   * @param operatorText the contents of the operator file, or empty for no operator file
   */
  public RouterProcess(
      String name,
      Path folder,
      Path jar,
      List<String> jvmFlags,
      int port,
      String discoveryAddress,
      long seed,
      String endpointList,
      String settings,
      String operatorText)
      throws IOException {
    address = new InetSocketAddress("127.0.0.1", port);
    logFile = folder.resolve(name + ".log");
    startFilePrefix =
        "{\"name\":\""
            + name
            + "\",\"listen\":\""
            + "127.0.0.1:"
            + port
            + "\",\"discovery\":\""
            + discoveryAddress
            + "\",\"seed\":\""
            + Long.toHexString(seed)
            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
            + endpointList
            + ",\"settings\":";
    startFile = Files.writeString(folder.resolve(name + ".json"), startFilePrefix + settings + "}");
    command.addAll(
        List.of(
            System.getProperty("java.home") + "/bin/java",
            "-Xmx96m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto"));
    command.addAll(jvmFlags);
    command.addAll(
        jar != null
            ? List.of("-jar", jar.toString())
            : List.of("-cp", System.getProperty("java.class.path"), "basaltlever.cli.Main"));
    programCommand = List.copyOf(command);
    command.addAll(List.of("serve", "--file", startFile.toString()));
    operatorFile = folder.resolve(name + ".ini");
    if (!operatorText.isEmpty()) {
      command.addAll(
          List.of("--operator", Files.writeString(operatorFile, operatorText).toString()));
    }
    start();
  }

  /** Starts a {@link TcpForwarder} in place of a router, with the same JVM flags. */
  public RouterProcess(Path folder, List<String> jvmFlags, int port, int targetPort)
      throws IOException {
    address = new InetSocketAddress("127.0.0.1", port);
    logFile = folder.resolve("bare.log");
    startFile = null;
    operatorFile = null;
    programCommand = List.of();
    startFilePrefix = "";
    command.addAll(
        List.of(
            System.getProperty("java.home") + "/bin/java",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto"));
    command.addAll(jvmFlags);
    command.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            "basaltlever.lab.Main",
            "bare",
            "--port",
            "" + port,
            "--to",
            "" + targetPort));
    start();
  }

  /** Starts the process; also after it has been killed. */
  public void start() throws IOException {
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
            .start();
  }

  /** Replaces the operator file, which takes effect at the next start. */
  public void writeOperatorFile(String text) throws IOException {
    Files.writeString(operatorFile, text);
  }

  /**
   * Runs a command of the program with the operator file of this router. Returns the exit code and
   * the output, separated by a space.
   */
  public String runCommand(String... arguments) throws IOException, InterruptedException {
    List<String> commandLine = new ArrayList<>(programCommand);
    commandLine.addAll(List.of(arguments));
    commandLine.addAll(List.of("--operator", operatorFile.toString()));
    Process commandProcess = new ProcessBuilder(commandLine).redirectErrorStream(true).start();
    String output =
        new String(commandProcess.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return commandProcess.waitFor() + " " + output.strip();
  }

  /** Replaces the start file atomically and sends SIGHUP, as an operator does. */
  public void reloadSettings(String settings) throws IOException, InterruptedException {
    Path newFile =
        Files.writeString(
            startFile.resolveSibling(startFile.getFileName() + ".new"),
            startFilePrefix + settings + "}");
    Files.move(newFile, startFile, StandardCopyOption.ATOMIC_MOVE);
    new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor();
  }

  public Path startFile() {
    return startFile;
  }

  public InetSocketAddress address() {
    return address;
  }

  public Process process() {
    return process;
  }

  /** Waits until the router accepts connections. */
  public void awaitReady() throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000L;
    while (process.isAlive() && System.nanoTime() < deadlineNanos) {
      try (Socket socket = new Socket()) {
        socket.connect(address, 500);
        return;
      } catch (IOException e) {
        Thread.sleep(20);
      }
    }
    throw new IOException("the router did not become ready; its log:\n" + readLog());
  }

  /** Returns the standard output and error so far. */
  public String readLog() throws IOException {
    return Files.exists(logFile) ? Files.readString(logFile) : "";
  }

  /** The CPU time that the process has used so far, in microseconds. */
  public double cpuMicros() {
    return process.info().totalCpuDuration().map(used -> used.toNanos() / 1e3).orElse(0.0);
  }

  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(8, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
