package basaltlever.discovery;

/** The discovery service sent something that is not a valid endpoint list response. */
public final class InvalidEndpointListException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names what is invalid. */
  public InvalidEndpointListException(String message) {
    super(message);
  }
}
