package basaltlever.net;

import basaltlever.time.Span;
import io.netty.channel.ChannelConfig;
import io.netty.channel.FixedRecvByteBufAllocator;

/**
 * Reads all that has come, for a limited time in each turn of the loop: what waits unread in the
 * socket may say that a server drains, and what takes long to read must not keep everybody else
 * waiting.
 */
final class TimeLimitedReadAllocator extends FixedRecvByteBufAllocator {
  private static final int MAX_READS = 64;
  private final long limitNanos;

  /** So many bytes a read, and the first read behind that time is the last one of its turn. */
  TimeLimitedReadAllocator(int bytes, Span limit) {
    super(bytes);
    limitNanos = limit.micros() * 1_000;
    maxMessagesPerRead(MAX_READS);
  }

  @Override
  @SuppressWarnings("deprecation")
  public Handle newHandle() {
    return new DelegatingHandle(super.newHandle()) {
      private long since;

      @Override
      public void reset(ChannelConfig config) {
        super.reset(config);
        since = System.nanoTime();
      }

      @Override
      public boolean continueReading() {
        return super.continueReading() && System.nanoTime() - since < limitNanos;
      }
    };
  }
}
