package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/** Writes messages into a buffer of the caller's. */
public final class MessageEncoder {
  private MessageEncoder() {}

  private static int begin(ByteBuf out, byte type) {
    out.writeByte(type);
    out.writeInt(0);
    return out.writerIndex() - 4;
  }

  private static void end(ByteBuf out, int from) {
    out.setInt(from, out.writerIndex() - from);
  }

  private static void text(ByteBuf out, String text) {
    ByteBufUtil.writeUtf8(out, text);
    out.writeByte(0);
  }

  public static void startup(ByteBuf out, String user, String database) {
    int from = out.writerIndex();
    out.writeInt(0).writeInt(ProtocolCodes.VERSION);
    text(out, "user");
    text(out, user);
    text(out, "database");
    text(out, database);
    out.writeByte(0);
    end(out, from);
  }

  /** All that a client is told before its first query. */
  public static void welcome(ByteBuf out) {
    out.writeByte(ProtocolCodes.AUTHENTICATION).writeInt(8).writeInt(0);
    status(out, "server_version", "15.0 (basaltlever)");
    status(out, "server_encoding", "UTF8");
    status(out, "client_encoding", "UTF8");
    status(out, "standard_conforming_strings", "on");
    status(out, "integer_datetimes", "on");
    out.writeByte(ProtocolCodes.KEY).writeInt(12).writeInt(0).writeInt(0);
    ready(out);
  }

  /** Older minor versions than asked for are spoken here, and no option of the protocol. */
  public static void negotiate(ByteBuf out) {
    out.writeByte('v').writeInt(12).writeInt(ProtocolCodes.VERSION).writeInt(0);
  }

  public static void status(ByteBuf out, String name, String value) {
    int from = begin(out, ProtocolCodes.STATUS);
    text(out, name);
    text(out, value);
    end(out, from);
  }

  public static void ready(ByteBuf out) {
    out.writeByte(ProtocolCodes.READY).writeInt(5).writeByte('I');
  }

  public static void empty(ByteBuf out) {
    out.writeByte(ProtocolCodes.EMPTY).writeInt(4);
  }

  public static void complete(ByteBuf out, String tag) {
    int from = begin(out, ProtocolCodes.COMPLETE);
    text(out, tag);
    end(out, from);
  }

  /** A detail of null is left out. */
  public static void error(
      ByteBuf out, String severity, String code, String message, String detail) {
    int from = begin(out, ProtocolCodes.ERROR);
    field(out, 'S', severity);
    field(out, 'V', severity);
    field(out, 'C', code);
    field(out, 'M', message);
    if (detail != null) {
      field(out, 'D', detail);
    }
    out.writeByte(0);
    end(out, from);
  }

  private static void field(ByteBuf out, char name, String value) {
    out.writeByte(name);
    text(out, value);
  }

  public static void query(ByteBuf out, String text) {
    int from = begin(out, ProtocolCodes.QUERY);
    text(out, text);
    end(out, from);
  }

  /** The text as it came, but for the wait that stands from and to the given places. */
  public static void query(ByteBuf out, ByteBuf text, int waitFrom, int waitTo, long waitMillis) {
    int from = begin(out, ProtocolCodes.QUERY);
    int start = text.readerIndex();
    out.writeBytes(text, start, waitFrom);
    out.writeCharSequence(Long.toString(waitMillis), StandardCharsets.US_ASCII);
    out.writeBytes(text, start + waitTo, text.readableBytes() - waitTo);
    out.writeByte(0);
    end(out, from);
  }
}
