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
 * Simulated discovery service of all routers. A watch receives the full endpoint list or the
 * changes since a version and then stays open for further changes. Lists may be indented and
 * written in pieces with pauses between them; the number of calls answered concurrently is limited.
 */
final class DiscoveryService {
  private static final Pattern REQUEST_PATTERN =
      Pattern.compile("GET /discovery/hosts\\?follow=1&since=(\\d+) ");
  private static final long KEEP_ALIVE_INTERVAL_MILLIS = 2_000;
  private static final int LISTEN_BACKLOG = 512;

  private final EventLoop loop;
  private final RunOptions options;
  private final MonotonicClock clock;
  private final ServerSimulator serverSimulator;
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final ArrayDeque<Watch> queuedWatches = new ArrayDeque<>();
  private final long[] bytesWritten;
  private final int[] callCounts;
  private int activeCalls;
  private boolean unavailable;
  private int maxConcurrentCalls;
  private long version = 1;
  private Channel listener;

  DiscoveryService(
      EventLoop loop, RunOptions options, MonotonicClock clock, ServerSimulator serverSimulator) {
    this.loop = loop;
    this.options = options;
    maxConcurrentCalls = options.discoveryCapacity();
    this.clock = clock;
    this.serverSimulator = serverSimulator;
    bytesWritten = new long[options.routers()];
    callCounts = new int[options.routers()];
  }

  void listen() throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
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
        () -> new ArrayList<>(watches).forEach(Watch::writeKeepAlive),
        KEEP_ALIVE_INTERVAL_MILLIS,
        KEEP_ALIVE_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void accept(Channel channel) {
    int routerIndex =
        (((InetSocketAddress) channel.localAddress()).getAddress().getAddress()[1] & 0xff)
            - ServerSimulator.FIRST_ROUTER_NETWORK;
    if (routerIndex < 0 || routerIndex >= callCounts.length || unavailable) {
      channel.close();
    } else {
      channel.pipeline().addLast(new Watch(routerIndex, channel));
    }
  }

  /** Returns the address at which a router connects to discovery. */
  String address(int routerIndex) {
    return "127."
        + (ServerSimulator.FIRST_ROUTER_NETWORK + routerIndex)
        + ".255.1:"
        + ((InetSocketAddress) listener.localAddress()).getPort();
  }

  String fullList(int routerIndex) {
    return encodeList(routerIndex, listedServers(), true).text;
  }

  private List<SimulatedServer> listedServers() {
    return serverSimulator.servers().stream()
        .filter(server -> server.lifecycle != SimulatedServer.Lifecycle.REMOVED)
        .toList();
  }

  /** Publishes servers that have already been changed to all watches, under a new version. */
  void publishChanges(Collection<SimulatedServer> changedServers) {
    version++;
    changedServers.forEach(server -> server.lastChangedVersion = version);
    new ArrayList<>(watches).forEach(watch -> watch.sendChangesAfter(version - 1));
  }

  /** Closes all watches and rejects new connections for a period. */
  void makeUnavailableFor(long millis) {
    unavailable = true;
    new ArrayList<>(watches).forEach(watch -> watch.channel.close());
    loop.schedule(() -> unavailable = false, millis, TimeUnit.MILLISECONDS);
  }

  /** Answers only one call at a time for a period; each call lasts until its list is written. */
  void serializeCallsFor(long millis) {
    maxConcurrentCalls = 1;
    loop.schedule(
        () -> maxConcurrentCalls = options.discoveryCapacity(), millis, TimeUnit.MILLISECONDS);
  }

  /** Writes the full list to all watches several times in a row. */
  void repeatFullList(int times) {
    for (Watch watch : new ArrayList<>(watches)) {
      for (int i = 0; i < times; i++) {
        watch.enqueueList(listedServers(), true);
      }
    }
  }

  long bytesWritten(int routerIndex) {
    return bytesWritten[routerIndex];
  }

  int callCount(int routerIndex) {
    return callCounts[routerIndex];
  }

  void close() {
    listener.close();
    new ArrayList<>(watches).forEach(watch -> watch.channel.close());
  }

  /** An encoded list with the offset at which the entry of each server ends. */
  private record EncodedList(String text, List<SimulatedServer> servers, int[] endOffsets) {}

