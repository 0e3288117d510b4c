package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/**
 * Checks that the text of a query is one statement of the protocol before anything is sent on: one
 * string of valid UTF-8 without a zero byte, exactly one statement, each quote and comment closed,
 * and no value of more than 64 KiB. {@link Query} checks the fields of its comment.
 *
 * <p>Splits the text by PostgreSQL's lexical rules, as far as a semicolon or a value's end depends
 * on them.
 */
public final class StatementSyntax {
  /** Maximum size of a value in bytes; a value in hexadecimal has two digits for each. */
  private static final int MAX_VALUE_BYTES = 64 * 1024;

  private static final int HEX_PREFIX_BYTES = 2;

  private final ByteBuf text;
  private final int end;

  /** Index of the next byte to be read. */
  private int index;

  private boolean statementFound;
  private boolean statementEnded;

  private StatementSyntax(ByteBuf text) {
    this.text = text;
    index = text.readerIndex();
    end = text.writerIndex();
  }

  /**
   * Checks that a string of a query without its terminating zero byte is one statement.
   *
   * @param text the text, which {@link #checkString} has accepted
   */
  public static void checkStatement(ByteBuf text) throws ProtocolException {
    new StatementSyntax(text).checkOneStatement();
  }

  /** Checks that the text is one string: a zero byte would end it for its reader. */
  public static void checkString(ByteBuf text) throws ProtocolException {
    if (text.indexOf(text.readerIndex(), text.writerIndex(), (byte) 0) >= 0) {
      throw ProtocolException.violation("the query holds a zero byte before its end");
    }
    if (!ByteBufUtil.isText(text, StandardCharsets.UTF_8)) {
      throw ProtocolException.violation("the query is no valid UTF-8");
    }
  }

  private void checkOneStatement() throws ProtocolException {
    while (index < end) {
      if (!skipCommentOrWhitespace()) {
        readToken();
      }
    }
    if (!statementFound) {
      throw ProtocolException.violation("the query holds no statement");
    }
  }

  private boolean skipCommentOrWhitespace() throws ProtocolException {
    byte first = text.getByte(index);
    if (isSpace(first)) {
      index++;
    } else if (first == '-' && byteAt(index + 1) == '-') {
      int lineEnd = text.indexOf(index, end, (byte) '\n');
      index = lineEnd < 0 ? end : lineEnd + 1;
    } else if (first == '/' && byteAt(index + 1) == '*') {
      skipBlockComment();
    } else {
      return false;
    }
    return true;
  }

  /** Block comments nest. */
  private void skipBlockComment() throws ProtocolException {
    int depth = 0;
    do {
      if (index >= end) {
        throw ProtocolException.violation("a comment is not closed");
      }
      byte first = text.getByte(index);
      byte second = byteAt(index + 1);
      boolean opens = first == '/' && second == '*';
      boolean closes = first == '*' && second == '/';
      depth += opens ? 1 : closes ? -1 : 0;
      index += opens || closes ? 2 : 1;
    } while (depth > 0);
  }

  private void readToken() throws ProtocolException {
    byte first = text.getByte(index);
    if (first == ';') {
      index++;
      statementEnded = statementFound;
      return;
    }
    if (statementEnded) {
      throw ProtocolException.violation("a query holds more than one statement");
    }
    statementFound = true;
    if (first == '\'' || first == '"') {
      readQuoted(first, false);
    } else if (first == '$' && dollarQuoteEnd() > 0) {
      readDollarQuoted();
    } else if (isWordByte(first)) {
      readWord();
    } else {
      index++;
    }
  }

  /** Reads a quoted value or name, in which a quote is written twice. */
  private void readQuoted(byte quote, boolean backslashEscapes) throws ProtocolException {
    int start = ++index;
    int escapes = 0;
    while (true) {
      int close = backslashEscapes ? unescapedQuote() : text.indexOf(index, end, quote);
      if (close < 0) {
        throw ProtocolException.violation("a quote is not closed");
      }
      index = close + 1;
      if (byteAt(index) != quote) {
        checkValue(start, close, escapes);
        return;
      }
      escapes++;
      index++;
    }
  }

  /** Returns the index of the next quote that is not behind a backslash, or -1. */
  private int unescapedQuote() {
    for (int i = index; i < end; i++) {
      byte next = text.getByte(i);
      if (next == '\'') {
        return i;
      }
      i += next == '\\' ? 1 : 0;
    }
    return -1;
  }

  /** Returns the index behind the delimiter that opens a dollar-quoted value here, or -1. */
  private int dollarQuoteEnd() {
    for (int i = index + 1; i < end; i++) {
      byte next = text.getByte(i);
      if (next == '$') {
        return i + 1;
      }
      boolean first = i == index + 1;
      if (!isWordByte(next) || (first && isDigit(next))) {
        return -1;
      }
    }
    return -1;
  }

  private void readDollarQuoted() throws ProtocolException {
    int start = dollarQuoteEnd();
    ByteBuf delimiter = text.slice(index, start - index);
    int offset = ByteBufUtil.indexOf(delimiter, text.slice(start, end - start));
    if (offset < 0) {
      throw ProtocolException.violation("a quote is not closed");
    }
    checkValue(start, start + offset, 0);
    index = start + offset + delimiter.readableBytes();
  }

  /** Reads a name, keyword or number; a dollar sign within it opens no quote. */
  private void readWord() throws ProtocolException {
    int start = index;
    while (index < end && (isWordByte(text.getByte(index)) || text.getByte(index) == '$')) {
      index++;
    }
    checkValue(start, index, 0);
    boolean escapePrefix = index - start == 1 && (text.getByte(start) | ' ') == 'e';
    if (escapePrefix && byteAt(index) == '\'') {
      readQuoted((byte) '\'', true);
    }
  }

  private void checkValue(int from, int to, int escapes) throws ProtocolException {
    int bytes = isHexadecimal(from, to) ? (to - from - HEX_PREFIX_BYTES) / 2 : to - from - escapes;
    if (bytes > MAX_VALUE_BYTES) {
      throw ProtocolException.violation("a value is longer than " + MAX_VALUE_BYTES + " bytes");
    }
  }

  private boolean isHexadecimal(int from, int to) {
    // Shorter values are within the limit whatever they mean.
    if (to - from <= MAX_VALUE_BYTES || text.getByte(from) != '\\' || byteAt(from + 1) != 'x') {
      return false;
    }
    for (int i = from + HEX_PREFIX_BYTES; i < to; i++) {
      if (Character.digit(text.getByte(i), 16) < 0) {
        return false;
      }
    }
    return (to - from) % 2 == 0;
  }

  static boolean isSpace(byte value) {
    return value == ' ' || (value >= '\t' && value <= '\r');
  }

  private static boolean isWordByte(byte value) {
    return value < 0
        || (value >= 'a' && value <= 'z')
        || (value >= 'A' && value <= 'Z')
        || isDigit(value)
        || value == '_';
  }

  private static boolean isDigit(byte value) {
    return value >= '0' && value <= '9';
  }

  /** Returns 0 behind the end, which no text holds. */
  private byte byteAt(int at) {
    return at < end ? text.getByte(at) : 0;
  }
}
