package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The attributes of a statement, which the client states in a comment before the statement. The
 * comment is a list of fields such as {@code id=9b1f,c=basket,d=480}.
 */
public final class Query {
  private static final String COMMENT_OPEN = "/*";
  private static final int COMMENT_DELIMITER_BYTES = COMMENT_OPEN.length();
  private static final int MAX_COMMENT_BYTES = 1_024;

  private static final String ID_KEY = "id";
  private static final String WORKLOAD_KEY = "c";
  private static final String TIMEOUT_KEY = "d";
  private static final String GROUP_KEY = "cluster";
  private static final String COMMIT_KEY = "after";
  private static final String RETRY_KEY = "r";
  private static final Set<String> KNOWN_KEYS =
      Set.of(ID_KEY, WORKLOAD_KEY, TIMEOUT_KEY, GROUP_KEY, COMMIT_KEY, RETRY_KEY);

  private static final String NOT_IN_WORDS = " \"'\\";
  private static final char DELETE = 0x7f;

  private static final long MAX_TIMEOUT_MILLIS = 24 * 60 * 60 * 1_000;

  /** Leaves headroom for additions after the conversion to microseconds. */
  private static final long MAX_COMMIT_MILLIS = Long.MAX_VALUE / 4_000;

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** Differs from process to process, so that clients cannot choose ids with equal hashes. */
  private static final long ID_HASH_SEED = new SplittableRandom().nextLong();

  /** Commands that change only the state of the client's session. */
  private static final String[] SESSION_COMMANDS = {"SET", "RESET", "DISCARD"};

  /** Offset of the first digit of the timeout, in bytes of the text. */
  public final int timeoutStart;

  /** Offset after the last digit of the timeout, in bytes of the text. */
  public final int timeoutEnd;

  /** The identifier of the statement, as the client chose it. */
  public final String id;

  /** Hash of the identifier, seeded for this process. */
  public final long idHash;

  /** The key of the workload. */
  public final String workload;

  /** How long the client waits for the response, in milliseconds. */
  public final long timeoutMillis;

  /** The replica group. */
  public final int group;

  /** Time of the session's last commit in Unix milliseconds; 0 if there was none. */
  public final long lastCommitMillis;

  /**
   * Hash of the statement's first quoted literal, which identifies the session; 0 if there is none.
   */
  public final long sessionHash;

  /**
   * Parses the fields of the comment. The comment was decoded as ISO-8859-1, so that its character
   * offsets are byte offsets in the text.
   *
   * @param commentOffset offset of the comment in the text
   */
  private Query(String comment, int commentOffset, long sessionHash) throws ProtocolException {
    Map<String, String> fields = new HashMap<>();
    int timeoutStart = 0;
    int timeoutEnd = 0;
    int start = 0;
    while (start <= comment.length()) {
      int comma = comment.indexOf(',', start);
      int end = comma < 0 ? comment.length() : comma;
      int equals = findEqualsSign(comment, start, end);
      String key = stripSpaces(comment, start, equals);
      String value = stripSpaces(comment, equals + 1, end);
      checkField(key, value);
      putOnce(fields, key, value);
      if (key.equals(TIMEOUT_KEY)) {
        timeoutStart = commentOffset + equals + 1;
        timeoutEnd = commentOffset + end;
      }
      start = end + 1;
    }
    this.timeoutStart = timeoutStart;
    this.timeoutEnd = timeoutEnd;
    this.workload = requiredField(fields, WORKLOAD_KEY);
    this.id = requiredField(fields, ID_KEY);
    this.idHash = hash(this.id, ID_HASH_SEED);
    this.timeoutMillis =
        parseNumber(TIMEOUT_KEY, requiredField(fields, TIMEOUT_KEY), MAX_TIMEOUT_MILLIS);
    this.group =
        (int) parseNumber(GROUP_KEY, fields.getOrDefault(GROUP_KEY, "0"), Integer.MAX_VALUE);
    this.lastCommitMillis =
        parseNumber(COMMIT_KEY, fields.getOrDefault(COMMIT_KEY, "0"), MAX_COMMIT_MILLIS);
    parseNumber(RETRY_KEY, fields.getOrDefault(RETRY_KEY, "1"), 1);
    this.sessionHash = sessionHash;
  }

  /** Parses the text of a query that {@link StatementSyntax} has checked. */
  public static Query parse(ByteBuf text) throws ProtocolException {
    int commentStart = findCommentStart(text);
    int commentEnd = findCommentEnd(text, commentStart);
    String comment =
        text.toString(
            text.readerIndex() + commentStart,
            commentEnd - commentStart,
            StandardCharsets.ISO_8859_1);
    return new Query(
        comment, commentStart, computeSessionHash(text, commentEnd + COMMENT_DELIMITER_BYTES));
  }

  /** Returns the offset after the delimiter that opens the comment. */
  private static int findCommentStart(ByteBuf text) throws ProtocolException {
    int open = skipWhitespace(text, 0);
    int start = open + COMMENT_DELIMITER_BYTES;
    if (text.readableBytes() < start
        || byteAt(text, open) != COMMENT_OPEN.charAt(0)
        || byteAt(text, open + 1) != COMMENT_OPEN.charAt(1)) {
      throw ProtocolException.violation("the statement does not begin with its comment");
    }
    return start;
  }

