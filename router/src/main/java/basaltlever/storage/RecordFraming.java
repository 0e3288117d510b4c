package basaltlever.storage;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.zip.CRC32C;

/** Frames the records of a snapshot file with length and CRC32C, and computes the file's digest. */
final class RecordFraming {
  private RecordFraming() {}

  /** Appends one framed record to the file. */
  static void append(ByteBuffer file, byte[] record) {
    file.putInt(record.length).putInt(crc(record, 0, record.length)).put(record);
  }

  /**
   * Checks the frame at the buffer's position and advances the position to the content of its
   * record.
   *
   * @param end offset of the first byte after all records
   * @return the length of the record
   */
  static int readHeader(ByteBuffer file, int end) throws InvalidSnapshotException {
    int offset = file.position();
    if (end - offset < SnapshotFormat.FRAME_HEADER_BYTES) {
      throw InvalidSnapshotException.atOffset(offset, "the record is incomplete");
    }
    int length = file.getInt();
    int checksum = file.getInt();
    if (length < 0 || length > SnapshotFormat.MAX_RECORD_BYTES || length > end - file.position()) {
      throw InvalidSnapshotException.atOffset(
          offset, "the record has an invalid length of " + length + " bytes");
    }
    if (crc(file.array(), file.position(), length) != checksum) {
      throw InvalidSnapshotException.atOffset(offset, "the record's checksum does not match");
    }
    return length;
  }

  /** Returns the SHA-256 of the first {@code length} bytes. */
  static byte[] digest(byte[] bytes, int length) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(bytes, 0, length);
      return digest.digest();
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("SHA-256 is missing in this Java runtime", impossible);
    }
  }

  private static int crc(byte[] bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    return (int) crc.getValue();
  }
}
