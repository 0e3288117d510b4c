package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;

/**
 * Splits received bytes into messages.
 *
 * <p>A message is a slice of the buffer that it was read into. An incomplete message is buffered
 * until the rest has arrived, so bytes are copied only for messages that arrive in several reads.
 */
public final class MessageDecoder {
  /** Size of the message header in bytes: type and length. */
  public static final int HEADER_BYTES = 5;

  /** Size of the length field in bytes. The length includes itself. */
  private static final int LENGTH_BYTES = Integer.BYTES;

  private static final int TYPE_BYTES = 1;
  private static final int MIN_BUFFER_CAPACITY_BYTES = 512;

  /** A buffer that holds an incomplete message is at most this many times as large. */
  private static final int MAX_CAPACITY_FACTOR = 2;

  private int maxMessageBytes;
  private final MemoryBudget budget;

  /** Owned by this decoder; null if no bytes are buffered. */
  private ByteBuf buffered;

  private int reservedBytes;

  /**
   * Creates a decoder.
   *
   * @param maxMessageBytes the maximum length in a message header
   * @param budget the budget that the capacity of the buffer is reserved from
   */
  public MessageDecoder(int maxMessageBytes, MemoryBudget budget) {
    this.maxMessageBytes = maxMessageBytes;
    this.budget = budget;
  }

  /** Adds received bytes and takes ownership of their buffer; throws if the budget is exceeded. */
  public void add(ByteBuf received) throws ProtocolException {
    if (!addEvenIfOverBudget(received)) {
      throw new ProtocolException(
          ProtocolCodes.TOO_MANY_CONNECTIONS, "too many messages are under way");
    }
  }

  /**
   * Adds received bytes and takes ownership of their buffer.
   *
   * @return false if the budget is exceeded now
   */
  public boolean addEvenIfOverBudget(ByteBuf received) {
    if (buffered == null || !buffered.isReadable()) {
      release();
      buffered = received;
    } else {
      append(received);
    }
    int added = buffered.capacity() - reservedBytes;
    reservedBytes += added;
    return budget.reserve(added);
  }

  private void append(ByteBuf received) {
    try {
      if (buffered.capacity() - buffered.writerIndex() < received.readableBytes()) {
        replaceBuffer(received);
      }
      buffered.writeBytes(received);
    } finally {
      received.release();
    }
  }

  /**
   * Moves the buffered bytes to a new buffer with space for the received ones. The old buffer is
   * neither compacted nor overwritten, since slices of it may still be in use.
   */
  private void replaceBuffer(ByteBuf received) {
    int total = buffered.readableBytes() + received.readableBytes();
    ByteBuf larger = received.alloc().buffer(Math.max(total, Math.min(2 * total, usefulBytes())));
    larger.writeBytes(buffered);
    buffered.release();
    buffered = larger;
  }

  /** Moves a few bytes that are kept for longer out of a large receive buffer. */
  private void shrink() {
    int bytes = Math.max(MIN_BUFFER_CAPACITY_BYTES, buffered.readableBytes());
    if (buffered.capacity() > MAX_CAPACITY_FACTOR * bytes) {
      ByteBuf smaller = buffered.alloc().buffer(bytes);
      smaller.writeBytes(buffered);
      buffered.release();
      buffered = smaller;
      budget.release(reservedBytes - smaller.capacity());
      reservedBytes = smaller.capacity();
    }
  }

  /** Removes all buffered bytes, which begin with a message, and returns them; null if none. */
  public ByteBuf removeAll() {
    ByteBuf all = buffered;
    if (all != null) {
      buffered = null;
      budget.release(reservedBytes);
      reservedBytes = 0;
    }
    return all;
  }

  /** Returns the capacity of the buffer. */
  public int capacityBytes() {
    return reservedBytes;
  }

