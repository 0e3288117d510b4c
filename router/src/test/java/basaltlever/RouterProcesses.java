package basaltlever;

import basaltlever.LoopbackCluster.Client;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Starts the program as a separate process, from the jar in the property basaltlever.jar or else
 * from the class path.
 */
final class RouterProcesses {
  private RouterProcesses() {}

  static Process start(Path startFile, String... arguments) throws IOException {
    return start(List.of(), startFile, arguments);
  }

  static Process start(List<String> flags, Path startFile, String... arguments) throws IOException {
    String jar = System.getProperty("basaltlever.jar");
    List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
    command.addAll(flags);
    command.addAll(
        jar != null
            ? List.of("-jar", jar)
            : List.of("-cp", System.getProperty("java.class.path"), "basaltlever.cli.Main"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
    builder.environment().put("GW_CONFIG", startFile.toString());
    return builder.start();
  }

  static Client connect(int port, Process process) throws Exception {
    for (int i = 0; i < 200 && process.isAlive(); i++) {
      try {
        return new Client(port);
      } catch (IOException notYet) {
        Thread.sleep(50);
      }
    }
    throw new AssertionError("the router must start to listen");
  }
}
