package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/** Writes protocol messages into a buffer that the caller provides. */
public final class MessageEncoder {
  private static final int AUTHENTICATION_OK = 0;
  private static final byte TRANSACTION_STATUS_IDLE = 'I';

  /** Cancel requests are not supported, so every client gets the same key. */
  private static final int NO_CANCEL_KEY = 0;

  private static final byte TERMINATOR = 0;

  private MessageEncoder() {}

  /** Writes a StartupMessage. */
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

  /** Writes the response to a StartupMessage, from AuthenticationOk to ReadyForQuery. */
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
   * Writes a NegotiateProtocolVersion: the router supports only an older minor version than the
   * client requested. It names no unrecognized protocol option.
   */
  public static void writeNegotiateProtocolVersion(ByteBuf out) {
    int rejectedOptions = 0;
    out.writeByte(ProtocolCodes.NEGOTIATE_PROTOCOL_VERSION).writeInt(3 * Integer.BYTES);
    out.writeInt(ProtocolCodes.PROTOCOL_VERSION).writeInt(rejectedOptions);
  }

  /** Writes a ParameterStatus. */
  public static void writeParameterStatus(ByteBuf out, String name, String value) {
    int lengthIndex = beginMessage(out, ProtocolCodes.PARAMETER_STATUS);
    writeString(out, name);
    writeString(out, value);
    endMessage(out, lengthIndex);
  }

  /** Writes a ReadyForQuery with the status of a session outside a transaction. */
  public static void writeReadyForQuery(ByteBuf out) {
    out.writeByte(ProtocolCodes.READY_FOR_QUERY).writeInt(Integer.BYTES + 1);
    out.writeByte(TRANSACTION_STATUS_IDLE);
  }

  /** Writes an EmptyQueryResponse. */
  public static void writeEmptyQueryResponse(ByteBuf out) {
    out.writeByte(ProtocolCodes.EMPTY_QUERY_RESPONSE).writeInt(Integer.BYTES);
  }

  /** Writes a CommandComplete with its command tag. */
  public static void writeCommandComplete(ByteBuf out, String tag) {
    int lengthIndex = beginMessage(out, ProtocolCodes.COMMAND_COMPLETE);
    writeString(out, tag);
    endMessage(out, lengthIndex);
  }

  /**
   * Writes an ErrorResponse.
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

  /** Writes a Query. */
  public static void writeQuery(ByteBuf out, String text) {
    int lengthIndex = beginMessage(out, ProtocolCodes.QUERY);
    writeString(out, text);
    endMessage(out, lengthIndex);
  }

  /**
   * Writes a Query with a client's text in which the timeout is replaced.
   *
   * @param timeoutStart offset of the first digit of the timeout in the text
   * @param timeoutEnd offset after its last digit
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

  /** Writes the type and a placeholder for the length, and returns the index of the placeholder. */
  private static int beginMessage(ByteBuf out, byte type) {
    out.writeByte(type);
    int lengthIndex = out.writerIndex();
    out.writeInt(0);
    return lengthIndex;
  }

  /** Sets the length of a message, which includes the length field but not the type byte. */
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
