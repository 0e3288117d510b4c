package basaltlever.net;

import basaltlever.time.Span;
import io.netty.channel.ChannelConfig;
import io.netty.channel.FixedRecvByteBufAllocator;

/**
 * Lets a socket read everything it has received, for a limited time in each loop iteration: unread
 * bytes may announce that an endpoint drains, but a long read must not delay other connections.
 */
final class TimeLimitedReadAllocator extends FixedRecvByteBufAllocator {
  private static final int MAX_READS = 64;
  private final long limitNanos;

  /**
   * Creates an allocator for reads of the given size. The first read after the limit is the last
   * one of its iteration.
   */
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
