package basaltlever.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Writes the figures of an experiment as one line of JSON. */
final class FiguresWriter {
  private FiguresWriter() {}

  /** Writes the figures to standard output and, unless it is null, to the file. */
  static void publish(Map<String, Object> figures, String file) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
      writeValue(out, figures);
    }
    System.out.println(text);
    if (file != null) {
      Files.writeString(Path.of(file), text + "\n");
    }
  }

  private static void writeValue(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Map<?, ?> entries) {
      out.writeStartObject();
      for (Map.Entry<?, ?> entry : entries.entrySet()) {
        out.writeFieldName(String.valueOf(entry.getKey()));
        writeValue(out, entry.getValue());
      }
      out.writeEndObject();
    } else if (value instanceof List<?> items) {
      out.writeStartArray();
      for (Object item : items) {
        writeValue(out, item);
      }
      out.writeEndArray();
    } else if (value instanceof Integer || value instanceof Long) {
      out.writeNumber(((Number) value).longValue());
    } else if (value instanceof Number number) {
      out.writeNumber(Math.round(number.doubleValue() * 10_000) / 10_000.0);
    } else {
      out.writeString(String.valueOf(value));
    }
  }
}
