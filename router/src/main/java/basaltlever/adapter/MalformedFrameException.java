package basaltlever.adapter;

/** The other side sent something that the wire does not allow. */
public final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedFrameException(String message) {
    super(message);
  }
}
