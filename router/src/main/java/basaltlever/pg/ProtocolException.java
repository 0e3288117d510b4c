package basaltlever.pg;

/** The peer sent something that the protocol does not allow, or that exceeds a limit. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The SQLSTATE to report to a client, one of {@link ProtocolCodes}. */
  public final String sqlState;

  /** Creates one with its SQLSTATE and a message that may be sent to a client. */
  public ProtocolException(String sqlState, String message) {
    super(message);
    this.sqlState = sqlState;
  }

  /** The peer broke the protocol. */
  static ProtocolException violation(String message) {
    return new ProtocolException(ProtocolCodes.PROTOCOL_VIOLATION, message);
  }
}
