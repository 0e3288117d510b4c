package basaltlever.pg;

/** The other side sent something that the protocol does not allow. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;
  public final String code;

  public ProtocolException(String code, String message) {
    super(message);
    this.code = code;
  }
}
