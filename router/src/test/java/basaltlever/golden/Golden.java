package basaltlever.golden;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * Compares data with recordings of an earlier release, which are test resources below golden/. The
 * compared data is left in router/target/golden.
 */
public final class Golden {
  private static final Pattern VOLATILE_VALUE =
      Pattern.compile(
          "\"(at|age_ms|lasts|heard_ms_ago|lease_ms|incarnation|folder|id|seal|digest|book|marks_end|standing|port"
              + ")\":(\"[^\"]*\"|-?\\d+)");

  private Golden() {}

  /** Returns the recorded bytes. */
  public static byte[] bytes(String name) throws IOException {
    try (InputStream in = Golden.class.getResourceAsStream("/golden/" + name)) {
      if (in == null) {
        throw new IOException("no recording in test resources: golden/" + name);
      }
      return in.readAllBytes();
    }
  }

  /** Returns the recorded text. */
  public static String text(String name) throws IOException {
    return new String(bytes(name), StandardCharsets.UTF_8);
  }

  /** Throws if the bytes differ from the recorded ones. */
  public static void check(String name, byte[] actual) throws IOException {
    Path output = Files.createDirectories(Path.of("router/target/golden")).resolve(name);
    Files.createDirectories(output.getParent());
    Files.write(output, actual);
    if (!Arrays.equals(bytes(name), actual)) {
      throw new AssertionError(
          name + " differs from its recording; the actual data is in " + output);
    }
  }

  /** Throws if the text differs from the recorded one. */
  public static void check(String name, String actual) throws IOException {
    check(name, actual.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns CBOR as JSON with sorted keys, and with V for times, ids and other values that differ
   * between runs.
   */
  public static String toMaskedJson(byte[] cbor) throws IOException {
    return toSortedJson(new CBORFactory().createParser(cbor));
  }

  /**
   * Masks each line like a message. Lines that are JSON objects get sorted keys, since the order of
   * keys may change.
   */
  public static String mask(String printed) throws IOException {
    StringBuilder masked = new StringBuilder();
    for (String line : printed.split("\n")) {
      boolean isJson = line.startsWith("{");
      masked
          .append(
              isJson
                  ? toSortedJson(new JsonFactory().createParser(line))
                  : maskVolatileValues(line))
          .append('\n');
    }
    return masked.toString();
  }

  private static String toSortedJson(JsonParser parser) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonParser in = parser;
        JsonGenerator out = new JsonFactory().createGenerator(text)) {
      in.nextToken();
      writeValue(out, readValue(in));
    }
    return maskVolatileValues(text.toString());
  }

  private static Object readValue(JsonParser in) throws IOException {
    if (in.currentToken() == JsonToken.START_OBJECT) {
      Map<String, Object> entries = new TreeMap<>();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        in.nextToken();
        entries.put(name, readValue(in));
      }
      return entries;
    } else if (in.currentToken() == JsonToken.START_ARRAY) {
      List<Object> items = new ArrayList<>();
      while (in.nextToken() != JsonToken.END_ARRAY) {
        items.add(readValue(in));
      }
      return items;
    }
    return switch (in.currentToken()) {
      case VALUE_NUMBER_INT -> in.getLongValue();
      case VALUE_STRING -> in.getText();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> null;
    };
  }

  private static void writeValue(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      out.writeStartObject();
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.writeFieldName((String) entry.getKey());
        writeValue(out, entry.getValue());
      }
      out.writeEndObject();
    } else if (value instanceof List<?> items) {
      out.writeStartArray();
      for (Object item : items) {
        writeValue(out, item);
      }
      out.writeEndArray();
    } else {
      out.writeObject(value);
    }
  }

  /** Replaces times, ids and other values that differ between runs by V. */
  private static String maskVolatileValues(String json) {
    return VOLATILE_VALUE
        .matcher(json)
        .replaceAll("\"$1\":V")
        .replaceAll("127\\.0\\.0\\.1:\\d+", "ADDRESS");
  }
}
