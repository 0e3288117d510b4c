package basaltlever.discovery;

import io.netty.buffer.ByteBuf;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Reads one HTTP/1.1 response as its bytes arrive and passes on the JSON objects of its body. A
 * line end between objects is passed on as an empty text: the service sends empty lines to keep a
 * watch alive.
 */
public final class ChunkedResponseReader {
  /** For the status line and the headers together, and for each line within a chunked body. */
  private static final int MAX_HEAD_BYTES = 8_192;

  private static final long MAX_BODY_BYTES = 1 << 28;
  private static final int MAX_LENGTH_DIGITS = 16;
  private static final int DECIMAL = 10;
  private static final int HEXADECIMAL = 16;

  /** The body ends with the connection. */
  private static final long UNKNOWN_LENGTH = -1;

  private enum State {
    STATUS_LINE,
    HEADERS,
    CHUNK_SIZE,
    CHUNK_DATA,
    /** The line end behind the data of a chunk. */
    CHUNK_END,
    TRAILERS,
    /** A body that is not chunked. */
    PLAIN_BODY,
    COMPLETE
  }

  private final JsonObjectSplitter body;
  private final StringBuilder line = new StringBuilder();
  private State state = State.STATUS_LINE;
  private boolean chunked;

  /** Bytes that are left of the body or of the current chunk. */
  private long remainingBytes = UNKNOWN_LENGTH;

  private int headBytes;

  /** Creates a reader that passes on each outermost object of the body. */
  public ChunkedResponseReader(Consumer<String> objects) {
    this(objects::accept, null);
  }

  /**
   * Creates a reader that passes on the entries of lists separately, as described at {@link
   * JsonObjectSplitter}.
   */
  ChunkedResponseReader(TextSink objects, TextSink entries) {
    body = new JsonObjectSplitter(objects, entries);
  }

  /** Whether the body has ended. */
  public boolean isComplete() {
    return state == State.COMPLETE;
  }

  /** Reads the bytes up to the end of the response; the buffer stays with the caller. */
  public void read(ByteBuf in) throws InvalidEndpointListException {
    while (in.isReadable() && state != State.COMPLETE) {
      if (state == State.CHUNK_DATA || state == State.PLAIN_BODY) {
        readBody(in);
      } else {
        readLineByte((char) in.readUnsignedByte());
      }
    }
  }

  private void readLineByte(char next) throws InvalidEndpointListException {
    if (next == '\n') {
      String text = line.toString().trim();
      line.setLength(0);
      readLine(text);
      return;
    }
    headBytes++;
    if (headBytes > MAX_HEAD_BYTES) {
      throw new InvalidEndpointListException("the head of an answer is too long");
    }
    line.append(next);
  }

  private void readLine(String text) throws InvalidEndpointListException {
    switch (state) {
      case STATUS_LINE -> readStatusLine(text);
      case HEADERS -> readHeader(text);
      case CHUNK_SIZE -> readChunkSize(text);
      case CHUNK_END -> readChunkEnd(text);
      case TRAILERS -> readTrailer(text);
      case CHUNK_DATA, PLAIN_BODY, COMPLETE ->
          throw new IllegalStateException("no line is read in " + state);
    }
  }

  private void readStatusLine(String text) throws InvalidEndpointListException {
    String[] words = text.split(" ", 3);
    if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
      throw new InvalidEndpointListException("an answer begins with no status line");
    }
    if (!words[1].equals("200")) {
      throw new InvalidEndpointListException("a call ended with status " + words[1]);
    }
    state = State.HEADERS;
  }

  private void readHeader(String text) throws InvalidEndpointListException {
    if (text.isEmpty()) {
      headBytes = 0;
      state = bodyState();
      return;
    }
    String header = text.toLowerCase(Locale.ROOT);
    String value = header.substring(header.indexOf(':') + 1).trim();
    if (header.startsWith("transfer-encoding:")) {
      chunked = value.endsWith("chunked");
    } else if (header.startsWith("content-length:")) {
      remainingBytes = parseLength(value, DECIMAL);
    }
  }

  private State bodyState() {
    if (chunked) {
      return State.CHUNK_SIZE;
    }
    return remainingBytes == 0 ? State.COMPLETE : State.PLAIN_BODY;
  }

  private void readChunkSize(String text) throws InvalidEndpointListException {
    String size = text.split(";", 2)[0].trim();
    remainingBytes = parseLength(size, HEXADECIMAL);
    state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
    headBytes = 0;
  }

  private void readChunkEnd(String text) throws InvalidEndpointListException {
    if (!text.isEmpty()) {
      throw new InvalidEndpointListException("a chunk is longer than stated");
    }
    state = State.CHUNK_SIZE;
  }

  private void readTrailer(String text) {
    if (text.isEmpty()) {
      state = State.COMPLETE;
    }
  }

  private void readBody(ByteBuf in) throws InvalidEndpointListException {
    boolean unlimited = remainingBytes == UNKNOWN_LENGTH;
    int available = in.readableBytes();
    int bytes = unlimited ? available : (int) Math.min(remainingBytes, available);
    for (int i = 0; i < bytes; i++) {
      body.add(in.readByte());
    }
    if (unlimited) {
      return;
    }
    remainingBytes -= bytes;
    if (remainingBytes == 0) {
      state = chunked ? State.CHUNK_END : State.COMPLETE;
    }
  }

  private static long parseLength(String text, int radix) throws InvalidEndpointListException {
    long length = 0;
    boolean valid = !text.isEmpty() && text.length() <= MAX_LENGTH_DIGITS;
    for (int i = 0; i < text.length() && valid; i++) {
      int digit = Character.digit(text.charAt(i), radix);
      length = length * radix + digit;
      valid = digit >= 0 && length <= MAX_BODY_BYTES;
    }
    if (!valid) {
      throw new InvalidEndpointListException("an answer states a length of '" + text + "'");
    }
    return length;
  }
}
