package basaltlever.cli;

/** The command was understood, but not carried out. */
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
