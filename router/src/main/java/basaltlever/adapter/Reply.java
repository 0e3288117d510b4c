package basaltlever.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** Builds one reply frame; the buffer is reused for the next one. */
final class Reply {
  private static final int HEADER_BYTES = 8;
  private ByteBuffer bytes = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
  private int lastInstance = -1;

  void startFrame(int batch) {
    bytes.clear();
    bytes.putInt(0).putInt(batch);
    lastInstance = -1;
  }

  /**
   * Adds a record for the instance; the caller must write exactly the given number of field bytes.
   */
  ByteBuffer addRecord(int instance, int code, int length) {
    if (bytes.remaining() < length + 16) {
      ByteBuffer larger =
          ByteBuffer.allocate(2 * bytes.capacity() + length).order(ByteOrder.LITTLE_ENDIAN);
      bytes.flip();
      bytes = larger.put(bytes);
    }
    if (lastInstance != instance) {
      lastInstance = instance;
      bytes.put((byte) 2).putInt(2).putShort((short) instance);
    }
    return bytes.put((byte) code).putInt(length);
  }

  void send(OutputStream out) throws IOException {
    bytes.putInt(0, bytes.position() - HEADER_BYTES);
    out.write(bytes.array(), 0, bytes.position());
    out.flush();
  }
}
