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

/**
 * One router as a process of its own, from a jar or from the class path that this program runs on.
 */
public final class RouterProcess implements AutoCloseable {
  private static final int READY_MILLIS = 15_000;
  private final Path startFile;

  /** Of its start file, up to the settings. */
  private final String head;

  private final List<String> command = new ArrayList<>();
  private final List<String> program;
  private final Path operatorFile;
  private final InetSocketAddress address;
  private final Path log;
  private Process process;

  /** The jar is null for the class path; the operator's file is empty for none. */
  public RouterProcess(
      String name,
      Path folder,
      Path jar,
      List<String> flags,
      int port,
      String discovery,
      long seed,
      String known,
      String settings,
      String operator)
      throws IOException {
    address = new InetSocketAddress("127.0.0.1", port);
    log = folder.resolve(name + ".log");
    head =
        "{\"name\":\""
            + name
            + "\",\"listen\":\""
            + "127.0.0.1:"
            + port
            + "\",\"discovery\":\""
            + discovery
            + "\",\"seed\":\""
            + Long.toHexString(seed)
            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
            + known
            + ",\"settings\":";
    startFile = Files.writeString(folder.resolve(name + ".json"), head + settings + "}");
    command.addAll(
        List.of(
            System.getProperty("java.home") + "/bin/java",
            "-Xmx96m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto"));
    command.addAll(flags);
    command.addAll(
        jar != null
            ? List.of("-jar", jar.toString())
            : List.of("-cp", System.getProperty("java.class.path"), "basaltlever.cli.Main"));
    program = List.copyOf(command);
    command.addAll(List.of("serve", "--file", startFile.toString()));
    operatorFile = folder.resolve(name + ".ini");
    if (!operator.isEmpty()) {
      command.addAll(List.of("--operator", Files.writeString(operatorFile, operator).toString()));
    }
    start();
  }

  /** Not a router: bytes passed on and nothing else, by a process with the same flags. */
  public RouterProcess(Path folder, List<String> flags, int port, int to) throws IOException {
    address = new InetSocketAddress("127.0.0.1", port);
    log = folder.resolve("bare.log");
    startFile = null;
    operatorFile = null;
    program = List.of();
    head = "";
    command.addAll(
        List.of(
            System.getProperty("java.home") + "/bin/java",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto"));
    command.addAll(flags);
    command.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            "basaltlever.lab.Main",
            "bare",
            "--port",
            "" + port,
            "--to",
            "" + to));
    start();
  }

  public void start() throws IOException {
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
  }

  /** Takes effect at its next start. */
  public void operatorFile(String text) throws IOException {
    Files.writeString(operatorFile, text);
  }

  /**
   * One command of the program by this router's operator's file: what it prints, behind its exit
   * code.
   */
  public String command(String... arguments) throws IOException, InterruptedException {
    List<String> line = new ArrayList<>(program);
    line.addAll(List.of(arguments));
    line.addAll(List.of("--operator", operatorFile.toString()));
    Process run = new ProcessBuilder(line).redirectErrorStream(true).start();
    String printed = new String(run.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return run.waitFor() + " " + printed.strip();
  }

  /** The operator's step: the file is replaced in one piece, then SIGHUP. */
  public void takes(String settings) throws IOException, InterruptedException {
    Path next =
        Files.writeString(
            startFile.resolveSibling(startFile.getFileName() + ".new"), head + settings + "}");
    Files.move(next, startFile, StandardCopyOption.ATOMIC_MOVE);
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

  public void awaitReady() throws IOException, InterruptedException {
    long until = System.nanoTime() + READY_MILLIS * 1_000_000L;
    while (process.isAlive() && System.nanoTime() < until) {
      try (Socket socket = new Socket()) {
        socket.connect(address, 500);
        return;
      } catch (IOException notYet) {
        Thread.sleep(20);
      }
    }
    throw new IOException("a router did not begin to serve:\n" + log());
  }

  public String log() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }

  /** Processor time that it has used so far, in microseconds. */
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
