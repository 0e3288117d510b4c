package basaltlever.golden;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs commands of the program, each in a separate process on the class path of the tests. */
final class CommandRunner {
  private static final int TIMEOUT_SECONDS = 60;

  private CommandRunner() {}

  /** Returns the merged standard output and error, followed by a line with the exit code. */
  static String run(Class<?> main, List<String> arguments)
      throws IOException, InterruptedException {
    List<String> line = new ArrayList<>();
    line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    line.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    line.addAll(arguments);
    Process process = new ProcessBuilder(line).redirectErrorStream(true).start();
    String printed = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      throw new IOException("command did not end in time: " + arguments);
    }
    return printed + "exit " + process.exitValue() + "\n";
  }
}
