package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/**
 * Tests the program as a separate process, started from the jar in the property basaltlever.jar or
 * else from the class path.
 */
class ProcessTest {
  /** Waits until the file exists and one of its lines contains the text. */
  private static void awaitLine(Path file, String text, Process process) throws Exception {
    while (process.isAlive()
        && (Files.notExists(file)
            || Files.readAllLines(file).stream().noneMatch(line -> line.contains(text)))) {
      Thread.sleep(1);
    }
  }

  /**
   * Guards against delays on the event loop: each generated class is loaded, verified and linked
   * there when its code runs for the first time.
   */
  @Example
  void servingStatementsLoadsFewGeneratedClasses() throws Exception {
    Path log = Files.createTempFile("classes", ".log");
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      Process process =
          RouterProcesses.start(
              List.of("-Xlog:class+load:file=" + log), world.startFilePath, "serve");
      try (Client client = RouterProcesses.connect(world.port, process)) {
        client.sendStartup().readResponse();
        for (LoopbackCluster.ResponseMode mode :
            List.of(
                LoopbackCluster.ResponseMode.ROW,
                LoopbackCluster.ResponseMode.ERROR,
                LoopbackCluster.ResponseMode.GARBAGE,
                LoopbackCluster.ResponseMode.DISCONNECT)) {
          world.servers.forEach(server -> server.responseMode = mode);
          client.sendQuery(statement("c" + mode, "view", 900)).readResponse();
          client.sendQuery(statement("d" + mode, "post", 900)).readResponse();
        }
        process.destroy();
        check(process.waitFor(10, TimeUnit.SECONDS), "the process exits");
      } finally {
        process.destroyForcibly();
      }
      List<String> loaded = Files.readAllLines(log);
      check(loaded.size() > 500, "the class loading log has entries");
      check(
          countLinesContaining(loaded, "LambdaForm$MH") <= 20,
          "expected at most 20 generated method handle classes: "
              + countLinesContaining(loaded, "LambdaForm$MH"));
      check(
          countLinesContaining(loaded, "jdk.jfr.internal.handlers") == 0,
          "no flight recorder event handlers are loaded");
      check(
          countLinesContaining(loaded, "jcommander.JCommander") == 0,
          "no command line parser is loaded without options");
    } finally {
      Files.delete(log);
    }
  }

  private static long countLinesContaining(List<String> lines, String text) {
    return lines.stream().filter(line -> line.contains(text)).count();
  }

  @Example
  void routerServesStatementsAndExitsWithZeroOnSigterm() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      for (int i = 0; i < 2; i++) {
        Process process = RouterProcesses.start(world.startFilePath, "serve");
        try (Client client = RouterProcesses.connect(world.port, process)) {
          check(
              client.sendStartup().sendQuery("").readResponse().isEmpty()
                  && client.readResponse().equals("I"),
              "the router serves");
          String answer = client.sendQuery(statement("a" + i, "view", 1_800)).readResponse();
          check(answer.equals("row:a" + i), "the statement is answered: " + answer);
          process.destroy();
          check(client.readResponse().equals("closed"), "the idle connection is closed");
          check(
              process.waitFor(10, TimeUnit.SECONDS) && process.exitValue() == 0,
              "the process exits with 0");
        } finally {
          process.destroyForcibly();
        }
      }
    }
  }

  @Example
  void sighupReloadsTheStartFileWithoutInterruption() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      Process process = RouterProcesses.start(world.startFilePath, "serve");
      try (Client client = RouterProcesses.connect(world.port, process)) {
        client.sendStartup().readResponse();
        check(
            client.sendQuery(statement("b1", "view", 1_800)).readResponse().equals("row:b1"),
            "the first statement is answered");
        world.moveDiscovery();
        new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start().waitFor();
        Thread.sleep(700);
        check(
            process.isAlive() && world.discoveryCalls.get() == 2,
            "the process stays alive and uses the new discovery address");
        check(
            client.sendQuery(statement("b2", "view", 1_800)).readResponse().equals("row:b2"),
            "the router still serves");
      } finally {
        process.destroyForcibly();
      }
    }
  }

  /**
   * Guards against a SIGHUP that arrives before the handler is installed: by default the JVM then
   * exits.
   */
  @Example
  void sighupDuringStartupDoesNotEndTheProcess() throws Exception {
    // The JVM renames a log file that already exists, so it must create this one itself.
    Path folder = Files.createTempDirectory("classes");
    Path log = folder.resolve("classes.log");
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      Process process =
          RouterProcesses.start(
              List.of("-Xlog:class+load:file=" + log), world.startFilePath, "serve");
      try {
        awaitLine(log, "basaltlever.net.Router ", process);
        sendSignals(process, "HUP");
        try (Client client = RouterProcesses.connect(world.port, process)) {
          client.sendStartup().readResponse();
          check(
              client.sendQuery(statement("e1", "view", 1_800)).readResponse().equals("row:e1"),
              "the router serves");
        }
      } finally {
        process.destroyForcibly();
      }
    } finally {
      Files.deleteIfExists(log);
      Files.delete(folder);
    }
  }

  @Example
  void ignoredSighupIsLogged() throws Exception {
    Path log = Files.createTempFile("router", ".log");
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      for (boolean sighupIgnored : new boolean[] {true, false}) {
        ProcessBuilder builder =
            new ProcessBuilder(
                    "sh",
                    "-c",
                    (sighupIgnored ? "trap '' HUP; " : "")
                        + "exec \"$0\" -cp \"$1\" basaltlever.cli.Main serve",
                    System.getProperty("java.home") + "/bin/java",
                    System.getProperty("java.class.path"))
                .redirectError(log.toFile());
        builder.environment().put("GW_CONFIG", world.startFilePath.toString());
        Process process = builder.start();
        try (Client client = RouterProcesses.connect(world.port, process)) {
          client.sendStartup().readResponse();
          boolean logged = Files.readString(log).contains("event=signal_ignored signal=HUP");
          check(
              logged == sighupIgnored,
              "expected a log entry only if SIGHUP is ignored; ignored: "
                  + sighupIgnored
                  + ", logged: "
                  + logged);
        } finally {
          process.destroyForcibly().waitFor();
        }
      }
    } finally {
      Files.delete(log);
    }
  }

  private static void sendSignals(Process process, String... names) throws Exception {
    for (String name : names) {
      new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }
  }

  @Example
  void sigtermDuringReloadAnswersOpenStatementsAndExitsWithZero() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      Process process = RouterProcesses.start(world.startFilePath, "serve");
      try (Client client = RouterProcesses.connect(world.port, process)) {
        client.sendStartup().readResponse();
        check(
            client.sendQuery(statement("c1", "view", 1_800)).readResponse().equals("row:c1"),
            "the first statement is answered");
        world.servers.get(0).responseMode = LoopbackCluster.ResponseMode.NO_RESPONSE;
        client.sendQuery(statement("c2", "post", 900));
        for (int i = 0; i < 100 && !world.modesByStatement.containsKey("c2"); i++) {
          Thread.sleep(10);
        }
        world.moveDiscovery();
        sendSignals(process, "HUP", "HUP", "TERM", "HUP", "TERM");
        check(
            client.readResponse().startsWith("error:58000"),
            "a write that may have run is reported as such");
        check(client.readResponse().equals("closed"), "the connection is then closed");
        check(
            process.waitFor(10, TimeUnit.SECONDS) && process.exitValue() == 0,
            "the process exits with 0");
      } finally {
        process.destroyForcibly();
      }
    }
  }

  @Example
  void sigtermDuringStartupExitsWithoutDelay() throws Exception {
    try (LoopbackCluster world = new LoopbackCluster(false);
        ServerSocket unresponsive = LoopbackCluster.listen(0)) {
      world.writeStartFile(
          text ->
              text.replaceAll(
                  "\"discovery\":\"[^\"]*\"",
                  "\"discovery\":\"127.0.0.1:" + unresponsive.getLocalPort() + "\""));
      Process process = RouterProcesses.start(world.startFilePath, "serve");
      try (Socket discoveryRequest = unresponsive.accept()) {
        // The router now waits for its first list and accepts no clients yet.
        long signalledAt = System.nanoTime();
        sendSignals(process, "TERM");
        check(
            process.waitFor(10, TimeUnit.SECONDS) && process.exitValue() == 0,
            "the process exits with 0");
        check(System.nanoTime() - signalledAt < 1_500_000_000L, "no drain period without clients");
      } finally {
        process.destroyForcibly();
      }
    }
  }

  @Example
  void invalidCommandLineExitsWithStatusTwo() throws Exception {
    for (String[] arguments :
        new String[][] {{}, {"nonsense"}, {"serve"}, {"check"}, {"version", "x"}}) {
      Process process = RouterProcesses.start(Path.of("target/nowhere"), arguments);
      check(
          process.waitFor(20, TimeUnit.SECONDS) && process.exitValue() == 2,
          List.of(arguments) + " exits with 2");
    }
  }
}
