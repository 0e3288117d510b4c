package basaltlever.net;

import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * What a client's connection asks of its socket. What is read is told to {@link
 * ClientConnection#onBytesReceived}.
 */
interface ClientSocket {
  ByteBufAllocator alloc();

  /** Hands bytes over to be written with the next flush. */
  void write(ByteBuf out);

  /** As write and flush; the callback is told whether the system has taken all of it. */
  void writeAndFlush(ByteBuf out, java.util.function.Consumer<Boolean> onWritten);

  void flush();

  /** False while its peer does not take what was written. */
  boolean isWritable();

  /** Whether the system has taken all that was written. */
  boolean isAllWritten();

  /**
   * Reads at once all that the machine has received by now; never from within a read of the same
   * socket.
   */
  void readAvailable();

  /** Whether it is read as something comes. */
  void setAutoRead(boolean autoRead);

  /** Ends this side's sending behind all that was written. */
  void shutdownOutput();

  void close();

  /** Runs a task later, and not before the sockets have been looked at again. */
  void schedule(Span delay, Runnable task);

  /** The peer's address, for the log. */
  Object remoteAddress();
}
