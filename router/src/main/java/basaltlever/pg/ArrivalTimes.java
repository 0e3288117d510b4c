package basaltlever.pg;

import basaltlever.time.Moment;
import java.util.ArrayDeque;

/**
 * When the bytes of one connection came, so that a message that had to wait behind others still
 * counts from its own last byte. What is kept is bounded: beyond that, bytes count as come with
 * those before them, which makes their message seem older than it is, never younger.
 */
public final class ArrivalTimes {
  private static final int MOST = 32;

  private record Read(long upTo, Moment at) {}

  private final ArrayDeque<Read> reads = new ArrayDeque<>();
  private long come;
  private long cut;

  /** So many bytes were read, come at this moment. */
  public void read(int bytes, Moment at) {
    come += bytes;
    Moment since = reads.size() < MOST ? at : reads.removeLast().at();
    reads.addLast(new Read(come, since));
  }

  /** The next message takes up so many of the bytes read; when its last one came. */
  public Moment cut(int bytes) {
    cut += bytes;
    while (reads.size() > 1 && reads.peekFirst().upTo() < cut) {
      reads.removeFirst();
    }
    Moment at = reads.peekFirst().at();
    if (reads.peekFirst().upTo() == cut) {
      reads.removeFirst();
    }
    return at;
  }
}
