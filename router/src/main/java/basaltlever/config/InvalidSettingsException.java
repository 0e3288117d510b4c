package basaltlever.config;

import java.util.List;

/** Thrown for invalid settings. The message has one line for each fault, with its key. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception from one line for each fault. */
  public InvalidSettingsException(List<String> lines) {
    super(String.join("\n", lines));
  }
}
