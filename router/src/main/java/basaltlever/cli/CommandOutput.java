package basaltlever.cli;

import basaltlever.fleet.MessageCodec;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.util.Map;

/** Prints a command's result as text or as JSON. */
final class CommandOutput {
  private CommandOutput() {}

  static void print(PrintStream out, FleetOptions.Common options, Map<?, ?> json, String text)
      throws IOException {
    out.println(options.json ? json(json) : text);
  }

  static String json(Object value) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
      MessageCodec.writeValue(out, value);
    }
    return text.toString();
  }
}
