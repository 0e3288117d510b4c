package basaltlever.lab.sockets;

import basaltlever.pg.MessageEncoder;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Encodes what only servers send and the router has no encoder for: a row of one column. */
public final class RowEncoder {
  private static final byte[] COLUMN_NAME = "doc\0".getBytes(StandardCharsets.US_ASCII);

  private RowEncoder() {}

  /** Writes a complete result of one row, up to and including CommandComplete. */
  public static void writeSingleRow(ByteBuf out, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    out.writeByte('T')
        .writeInt(28)
        .writeShort(1)
        .writeBytes(COLUMN_NAME)
        .writeInt(0)
        .writeShort(0)
        .writeInt(17)
        .writeShort(-1)
        .writeInt(-1)
        .writeShort(1);
    out.writeByte('D')
        .writeInt(10 + bytes.length)
        .writeShort(1)
        .writeInt(bytes.length)
        .writeBytes(bytes);
    MessageEncoder.writeCommandComplete(out, "SELECT 1");
  }
}
