package basaltlever.cli;

/** Thrown if a valid command was not executed. */
final class CommandRefusedException extends CommandException {
  private static final long serialVersionUID = 1L;

  CommandRefusedException(String message) {
    super(message);
  }

  @Override
  int exitCode() {
    return ExitCode.REFUSED;
  }
}
