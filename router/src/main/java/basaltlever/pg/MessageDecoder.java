package basaltlever.pg;

import io.netty.buffer.ByteBuf;

/**
 * Cuts messages out of what is read. A message is a slice of the buffer that it was read into; what
 * has not come whole is kept until it has, so there is one copy at most, and only of messages that
 * come in pieces.
 */
public final class MessageDecoder {
  /** Type byte and length. */
  public static final int HEAD = 5;

  private static final int PIECE = 512;

  private int largest;
  private final MemoryBudget budget;

  /** Owned here; null where all that came was used. */
  private ByteBuf kept;

  private int counted;

  /** No message may be larger, and all that is kept goes by the budget. */
  public MessageDecoder(int largest, MemoryBudget budget) {
    this.largest = largest;
    this.budget = budget;
  }

  /** Takes the buffer over. */
  public void add(ByteBuf in) throws ProtocolException {
    if (kept == null || !kept.isReadable()) {
      release();
      kept = in;
    } else {
      join(in);
    }
    int more = kept.capacity() - counted;
    counted += more;
    if (!budget.hold(more)) {
      throw new ProtocolException(ProtocolCodes.TOO_MANY, "too many messages are under way");
    }
  }

  private void join(ByteBuf in) {
    try {
      int total = kept.readableBytes() + in.readableBytes();
      // Slices of the old buffer may be held elsewhere: it is only ever written behind them, or
      // left.
      if (kept.capacity() - kept.writerIndex() < in.readableBytes()) {
        ByteBuf larger = in.alloc().buffer(Math.max(PIECE, 2 * total));
        larger.writeBytes(kept);
        kept.release();
        kept = larger;
      }
      kept.writeBytes(in);
    } finally {
      in.release();
    }
  }

  /** The next whole message with its head, valid until the next call, or null. */
  public ByteBuf next() throws ProtocolException {
    if (size() < HEAD) {
      return spent();
    }
    return cut(kept.getInt(kept.readerIndex() + 1), 1);
  }

  /** As next, for the messages before the start, which have no type byte. */
  public ByteBuf nextUntyped() throws ProtocolException {
    if (size() < HEAD - 1) {
      return spent();
    }
    return cut(kept.getInt(kept.readerIndex()), 0);
  }

  private ByteBuf cut(int length, int before) throws ProtocolException {
    if (length < HEAD - 1 || length > largest) {
      throw new ProtocolException(
          length > largest ? ProtocolCodes.TOO_LARGE : ProtocolCodes.VIOLATION,
          "a message states a length of " + length);
    }
    return kept.readableBytes() < length + before ? null : kept.readSlice(length + before);
  }

  private ByteBuf spent() {
    if (kept != null && !kept.isReadable()) {
      release();
    }
    return null;
  }

  public int size() {
    return kept == null ? 0 : kept.readableBytes();
  }

  /** From here on messages may be as large as this. */
  public void admit(int larger) {
    largest = larger;
  }

  public void release() {
    if (kept != null) {
      kept.release();
      kept = null;
      budget.release(counted);
      counted = 0;
    }
  }
}
