package basaltlever.adapter;

/** The other side sent something that the wire does not allow. */
public final class WireFault extends Exception {
  private static final long serialVersionUID = 1L;

  public WireFault(String message) {
    super(message);
  }
}
