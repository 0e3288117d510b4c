package basaltlever.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;

/** Runs a router until the process is terminated; SIGHUP makes it reload its settings. */
@Parameters(commandDescription = "Runs the router that the start file describes")
final class ServeCommand implements Command {
  @Parameter(names = "--file", description = "start file; default: $GW_CONFIG")
  private String file = System.getenv("GW_CONFIG");

  @Parameter(names = "--operator", description = "operator's file in INI format; default: none")
  private String operator;

  @Parameter(
      names = "--follow",
      description = "logs the steps of each statement that takes at least this many milliseconds")
  private Integer traceMillis;

  @Override
  public boolean needsOperatorLibraries() {
    return operator != null;
  }

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    return new RouterProcess(file, operator, traceMillis).run(err);
  }
}
