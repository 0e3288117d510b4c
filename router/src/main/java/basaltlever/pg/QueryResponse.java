package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The response of a server to one query, up to its ReadyForQuery.
 *
 * <p>A usable response is either exactly one row of one column or exactly one error. Any other
 * response is malformed, since it does not prove whether the statement took effect.
 */
public final class QueryResponse {
  private static final int MAX_TEXT_BYTES = 1_024;

  /** Limit for the sum of all messages of a response. */
  static final int MAX_RESPONSE_BYTES = 1 << 21;

  /** Size of the fields after a column's name in a RowDescription. */
  private static final int COLUMN_DESCRIPTION_BYTES = 18;

  private static final int COLUMN_COUNT_BYTES = Short.BYTES;
  private static final int VALUE_LENGTH_BYTES = Integer.BYTES;
  private static final int MIN_ROW_BODY_BYTES = COLUMN_COUNT_BYTES + VALUE_LENGTH_BYTES;
  private static final int READY_MESSAGE_BYTES = MessageDecoder.HEADER_BYTES + 1;
  private static final byte TERMINATOR = 0;
  private static final char SQLSTATE_FIELD = 'C';
  private static final char SEVERITY_FIELD = 'S';
  private static final Pattern UNIX_MILLIS = Pattern.compile("[0-9]{1,15}");

  /** The message types of a response of one row, in order. */
  private static final byte[] ROW_SEQUENCE = {
    ProtocolCodes.ROW_DESCRIPTION, ProtocolCodes.DATA_ROW, ProtocolCodes.COMMAND_COMPLETE
  };

  private static final int DATA_ROW_INDEX = 1;

  /**
   * The received messages of the row. Each is owned by this object until {@link #takeRow} or {@link
   * #release}.
   */
  private final List<ByteBuf> rowBuffers = new ArrayList<>(ROW_SEQUENCE.length);

  private int rowMessageCount;
  private boolean rowInSequence = true;
  private String sqlState;
  private boolean malformed;
  private int responseBytes;

  private String role = "";

  private long positionMillis;

  /**
   * Adds the next message of the response.
   *
   * @return true once the response is complete
   */
  public boolean add(ByteBuf message) throws ProtocolException {
    responseBytes += message.readableBytes();
    byte type = message.getByte(message.readerIndex());
    switch (type) {
      case ProtocolCodes.ROW_DESCRIPTION, ProtocolCodes.DATA_ROW, ProtocolCodes.COMMAND_COMPLETE ->
          addRowMessage(type, message);
      case ProtocolCodes.ERROR_RESPONSE -> addError(message);
      case ProtocolCodes.PARAMETER_STATUS -> addParameterStatus(message);
      case ProtocolCodes.READY_FOR_QUERY -> {
        malformed |= message.readableBytes() != READY_MESSAGE_BYTES;
        return true;
      }
      case ProtocolCodes.EMPTY_QUERY_RESPONSE -> malformed = true;
      case ProtocolCodes.NOTICE_RESPONSE, ProtocolCodes.BACKEND_KEY_DATA -> {}
      default ->
          throw ProtocolException.violation(
              "an endpoint sent a message of unexpected type " + type);
    }
    return false;
  }

  private void addRowMessage(byte type, ByteBuf message) {
    rowInSequence &= rowMessageCount < ROW_SEQUENCE.length && ROW_SEQUENCE[rowMessageCount] == type;
    rowMessageCount++;
    malformed |= sqlState != null;
    malformed |= rowMessageCount > ROW_SEQUENCE.length || !isWellFormed(type, message);
    if (!malformed) {
      rowBuffers.add(message.retainedSlice());
    }
  }

  private void addError(ByteBuf message) {
    malformed |= sqlState != null || rowMessageCount > 0;
    sqlState = errorField(message, SQLSTATE_FIELD);
  }

  private void addParameterStatus(ByteBuf message) {
    int nameStart = message.readerIndex() + MessageDecoder.HEADER_BYTES;
    int nameEnd = findTerminator(message, nameStart);
    int valueEnd = nameEnd < 0 ? -1 : findTerminator(message, nameEnd + 1);
    if (valueEnd < 0 || valueEnd - nameStart > MAX_TEXT_BYTES) {
      return;
    }
    String name = message.toString(nameStart, nameEnd - nameStart, StandardCharsets.UTF_8);
    String value = message.toString(nameEnd + 1, valueEnd - nameEnd - 1, StandardCharsets.UTF_8);
    switch (name) {
      case "part" -> role = value;
      case "caught_up_to" ->
          positionMillis = UNIX_MILLIS.matcher(value).matches() ? Long.parseLong(value) : 0;
      default -> {}
    }
  }

