package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** What a node says to one query, up to its ReadyForQuery. */
public final class QueryResponse {
  private static final int LONGEST_TEXT = 1_024;

  /** Bytes of all its messages together: twice what the longest row may take up. */
  private static final int MOST = 1 << 21;

  /** What stands behind a column's name in its description. */
  private static final int COLUMN_TYPE = 18;

  private static final Pattern MILLIS = Pattern.compile("[0-9]{1,15}");

  /** The row as it was read, each slice owned here until it is taken or released. */
  private final List<ByteBuf> row = new ArrayList<>(3);

  private final StringBuilder order = new StringBuilder();
  private String error;
  private boolean spoilt;
  private int size;
  public String role = "";

  /** Unix milliseconds, 0 where none was told. */
  public long position;

  /** True once the answer is whole. */
  public boolean add(ByteBuf message) throws ProtocolException {
    size += message.readableBytes();
    byte type = message.getByte(message.readerIndex());
    switch (type) {
      case ProtocolCodes.ROW_DESCRIPTION, ProtocolCodes.DATA_ROW, ProtocolCodes.COMPLETE -> {
        order.append((char) type);
        spoilt |= order.length() > 3 || !isSound(type, message);
        if (!spoilt) {
          row.add(message.retainedSlice());
        }
      }
      case ProtocolCodes.ERROR -> {
        spoilt |= error != null || order.length() > 0;
        error = field(message, 'C');
      }
      case ProtocolCodes.STATUS -> status(message);
      case ProtocolCodes.READY -> {
        spoilt |= message.readableBytes() != MessageDecoder.HEAD + 1;
        return true;
      }
      case ProtocolCodes.EMPTY -> spoilt = true;
      case ProtocolCodes.NOTICE, ProtocolCodes.KEY -> {}
      default ->
          throw new ProtocolException(
              ProtocolCodes.VIOLATION, "a node sent a message of type " + type);
    }
    return false;
  }

  /** One row of one column, whole: only then was anything completed. */
  public boolean isRow() {
    return !spoilt && error == null && order.toString().equals("TDC");
  }

  /**
   * What comes can't become one row or one error any more: its end, which might never come, says
   * nothing.
   */
  public boolean isHopeless() {
    return spoilt || size > MOST;
  }

  /** The code of an error that stands alone, or null: an error behind a row proves nothing. */
  public String error() {
    return spoilt ? null : error;
  }

  /** Its slices, which are the caller's from here on. */
  public List<ByteBuf> takeRow() {
    List<ByteBuf> taken = List.copyOf(row);
    row.clear();
    return taken;
  }

  /** The row's only value as text; empty where there is none. */
  public String text() {
    if (!isRow() || row.size() < 2) {
      return "";
    }
    ByteBuf data = row.get(1);
    int at = data.readerIndex() + MessageDecoder.HEAD + 2;
    int length = data.getInt(at);
    return length > LONGEST_TEXT ? "" : data.toString(at + 4, length, StandardCharsets.UTF_8);
  }

  public void release() {
    row.forEach(ByteBuf::release);
    row.clear();
  }

  /**
   * One column named and typed, one value that fills its message, a tag in plain letters: nothing
   * else.
   */
  private static boolean isSound(byte type, ByteBuf message) {
    int at = message.readerIndex() + MessageDecoder.HEAD;
    int size = message.writerIndex() - at;
    if (type == ProtocolCodes.COMPLETE) {
      int end = message.indexOf(at, message.writerIndex(), (byte) 0);
      return size > 1
          && end == message.writerIndex() - 1
          && message.forEachByte(at, size - 1, b -> b >= ' ' && b < 127) < 0;
    }
    if (size < 6 || message.getShort(at) != 1) {
      return false;
    }
    if (type == ProtocolCodes.DATA_ROW) {
      return message.getInt(at + 2) == size - 6;
    }
    int end = message.indexOf(at + 2, message.writerIndex(), (byte) 0);
    return end >= 0 && message.writerIndex() - end - 1 == COLUMN_TYPE;
  }

  private void status(ByteBuf message) {
    int at = message.readerIndex() + MessageDecoder.HEAD;
    int end = message.indexOf(at, message.writerIndex(), (byte) 0);
    int last = end < 0 ? -1 : message.indexOf(end + 1, message.writerIndex(), (byte) 0);
    if (last < 0 || last - at > LONGEST_TEXT) {
      return;
    }
    String name = message.toString(at, end - at, StandardCharsets.UTF_8);
    String told = message.toString(end + 1, last - end - 1, StandardCharsets.UTF_8);
    switch (name) {
      case "part" -> role = told;
      case "caught_up_to" -> position = MILLIS.matcher(told).matches() ? Long.parseLong(told) : 0;
      default -> {}
    }
  }

  /** A field of an error or notice, empty where it is missing. */
  public static String field(ByteBuf message, char name) {
    int at = message.readerIndex() + MessageDecoder.HEAD;
    while (at < message.writerIndex() && message.getByte(at) != 0) {
      int end = message.indexOf(at + 1, message.writerIndex(), (byte) 0);
      if (end < 0) {
        return "";
      }
      if (message.getByte(at) == name) {
        return message.toString(
            at + 1, Math.min(LONGEST_TEXT, end - at - 1), StandardCharsets.UTF_8);
      }
      at = end + 1;
    }
    return "";
  }
}
