package basaltlever.cli;

/** Exit codes of the commands. */
final class ExitCode {
  static final int OK = 0;

  /** The command is valid, but was not executed. */
  static final int REFUSED = 1;

  /** The command line, or a file that it names, is invalid. */
  static final int MISUSED = 2;

  private ExitCode() {}
}