  /**
   * Returns whether this is one complete row of one column, which alone proves that the statement
   * completed.
   */
  public boolean isSingleRow() {
    return !malformed
        && sqlState == null
        && rowInSequence
        && rowMessageCount == ROW_SEQUENCE.length;
  }

  /**
   * Returns whether the response can no longer become one row or one error, so that the caller can
   * stop reading it.
   */
  public boolean isUnusable() {
    return malformed || responseBytes > MAX_RESPONSE_BYTES;
  }

  /**
   * Returns the SQLSTATE if the response is exactly one error, otherwise null: an error beside a
   * row does not prove that the statement failed.
   */
  public String sqlState() {
    return malformed ? null : sqlState;
  }

  /** Returns the role that the server reported for itself; empty if it reported none. */
  public String role() {
    return role;
  }

  /** Returns the replication position in Unix milliseconds; 0 if the server reported none. */
  public long positionMillis() {
    return positionMillis;
  }

  /** Removes and returns the messages of the row; the caller has to release them. */
  public List<ByteBuf> takeRow() {
    List<ByteBuf> buffers = List.copyOf(rowBuffers);
    rowBuffers.clear();
    return buffers;
  }

  /** Returns the value of the row as text; empty if there is no row or the value is too long. */
  public String value() {
    if (!isSingleRow() || rowBuffers.size() <= DATA_ROW_INDEX) {
      return "";
    }
    ByteBuf data = rowBuffers.get(DATA_ROW_INDEX);
    int lengthIndex = data.readerIndex() + MessageDecoder.HEADER_BYTES + COLUMN_COUNT_BYTES;
    int length = data.getInt(lengthIndex);
    return length > MAX_TEXT_BYTES
        ? ""
        : data.toString(lengthIndex + VALUE_LENGTH_BYTES, length, StandardCharsets.UTF_8);
  }

  /** Releases the messages that are still owned by this object. */
  public void release() {
    rowBuffers.forEach(ByteBuf::release);
    rowBuffers.clear();
  }

  private static boolean isWellFormed(byte type, ByteBuf message) {
    int bodyStart = message.readerIndex() + MessageDecoder.HEADER_BYTES;
    int bodyBytes = message.writerIndex() - bodyStart;
    if (type == ProtocolCodes.COMMAND_COMPLETE) {
      return isPrintableTag(message, bodyStart, bodyBytes);
    }
    if (bodyBytes < MIN_ROW_BODY_BYTES || message.getShort(bodyStart) != 1) {
      return false;
    }
    return type == ProtocolCodes.DATA_ROW
        ? message.getInt(bodyStart + COLUMN_COUNT_BYTES) == bodyBytes - MIN_ROW_BODY_BYTES
        : isOneColumn(message, bodyStart + COLUMN_COUNT_BYTES);
  }

  /** Returns whether the body is one non-empty, zero-terminated string of printable ASCII. */
  private static boolean isPrintableTag(ByteBuf message, int bodyStart, int bodyBytes) {
    return bodyBytes > 1
        && findTerminator(message, bodyStart) == message.writerIndex() - 1
        && message.forEachByte(bodyStart, bodyBytes - 1, b -> b >= ' ' && b < 127) < 0;
  }

  /**
   * Returns whether the rest of the message, from this index, is the name and description of one
   * column.
   */
  private static boolean isOneColumn(ByteBuf message, int nameStart) {
    int nameEnd = findTerminator(message, nameStart);
    return nameEnd >= 0 && message.writerIndex() - nameEnd - 1 == COLUMN_DESCRIPTION_BYTES;
  }

  /** Returns whether the message is an error after which the server ends the connection. */
  public static boolean isFatalError(ByteBuf message) {
    return message.getByte(message.readerIndex()) == ProtocolCodes.ERROR_RESPONSE
        && errorField(message, SEVERITY_FIELD).equals("FATAL");
  }

  /** Returns a field of an ErrorResponse or NoticeResponse; empty if the field is missing. */
  public static String errorField(ByteBuf message, char type) {
    int fieldStart = message.readerIndex() + MessageDecoder.HEADER_BYTES;
    while (fieldStart < message.writerIndex() && message.getByte(fieldStart) != TERMINATOR) {
      int valueStart = fieldStart + 1;
      int valueEnd = findTerminator(message, valueStart);
      if (valueEnd < 0) {
        return "";
      }
      if (message.getByte(fieldStart) == type) {
        int length = Math.min(MAX_TEXT_BYTES, valueEnd - valueStart);
        return message.toString(valueStart, length, StandardCharsets.UTF_8);
      }
      fieldStart = valueEnd + 1;
    }
    return "";
  }

  /** Returns the index of the first zero byte at or after {@code from}, or -1. */
  private static int findTerminator(ByteBuf message, int from) {
    return message.indexOf(from, message.writerIndex(), TERMINATOR);
  }
}
