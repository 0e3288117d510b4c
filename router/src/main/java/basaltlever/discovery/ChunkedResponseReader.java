package basaltlever.discovery;

import io.netty.buffer.ByteBuf;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Reads one HTTP/1.1 response incrementally and emits the JSON objects of its body. A line end
 * between objects is emitted as an empty text, since the service sends empty lines as keep-alives
 * of a watch.
 */
public final class ChunkedResponseReader {
  /** Limit for the status line and headers together, and for each line within a chunked body. */
  private static final int MAX_HEAD_BYTES = 8_192;

  private static final long MAX_BODY_BYTES = 1 << 28;
  private static final int MAX_LENGTH_DIGITS = 16;
  private static final int DECIMAL = 10;
  private static final int HEXADECIMAL = 16;

  /** The body ends when the connection is closed. */
  private static final long UNKNOWN_LENGTH = -1;

  private enum State {
    STATUS_LINE,
    HEADERS,
    CHUNK_SIZE,
    CHUNK_DATA,
    /** The line end after the data of a chunk. */
    CHUNK_END,
    TRAILERS,
    /** A body without chunked encoding. */
    PLAIN_BODY,
    COMPLETE
  }

  private final JsonObjectSplitter body;
  private final StringBuilder line = new StringBuilder();
  private State state = State.STATUS_LINE;
  private boolean chunked;

  /** The remaining bytes of the body or of the current chunk. */
  private long remainingBytes = UNKNOWN_LENGTH;

  private int headBytes;

  /** Creates a reader that emits each outermost object of the body. */
  public ChunkedResponseReader(Consumer<String> objects) {
    this(objects::accept, null);
  }

  /**
   * Creates a reader that emits the entries of lists separately; see {@link JsonObjectSplitter}.
   */
  ChunkedResponseReader(TextSink objects, TextSink entries) {
    body = new JsonObjectSplitter(objects, entries);
  }

  /** Returns whether the body is complete. */
  public boolean isComplete() {
    return state == State.COMPLETE;
  }

  /** Reads bytes up to the end of the response; the caller keeps ownership of the buffer. */
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
      throw new InvalidEndpointListException(
          "the headers or a chunk header of a response are too long");
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
          throw new IllegalStateException("no line is expected in state " + state);
    }
  }

  private void readStatusLine(String text) throws InvalidEndpointListException {
    String[] words = text.split(" ", 3);
    if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
      throw new InvalidEndpointListException(
          "a response does not begin with an HTTP/1.x status line");
    }
    if (!words[1].equals("200")) {
      throw new InvalidEndpointListException("a request was answered with status " + words[1]);
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
      throw new InvalidEndpointListException("a chunk is longer than its stated size");
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
      throw new InvalidEndpointListException("a response states an invalid length '" + text + "'");
    }
    return length;
  }
}
