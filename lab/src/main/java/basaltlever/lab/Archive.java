package basaltlever.lab;

import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.sockets.SocketRun;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Has a router serve for some seconds among simulated servers that fail in all ways, and records
 * what classes that took. What is not in the record is read, checked and linked on the router's
 * loop, in the very moment in which something rare happens for the first time.
 */
@Parameters(commandDescription = "Records the classes that a router needs, for its starts")
final class Archive {
  @Parameter(description = "FILE (where the record goes)", required = true)
  private String name;

  @Parameter(
      names = "--router-jar",
      description = "the router's jar, named as its command will name it")
  private Path jar = Path.of("target/basaltlever.jar");

  @Parameter(names = "--seconds", description = "how long statements arrive")
  private int seconds = 4;

  int run() throws Exception {
    if (seconds < 1 || seconds > 600) {
      System.err.println("basaltlever-lab: --seconds takes 1 to 600, not " + seconds);
      return 2;
    }
    if (!Files.isReadable(jar)) {
      System.err.println("basaltlever-lab: --router-jar: " + jar + " can't be read");
      return 2;
    }
    Path file = Path.of(name);
    Files.deleteIfExists(file);
    Scenario scenario =
        Scenario.read(
            Scenario.text("primary-changes"),
            List.of(
                "routers=1",
                "groups=1",
                "seconds=" + seconds,
                "faults_from_ms=200",
                "faults_to_ms=500",
                "faults.restart=0"));
    List<String> flags = List.of("-XX:ArchiveClassesAtExit=" + file, "-Xlog:disable");
    String log;
    try (SocketRun run = new SocketRun(scenario, 1, jar, flags)) {
      run.play();
      log = run.routers().get(0).log();
    }
    if (!Files.isReadable(file)) {
      System.err.println("basaltlever-lab: the router left no record:\n" + log);
      return 1;
    }
    System.out.println(file + ": " + Files.size(file) / 1_024 + " KB");
    return 0;
  }
}
