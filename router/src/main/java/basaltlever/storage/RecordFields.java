package basaltlever.storage;

import basaltlever.snapshot.EndpointState;
import basaltlever.time.Span;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/** Reads the fields of one record and checks their bounds. */
final class RecordFields {
  private static final CBORFactory CBOR = new CBORFactory();

  private final Map<String, Object> values;
  private final int offset;

  private RecordFields(Map<String, Object> values, int offset) {
    this.values = values;
    this.offset = offset;
  }

  /** Reads the record at the buffer's position and advances the position to its end. */
  static RecordFields readNext(ByteBuffer file, int end) throws InvalidSnapshotException {
    int offset = file.position();
    int length = RecordFraming.readHeader(file, end);
    int content = file.position();
    file.position(content + length);
    return new RecordFields(parse(file.array(), content, length, offset), offset);
  }

  @SuppressWarnings("IllegalCatch") // The parser throws undeclared exceptions for invalid CBOR.
  private static Map<String, Object> parse(byte[] bytes, int from, int length, int offset)
      throws InvalidSnapshotException {
    try (JsonParser parser = CBOR.createParser(bytes, from, length)) {
      return parseMap(parser, offset);
    } catch (IOException | RuntimeException unreadable) {
      throw InvalidSnapshotException.atOffset(
          offset, "the record can't be parsed: " + unreadable.getClass().getSimpleName());
    }
  }

  private static Map<String, Object> parseMap(JsonParser parser, int offset)
      throws IOException, InvalidSnapshotException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw InvalidSnapshotException.atOffset(offset, "the record is not a CBOR map");
    }
    Map<String, Object> values = new HashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      if (token == null) {
        throw InvalidSnapshotException.atOffset(
            offset, "the record ends before the end of its map");
      }
      Object value = parseScalar(parser, token);
      if (value != null) {
        values.put(name, value);
      }
    }
    return values;
  }

  /** Returns the value, or null if no field of the format has its type. */
  private static Object parseScalar(JsonParser parser, JsonToken token) throws IOException {
    switch (token) {
      case START_OBJECT, START_ARRAY -> parser.skipChildren();
      case VALUE_NUMBER_INT -> {
        if (parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER) {
          return parser.getLongValue();
        }
      }
      case VALUE_NUMBER_FLOAT -> {
        return parser.getDoubleValue();
      }
      case VALUE_STRING -> {
        return parser.getText();
      }
      case VALUE_TRUE, VALUE_FALSE -> {
        return parser.getBooleanValue();
      }
      default -> {}
    }
    return null;
  }

  /** Returns a text; empty if it is missing. */
  String text(String name) throws InvalidSnapshotException {
    Object value = values.getOrDefault(name, "");
    if (value instanceof String text && text.length() <= SnapshotFormat.MAX_NAME_CHARS) {
      return text;
    }
    throw outOfBounds(name);
  }

  /** Returns whether the flag is set; false if it is missing. */
  boolean flag(String name) {
    return Boolean.TRUE.equals(values.get(name));
  }

  /** Returns a non-negative integer; 0 if it is missing. */
  long integer(String name) throws InvalidSnapshotException {
    if (values.getOrDefault(name, 0L) instanceof Long value && value >= 0) {
      return value;
    }
    throw outOfBounds(name);
  }

  /** Returns a number within the bounds. */
  double number(String name, double min, double max, double defaultValue)
      throws InvalidSnapshotException {
    if (values.getOrDefault(name, defaultValue) instanceof Number value
        && value.doubleValue() >= min
        && value.doubleValue() <= max) {
      return value.doubleValue();
    }
    throw outOfBounds(name);
  }

  /** Returns a fraction from 0 to 1; 0 if it is missing. */
  double share(String name) throws InvalidSnapshotException {
    return number(name, 0, 1, 0);
  }

  /** Returns a time span, which may be negative; zero if it is missing. */
  Span span(String name) throws InvalidSnapshotException {
    return new Span((long) number(name, -SnapshotFormat.MAX_NUMBER, SnapshotFormat.MAX_NUMBER, 0));
  }

  /** Returns the time since an event; {@link EndpointState#NEVER} if it is missing. */
  Span spanSince(String name) throws InvalidSnapshotException {
    return values.containsKey(name) ? span(name) : EndpointState.NEVER;
  }

  /** Returns an exception for a field of this record with an invalid value. */
  private InvalidSnapshotException outOfBounds(String name) {
    return InvalidSnapshotException.atOffset(
        offset, name + " has an invalid type or is out of bounds");
  }
}
