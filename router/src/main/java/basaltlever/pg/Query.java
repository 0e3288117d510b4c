package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads what a client says of its statement in the comment before it. */
public final class Query {
  private static final byte[] OPEN = {'/', '*'};
  private static final int LONGEST_COMMENT = 1_024;
  private static final long LONGEST_WAIT = 86_400_000;

  private final Map<String, String> names = new HashMap<>();

  /** Where the digits of the wait stand, counted from the first byte of the text. */
  public int waitFrom;

  public int waitTo;

  /** As the client gave it. */
  public String id;

  public String workload;
  public long waitMillis;
  public int group;

  /** Unix milliseconds, 0 where the session has no commit. */
  public long after;

  public long session;

  private Query() {}

  /** Text is the query without the zero byte that ends it. */
  public static Query read(ByteBuf text) throws ProtocolException {
    int from = skipSpace(text, 0);
    if (text.readableBytes() < from + 2
        || text.getByte(text.readerIndex() + from) != OPEN[0]
        || text.getByte(text.readerIndex() + from + 1) != OPEN[1]) {
      throw new ProtocolException(
          ProtocolCodes.VIOLATION, "the statement does not begin with its comment");
    }
    int end = -1;
    int most = Math.min(text.readableBytes() - 1, from + LONGEST_COMMENT);
    for (int i = from + 2; i < most && end < 0; i++) {
      end = at(text, i) == '*' && at(text, i + 1) == '/' ? i : -1;
    }
    if (end < 0) {
      throw new ProtocolException(
          ProtocolCodes.VIOLATION, "the comment before the statement is not closed");
    }
    Query query = new Query();
    String comment =
        text.toString(text.readerIndex() + from + 2, end - from - 2, StandardCharsets.ISO_8859_1);
    query.names(comment, from + 2);
    query.fields();
    query.session = quoted(text, end + 2);
    return query;
  }

  private void names(String comment, int offset) throws ProtocolException {
    int at = 0;
    while (at <= comment.length()) {
      int comma = comment.indexOf(',', at);
      int to = comma < 0 ? comment.length() : comma;
      int equals = comment.indexOf('=', at);
      if (equals < 0 || equals > to) {
        throw new ProtocolException(
            ProtocolCodes.VIOLATION,
            "the comment holds '"
                + comment.substring(at, to).trim()
                + "' where a name and a value belong");
      }
      String name = comment.substring(at, equals).trim();
      if (names.put(name, comment.substring(equals + 1, to).trim()) != null) {
        throw new ProtocolException(
            ProtocolCodes.VIOLATION, "the comment names " + name + " twice");
      }
      if (name.equals("d")) {
        waitFrom = offset + equals + 1;
        waitTo = offset + to;
      }
      at = to + 1;
    }
  }

  private void fields() throws ProtocolException {
    workload = need("c");
    id = need("id");
    waitMillis = number("d", need("d"), LONGEST_WAIT);
    group = (int) number("cluster", names.getOrDefault("cluster", "0"), Integer.MAX_VALUE);
    after = number("after", names.getOrDefault("after", "0"), Long.MAX_VALUE / 4_000);
  }

  private String need(String name) throws ProtocolException {
    String value = names.get(name);
    if (value == null || value.isEmpty()) {
      throw new ProtocolException(ProtocolCodes.VIOLATION, "the comment lacks " + name);
    }
    return value;
  }

  private static long number(String name, String value, long most) throws ProtocolException {
    long number = 0;
    boolean sound = !value.isEmpty();
    for (int i = 0; i < value.length() && sound; i++) {
      int digit = value.charAt(i) - '0';
      sound = digit >= 0 && digit <= 9 && number <= (most - digit) / 10;
      number = 10 * number + digit;
    }
    if (!sound) {
      throw new ProtocolException(
          ProtocolCodes.VIOLATION, "the comment's " + name + " is no number from 0 to " + most);
    }
    return number;
  }

  /** The first quoted text names the session; the same text gives the same number, never 0. */
  private static long quoted(ByteBuf text, int from) {
    int open = text.indexOf(text.readerIndex() + from, text.writerIndex(), (byte) '\'');
    int close = open < 0 ? -1 : text.indexOf(open + 1, text.writerIndex(), (byte) '\'');
    long hash = 0xcbf29ce484222325L;
    for (int i = open + 1; i < close; i++) {
      hash = (hash ^ (text.getByte(i) & 0xff)) * 0x100000001b3L;
    }
    return close < 0 ? 0 : hash == 0 ? 1 : hash;
  }

  private static byte at(ByteBuf text, int index) {
    return text.getByte(text.readerIndex() + index);
  }

  private static int skipSpace(ByteBuf text, int from) {
    int at = from;
    while (at < text.readableBytes() && at(text, at) <= ' ' && at(text, at) >= 0) {
      at++;
    }
    return at;
  }

  public static boolean isBlank(ByteBuf text) {
    int at = skipSpace(text, 0);
    while (at < text.readableBytes() && at(text, at) == ';') {
      at = skipSpace(text, at + 1);
    }
    return at == text.readableBytes();
  }

  /** The word of a command that does nothing here, or null. */
  public static String idleCommand(ByteBuf text) {
    int from = skipSpace(text, 0);
    for (String word : new String[] {"SET", "RESET", "DISCARD"}) {
      int end = from + word.length();
      if (text.readableBytes() >= end
          && AsciiString.contentEqualsIgnoreCase(
              word,
              text.toString(text.readerIndex() + from, word.length(), StandardCharsets.ISO_8859_1))
          && (text.readableBytes() == end || at(text, end) <= ' ' || at(text, end) == ';')) {
        return word;
      }
    }
    return null;
  }
}
