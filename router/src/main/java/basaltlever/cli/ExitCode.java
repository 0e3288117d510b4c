package basaltlever.cli;

/** Exit codes of the commands. */
final class ExitCode {
  static final int OK = 0;

  /** The command was understood, but not carried out. */
  static final int REFUSED = 1;

  /** The command line or a file that it names is wrong. */
  static final int MISUSED = 2;

  private ExitCode() {}
}
