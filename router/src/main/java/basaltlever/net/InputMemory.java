package basaltlever.net;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounds the unprocessed input of all client connections together, and decides whose input gives
 * way when the bound is reached: first of the client that has sent nothing for longest, else of the
 * one whose input began last. So clients that only send slowly keep what they have sent, however
 * many others stop half way through a message.
 */
final class InputMemory {
  /** A connection with less input than this does not count, and never gives way. */
  static final int SMALL_INPUT_BYTES = 8 * 1024;

  /** A client that has sent nothing for this long gives way first. */
  private static final Span STALLED_TIME = Span.ofMillis(500);

  /** Of the free memory, the inverse of the share that one connection may use at a time. */
  private static final int FREE_MEMORY_DIVISOR = 4;

  /** The unprocessed input of one connection. */
  interface Holder {
    /** Returns the size of the buffers that hold the input. */
    int capacityBytes();

    /** Returns when the first byte of the input arrived, or later if some of it was processed. */
    Moment messageBegunAt();

    /** Releases all input; each message in it will be rejected. */
    void giveWay();
  }

  private record Holding(int bytes, Moment receivedAt) {}

  private final long maxBytes;
  private long usedBytes;

  /** Connections with more than a small input, the one that has sent nothing for longest first. */
  private final Map<Holder, Holding> holdings = new LinkedHashMap<>();

  InputMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns how much a connection may buffer ahead or read at a time, at most the limit. */
  int allowance(int limit) {
    long share = (maxBytes - usedBytes) / FREE_MEMORY_DIVISOR;
    return (int) Math.max(SMALL_INPUT_BYTES, Math.min(limit, share));
  }

  /**
   * Records what a connection holds after it has received input; other connections may give way.
   *
   * @return false if the bound is exceeded, so that this connection has to give way
   */
  boolean onReceived(Holder holder, Moment now) {
    update(holder, now);
    if (usedBytes > maxBytes) {
      makeRoom(holder, now);
    }
    return usedBytes <= maxBytes || !holdings.containsKey(holder);
  }

  /** Records what a connection still holds after messages were processed or released. */
  void onReleased(Holder holder) {
    Holding holding = holdings.get(holder);
    if (holding != null) {
      int bytes = holder.capacityBytes();
      usedBytes -= holding.bytes;
      if (bytes > SMALL_INPUT_BYTES) {
        usedBytes += bytes;
        holdings.put(holder, new Holding(bytes, holding.receivedAt));
      } else {
        holdings.remove(holder);
      }
    }
  }

  private void update(Holder holder, Moment now) {
    Holding before = holdings.remove(holder);
    usedBytes -= before == null ? 0 : before.bytes;
    int bytes = holder.capacityBytes();
    if (bytes > SMALL_INPUT_BYTES) {
      usedBytes += bytes;
      holdings.put(holder, new Holding(bytes, now));
    }
  }

  private void makeRoom(Holder receiver, Moment now) {
    for (Holder holder : orderOfGivingWay(now)) {
      if (usedBytes <= maxBytes || holder == receiver) {
        return;
      }
      holder.giveWay();
      onReleased(holder);
    }
  }

  private List<Holder> orderOfGivingWay(Moment now) {
    List<Holder> stalled = new ArrayList<>();
    List<Holder> active = new ArrayList<>();
    holdings.forEach(
        (holder, holding) ->
            (now.since(holding.receivedAt).isLongerThan(STALLED_TIME) ? stalled : active)
                .add(holder));
    active.sort(
        Comparator.comparingLong((Holder holder) -> holder.messageBegunAt().micros()).reversed());
    stalled.addAll(active);
    return stalled;
  }

  /** Returns the number of bytes that count. */
  long usedBytes() {
    return usedBytes;
  }
}
