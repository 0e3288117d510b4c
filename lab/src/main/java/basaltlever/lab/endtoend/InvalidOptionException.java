package basaltlever.lab.endtoend;

/** Thrown for an invalid option; the message states the key, its value and the valid values. */
public final class InvalidOptionException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidOptionException(String message) {
    super(message);
  }
}
