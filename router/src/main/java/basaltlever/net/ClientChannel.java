package basaltlever.net;

import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Implements the socket of a client connection on a Netty channel. Client channels are closed only
 * here.
 */
final class ClientChannel extends ChannelInboundHandlerAdapter implements ClientSocket {
  private final ClientConnection connection;
  private final ClientReceiveAllocator receiveAllocator;
  private ChannelHandlerContext context;

  ClientChannel(ClientConnection connection) {
    this.connection = connection;
    receiveAllocator = new ClientReceiveAllocator(connection::maxReadBytes);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext channelContext) {
    context = channelContext;
    channelContext.channel().config().setRecvByteBufAllocator(receiveAllocator);
    connection.attachSocket(this);
  }

  @Override
  public void channelActive(ChannelHandlerContext channelContext) {
    connection.onAccepted();
    channelContext.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext channelContext, Object buffer) {
    connection.onBytesReceived((ByteBuf) buffer);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext channelContext) {
    connection.onWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext channelContext) {
    connection.onClosed();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
    if (cause instanceof IOException) {
      connection.onConnectionLost();
    } else {
      connection.onFailure(cause);
    }
  }

  @Override
  public ByteBufAllocator alloc() {
    return context.alloc();
  }

  @Override
  public void write(ByteBuf out) {
    context.write(out);
  }

  @Override
  public void writeAndFlush(ByteBuf out, Consumer<Boolean> onWritten) {
    context.writeAndFlush(out).addListener(future -> onWritten.accept(future.isSuccess()));
  }

  @Override
  public void flush() {
    context.flush();
  }

  @Override
  public boolean isWritable() {
    return context.channel().isWritable();
  }

  @Override
  public boolean isAllWritten() {
    ChannelOutboundBuffer unwritten = context.channel().unsafe().outboundBuffer();
    return unwritten == null || unwritten.isEmpty();
  }

  @Override
  public void readAvailable() {
    if (context.channel().isActive()) {
      ((AbstractNioChannel) context.channel()).unsafe().read();
      if (!context.channel().isActive()) {
        // The read found the client's end of stream; the pipeline is notified only in a later task.
        connection.onPeerClosed();
      }
    }
  }

  @Override
  public boolean isDrained() {
    return receiveAllocator.isDrained();
  }

  @Override
  public void setAutoRead(boolean autoRead) {
    context.channel().config().setAutoRead(autoRead);
  }

  @Override
  public void shutdownOutput() {
    ((SocketChannel) context.channel()).shutdownOutput();
  }

  @Override
  public void close() {
    context.close();
  }

  @Override
  public void schedule(Span delay, Runnable task) {
    context.channel().eventLoop().schedule(task, delay.micros(), TimeUnit.MICROSECONDS);
  }

  @Override
  public Object remoteAddress() {
    return context.channel().remoteAddress();
  }
}
