package basaltlever.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;

/**
 * Allocates receive buffers for client sockets, and falls back to a small heap buffer when memory
 * is exhausted. Netty would close the connection instead, and pending answers would be lost. With
 * small buffers each read is short, and the message memory budget rejects what does not fit.
 */
final class ClientReceiveAllocator extends AdaptiveRecvByteBufAllocator {
  private static final int FALLBACK_BUFFER_BYTES = 512;

  @Override
  @SuppressWarnings("deprecation")
  public Handle newHandle() {
    return new DelegatingHandle(super.newHandle()) {
      @Override
      public ByteBuf allocate(ByteBufAllocator allocator) {
        try {
          return super.allocate(allocator);
        } catch (OutOfMemoryError outOfMemory) {
          return Unpooled.buffer(FALLBACK_BUFFER_BYTES, FALLBACK_BUFFER_BYTES);
        }
      }
    };
  }
}
