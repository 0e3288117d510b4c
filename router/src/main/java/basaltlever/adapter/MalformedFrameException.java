package basaltlever.adapter;

/** Thrown when the input violates the wire protocol. */
public final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedFrameException(String message) {
    super(message);
  }
}
