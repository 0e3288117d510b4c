package basaltlever.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;

/** Runs a router until it is told to end; SIGHUP makes it read its settings again. */
@Parameters(commandDescription = "Runs the router that the start file describes")
final class ServeCommand implements Command {
  @Parameter(names = "--file", description = "start file; $GW_CONFIG where it is not given")
  private String file = System.getenv("GW_CONFIG");

  @Parameter(
      names = "--operator",
      description = "the operator's own file, INI; none where it is not given")
  private String operator;

  @Parameter(
      names = "--follow",
      description = "logs the life of each statement that takes so many milliseconds or more")
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