  /** Returns the offset of the delimiter that closes the comment. */
  private static int findCommentEnd(ByteBuf text, int start) throws ProtocolException {
    int limit =
        Math.min(text.readableBytes() - 1, start - COMMENT_DELIMITER_BYTES + MAX_COMMENT_BYTES);
    for (int offset = start; offset < limit; offset++) {
      if (byteAt(text, offset) == '*' && byteAt(text, offset + 1) == '/') {
        return offset;
      }
    }
    throw ProtocolException.violation("the comment before the statement is not closed");
  }

  private static int findEqualsSign(String comment, int start, int end) throws ProtocolException {
    int equals = comment.indexOf('=', start);
    if (equals < 0 || equals > end) {
      throw ProtocolException.violation(
          "the comment holds '"
              + comment.substring(start, end).trim()
              + "' where a name and a value belong");
    }
    return equals;
  }

  private static String stripSpaces(String comment, int from, int to) {
    int start = from;
    int end = to;
    while (start < end && StatementSyntax.isSpace((byte) comment.charAt(start))) {
      start++;
    }
    while (start < end && StatementSyntax.isSpace((byte) comment.charAt(end - 1))) {
      end--;
    }
    return comment.substring(start, end);
  }

  /** The protocol says what its own names stand for; of others, any text may be the value. */
  private static void checkField(String key, String value) throws ProtocolException {
    String excluded = KNOWN_KEYS.contains(key) ? NOT_IN_WORDS : "";
    if (key.isEmpty()
        || !isPrintable(key, NOT_IN_WORDS)
        || !isPrintable(value, excluded)
        || value.contains(COMMENT_OPEN)) {
      throw ProtocolException.violation("the comment holds a malformed name or value");
    }
  }

  /** Returns whether the text holds no control characters and none of the given ones. */
  private static boolean isPrintable(String text, String excluded) {
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character < ' ' || character == DELETE || excluded.indexOf(character) >= 0) {
        return false;
      }
    }
    return true;
  }

  private static void putOnce(Map<String, String> fields, String key, String value)
      throws ProtocolException {
    if (fields.put(key, value) != null) {
      throw ProtocolException.violation("the comment names " + key + " twice");
    }
  }

  private static String requiredField(Map<String, String> fields, String key)
      throws ProtocolException {
    String value = fields.get(key);
    if (value == null || value.isEmpty()) {
      throw ProtocolException.violation("the comment lacks " + key);
    }
    return value;
  }

  private static long parseNumber(String key, String digits, long max) throws ProtocolException {
    long number = 0;
    boolean valid = !digits.isEmpty();
    for (int i = 0; i < digits.length() && valid; i++) {
      int digit = digits.charAt(i) - '0';
      valid = digit >= 0 && digit <= 9 && number <= (max - digit) / 10;
      number = 10 * number + digit;
    }
    if (!valid) {
      throw ProtocolException.violation("the comment's " + key + " is no number from 0 to " + max);
    }
    return number;
  }

  /** Returns the FNV-1a hash of the text, of which each character is one byte. */
  private static long hash(String text, long seed) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /**
   * Returns the FNV-1a hash of the first quoted literal, or 0 if there is none. A hash of 0 is
   * replaced by 1.
   */
  private static long computeSessionHash(ByteBuf text, int from) {
    int open = text.indexOf(text.readerIndex() + from, text.writerIndex(), (byte) '\'');
    int close = open < 0 ? -1 : text.indexOf(open + 1, text.writerIndex(), (byte) '\'');
    if (close < 0) {
      return 0;
    }
    long hash = FNV_OFFSET_BASIS;
    for (int index = open + 1; index < close; index++) {
      hash = (hash ^ (text.getByte(index) & 0xff)) * FNV_PRIME;
    }
    return hash == 0 ? 1 : hash;
  }

  /** Returns whether the text contains only white space and semicolons. */
  public static boolean isBlank(ByteBuf text) {
    int offset = skipWhitespace(text, 0);
    while (offset < text.readableBytes() && byteAt(text, offset) == ';') {
      offset = skipWhitespace(text, offset + 1);
    }
    return offset == text.readableBytes();
  }

  /**
   * Returns the first word of a command that changes only the session, such as SET, or null. The
   * router does not execute such a command, since statements of a session run on many connections.
   */
  public static String findSessionCommand(ByteBuf text) {
    int start = skipWhitespace(text, 0);
    for (String command : SESSION_COMMANDS) {
      if (startsWithWord(text, start, command)) {
        return command;
      }
    }
    return null;
  }

  private static boolean startsWithWord(ByteBuf text, int start, String word) {
    int end = start + word.length();
    if (text.readableBytes() < end) {
      return false;
    }
    String found =
        text.toString(text.readerIndex() + start, word.length(), StandardCharsets.ISO_8859_1);
    return AsciiString.contentEqualsIgnoreCase(word, found)
        && (text.readableBytes() == end || byteAt(text, end) <= ' ' || byteAt(text, end) == ';');
  }

  private static byte byteAt(ByteBuf text, int offset) {
    return text.getByte(text.readerIndex() + offset);
  }

  private static int skipWhitespace(ByteBuf text, int from) {
    int offset = from;
    while (offset < text.readableBytes() && StatementSyntax.isSpace(byteAt(text, offset))) {
      offset++;
    }
    return offset;
  }
}
