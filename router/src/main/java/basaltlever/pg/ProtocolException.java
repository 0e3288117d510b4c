package basaltlever.pg;

/** Thrown if a peer violates the protocol or exceeds a limit. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The SQLSTATE to report to a client, one of {@link ProtocolCodes}. */
  public final String sqlState;

  /** Creates an exception with its SQLSTATE and a message that may be sent to a client. */
  public ProtocolException(String sqlState, String message) {
    // Clients cause these at will, and filling in a stack trace costs more than handling the input.
    super(message, null, false, false);
    this.sqlState = sqlState;
  }

  /** Returns an exception for a protocol violation. */
  static ProtocolException violation(String message) {
    return new ProtocolException(ProtocolCodes.PROTOCOL_VIOLATION, message);
  }
}
