package basaltlever.discovery;

/** Discovery sent something that is no answer of its protocol. */
public final class InvalidEndpointListException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidEndpointListException(String message) {
    super(message);
  }
}
