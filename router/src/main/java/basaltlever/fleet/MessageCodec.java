package basaltlever.fleet;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes the messages between instances and the commands of the voters' log. Each is one
 * CBOR map (RFC 8949). Readers ignore unknown keys and use defaults for missing ones. Input that is
 * not a map, or is nested deeper or larger than any message sent, is rejected.
 */
public final class MessageCodec {
  /** The maximum size of a message in bytes. */
  public static final int MAX_MESSAGE_BYTES = 1 << 20;

  private static final int MAX_DEPTH = 6;
  private static final int MAX_KEY_LENGTH = 64;
  private static final CBORFactory CBOR =
      CBORFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_DEPTH)
                  .maxStringLength(MAX_MESSAGE_BYTES)
                  .maxNameLength(MAX_KEY_LENGTH)
                  .maxDocumentLength(MAX_MESSAGE_BYTES)
                  .build())
          .build();

  private MessageCodec() {}

  /** Writes a map of strings, integers, booleans and nulls, and of maps and lists of these. */
  public static byte[] write(Map<String, ?> message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      writeValue(out, message);
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
    return bytes.toByteArray();
  }

  /** Writes a value in the format of the generator, CBOR or JSON. */
  public static void writeValue(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      out.writeStartObject();
      for (Map.Entry<?, ?> entry : map.entrySet()) {
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
    } else if (value instanceof java.math.BigDecimal number) {
      out.writeNumber(number.toPlainString());
    } else if (value instanceof Number number) {
      out.writeNumber(number.longValue());
    } else if (value instanceof Boolean flag) {
      out.writeBoolean(flag);
    } else if (value == null) {
      out.writeNull();
    } else {
      out.writeString(String.valueOf(value));
    }
  }

  /** Throws if the bytes are not such a map. */
  @SuppressWarnings("IllegalCatch") // The parser throws unchecked exceptions for malformed bytes.
  public static Map<String, Object> read(byte[] bytes, int from, int length) throws IOException {
    try (JsonParser in = CBOR.createParser(bytes, from, length)) {
      if (in.nextToken() == JsonToken.START_OBJECT) {
        Map<String, Object> message = readMap(in);
        if (in.nextToken() == null) {
          return message;
        }
      }
    } catch (RuntimeException malformed) {
      throw new IOException(malformed);
    }
    throw new IOException("message is not a single CBOR map");
  }

  private static Map<String, Object> readMap(JsonParser in) throws IOException {
    Map<String, Object> entries = new LinkedHashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String key = in.currentName();
      in.nextToken();
      entries.put(key, readValue(in));
    }
    return entries;
  }

  private static Object readValue(JsonParser in) throws IOException {
    switch (in.currentToken()) {
      case START_OBJECT -> {
        return readMap(in);
      }
      case START_ARRAY -> {
        List<Object> items = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          items.add(readValue(in));
        }
        return items;
      }
      case VALUE_NUMBER_INT -> {
        return in.getLongValue();
      }
      case VALUE_TRUE, VALUE_FALSE -> {
        return in.currentToken() == JsonToken.VALUE_TRUE;
      }
      case VALUE_STRING -> {
        return in.getText();
      }
      case VALUE_NULL -> {
        return null;
      }
      default -> throw new IOException("message contains a CBOR value of an unsupported type");
    }
  }

  /** Returns the text at a key; empty if there is none. */
  public static String getText(Map<?, ?> message, String key) {
    return message.get(key) instanceof String text ? text : "";
  }

  /** Returns the list of texts at a key; empty if there is none. */
  public static List<String> getTexts(Map<?, ?> message, String key) {
    return message.get(key) instanceof List<?> items
        ? items.stream().map(String::valueOf).toList()
        : List.of();
  }

  /** Returns the number at a key; 0 if there is none. */
  public static long getNumber(Map<?, ?> message, String key) {
    return message.get(key) instanceof Long number ? number : 0;
  }

  /** Returns the flag at a key; false if there is none. */
  public static boolean getFlag(Map<?, ?> message, String key) {
    return Boolean.TRUE.equals(message.get(key));
  }
}
