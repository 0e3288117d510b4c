package basaltlever.cli;

/** Exit codes of all commands. */
final class ExitCode {
  /** Done. */
  static final int OK = 0;

  /** Refused, or failed at what it was asked to do. */
  static final int REFUSED = 1;

  /** Called with options or files that can't be used. */
  static final int MISUSED = 2;

  private ExitCode() {}
}
