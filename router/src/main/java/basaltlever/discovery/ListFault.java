package basaltlever.discovery;

/** Discovery sent something that is no answer of its protocol. */
public final class ListFault extends Exception {
  private static final long serialVersionUID = 1L;

  public ListFault(String message) {
    super(message);
  }
}
