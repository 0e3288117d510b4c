package basaltlever.pg;

/**
 * The request codes, message types and SQLSTATEs of version 3 of the PostgreSQL wire protocol that
 * the router uses.
 */
public final class ProtocolCodes {
  /** Version 3.0 in a startup message. */
  public static final int PROTOCOL_VERSION = 196_608;

  /** Code of a CancelRequest, sent instead of a version. */
  public static final int CANCEL_REQUEST = 80_877_102;

  /** Code of an SSLRequest, sent instead of a version. */
  public static final int SSL_REQUEST = 80_877_103;

  /** Code of a GSSENCRequest, sent instead of a version. */
  public static final int GSS_ENCRYPTION_REQUEST = 80_877_104;

  /** Query, from a client. */
  public static final byte QUERY = 'Q';

  /** Terminate, from a client. */
  public static final byte TERMINATE = 'X';

  /** Sync, from a client. */
  public static final byte SYNC = 'S';

  /** RowDescription, from a server. */
  public static final byte ROW_DESCRIPTION = 'T';

  /** DataRow, from a server. */
  public static final byte DATA_ROW = 'D';

  /** CommandComplete, from a server. */
  public static final byte COMMAND_COMPLETE = 'C';

  /** ErrorResponse, from a server. */
  public static final byte ERROR_RESPONSE = 'E';

  /** NoticeResponse, from a server. */
  public static final byte NOTICE_RESPONSE = 'N';

  /** ParameterStatus, from a server. */
  public static final byte PARAMETER_STATUS = 'S';

  /** AuthenticationOk and the requests to authenticate, from a server. */
  public static final byte AUTHENTICATION = 'R';

  /** BackendKeyData, from a server. */
  public static final byte BACKEND_KEY_DATA = 'K';

  /** ReadyForQuery, from a server. */
  public static final byte READY_FOR_QUERY = 'Z';

  /** EmptyQueryResponse, from a server. */
  public static final byte EMPTY_QUERY_RESPONSE = 'I';

  /** NegotiateProtocolVersion, from a server. */
  static final byte NEGOTIATE_PROTOCOL_VERSION = 'v';

  /** SQLSTATE protocol_violation. */
  public static final String PROTOCOL_VIOLATION = "08P01";

  /** SQLSTATE feature_not_supported. */
  public static final String FEATURE_NOT_SUPPORTED = "0A000";

  /** SQLSTATE program_limit_exceeded. */
  static final String PROGRAM_LIMIT_EXCEEDED = "54000";

  /** SQLSTATE too_many_connections, used for every kind of overload. Safe to retry. */
  public static final String TOO_MANY_CONNECTIONS = "53300";

  /** SQLSTATE cannot_connect_now: the server is starting or shutting down. Safe to retry. */
  public static final String CANNOT_CONNECT_NOW = "57P03";

  /** SQLSTATE system_error: the statement may or may not have taken effect. */
  public static final String SYSTEM_ERROR = "58000";

  private ProtocolCodes() {}
}
