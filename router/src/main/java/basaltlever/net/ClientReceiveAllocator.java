package basaltlever.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import java.util.function.IntSupplier;

/**
 * Allocates the receive buffers of one client socket and bounds how much is read at a time. Falls
 * back to a small heap buffer when memory is exhausted: Netty would close the connection instead,
 * and pending answers would be lost. With small buffers each read is short, and the message memory
 * budget rejects what does not fit.
 */
final class ClientReceiveAllocator extends AdaptiveRecvByteBufAllocator {
  private static final int FALLBACK_BUFFER_BYTES = 512;

  private final IntSupplier maxBytes;
  private int bytesRead;
  private boolean drained;

  /**
   * Creates an allocator.
   *
   * @param maxBytes the number of bytes to read at a time, after which the next iteration goes on
   */
  ClientReceiveAllocator(IntSupplier maxBytes) {
    this.maxBytes = maxBytes;
    // A short read would end the iteration's reads, and leave an end of stream behind it unread.
    respectMaybeMoreData(false);
  }

  /** Returns whether the last read found that the system had no more input. */
  boolean isDrained() {
    return drained;
  }

  @Override
  @SuppressWarnings("deprecation")
  public Handle newHandle() {
    return new DelegatingHandle(super.newHandle()) {
      @Override
      public void reset(ChannelConfig config) {
        super.reset(config);
        bytesRead = 0;
      }

      @Override
      public ByteBuf allocate(ByteBufAllocator allocator) {
        try {
          return allocator.ioBuffer(Math.min(guess(), maxBytes.getAsInt()));
        } catch (OutOfMemoryError outOfMemory) {
          return Unpooled.buffer(FALLBACK_BUFFER_BYTES, FALLBACK_BUFFER_BYTES);
        }
      }

      @Override
      public void lastBytesRead(int bytes) {
        super.lastBytesRead(bytes);
        drained = bytes <= 0;
        bytesRead += Math.max(0, bytes);
      }

      @Override
      public boolean continueReading() {
        return bytesRead < maxBytes.getAsInt() && super.continueReading();
      }
    };
  }
}
