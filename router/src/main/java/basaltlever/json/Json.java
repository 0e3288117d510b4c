package basaltlever.json;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Parses one JSON value. Objects become maps that preserve the order of names, arrays become lists,
 * numbers become BigDecimals, which lose no digit, and null stays null. If a name occurs twice, the
 * last value is used.
 */
public final class Json {
  /** Deeper nesting is rejected: no peer needs it, and it could exhaust the stack. */
  private static final int MAX_DEPTH = 32;

  /**
   * Longer numbers are rejected: no field needs them, and arithmetic on them could be very slow.
   */
  private static final int MAX_NUMBER_CHARS = 40;

  private static final Pattern NUMBER =
      Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]{1,3})?");

  private final String text;
  private int position;
  private int depth;

  private Json(String text) {
    this.text = text;
  }

  /** Parses a text that contains exactly one value. */
  public static Object parse(String text) throws InvalidJsonException {
    Json json = new Json(text);
    Object value = json.readValue();
    json.skipWhitespace();
    if (json.position < text.length()) {
      throw json.error("something follows the value");
    }
    return value;
  }

  private Object readValue() throws InvalidJsonException {
    skipWhitespace();
    return switch (peek()) {
      case '{' -> readObject();
      case '[' -> readArray();
      case '"' -> readString();
      case 't' -> readLiteral("true", true);
      case 'f' -> readLiteral("false", false);
      case 'n' -> readLiteral("null", null);
      default -> readNumber();
    };
  }

  private Map<String, Object> readObject() throws InvalidJsonException {
    Map<String, Object> members = new LinkedHashMap<>();
    enterNesting();
    while (nextItem('}', members.isEmpty())) {
      if (peek() != '"') {
        throw error("a name is missing");
      }
      String name = readString();
      skipWhitespace();
      expect(':');
      members.put(name, readValue());
    }
    return members;
  }

  private List<Object> readArray() throws InvalidJsonException {
    List<Object> items = new ArrayList<>();
    enterNesting();
    while (nextItem(']', items.isEmpty())) {
      items.add(readValue());
    }
    return items;
  }

  private void enterNesting() throws InvalidJsonException {
    position++;
    if (++depth > MAX_DEPTH) {
      throw error("nested too deeply");
    }
  }

  private boolean nextItem(char close, boolean first) throws InvalidJsonException {
    skipWhitespace();
    if (peek() == close) {
      position++;
      depth--;
      return false;
    }
    if (!first) {
      expect(',');
      skipWhitespace();
    }
    return true;
  }

  private String readString() throws InvalidJsonException {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (true) {
      char c = next();
      if (c == '"') {
        return out.toString();
      }
      if (c < ' ') {
        throw error("a bare control character");
      }
      out.append(c == '\\' ? readEscape() : c);
    }
  }

  private char readEscape() throws InvalidJsonException {
    char c = next();
    int index = "\"\\/bfnrt".indexOf(c);
    if (index >= 0) {
      return "\"\\/\b\f\n\r\t".charAt(index);
    }
    int code = 0;
    for (int i = 0; c == 'u' && i < 4; i++) {
      int digit = Character.digit(next(), 16);
      code = digit < 0 ? -1 : code < 0 ? code : 16 * code + digit;
    }
    if (c != 'u' || code < 0) {
      throw error("an unknown escape");
    }
    return (char) code;
  }

  private Object readLiteral(String literal, Object value) throws InvalidJsonException {
    if (!text.startsWith(literal, position)) {
      throw error("an unknown word");
    }
    position += literal.length();
    return value;
  }

  private BigDecimal readNumber() throws InvalidJsonException {
    int start = position;
    while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) {
      position++;
    }
    String digits = text.substring(start, position);
    if (!NUMBER.matcher(digits).matches() || digits.length() > MAX_NUMBER_CHARS) {
      position = start;
      throw error("no value");
    }
    return new BigDecimal(digits);
  }

  private void skipWhitespace() {
    while (position < text.length() && " \t\r\n".indexOf(text.charAt(position)) >= 0) {
      position++;
    }
  }

  private char peek() throws InvalidJsonException {
    if (position >= text.length()) {
      throw error("the text ends too early");
    }
    return text.charAt(position);
  }

  private char next() throws InvalidJsonException {
    char c = peek();
    position++;
    return c;
  }

  private void expect(char c) throws InvalidJsonException {
    if (next() != c) {
      position--;
      throw error("'" + c + "' is missing");
    }
  }

  private InvalidJsonException error(String problem) {
    return new InvalidJsonException(problem, position);
  }
}
