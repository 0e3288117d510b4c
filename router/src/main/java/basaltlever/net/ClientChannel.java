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
 * The socket of one client's connection, on Netty's channel. Only here is a client's channel
 * closed.
 */
final class ClientChannel extends ChannelInboundHandlerAdapter implements ClientSocket {
  private final ClientConnection connection;
  private ChannelHandlerContext context;

  ClientChannel(ClientConnection connection) {
    this.connection = connection;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
    connection.on(this);
  }

  @Override
  public void channelActive(ChannelHandlerContext active) {
    connection.accepted();
    active.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext in, Object read) {
    connection.received((ByteBuf) read);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext in) {
    connection.writabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext in) {
    connection.closed();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext in, Throwable cause) {
    if (cause instanceof IOException) {
      connection.broken();
    } else {
      connection.failed(cause);
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
  public void writeAndFlush(ByteBuf out, Consumer<Boolean> written) {
    context.writeAndFlush(out).addListener(done -> written.accept(done.isSuccess()));
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
  public void readReceived() {
    if (context.channel().isActive()) {
      ((AbstractNioChannel) context.channel()).unsafe().read();
      if (!context.channel().isActive()) {
        // It has read its client's end; the pipeline hears of that only in a later task.
        connection.left();
      }
    }
  }

  @Override
  public void setReading(boolean reads) {
    context.channel().config().setAutoRead(reads);
  }

  @Override
  public void endSending() {
    ((SocketChannel) context.channel()).shutdownOutput();
  }

  @Override
  public void close() {
    context.close();
  }

  @Override
  public void schedule(Span after, Runnable task) {
    context.channel().eventLoop().schedule(task, after.micros(), TimeUnit.MICROSECONDS);
  }

  @Override
  public Object peer() {
    return context.channel().remoteAddress();
  }
}
