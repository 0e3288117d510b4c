package basaltlever.storage;

/** A file that holds no whole snapshot. The message says what is wrong, and where in the file. */
public final class InvalidSnapshotException extends Exception {
  private static final long serialVersionUID = 1L;

  private InvalidSnapshotException(String message) {
    super(message);
  }

  /** The file as a whole is wrong. */
  static InvalidSnapshotException forFile(String reason) {
    return new InvalidSnapshotException(reason);
  }

  /** The part that begins at the given byte of the file is wrong. */
  static InvalidSnapshotException atOffset(int offset, String reason) {
    return new InvalidSnapshotException("byte " + offset + ": " + reason);
  }
}
