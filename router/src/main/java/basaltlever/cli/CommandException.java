package basaltlever.cli;

/** Thrown to end a command with a message for its user. */
abstract class CommandException extends Exception {
  private static final long serialVersionUID = 1L;

  CommandException(String message) {
    super(message);
  }

  /** Returns one of {@link ExitCode}. */
  abstract int exitCode();
}