  private EncodedList encodeList(int routerIndex, List<SimulatedServer> servers, boolean full) {
    int[] endOffsets = new int[servers.size()];
    String separator = options.listIndented() ? ",\n    " : ",";
    StringBuilder text = new StringBuilder(200 * servers.size() + 100);
    text.append("{\"generation\":")
        .append(version)
        .append(",\"reset\":")
        .append(full)
        .append(",\"instances\":[");
    int serverPort = serverSimulator.port();
    for (int i = 0; i < servers.size(); i++) {
      SimulatedServer server = servers.get(i);
      text.append(i == 0 ? "" : separator)
          .append("{\"instanceId\":\"")
          .append(server.id())
          .append("\",\"hostPort\":\"")
          .append(server.address(routerIndex, serverPort))
          .append("\",\"zone\":\"")
          .append(server.zone == 0 ? "east" : "west")
          .append("\",\"machineType\":\"m2\",\"cell\":")
          .append(server.group)
          .append(",\"lifecycle\":\"")
          .append(server.lifecycle.key)
          .append("\",\"weight\":1.0,\"startedAtMs\":")
          .append(server.startedAtMillis)
          .append('}');
      endOffsets[i] = text.length();
    }
    return new EncodedList(text.append("]}").toString(), servers, endOffsets);
  }

  /** One connection of a router to discovery and the lists queued on it. */
  private final class Watch extends ChannelInboundHandlerAdapter {
    private final int routerIndex;
    private final Channel channel;
    private final StringBuilder request = new StringBuilder();
    private boolean requestReceived;

    /** Lists to be written, in order; each is written after the previous one is complete. */
    private final ArrayDeque<List<SimulatedServer>> pendingLists = new ArrayDeque<>();

    private final ArrayDeque<Boolean> pendingFullFlags = new ArrayDeque<>();
    private boolean writeInProgress;
    private long sinceVersion;

    Watch(int routerIndex, Channel channel) {
      this.routerIndex = routerIndex;
      this.channel = channel;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object in) {
      ByteBuf bytes = (ByteBuf) in;
      request.append(bytes.toString(StandardCharsets.US_ASCII));
      bytes.release();
      Matcher matcher = REQUEST_PATTERN.matcher(request);
      if (requestReceived || request.indexOf("\r\n\r\n") < 0 || !matcher.find()) {
        return;
      }
      requestReceived = true;
      callCounts[routerIndex]++;
      sinceVersion = Long.parseLong(matcher.group(1));
      if (activeCalls < maxConcurrentCalls) {
        startResponse();
      } else {
        queuedWatches.add(this);
      }
    }

    private void startResponse() {
      activeCalls++;
      write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      watches.add(this);
      if (sinceVersion == 0) {
        enqueueList(listedServers(), true);
      } else {
        sendChangesAfter(sinceVersion);
      }
      loop.schedule(this::finishCall, 1, TimeUnit.MILLISECONDS);
    }

    private void finishCall() {
      if (writeInProgress && channel.isActive()) {
        loop.schedule(this::finishCall, 1, TimeUnit.MILLISECONDS);
        return;
      }
      activeCalls--;
      Watch next = queuedWatches.poll();
      if (next != null) {
        next.startResponse();
      }
    }

    void sendChangesAfter(long afterVersion) {
      enqueueList(
          serverSimulator.servers().stream()
              .filter(server -> server.lastChangedVersion > afterVersion)
              .toList(),
          false);
    }

    private void enqueueList(List<SimulatedServer> servers, boolean full) {
      pendingLists.add(servers);
      pendingFullFlags.add(full);
      writeNextList();
    }

    private void writeNextList() {
      if (writeInProgress || pendingLists.isEmpty()) {
        return;
      }
      writeInProgress = true;
      EncodedList list = encodeList(routerIndex, pendingLists.poll(), pendingFullFlags.poll());
      byte[] text = (list.text + "\n").getBytes(StandardCharsets.US_ASCII);
      write(Integer.toHexString(text.length) + "\r\n");
      writePiece(list, text, 0, 0);
    }

    /**
     * Writes the next piece of a list. A server counts as notified once the last byte of its entry
     * is written, even if later entries of the list are still pending.
     */
    private void writePiece(EncodedList list, byte[] text, int from, int previousCount) {
      int to = Math.min(text.length, from + options.listChunkBytes());
      bytesWritten[routerIndex] += to - from;
      int completedCount = previousCount;
      while (completedCount < list.endOffsets.length && list.endOffsets[completedCount] <= to) {
        completedCount++;
      }
      List<SimulatedServer> completedServers = list.servers.subList(previousCount, completedCount);
      channel
          .writeAndFlush(Unpooled.wrappedBuffer(text, from, to - from))
          .addListener(
              future -> {
                // The write completes when the operating system has accepted the bytes, not while
                // they are buffered in this process for a peer that reads slowly.
                long now = clock.nowMillis();
                completedServers.forEach(
                    server -> serverSimulator.recordNotified(routerIndex, server, now));
              });
      if (to < text.length) {
        int next = completedCount;
        loop.schedule(
            () -> writePiece(list, text, to, next),
            options.listChunkMillis(),
            TimeUnit.MILLISECONDS);
        return;
      }
      write("\r\n");
      writeInProgress = false;
      writeNextList();
    }

    void writeKeepAlive() {
      if (!writeInProgress) {
        write("1\r\n\n\r\n");
      }
    }

    private void write(String text) {
      channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      watches.remove(this);
      queuedWatches.remove(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
