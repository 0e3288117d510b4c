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
final class ArchiveCommand {
  @Parameter(description = "FILE (where the record goes)", required = true)
  private String archivePath;

  @Parameter(
      names = "--router-jar",
      description = "the router's jar, named as its command will name it")
  private Path routerJar = Path.of("target/basaltlever.jar");

  @Parameter(names = "--seconds", description = "how long statements arrive")
  private int workloadSeconds = 4;

  int run() throws Exception {
    if (workloadSeconds < 1 || workloadSeconds > 600) {
      System.err.println("basaltlever-lab: --seconds takes 1 to 600, not " + workloadSeconds);
      return 2;
    }
    if (!Files.isReadable(routerJar)) {
      System.err.println("basaltlever-lab: --router-jar: " + routerJar + " can't be read");
      return 2;
    }
    Path archiveFile = Path.of(archivePath);
    Files.deleteIfExists(archiveFile);
    Scenario scenario =
        Scenario.parse(
            Scenario.readText("primary-changes"),
            List.of(
                "routers=1",
                "groups=1",
                "seconds=" + workloadSeconds,
                "faults_from_ms=200",
                "faults_to_ms=500",
                "faults.restart=0"));
    List<String> jvmFlags = List.of("-XX:ArchiveClassesAtExit=" + archiveFile, "-Xlog:disable");
    String routerLog;
    try (SocketRun run = new SocketRun(scenario, 1, routerJar, jvmFlags)) {
      run.runScenario();
      routerLog = run.routers().get(0).readLog();
    }
    if (!Files.isReadable(archiveFile)) {
      System.err.println("basaltlever-lab: the router left no record:\n" + routerLog);
      return 1;
    }
    System.out.println(archiveFile + ": " + Files.size(archiveFile) / 1_024 + " KB");
    return 0;
  }
}
