package basaltlever.json;

/** Thrown if a text is not JSON or exceeds the limits of the parser. */
public final class InvalidJsonException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidJsonException(String problem, int position) {
    super(problem + " at character " + position);
  }
}
