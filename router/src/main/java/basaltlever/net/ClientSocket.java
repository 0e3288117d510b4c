package basaltlever.net;

import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * The socket operations that a client connection uses. Input is passed to {@link
 * ClientConnection#onBytesReceived}.
 */
interface ClientSocket {
  ByteBufAllocator alloc();

  /** Queues bytes for the next flush. */
  void write(ByteBuf out);

  /** Writes and flushes; the callback receives whether the system has accepted all of it. */
  void writeAndFlush(ByteBuf out, java.util.function.Consumer<Boolean> onWritten);

  void flush();

  /** Returns false while the client does not read what was written. */
  boolean isWritable();

  /** Whether the system has accepted all that was written. */
  boolean isAllWritten();

  /**
   * Reads all input that the system has received by now; never called from within a read of the
   * same socket.
   */
  void readAvailable();

  /** Whether the last read found that the system has received no more input. */
  boolean isDrained();

  /** Whether input is read as it arrives. */
  void setAutoRead(boolean autoRead);

  /** Shuts down the output after all that was written. */
  void shutdownOutput();

  void close();

  /** Runs a task later, after at least one more select of the event loop. */
  void schedule(Span delay, Runnable task);

  /** Returns the address of the client, for the log. */
  Object remoteAddress();
}
