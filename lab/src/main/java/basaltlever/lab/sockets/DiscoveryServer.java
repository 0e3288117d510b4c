package basaltlever.lab.sockets;

import basaltlever.lab.world.Server;
import basaltlever.lab.world.SimulatedCluster;
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

/**
 * A discovery service for one router. It sends the whole endpoint list at each change, over watch
 * connections that stay open.
 */
final class DiscoveryServer {
  /** Errors in a list that the service can send. */
  enum ListFault {
    /** No endpoints. */
    EMPTY,
    /** Only the first endpoint. */
    SHORT,
    /** A list of an earlier generation. */
    BACK,
    /** A current generation with contents that differ from those of the other routers. */
    FORKED
  }

  private static final int MAX_PREVIOUS_LISTS = 4;
  private static final Span KEEP_ALIVE_INTERVAL = Span.ofMillis(2_000);
  private final SimulatedCluster cluster;
  private final int router;
  private final Function<Server, String> addressOf;
  private final ChannelGroup watchChannels;
  private final Channel serverChannel;
  private Span notificationDelay = Span.NONE;

  /** The latest lists, oldest first, for {@link ListFault#BACK}. */
  private final ArrayDeque<String> previousLists = new ArrayDeque<>();

  DiscoveryServer(
      SimulatedCluster cluster, int router, EventLoop loop, Function<Server, String> addressOf)
      throws InterruptedException {
    this.cluster = cluster;
    this.router = router;
    this.addressOf = addressOf;
    watchChannels = new DefaultChannelGroup(loop);
    serverChannel =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new WatchConnection());
                  }
                })
            .bind("127.0.0.1", 0)
            .sync()
            .channel();
    cluster.addListChangeListener(this::publishList);
    scheduleKeepAlive();
  }

  String address() {
    return "127.0.0.1:" + ((InetSocketAddress) serverChannel.localAddress()).getPort();
  }

  String endpointList() {
    return cluster.formatEndpointList(addressOf);
  }

  private void scheduleKeepAlive() {
    cluster
        .scheduler()
        .runAfter(
            KEEP_ALIVE_INTERVAL,
            () -> {
              watchChannels.writeAndFlush(chunk("\n"));
              scheduleKeepAlive();
            });
  }

  private void publishList() {
    String list = endpointList();
    previousLists.addLast(list);
    if (previousLists.size() > MAX_PREVIOUS_LISTS) {
      previousLists.removeFirst();
    }
    Runnable send =
        () -> {
          if (!watchChannels.isEmpty()) {
            watchChannels.writeAndFlush(chunk(list + "\n"));
            recordDrainNotifications();
          }
        };
    if (notificationDelay.micros() > 0) {
      cluster.scheduler().runAfter(notificationDelay, send);
    } else {
      send.run();
    }
  }

  /** Delays the lists of later changes; lists that are already scheduled keep their time. */
  void setNotificationDelay(Span delay) {
    notificationDelay = delay;
  }

  /** Sends an incorrect list once; the next change sends the correct list. */
  void sendFaultyList(ListFault fault) {
    String list = endpointList();
    String faultyList =
        switch (fault) {
          case EMPTY -> list.substring(0, list.indexOf('[') + 1) + "]}";
          case SHORT -> list.substring(0, list.indexOf("},{", list.indexOf('[')) + 1) + "]}";
          case BACK -> previousLists.isEmpty() ? list : previousLists.peekFirst();
          // Has the generation that the other routers hold, but hides drains and lists the
          // endpoints of group 1 in group 2.
          case FORKED ->
              list.replace("terminating", "in_service").replaceAll("\"cell\":1,", "\"cell\":2,");
        };
    watchChannels.writeAndFlush(chunk(faultyList + "\n"));
  }

  /** Records that this router has been notified of the current drains. */
  private void recordDrainNotifications() {
    for (Server server : cluster.servers()) {
      server.onListReceived(router, cluster.now());
    }
  }

  private static ByteBuf chunk(String line) {
    return Unpooled.copiedBuffer(
        Integer.toHexString(line.length()) + "\r\n" + line + "\r\n", StandardCharsets.US_ASCII);
  }

  /** A request of the router: for the current list, or for a watch if it has follow=1. */
  private final class WatchConnection extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      String requestHead = ((ByteBuf) bytes).toString(StandardCharsets.US_ASCII);
      ((ByteBuf) bytes).release();
      if (requestHead.contains("follow=1")) {
        context.write(
            Unpooled.copiedBuffer(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                StandardCharsets.US_ASCII));
        context.writeAndFlush(chunk(endpointList() + "\n"));
        watchChannels.add(context.channel());
        recordDrainNotifications();
      } else {
        String list = endpointList();
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