  /** Returns the capacity that the message at the start of the buffer needs, as far as known. */
  private int usefulBytes() {
    int statedLength =
        buffered.readableBytes() < HEADER_BYTES
            ? 0
            : buffered.getInt(buffered.readerIndex() + TYPE_BYTES);
    boolean valid = statedLength > 0 && statedLength <= maxMessageBytes;
    return Math.max(MIN_BUFFER_CAPACITY_BYTES, valid ? TYPE_BYTES + statedLength : 0);
  }

  /**
   * Returns the next complete message with its header, or null if there is none. The message is
   * valid until the next call of this decoder.
   */
  public ByteBuf nextMessage() throws ProtocolException {
    if (bufferedBytes() < HEADER_BYTES) {
      return returnNoMessage();
    }
    return slice(buffered.getInt(buffered.readerIndex() + TYPE_BYTES), TYPE_BYTES);
  }

  /**
   * Returns the next complete message of the startup phase, which has no type byte, or null. See
   * {@link #nextMessage}.
   */
  public ByteBuf nextStartupMessage() throws ProtocolException {
    if (bufferedBytes() < LENGTH_BYTES) {
      return returnNoMessage();
    }
    return slice(buffered.getInt(buffered.readerIndex()), 0);
  }

  private ByteBuf slice(int statedLength, int typeBytes) throws ProtocolException {
    checkLength(statedLength, maxMessageBytes);
    int messageBytes = typeBytes + statedLength;
    if (buffered.readableBytes() >= messageBytes) {
      return buffered.readSlice(messageBytes);
    }
    shrink();
    return null;
  }

  private static void checkLength(int statedLength, int maxMessageBytes) throws ProtocolException {
    if (statedLength < LENGTH_BYTES || statedLength > maxMessageBytes) {
      throw new ProtocolException(
          statedLength > maxMessageBytes
              ? ProtocolCodes.PROGRAM_LIMIT_EXCEEDED
              : ProtocolCodes.PROTOCOL_VIOLATION,
          "a message states a length of " + statedLength);
    }
  }

  /** Returns the number of bytes that follow a message header. */
  static int bodyBytes(byte[] header, int maxMessageBytes) throws ProtocolException {
    int statedLength = ByteBuffer.wrap(header).getInt(TYPE_BYTES);
    checkLength(statedLength, maxMessageBytes);
    return statedLength - LENGTH_BYTES;
  }

  /**
   * Removes the bytes behind the last complete message and returns them; null if there are none.
   * What follows has to be added elsewhere until all complete messages are consumed.
   */
  public ByteBuf removeIncompleteMessage() {
    if (buffered == null) {
      return null;
    }
    int end = buffered.readerIndex();
    while (buffered.writerIndex() - end >= HEADER_BYTES) {
      int statedLength = buffered.getInt(end + TYPE_BYTES);
      boolean complete =
          statedLength >= LENGTH_BYTES
              && statedLength <= maxMessageBytes
              && statedLength <= buffered.writerIndex() - end - TYPE_BYTES;
      if (!complete) {
        break;
      }
      end += TYPE_BYTES + statedLength;
    }
    ByteBuf incomplete =
        end == buffered.writerIndex()
            ? null
            : buffered.retainedSlice(end, buffered.writerIndex() - end);
    buffered.writerIndex(end);
    returnNoMessage();
    return incomplete;
  }

  /** Returns null, and releases the buffer if all of its bytes were consumed. */
  private ByteBuf returnNoMessage() {
    if (buffered != null && !buffered.isReadable()) {
      release();
    }
    return null;
  }

  /** Returns the number of buffered bytes that are not part of a returned message. */
  public int bufferedBytes() {
    return buffered == null ? 0 : buffered.readableBytes();
  }

  /** Sets the maximum length in the headers of the messages that follow. */
  public void setMaxMessageBytes(int maxBytes) {
    maxMessageBytes = maxBytes;
  }

  /** Discards the buffered bytes and releases their share of the budget. */
  public void release() {
    if (buffered != null) {
      buffered.release();
      buffered = null;
      budget.release(reservedBytes);
      reservedBytes = 0;
    }
  }
}
