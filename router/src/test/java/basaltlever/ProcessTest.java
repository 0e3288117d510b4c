package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/**
 * The program as a process of its own: from the built jar where one is named, else from the
 * classes.
 */
class ProcessTest {
  private static Process start(Path file, String... arguments) throws IOException {
    return start(List.of(), file, arguments);
  }

  private static Process start(List<String> flags, Path file, String... arguments)
      throws IOException {
    String jar = System.getProperty("basaltlever.jar");
    List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
    command.addAll(flags);
    command.addAll(
        jar != null
            ? List.of("-jar", jar)
            : List.of("-cp", System.getProperty("java.class.path"), "basaltlever.cli.Main"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
    builder.environment().put("GW_CONFIG", file.toString());
    return builder.start();
  }

  /** Until a line of the file says so. */
  private static void awaitLine(Path file, String what, Process process) throws Exception {
    while (process.isAlive()
        && Files.readAllLines(file).stream().noneMatch(line -> line.contains(what))) {
      Thread.sleep(1);
    }
  }

  private static Client connect(int port, Process process) throws Exception {
    for (int i = 0; i < 200 && process.isAlive(); i++) {
      try {
        return new Client(port);
      } catch (IOException notYet) {
        Thread.sleep(50);
      }
    }
    throw new AssertionError("it never listened");
  }

  /**
   * Each is read, checked and linked on the loop, in the moment in which something happens for the
   * first time.
   */
  @Example
  void aRouterMakesHardlyAnyClassesOfItsOwnWhileItServes() throws Exception {
    Path log = Files.createTempFile("classes", ".log");
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      Process process =
          start(List.of("-Xlog:class+load:file=" + log), world.startFilePath, "serve");
      try (Client client = connect(world.port, process)) {
        client.sendStartup().readResponse();
        for (LoopbackCluster.ResponseMode mode :
            List.of(
                LoopbackCluster.ResponseMode.ROW,
                LoopbackCluster.ResponseMode.ERROR,
                LoopbackCluster.ResponseMode.GARBAGE,
                LoopbackCluster.ResponseMode.DISCONNECT)) {
          world.servers.forEach(node -> node.responseMode = mode);
          client.sendQuery(statement("c" + mode, "view", 900)).readResponse();
          client.sendQuery(statement("d" + mode, "post", 900)).readResponse();
        }
        process.destroy();
        check(process.waitFor(10, TimeUnit.SECONDS), "it ends");
      } finally {
        process.destroyForcibly();
      }
      List<String> loaded = Files.readAllLines(log);
      check(loaded.size() > 500, "what it loads is told");
      check(
          count(loaded, "LambdaForm$MH") <= 20,
          "texts and the like: " + count(loaded, "LambdaForm$MH"));
      check(
          count(loaded, "jdk.jfr.internal.handlers") == 0,
          "events for recordings that nobody makes");
      check(count(loaded, "jcommander.JCommander") == 0, "a command line that says nothing");
    } finally {
      Files.delete(log);
    }
  }

  private static long count(List<String> loaded, String what) {
    return loaded.stream().filter(line -> line.contains(what)).count();
  }

  @Example
  void itServesAStatementAndEndsOnASignalWithZero() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      for (int i = 0; i < 2; i++) {
        Process process = start(world.startFilePath, "serve");
        try (Client client = connect(world.port, process)) {
          check(
              client.sendStartup().sendQuery("").readResponse().isEmpty()
                  && client.readResponse().equals("I"),
              "it serves");
          String answer = client.sendQuery(statement("a" + i, "view", 1_800)).readResponse();
          check(answer.equals("row:a" + i), "a statement: " + answer);
          process.destroy();
          check(client.readResponse().equals("closed"), "closed once idle");
          check(
              process.waitFor(10, TimeUnit.SECONDS) && process.exitValue() == 0,
              "exit 0, and the next start works at once");
        } finally {
          process.destroyForcibly();
        }
      }
    }
  }

  @Example
  void theSignalToReadTheStartFileAgainEndsNothing() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      Process process = start(world.startFilePath, "serve");
      try (Client client = connect(world.port, process)) {
        client.sendStartup().readResponse();
        check(
            client.sendQuery(statement("b1", "view", 1_800)).readResponse().equals("row:b1"),
            "at first");
        world.moveDiscovery();
        new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start().waitFor();
        Thread.sleep(700);
        check(
            process.isAlive() && world.discoveryCalls.get() == 2,
            "it lives, and asks at the new address");
        check(
            client.sendQuery(statement("b2", "view", 1_800)).readResponse().equals("row:b2"),
            "it serves on");
      } finally {
        process.destroyForcibly();
      }
    }
  }

  /**
   * Left to itself the runtime ends on it, at any time before a start has got so far as to listen
   * to it.
   */
  @Example
  void theSignalToReadAgainIsHeardBeforeAnythingIsSetUp() throws Exception {
    Path log = Files.createTempFile("classes", ".log");
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      Process process =
          start(List.of("-Xlog:class+load:file=" + log), world.startFilePath, "serve");
      try {
        awaitLine(log, "basaltlever.net.Router ", process);
        signal(process, "HUP");
        try (Client client = connect(world.port, process)) {
          client.sendStartup().readResponse();
          check(
              client.sendQuery(statement("e1", "view", 1_800)).readResponse().equals("row:e1"),
              "it serves");
        }
      } finally {
        process.destroyForcibly();
      }
    } finally {
      Files.delete(log);
    }
  }

  @Example
  void aRouterThatCanHearNoReloadSaysSo() throws Exception {
    Path log = Files.createTempFile("router", ".log");
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      for (boolean deaf : new boolean[] {true, false}) {
        ProcessBuilder builder =
            new ProcessBuilder(
                    "sh",
                    "-c",
                    (deaf ? "trap '' HUP; " : "")
                        + "exec \"$0\" -cp \"$1\" basaltlever.cli.Main serve",
                    System.getProperty("java.home") + "/bin/java",
                    System.getProperty("java.class.path"))
                .redirectError(log.toFile());
        builder.environment().put("GW_CONFIG", world.startFilePath.toString());
        Process process = builder.start();
        try (Client client = connect(world.port, process)) {
          client.sendStartup().readResponse();
          boolean said = Files.readString(log).contains("event=signal_ignored signal=HUP");
          check(said == deaf, "deaf " + deaf + ", said " + said);
        } finally {
          process.destroyForcibly().waitFor();
        }
      }
    } finally {
      Files.delete(log);
    }
  }

  private static void signal(Process process, String... names) throws Exception {
    for (String name : names) {
      new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }
  }

  @Example
  void aSignalToEndInTheMiddleOfAReloadLosesNothing() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      Process process = start(world.startFilePath, "serve");
      try (Client client = connect(world.port, process)) {
        client.sendStartup().readResponse();
        check(
            client.sendQuery(statement("c1", "view", 1_800)).readResponse().equals("row:c1"),
            "at first");
        world.servers.get(0).responseMode = LoopbackCluster.ResponseMode.NO_RESPONSE;
        client.sendQuery(statement("c2", "post", 900));
        for (int i = 0; i < 100 && !world.modesByStatement.containsKey("c2"); i++) {
          Thread.sleep(10);
        }
        world.moveDiscovery();
        signal(process, "HUP", "HUP", "TERM", "HUP", "TERM");
        check(client.readResponse().startsWith("error:58000"), "what may have run is told as that");
        check(client.readResponse().equals("closed"), "then its connection ends");
        check(process.waitFor(10, TimeUnit.SECONDS) && process.exitValue() == 0, "exit 0");
      } finally {
        process.destroyForcibly();
      }
    }
  }

  @Example
  void aSignalToEndDuringStartIsHeardAtOnce() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster(false);
        ServerSocket mute = LoopbackCluster.listen(0)) {
      world.writeStartFile(
          text ->
              text.replaceAll(
                  "\"discovery\":\"[^\"]*\"",
                  "\"discovery\":\"127.0.0.1:" + mute.getLocalPort() + "\""));
      Process process = start(world.startFilePath, "serve");
      try (Socket call = mute.accept()) {
        // It waits for its first list now, and listens for nobody yet.
        long since = System.nanoTime();
        signal(process, "TERM");
        check(process.waitFor(10, TimeUnit.SECONDS) && process.exitValue() == 0, "exit 0");
        check(System.nanoTime() - since < 1_500_000_000L, "nothing is owed to anybody");
      } finally {
        process.destroyForcibly();
      }
    }
  }

  @Example
  void mistakesOfTheUserEndWithTwo() throws Exception {
    for (String[] arguments :
        new String[][] {{}, {"nonsense"}, {"serve"}, {"check"}, {"version", "x"}}) {
      Process process = start(Path.of("target/nowhere"), arguments);
      check(
          process.waitFor(20, TimeUnit.SECONDS) && process.exitValue() == 2,
          List.of(arguments) + " ends with 2");
    }
  }
}
