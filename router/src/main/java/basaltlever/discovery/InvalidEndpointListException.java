package basaltlever.discovery;

/** Thrown if a response of the discovery service is not a valid endpoint list. */
public final class InvalidEndpointListException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that names the invalid part. */
  public InvalidEndpointListException(String message) {
    super(message);
  }
}
