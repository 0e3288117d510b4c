package basaltlever.cli;

import java.io.IOException;
import java.io.PrintStream;

/** A command of the command line; its options are fields of the class. */
interface Command {
  /** Runs the command and returns its {@link ExitCode}. */
  int run(PrintStream out, PrintStream err) throws IOException, InterruptedException;

  /** Returns whether the command, with its options, needs {@link OperatorLibraries}. */
  default boolean needsOperatorLibraries() {
    return false;
  }
}
