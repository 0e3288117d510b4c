package basaltlever.lab;

import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.sockets.SocketRun;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Creates the class data sharing archive of the router. A router serves statements for some seconds
 * while faults are injected into its simulated servers, and the classes that it loaded are
 * archived. The first occurrence of a rare event loads, verifies and links on the event loop each
 * class it needs that is not in the archive.
 */
@Parameters(commandDescription = "Creates a class data sharing archive for the router")
final class ArchiveCommand {
  @Parameter(description = "FILE (the archive to create)", required = true)
  private String archivePath;

  @Parameter(
      names = "--router-jar",
      description = "the router's jar, with the same path as in the command that starts the router")
  private Path routerJar = Path.of("target/basaltlever.jar");

  @Parameter(names = "--seconds", description = "duration of the workload")
  private int workloadSeconds = 4;

  int run() throws Exception {
    if (workloadSeconds < 1 || workloadSeconds > 600) {
      System.err.println(
          "basaltlever-lab: --seconds must be from 1 to 600, not " + workloadSeconds);
      return 2;
    }
    if (!Files.isReadable(routerJar)) {
      System.err.println("basaltlever-lab: --router-jar: " + routerJar + " is not readable");
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
      System.err.println("basaltlever-lab: the router created no archive; its log:\n" + routerLog);
      return 1;
    }
    System.out.println(archiveFile + ": " + Files.size(archiveFile) / 1_024 + " KB");
    return 0;
  }
}
