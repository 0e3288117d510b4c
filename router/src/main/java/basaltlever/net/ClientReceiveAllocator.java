package basaltlever.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;

/**
 * Reads of clients' sockets, which go on where no memory is left for a buffer: Netty would close
 * the connection, and what is owed on it would be lost. With little memory each read is short, and
 * the budget of messages refuses what is too much.
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
        } catch (OutOfMemoryError full) {
          return Unpooled.buffer(FALLBACK_BUFFER_BYTES, FALLBACK_BUFFER_BYTES);
        }
      }
    };
  }
}
