package basaltlever.pg;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * Splits received bytes into messages of which only the type is kept, so that each can still be
 * answered although its content was not buffered.
 *
 * <p>Consecutive messages of one type are counted together. The memory that this needs depends on
 * how often the type changes, which is limited, and not on the number or the size of the messages.
 */
public final class SkippedMessages {
  /** Maximum number of changes of type that are kept. Clients of simple queries send one type. */
  static final int MAX_RUNS = 1_024;

  /** Consecutive messages of one type. */
  private static final class Run {
    private final byte type;
    private long count = 1;

    Run(byte type) {
      this.type = type;
    }
  }

  private final int maxMessageBytes;
  private final ArrayDeque<Run> runs = new ArrayDeque<>();
  private final byte[] header = new byte[MessageDecoder.HEADER_BYTES];
  private int headerBytes;
  private int missingBodyBytes;

  /**
   * Creates an empty sequence.
   *
   * @param maxMessageBytes the maximum length in a message header
   */
  public SkippedMessages(int maxMessageBytes) {
    this.maxMessageBytes = maxMessageBytes;
  }

  /**
   * Adds received bytes and releases their buffer. If the bytes are invalid, the messages before
   * the invalid one are kept, and nothing may be added any more.
   */
  public void add(ByteBuf received) throws ProtocolException {
    try {
      while (received.isReadable()) {
        if (headerBytes < header.length) {
          readHeader(received);
        } else {
          skipBody(received);
        }
      }
    } finally {
      received.release();
    }
  }

  private void readHeader(ByteBuf received) throws ProtocolException {
    int readBytes = Math.min(header.length - headerBytes, received.readableBytes());
    received.readBytes(header, headerBytes, readBytes);
    headerBytes += readBytes;
    if (headerBytes == header.length) {
      missingBodyBytes = MessageDecoder.bodyBytes(header, maxMessageBytes);
      finishIfComplete();
    }
  }

  private void skipBody(ByteBuf received) throws ProtocolException {
    int skippedBytes = Math.min(missingBodyBytes, received.readableBytes());
    received.skipBytes(skippedBytes);
    missingBodyBytes -= skippedBytes;
    finishIfComplete();
  }

  private void finishIfComplete() throws ProtocolException {
    if (missingBodyBytes > 0) {
      return;
    }
    headerBytes = 0;
    byte type = header[0];
    if (!runs.isEmpty() && runs.getLast().type == type) {
      runs.getLast().count++;
    } else if (runs.size() < MAX_RUNS) {
      runs.addLast(new Run(type));
    } else {
      throw new ProtocolException(
          ProtocolCodes.PROGRAM_LIMIT_EXCEEDED, "too many kinds of messages were sent ahead");
    }
  }

  /** Returns whether there is no complete message. */
  public boolean isEmpty() {
    return runs.isEmpty();
  }

  /** Returns whether a message has been received in part. */
  public boolean hasPartialMessage() {
    return headerBytes > 0;
  }

  /** Removes the first complete message and returns its type. */
  public byte takeType() {
    Run first = runs.getFirst();
    first.count--;
    if (first.count == 0) {
      runs.removeFirst();
    }
    return first.type;
  }
}
