package basaltlever.cli;

/** Thrown if the command line, or a file that it names, is invalid. */
final class CommandMisusedException extends CommandException {
  private static final long serialVersionUID = 1L;

  CommandMisusedException(String message) {
    super(message);
  }

  @Override
  int exitCode() {
    return ExitCode.MISUSED;
  }
}
