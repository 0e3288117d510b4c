package basaltlever.pg;

import basaltlever.time.Moment;
import java.util.ArrayDeque;

/**
 * Records when the bytes of one connection arrived, so that the deadline of a message that had to
 * wait behind others still counts from its own last byte.
 *
 * <p>The number of recorded reads is bounded. Beyond the bound, a read is merged with the one
 * before it, so a message may appear older than it is but never younger.
 */
public final class ArrivalTimes {
  private static final int MAX_READS = 32;

  /** One read; {@code endOffset} is the stream offset behind its last byte. */
  private record Read(long endOffset, Moment at) {}

  private final ArrayDeque<Read> reads = new ArrayDeque<>();
  private long receivedBytes;
  private long consumedBytes;

  /** Records that this many bytes arrived at this moment. */
  public void recordRead(int bytes, Moment at) {
    receivedBytes += bytes;
    Moment recordedAt = reads.size() < MAX_READS ? at : reads.removeLast().at();
    reads.addLast(new Read(receivedBytes, recordedAt));
  }

  /** Consumes the bytes of the next message and returns when the last of them arrived. */
  public Moment consumeMessage(int bytes) {
    consumedBytes += bytes;
    while (reads.size() > 1 && reads.peekFirst().endOffset() < consumedBytes) {
      reads.removeFirst();
    }
    Read last = reads.peekFirst();
    if (last.endOffset() == consumedBytes) {
      reads.removeFirst();
    }
    return last.at();
  }

  /** Consumes all recorded bytes, of which no message is needed any more. */
  public void consumeAll() {
    consumedBytes = receivedBytes;
    reads.clear();
  }
}
