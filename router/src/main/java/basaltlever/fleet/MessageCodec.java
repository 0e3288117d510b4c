package basaltlever.fleet;

import basaltlever.settings.SettingsVersion;
import basaltlever.settings.VersionRegister.HistoryEntry;
import basaltlever.settings.VersionRegister.VersionOutcome;
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
 * What instances tell each other, and what the voters' log holds: one map in CBOR (RFC 8949), whose
 * names a reader may lack or not know. Anything else, deeper or larger than ever sent, is a fault.
 */
public final class MessageCodec {
  /** Bytes of one. */
  public static final int LARGEST = 1 << 20;

  private static final int DEEPEST = 6;
  private static final CBORFactory CBOR =
      CBORFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(DEEPEST)
                  .maxStringLength(LARGEST)
                  .maxNameLength(64)
                  .maxDocumentLength(LARGEST)
                  .build())
          .build();

  private MessageCodec() {}

  /** Of texts, whole numbers, flags, nulls, and maps and lists of these. */
  public static byte[] write(Map<String, ?> message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      value(out, message);
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
    return bytes.toByteArray();
  }

  /** In CBOR or as JSON, by the generator. */
  public static void value(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Map<?, ?> members) {
      out.writeStartObject();
      for (Map.Entry<?, ?> member : members.entrySet()) {
        out.writeFieldName(String.valueOf(member.getKey()));
        value(out, member.getValue());
      }
      out.writeEndObject();
    } else if (value instanceof List<?> items) {
      out.writeStartArray();
      for (Object item : items) {
        value(out, item);
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

  /** Throws where the bytes are no such map. */
  public static Map<String, Object> read(byte[] bytes, int from, int length) throws IOException {
    try (JsonParser in = CBOR.createParser(bytes, from, length)) {
      if (in.nextToken() == JsonToken.START_OBJECT) {
        Map<String, Object> message = members(in);
        if (in.nextToken() == null) {
          return message;
        }
      }
    } catch (RuntimeException broken) {
      throw new IOException(broken);
    }
    throw new IOException("no message");
  }

  private static Map<String, Object> members(JsonParser in) throws IOException {
    Map<String, Object> members = new LinkedHashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      members.put(name, value(in));
    }
    return members;
  }

  private static Object value(JsonParser in) throws IOException {
    switch (in.currentToken()) {
      case START_OBJECT -> {
        return members(in);
      }
      case START_ARRAY -> {
        List<Object> items = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          items.add(value(in));
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
      default -> throw new IOException("a value that is never sent");
    }
  }

  /** Empty where there is none. */
  public static String text(Map<?, ?> message, String name) {
    return message.get(name) instanceof String text ? text : "";
  }

  /** Empty where there are none. */
  public static List<String> texts(Map<?, ?> message, String name) {
    return message.get(name) instanceof List<?> items
        ? items.stream().map(String::valueOf).toList()
        : List.of();
  }

  /** 0 where there is none. */
  public static long number(Map<?, ?> message, String name) {
    return message.get(name) instanceof Long number ? number : 0;
  }

  /** False where there is none. */
  public static boolean flag(Map<?, ?> message, String name) {
    return Boolean.TRUE.equals(message.get(name));
  }

  /** Null stays null. */
  public static Map<String, Object> of(SettingsVersion version) {
    if (version == null) {
      return null;
    }
    Map<String, Object> told = new LinkedHashMap<>();
    told.put("number", version.number());
    told.put("text", version.text());
    told.put("routers", version.routers());
    told.put("who", version.who());
    told.put("why", version.why());
    told.put("at", version.atMillis());
    return told;
  }

  /** Null where it is none. */
  public static SettingsVersion version(Object told) {
    return told instanceof Map<?, ?> map
        ? new SettingsVersion(
            number(map, "number"),
            text(map, "text"),
            (int) Math.max(1, number(map, "routers")),
            text(map, "who"),
            text(map, "why"),
            number(map, "at"))
        : null;
  }

  /** One line of the history. */
  public static Map<String, Object> of(HistoryEntry chapter) {
    Map<String, Object> told = of(chapter.version());
    told.put("end", chapter.end().name());
    told.put("reason", chapter.reason());
    return told;
  }

  /** Throws where its end is none. */
  public static HistoryEntry chapter(Map<?, ?> told) {
    return new HistoryEntry(
        version(told), VersionOutcome.valueOf(text(told, "end")), text(told, "reason"));
  }
}
