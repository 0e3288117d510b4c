package basaltlever.json;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Reads one JSON value: objects become maps in their order, arrays lists, numbers BigDecimals, so
 * that none loses a digit, and null stays null. Of a name given twice the last counts.
 */
public final class Json {
  /** Deeper nesting than any peer sends would only be there to exhaust the stack. */
  private static final int DEEPEST = 32;

  /** A longer number is no number of ours, and arithmetic on it could take for ever. */
  private static final int LONGEST_NUMBER = 40;

  private static final Pattern NUMBER =
      Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]{1,3})?");

  private final String text;
  private int at;
  private int depth;

  private Json(String text) {
    this.text = text;
  }

  /** Reads a text that holds exactly one value. */
  public static Object read(String text) throws InvalidJsonException {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at < text.length()) {
      throw json.fault("something follows the value");
    }
    return value;
  }

  private Object value() throws InvalidJsonException {
    space();
    return switch (peek()) {
      case '{' -> object();
      case '[' -> array();
      case '"' -> string();
      case 't' -> word("true", true);
      case 'f' -> word("false", false);
      case 'n' -> word("null", null);
      default -> number();
    };
  }

  private Map<String, Object> object() throws InvalidJsonException {
    Map<String, Object> members = new LinkedHashMap<>();
    open();
    while (more('}', members.isEmpty())) {
      if (peek() != '"') {
        throw fault("a name is missing");
      }
      String name = string();
      space();
      expect(':');
      members.put(name, value());
    }
    return members;
  }

  private List<Object> array() throws InvalidJsonException {
    List<Object> items = new ArrayList<>();
    open();
    while (more(']', items.isEmpty())) {
      items.add(value());
    }
    return items;
  }

  private void open() throws InvalidJsonException {
    at++;
    if (++depth > DEEPEST) {
      throw fault("nested too deeply");
    }
  }

  private boolean more(char close, boolean first) throws InvalidJsonException {
    space();
    if (peek() == close) {
      at++;
      depth--;
      return false;
    }
    if (!first) {
      expect(',');
      space();
    }
    return true;
  }

  private String string() throws InvalidJsonException {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (true) {
      char c = take();
      if (c == '"') {
        return out.toString();
      }
      if (c < ' ') {
        throw fault("a bare control character");
      }
      out.append(c == '\\' ? escaped() : c);
    }
  }

  private char escaped() throws InvalidJsonException {
    char c = take();
    int known = "\"\\/bfnrt".indexOf(c);
    if (known >= 0) {
      return "\"\\/\b\f\n\r\t".charAt(known);
    }
    int code = 0;
    for (int i = 0; c == 'u' && i < 4; i++) {
      int digit = Character.digit(take(), 16);
      code = digit < 0 ? -1 : code < 0 ? code : 16 * code + digit;
    }
    if (c != 'u' || code < 0) {
      throw fault("an unknown escape");
    }
    return (char) code;
  }

  private Object word(String word, Object value) throws InvalidJsonException {
    if (!text.startsWith(word, at)) {
      throw fault("an unknown word");
    }
    at += word.length();
    return value;
  }

  private BigDecimal number() throws InvalidJsonException {
    int from = at;
    while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String digits = text.substring(from, at);
    if (!NUMBER.matcher(digits).matches() || digits.length() > LONGEST_NUMBER) {
      at = from;
      throw fault("no value");
    }
    return new BigDecimal(digits);
  }

  private void space() {
    while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
  }

  private char peek() throws InvalidJsonException {
    if (at >= text.length()) {
      throw fault("the text ends too early");
    }
    return text.charAt(at);
  }

  private char take() throws InvalidJsonException {
    char c = peek();
    at++;
    return c;
  }

  private void expect(char c) throws InvalidJsonException {
    if (take() != c) {
      at--;
      throw fault("'" + c + "' is missing");
    }
  }

  private InvalidJsonException fault(String what) {
    return new InvalidJsonException(what, at);
  }
}
