package basaltlever.storage;

/**
 * Thrown if a file does not contain a complete valid snapshot. The message states the error and its
 * position in the file.
 */
public final class InvalidSnapshotException extends Exception {
  private static final long serialVersionUID = 1L;

  private InvalidSnapshotException(String message) {
    super(message);
  }

  /** Returns an exception for an error that concerns the complete file. */
  static InvalidSnapshotException forFile(String reason) {
    return new InvalidSnapshotException(reason);
  }

  /** Returns an exception for an error in the part that begins at the given byte of the file. */
  static InvalidSnapshotException atOffset(int offset, String reason) {
    return new InvalidSnapshotException("byte " + offset + ": " + reason);
  }
}
