package basaltlever.storage;

import basaltlever.snapshot.LearnedState;

/** Encodes learned state as a snapshot file and decodes it; see {@link SnapshotFormat}. */
public final class SnapshotCodec {
  /** Maximum size of a snapshot file, regardless of the settings. */
  public static final int MAX_FILE_BYTES = 16 << 20;

  private SnapshotCodec() {}

  /**
   * Encodes a state in at most the given number of bytes. If it does not fit, the groups are
   * omitted first, then the endpoints with an unremarkable state.
   */
  public static byte[] encode(LearnedState state, int maxBytes) {
    return SnapshotEncoder.encode(state, Math.min(maxBytes, MAX_FILE_BYTES));
  }

  /**
   * Decodes a file. For arbitrary bytes it throws no other exception, and it uses no more memory
   * than a few times their size.
   */
  public static LearnedState decode(byte[] file) throws InvalidSnapshotException {
    return new SnapshotDecoder(file).decode();
  }
}
