package basaltlever.cli;

import basaltlever.adapter.Adapter;
import basaltlever.adapter.MalformedFrameException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;

/** Runs the load balancer behind the simulator's protocol. */
@Parameters(
    commandDescription =
        "Runs the load balancer with the simulator's protocol on standard input and output")
final class AdapterCommand implements Command {
  @Override
  public int run(PrintStream out, PrintStream err) {
    try {
      new Adapter(System.in, out).run();
      return ExitCode.OK;
    } catch (MalformedFrameException | IOException fault) {
      err.println("basaltlever: " + fault.getMessage());
      return ExitCode.REFUSED;
    }
  }
}
