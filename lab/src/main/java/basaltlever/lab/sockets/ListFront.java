package basaltlever.lab.sockets;

import basaltlever.lab.world.Server;
import basaltlever.lab.world.World;
import basaltlever.time.Span;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.function.Function;

/** Discovery for one router: the whole list at each change, on a watch that stays open. */
final class ListFront {
  /** What a discovery may tell that is not so. */
  enum Odd {
    EMPTY,
    SHORT,
    BACK,
    FORKED
  }

  private static final int FORMER = 4;
  private static final Span STILL = Span.ofMillis(2_000);
  private final World world;
  private final int router;
  private final Function<Server, String> addresses;
  private final ChannelGroup watches;
  private final Channel listening;
  private Span late = Span.NONE;

  /** Lists of former generations, for one that goes back. */
  private final ArrayDeque<String> former = new ArrayDeque<>();

  ListFront(World world, int router, EventLoop loop, Function<Server, String> addresses)
      throws InterruptedException {
    this.world = world;
    this.router = router;
    this.addresses = addresses;
    watches = new DefaultChannelGroup(loop);
    listening =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new Watch());
                  }
                })
            .bind("127.0.0.1", 0)
            .sync()
            .channel();
    world.onListChange(this::tell);
    still();
  }

  String address() {
    return "127.0.0.1:" + ((InetSocketAddress) listening.localAddress()).getPort();
  }

  String list() {
    return world.listText(addresses);
  }

  private void still() {
    world
        .time()
        .after(
            STILL,
            () -> {
              watches.writeAndFlush(chunk("\n"));
              still();
            });
  }

  private void tell() {
    String list = list();
    former.addLast(list);
    if (former.size() > FORMER) {
      former.removeFirst();
    }
    Runnable says =
        () -> {
          if (!watches.isEmpty()) {
            watches.writeAndFlush(chunk(list + "\n"));
            told();
          }
        };
    if (late.micros() > 0) {
      world.time().after(late, says);
    } else {
      says.run();
    }
  }

  /** From here on this router hears of each change so much later; what was on its way goes on. */
  void isLate(Span by) {
    late = by;
  }

  /** Something that is not so, once; the next change is told as it is. */
  void tells(Odd what) {
    String list = list();
    String odd =
        switch (what) {
          case EMPTY -> list.substring(0, list.indexOf('[') + 1) + "]}";
          case SHORT -> list.substring(0, list.indexOf("},{", list.indexOf('[')) + 1) + "]}";
          case BACK -> former.isEmpty() ? list : former.peekFirst();
          // Under the generation that the others hold: nobody drains, and members are of other
          // groups.
          case FORKED ->
              list.replace("terminating", "in_service").replaceAll("\"cell\":1,", "\"cell\":2,");
        };
    watches.writeAndFlush(chunk(odd + "\n"));
  }

  private void told() {
    for (Server server : world.servers()) {
      server.drainWasTold(router, world.now());
    }
  }

  private static ByteBuf chunk(String line) {
    return Unpooled.copiedBuffer(
        Integer.toHexString(line.length()) + "\r\n" + line + "\r\n", StandardCharsets.US_ASCII);
  }

  private final class Watch extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object in) {
      String head = ((ByteBuf) in).toString(StandardCharsets.US_ASCII);
      ((ByteBuf) in).release();
      if (head.contains("follow=1")) {
        context.write(
            Unpooled.copiedBuffer(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                StandardCharsets.US_ASCII));
        context.writeAndFlush(chunk(list() + "\n"));
        watches.add(context.channel());
        told();
      } else {
        String list = list();
        context.writeAndFlush(
            Unpooled.copiedBuffer(
                "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list,
                StandardCharsets.US_ASCII));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
