package basaltlever.keep;

/** A file that holds no whole view; the message says what is wrong and where. */
public final class ViewFault extends Exception {
  private static final long serialVersionUID = 1L;

  public ViewFault(String message) {
    super(message);
  }
}
