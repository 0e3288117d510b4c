package basaltlever.storage;

import basaltlever.snapshot.LearnedState;

/** Converts learned state to the bytes of a snapshot file and back; see {@link SnapshotFormat}. */
public final class SnapshotCodec {
  /** No snapshot file is larger, whatever the operator allows. */
  public static final int MAX_FILE_BYTES = 16 << 20;

  private SnapshotCodec() {}

  /**
   * Encodes a state within the given number of bytes. Where they don't suffice, the endpoints of
   * which little was learned are left out.
   */
  public static byte[] encode(LearnedState state, int maxBytes) {
    return SnapshotEncoder.encode(state, Math.min(maxBytes, MAX_FILE_BYTES));
  }

  /**
   * Decodes a file. Throws nothing else, whatever the bytes are, and takes no more memory than a
   * few times their size.
   */
  public static LearnedState decode(byte[] file) throws InvalidSnapshotException {
    return new SnapshotDecoder(file).decode();
  }
}
