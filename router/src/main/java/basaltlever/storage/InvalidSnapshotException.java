package basaltlever.storage;

/** A file that holds no whole view; the message says what is wrong and where. */
public final class InvalidSnapshotException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidSnapshotException(String message) {
    super(message);
  }
}
