package basaltlever.lab.endtoend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Discovery for all routers: the whole list or what changed after a version, on a watch that stays
 * open. Lists may be indented and written in pieces with pauses between them; only so many are
 * written at one time.
 */
final class DiscoveryService {
  private static final Pattern REQUEST =
      Pattern.compile("GET /discovery/hosts\\?follow=1&since=(\\d+) ");
  private static final long KEEP_ALIVE_MILLIS = 2_000;
  private static final int BACKLOG = 512;

  private final EventLoop loop;
  private final DayOptions day;
  private final DayClock clock;
  private final ServerFarm farm;
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final ArrayDeque<Watch> crowd = new ArrayDeque<>();
  private final long[] bytesWritten;
  private final int[] calls;
  private int writing;
  private boolean down;
  private int capacity;
  private long version = 1;
  private Channel listener;

  DiscoveryService(EventLoop loop, DayOptions day, DayClock clock, ServerFarm farm) {
    this.loop = loop;
    this.day = day;
    capacity = day.discoveryCapacity();
    this.clock = clock;
    this.farm = farm;
    bytesWritten = new long[day.routers()];
    calls = new int[day.routers()];
  }

  void listen() throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(0)
            .sync()
            .channel();
    loop.scheduleAtFixedRate(
        () -> new ArrayList<>(watches).forEach(Watch::keepAlive),
        KEEP_ALIVE_MILLIS,
        KEEP_ALIVE_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void accept(Channel channel) {
    int router =
        (((InetSocketAddress) channel.localAddress()).getAddress().getAddress()[1] & 0xff)
            - ServerFarm.FIRST_NETWORK;
    if (router < 0 || router >= calls.length || down) {
      channel.close();
    } else {
      channel.pipeline().addLast(new Watch(router, channel));
    }
  }

  /** Where a router reaches discovery. */
  String address(int router) {
    return "127."
        + (ServerFarm.FIRST_NETWORK + router)
        + ".255.1:"
        + ((InetSocketAddress) listener.localAddress()).getPort();
  }

  String wholeList(int router) {
    return list(router, listed(), true).text;
  }

  private List<SimulatedServer> listed() {
    return farm.servers().stream()
        .filter(server -> server.lifecycle != SimulatedServer.Lifecycle.REMOVED)
        .toList();
  }

  /** The servers have changed already: all watches are told. */
  void changed(Collection<SimulatedServer> changed) {
    version++;
    changed.forEach(server -> server.changedIn = version);
    new ArrayList<>(watches).forEach(watch -> watch.tellAfter(version - 1));
  }

  /** Ends all watches and answers none, for a while. */
  void isDownFor(long millis) {
    down = true;
    new ArrayList<>(watches).forEach(watch -> watch.channel.close());
    loop.schedule(() -> down = false, millis, TimeUnit.MILLISECONDS);
  }

  /** Calls are answered one after the other for a while, and each takes its time. */
  void isCrowdedFor(long millis) {
    capacity = 1;
    loop.schedule(() -> capacity = day.discoveryCapacity(), millis, TimeUnit.MILLISECONDS);
  }

  /** Writes the whole list to all watches, so many times in a row. */
  void repeatWholeList(int times) {
    for (Watch watch : new ArrayList<>(watches)) {
      for (int i = 0; i < times; i++) {
        watch.tell(listed(), true);
      }
    }
  }

  long bytesWritten(int router) {
    return bytesWritten[router];
  }

  int calls(int router) {
    return calls[router];
  }

  void close() {
    listener.close();
    new ArrayList<>(watches).forEach(watch -> watch.channel.close());
  }

  /** A list as it is written, and where in it each server's entry ends. */
  private record ListText(String text, List<SimulatedServer> servers, int[] ends) {}

  private ListText list(int router, List<SimulatedServer> servers, boolean whole) {
    int[] ends = new int[servers.size()];
    String apart = day.listIndented() ? ",\n    " : ",";
    StringBuilder text = new StringBuilder(200 * servers.size() + 100);
    text.append("{\"generation\":")
        .append(version)
        .append(",\"reset\":")
        .append(whole)
        .append(",\"instances\":[");
    int farmPort = farm.port();
    for (int i = 0; i < servers.size(); i++) {
      SimulatedServer server = servers.get(i);
      text.append(i == 0 ? "" : apart)
          .append("{\"instanceId\":\"")
          .append(server.id())
          .append("\",\"hostPort\":\"")
          .append(server.address(router, farmPort))
          .append("\",\"zone\":\"")
          .append(server.zone == 0 ? "east" : "west")
          .append("\",\"machineType\":\"m2\",\"cell\":")
          .append(server.group)
          .append(",\"lifecycle\":\"")
          .append(server.lifecycle.key)
          .append("\",\"weight\":1.0,\"startedAtMs\":")
          .append(server.startedAtMillis)
          .append('}');
      ends[i] = text.length();
    }
    return new ListText(text.append("]}").toString(), servers, ends);
  }

  private final class Watch extends ChannelInboundHandlerAdapter {
    private final int router;
    private final Channel channel;
    private final StringBuilder request = new StringBuilder();
    private boolean answered;

    /** What it is to be told, in order; each only once the one before it is written. */
    private final ArrayDeque<List<SimulatedServer>> waiting = new ArrayDeque<>();

    private final ArrayDeque<Boolean> waitingWhole = new ArrayDeque<>();
    private boolean writes;
    private long since;

    Watch(int router, Channel channel) {
      this.router = router;
      this.channel = channel;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object in) {
      ByteBuf bytes = (ByteBuf) in;
      request.append(bytes.toString(StandardCharsets.US_ASCII));
      bytes.release();
      Matcher matcher = REQUEST.matcher(request);
      if (answered || request.indexOf("\r\n\r\n") < 0 || !matcher.find()) {
        return;
      }
      answered = true;
      calls[router]++;
      since = Long.parseLong(matcher.group(1));
      if (writing < capacity) {
        begin();
      } else {
        crowd.add(this);
      }
    }

    private void begin() {
      writing++;
      write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      watches.add(this);
      if (since == 0) {
        tell(listed(), true);
      } else {
        tellAfter(since);
      }
      loop.schedule(this::endsCall, 1, TimeUnit.MILLISECONDS);
    }

    private void endsCall() {
      if (writes && channel.isActive()) {
        loop.schedule(this::endsCall, 1, TimeUnit.MILLISECONDS);
        return;
      }
      writing--;
      Watch next = crowd.poll();
      if (next != null) {
        next.begin();
      }
    }

    void tellAfter(long after) {
      tell(farm.servers().stream().filter(server -> server.changedIn > after).toList(), false);
    }

    private void tell(List<SimulatedServer> servers, boolean whole) {
      waiting.add(servers);
      waitingWhole.add(whole);
      writeNext();
    }

    private void writeNext() {
      if (writes || waiting.isEmpty()) {
        return;
      }
      writes = true;
      ListText list = list(router, waiting.poll(), waitingWhole.poll());
      byte[] text = (list.text + "\n").getBytes(StandardCharsets.US_ASCII);
      write(Integer.toHexString(text.length) + "\r\n");
      piece(list, text, 0, 0);
    }

    /**
     * What an entry says counts as told once its last byte is written, though others are still to
     * come.
     */
    private void piece(ListText list, byte[] text, int from, int toldBefore) {
      int to = Math.min(text.length, from + day.listPieceBytes());
      bytesWritten[router] += to - from;
      int told = toldBefore;
      while (told < list.ends.length && list.ends[told] <= to) {
        told++;
      }
      List<SimulatedServer> come = list.servers.subList(toldBefore, told);
      channel
          .writeAndFlush(Unpooled.wrappedBuffer(text, from, to - from))
          .addListener(
              done -> {
                // Written once the system has taken it, not while it waits in this process for a
                // peer that reads late.
                long now = clock.nowMillis();
                come.forEach(server -> farm.told(router, server, now));
              });
      if (to < text.length) {
        int next = told;
        loop.schedule(
            () -> piece(list, text, to, next), day.listPieceMillis(), TimeUnit.MILLISECONDS);
        return;
      }
      write("\r\n");
      writes = false;
      writeNext();
    }

    void keepAlive() {
      if (!writes) {
        write("1\r\n\n\r\n");
      }
    }

    private void write(String text) {
      channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      watches.remove(this);
      crowd.remove(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
