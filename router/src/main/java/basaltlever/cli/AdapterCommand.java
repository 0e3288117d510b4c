package basaltlever.cli;

import basaltlever.adapter.Adapter;
import basaltlever.adapter.MalformedFrameException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;

/** Runs the decisions behind the simulator's protocol. */
@Parameters(commandDescription = "Speaks the simulator's wire on standard input and output")
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
