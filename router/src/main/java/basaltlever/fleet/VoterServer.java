package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * The voter of an instance: accepts requests from routers, other voters and operators' commands. It
 * runs on a separate event loop, so that statements are never delayed by it.
 */
final class VoterServer implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 2_100;

  private final FleetSettings settings;
  private final String name;
  private final EventLoop loop;
  private final VoterLifecycle lifecycle;
  private final FleetLeader fleetLeader;
  private final StatusReporter statusReporter;
  private final Channel listener;

  /** Accessed only on the event loop. */
  private int openConnections;

  /** Throws if the port can't be bound. */
  VoterServer(FleetSettings settings, String name, EventLoop loop, VoterStore store)
      throws InterruptedException {
    this.settings = settings;
    this.name = name;
    this.loop = loop;
    lifecycle = new VoterLifecycle(settings, name, store, this::onLeadershipChanged);
    fleetLeader = new FleetLeader(settings, loop, lifecycle);
    statusReporter = new StatusReporter(lifecycle, fleetLeader);
    listener = listen();
    fleetLeader.start();
    lifecycle.start();
  }

  private void onLeadershipChanged(boolean leading) {
    loop.execute(() -> fleetLeader.onLeadershipChanged(leading));
  }

  private Channel listen() throws InterruptedException {
    return new ServerBootstrap()
        .group(loop, loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                accept(channel);
              }
            })
        .bind(settings.peers().get(name))
        .sync()
        .channel();
  }

  private void accept(Channel channel) {
    if (openConnections >= MAX_CONNECTIONS) {
      channel.close();
      return;
    }
    openConnections++;
    channel.closeFuture().addListener(closed -> openConnections--);
    channel
        .pipeline()
        .addLast(new RequestHandler(settings, name, loop, lifecycle, fleetLeader, statusReporter));
  }

  /** Returns the id of the folder with which this instance votes; empty while it doesn't. */
  String folderId() {
    return lifecycle.folderId();
  }

  @Override
  public void close() {
    listener.close();
    lifecycle.close();
  }
}
