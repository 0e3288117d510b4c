package basaltlever.config;

import java.util.List;

/** What was given at start can't be used; one line for each faulty key. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidSettingsException(List<String> lines) {
    super(String.join("\n", lines));
  }
}
