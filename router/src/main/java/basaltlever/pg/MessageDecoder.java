package basaltlever.pg;

import io.netty.buffer.ByteBuf;

/**
 * Splits received bytes into messages.
 *
 * <p>A message is a slice of the buffer that it was read into. An incomplete message is buffered
 * until the rest has arrived, so bytes are copied only for messages that arrive in pieces.
 */
public final class MessageDecoder {
  /** Bytes of the header: type and length. */
  public static final int HEADER_BYTES = 5;

  /** Bytes of the length, which counts itself. */
  private static final int LENGTH_BYTES = Integer.BYTES;

  private static final int TYPE_BYTES = 1;
  private static final int MIN_BUFFER_CAPACITY_BYTES = 512;

  private int maxMessageBytes;
  private final MemoryBudget budget;

  /** Owned here; null if there are no buffered bytes. */
  private ByteBuf buffered;

  private int reservedBytes;

  /**
   * Creates a decoder.
   *
   * @param maxMessageBytes the greatest length that a message may state
   * @param budget is charged with the capacity of the buffer
   */
  public MessageDecoder(int maxMessageBytes, MemoryBudget budget) {
    this.maxMessageBytes = maxMessageBytes;
    this.budget = budget;
  }

  /** Adds received bytes and takes over the ownership of their buffer. */
  public void add(ByteBuf received) throws ProtocolException {
    if (buffered == null || !buffered.isReadable()) {
      release();
      buffered = received;
    } else {
      append(received);
    }
    int added = buffered.capacity() - reservedBytes;
    reservedBytes += added;
    if (!budget.reserve(added)) {
      throw new ProtocolException(
          ProtocolCodes.TOO_MANY_CONNECTIONS, "too many messages are under way");
    }
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
   * neither compacted nor overwritten, since slices of it may still be in use elsewhere.
   */
  private void replaceBuffer(ByteBuf received) {
    int total = buffered.readableBytes() + received.readableBytes();
    ByteBuf larger = received.alloc().buffer(Math.max(MIN_BUFFER_CAPACITY_BYTES, 2 * total));
    larger.writeBytes(buffered);
    buffered.release();
    buffered = larger;
  }

  /**
   * Returns the next complete message with its header, or null. It is valid until the next call of
   * this decoder.
   */
  public ByteBuf nextMessage() throws ProtocolException {
    if (bufferedBytes() < HEADER_BYTES) {
      return returnNoMessage();
    }
    return slice(buffered.getInt(buffered.readerIndex() + TYPE_BYTES), TYPE_BYTES);
  }

  /** As {@link #nextMessage}, for the messages of the startup phase, which have no type byte. */
  public ByteBuf nextStartupMessage() throws ProtocolException {
    if (bufferedBytes() < LENGTH_BYTES) {
      return returnNoMessage();
    }
    return slice(buffered.getInt(buffered.readerIndex()), 0);
  }

  private ByteBuf slice(int statedLength, int typeBytes) throws ProtocolException {
    if (statedLength < LENGTH_BYTES || statedLength > maxMessageBytes) {
      throw new ProtocolException(
          statedLength > maxMessageBytes
              ? ProtocolCodes.PROGRAM_LIMIT_EXCEEDED
              : ProtocolCodes.PROTOCOL_VIOLATION,
          "a message states a length of " + statedLength);
    }
    int messageBytes = typeBytes + statedLength;
    return buffered.readableBytes() < messageBytes ? null : buffered.readSlice(messageBytes);
  }

  /** Returns null for "no message", and the buffer to its pool if all of it was consumed. */
  private ByteBuf returnNoMessage() {
    if (buffered != null && !buffered.isReadable()) {
      release();
    }
    return null;
  }

  /** The buffered bytes that are not yet part of a returned message. */
  public int bufferedBytes() {
    return buffered == null ? 0 : buffered.readableBytes();
  }

  /** Sets the greatest length that a message may state from here on. */
  public void setMaxMessageBytes(int maxBytes) {
    maxMessageBytes = maxBytes;
  }

  /** Drops the buffered bytes and returns them to the budget. */
  public void release() {
    if (buffered != null) {
      buffered.release();
      buffered = null;
      budget.release(reservedBytes);
      reservedBytes = 0;
    }
  }
}
