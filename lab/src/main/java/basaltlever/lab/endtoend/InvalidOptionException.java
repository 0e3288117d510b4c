package basaltlever.lab.endtoend;

/** An option that can't be used; the message names the key, the value and what the key takes. */
public final class InvalidOptionException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidOptionException(String message) {
    super(message);
  }
}
