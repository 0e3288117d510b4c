package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/** Writes protocol messages into a buffer of the caller. */
public final class MessageEncoder {
  private static final int AUTHENTICATION_OK = 0;
  private static final byte TRANSACTION_STATUS_IDLE = 'I';

  /** Cancel requests are not supported, so every client gets the same key. */
  private static final int NO_CANCEL_KEY = 0;

  private static final byte TERMINATOR = 0;

  private MessageEncoder() {}

  /** StartupMessage, from a client. */
  public static void writeStartupMessage(ByteBuf out, String user, String database) {
    int lengthIndex = out.writerIndex();
    out.writeInt(0).writeInt(ProtocolCodes.PROTOCOL_VERSION);
    writeString(out, "user");
    writeString(out, user);
    writeString(out, "database");
    writeString(out, database);
    out.writeByte(TERMINATOR);
    endMessage(out, lengthIndex);
  }

  /** The response to a startup message, from AuthenticationOk to ReadyForQuery. */
  public static void writeStartupResponse(ByteBuf out) {
    out.writeByte(ProtocolCodes.AUTHENTICATION).writeInt(2 * Integer.BYTES);
    out.writeInt(AUTHENTICATION_OK);
    writeParameterStatus(out, "server_version", "15.0 (basaltlever)");
    writeParameterStatus(out, "server_encoding", "UTF8");
    writeParameterStatus(out, "client_encoding", "UTF8");
    writeParameterStatus(out, "standard_conforming_strings", "on");
    writeParameterStatus(out, "integer_datetimes", "on");
    out.writeByte(ProtocolCodes.BACKEND_KEY_DATA).writeInt(3 * Integer.BYTES);
    out.writeInt(NO_CANCEL_KEY).writeInt(NO_CANCEL_KEY);
    writeReadyForQuery(out);
  }

  /**
   * NegotiateProtocolVersion: this side speaks an older minor version than was requested, and
   * rejects no named protocol option.
   */
  public static void writeNegotiateProtocolVersion(ByteBuf out) {
    int rejectedOptions = 0;
    out.writeByte(ProtocolCodes.NEGOTIATE_PROTOCOL_VERSION).writeInt(3 * Integer.BYTES);
    out.writeInt(ProtocolCodes.PROTOCOL_VERSION).writeInt(rejectedOptions);
  }

  /** ParameterStatus. */
  public static void writeParameterStatus(ByteBuf out, String name, String value) {
    int lengthIndex = beginMessage(out, ProtocolCodes.PARAMETER_STATUS);
    writeString(out, name);
    writeString(out, value);
    endMessage(out, lengthIndex);
  }

  /** ReadyForQuery, outside of a transaction. */
  public static void writeReadyForQuery(ByteBuf out) {
    out.writeByte(ProtocolCodes.READY_FOR_QUERY).writeInt(Integer.BYTES + 1);
    out.writeByte(TRANSACTION_STATUS_IDLE);
  }

  /** EmptyQueryResponse. */
  public static void writeEmptyQueryResponse(ByteBuf out) {
    out.writeByte(ProtocolCodes.EMPTY_QUERY_RESPONSE).writeInt(Integer.BYTES);
  }

  /** CommandComplete with its command tag. */
  public static void writeCommandComplete(ByteBuf out, String tag) {
    int lengthIndex = beginMessage(out, ProtocolCodes.COMMAND_COMPLETE);
    writeString(out, tag);
    endMessage(out, lengthIndex);
  }

  /**
   * ErrorResponse.
   *
   * @param code the SQLSTATE
   * @param detail null to omit the field
   */
  public static void writeErrorResponse(
      ByteBuf out, String severity, String code, String message, String detail) {
    int lengthIndex = beginMessage(out, ProtocolCodes.ERROR_RESPONSE);
    writeErrorField(out, 'S', severity);
    writeErrorField(out, 'V', severity);
    writeErrorField(out, 'C', code);
    writeErrorField(out, 'M', message);
    if (detail != null) {
      writeErrorField(out, 'D', detail);
    }
    out.writeByte(TERMINATOR);
    endMessage(out, lengthIndex);
  }

  /** Query. */
  public static void writeQuery(ByteBuf out, String text) {
    int lengthIndex = beginMessage(out, ProtocolCodes.QUERY);
    writeString(out, text);
    endMessage(out, lengthIndex);
  }

  /**
   * Query with the text of a client in which the timeout is replaced.
   *
   * @param timeoutStart offset of the first digit of the timeout in the text
   * @param timeoutEnd offset behind its last digit
   */
  public static void writeQuery(
      ByteBuf out, ByteBuf text, int timeoutStart, int timeoutEnd, long timeoutMillis) {
    int lengthIndex = beginMessage(out, ProtocolCodes.QUERY);
    int textStart = text.readerIndex();
    out.writeBytes(text, textStart, timeoutStart);
    out.writeCharSequence(Long.toString(timeoutMillis), StandardCharsets.US_ASCII);
    out.writeBytes(text, textStart + timeoutEnd, text.readableBytes() - timeoutEnd);
    out.writeByte(TERMINATOR);
    endMessage(out, lengthIndex);
  }

  /** Writes type and a placeholder of the length, and returns the index of the latter. */
  private static int beginMessage(ByteBuf out, byte type) {
    out.writeByte(type);
    int lengthIndex = out.writerIndex();
    out.writeInt(0);
    return lengthIndex;
  }

  /** Ends a message: its length counts itself, but not the type. */
  private static void endMessage(ByteBuf out, int lengthIndex) {
    out.setInt(lengthIndex, out.writerIndex() - lengthIndex);
  }

  private static void writeString(ByteBuf out, String text) {
    ByteBufUtil.writeUtf8(out, text);
    out.writeByte(TERMINATOR);
  }

  private static void writeErrorField(ByteBuf out, char type, String value) {
    out.writeByte(type);
    writeString(out, value);
  }
}
