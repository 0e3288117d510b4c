package basaltlever.discovery;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Reads one HTTP/1.1 answer byte by byte and hands on the JSON objects of its body, each with its
 * closing brace: a list may be indented, over several lines, and its last line need not end. A line
 * with nothing on it between objects is handed on as an empty text: that is how a watch says that
 * it stands.
 */
public final class ChunkedResponseReader {
  private static final int LONGEST_HEAD = 8_192;
  private static final int LARGEST_OBJECT = 4 << 20;
  private static final int LARGEST_CHUNK = 1 << 28;

  private enum Part {
    STATUS,
    HEADER,
    SIZE,
    CHUNK,
    CHUNK_END,
    TRAILER,
    PLAIN,
    OVER
  }

  /** Takes a text, which may be faulty. */
  interface Sink {
    void accept(String text) throws InvalidEndpointListException;
  }

  private final Sink objects;

  /**
   * Takes what stands in a list of the outermost object; null where objects are handed on as they
   * are.
   */
  private final Sink entries;

  private final ByteArrayOutputStream entry = new ByteArrayOutputStream();
  private boolean inEntry;

  /** Whether what was opened last directly within the outermost object is a list. */
  private boolean listWithinObject;

  private int size;
  private boolean betweenEntries;
  private final StringBuilder head = new StringBuilder();
  private final ByteArrayOutputStream object = new ByteArrayOutputStream();

  /** Of braces and brackets that are open, outside of strings. */
  private int depth;

  private boolean inString;
  private boolean escaped;
  private Part part = Part.STATUS;
  private boolean chunked;
  private long left = -1;
  private int headSize;

  public ChunkedResponseReader(Consumer<String> objects) {
    this(objects::accept, null);
  }

  /**
   * Hands objects that stand in a list directly within the outermost object to the second sink,
   * each once it is whole, and leaves them out of the outermost one's text.
   */
  ChunkedResponseReader(Sink objects, Sink entries) {
    this.objects = objects;
    this.entries = entries;
  }

  /** True once the body has ended. */
  public boolean isOver() {
    return part == Part.OVER;
  }

  public void read(ByteBuf in) throws InvalidEndpointListException {
    while (in.isReadable() && part != Part.OVER) {
      if (part == Part.CHUNK || part == Part.PLAIN) {
        body(in);
      } else {
        char c = (char) (in.readByte() & 0xff);
        if (c == '\n') {
          String text = head.toString().trim();
          head.setLength(0);
          headLine(text);
        } else if (++headSize > LONGEST_HEAD) {
          throw new InvalidEndpointListException("the head of an answer is too long");
        } else {
          head.append(c);
        }
      }
    }
  }

  private void headLine(String text) throws InvalidEndpointListException {
    switch (part) {
      case STATUS -> {
        String[] words = text.split(" ", 3);
        if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
          throw new InvalidEndpointListException("an answer begins with no status line");
        }
        if (!words[1].equals("200")) {
          throw new InvalidEndpointListException("a call ended with status " + words[1]);
        }
        part = Part.HEADER;
      }
      case HEADER -> {
        if (text.isEmpty()) {
          part = chunked ? Part.SIZE : left == 0 ? Part.OVER : Part.PLAIN;
          headSize = 0;
        } else {
          header(text.toLowerCase(java.util.Locale.ROOT));
        }
      }
      case SIZE -> {
        left = number(text.split(";", 2)[0].trim(), 16);
        part = left == 0 ? Part.TRAILER : Part.CHUNK;
        headSize = 0;
      }
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new InvalidEndpointListException("a chunk is longer than stated");
        }
        part = Part.SIZE;
      }
      default -> {
        if (text.isEmpty()) {
          part = Part.OVER;
        }
      }
    }
  }

  private void header(String text) throws InvalidEndpointListException {
    int colon = text.indexOf(':');
    String value = text.substring(colon + 1).trim();
    if (text.startsWith("transfer-encoding:")) {
      chunked = value.endsWith("chunked");
    } else if (text.startsWith("content-length:")) {
      left = number(value, 10);
    }
  }

  private static long number(String text, int radix) throws InvalidEndpointListException {
    if (text.matches("[0-9a-fA-F]{1,16}")) {
      try {
        long number = Long.parseLong(text, radix);
        if (number <= LARGEST_CHUNK) {
          return number;
        }
      } catch (NumberFormatException e) {
        // Named below.
      }
    }
    throw new InvalidEndpointListException("an answer states a length of '" + text + "'");
  }

  private void body(ByteBuf in) throws InvalidEndpointListException {
    int most = left < 0 ? in.readableBytes() : (int) Math.min(left, in.readableBytes());
    for (int i = 0; i < most; i++) {
      byte next = in.readByte();
      if (depth > 0 || next == '{') {
        within(next);
      } else if (next == '\n') {
        objects.accept("");
      } else if (next != ' ' && next != '\r' && next != '\t') {
        throw new InvalidEndpointListException("a list begins with no object");
      }
    }
    if (left >= 0) {
      left -= most;
      if (left == 0 && chunked) {
        part = Part.CHUNK_END;
      } else if (left == 0) {
        part = Part.OVER;
      }
    }
  }

  /** The comma behind an entry that was cut out, and white space, would be left over. */
  private boolean isBetweenEntries(byte next) {
    if (!betweenEntries || inString || depth != 2) {
      return false;
    }
    if (next == ',' || next == ' ' || next == '\n' || next == '\r' || next == '\t') {
      return true;
    }
    betweenEntries = false;
    return false;
  }

  /** One that breaks off is never handed on. */
  private void within(byte next) throws InvalidEndpointListException {
    if (++size > LARGEST_OBJECT) {
      throw new InvalidEndpointListException("a list is too long");
    }
    boolean opensEntry =
        entries != null && !inString && depth == 2 && next == '{' && listWithinObject;
    if (opensEntry) {
      inEntry = true;
    }
    if (inEntry) {
      entry.write(next);
    } else if (!isBetweenEntries(next)) {
      object.write(next);
    }
    if (escaped) {
      escaped = false;
    } else if (inString) {
      escaped = next == '\\';
      inString = next != '"';
    } else if (next == '"') {
      inString = true;
    } else if (next == '{' || next == '[') {
      listWithinObject = depth == 1 ? next == '[' : listWithinObject;
      depth++;
    } else if (inEntry && depth == 3 && (next == '}' || next == ']')) {
      depth--;
      inEntry = false;
      betweenEntries = true;
      String whole = entry.toString(StandardCharsets.UTF_8);
      entry.reset();
      entries.accept(whole);
    } else if ((next == '}' || next == ']') && --depth == 0) {
      String whole = object.toString(StandardCharsets.UTF_8);
      object.reset();
      size = 0;
      objects.accept(whole);
    }
  }
}
