package basaltlever.json;

/** The text is not JSON, or more of it than is taken. */
public final class InvalidJsonException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidJsonException(String problem, int position) {
    super(problem + " at character " + position);
  }
}
