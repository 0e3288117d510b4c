package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import basaltlever.log.Event;
import basaltlever.membership.MembershipUpdate;
import basaltlever.settings.LeaseGrant;
import basaltlever.settings.SettingsVersion;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * A router's connection to the leader, which it finds by trying one voter after the other. The
 * caller creates the heartbeats and applies the grants. All methods run on the event loop.
 */
final class LeaderConnection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderConnection.class);
  private static final int HEARTBEATS_PER_LEASE = 4;

  /** The shortest heartbeat interval, and the range above it, as factors of the mean interval. */
  private static final double MIN_INTERVAL_FACTOR = 0.8;

  private static final double INTERVAL_FACTOR_RANGE = 0.4;

  /** The maximum number of unanswered heartbeats before the next voter is tried. */
  private static final int MAX_UNANSWERED_HEARTBEATS = 2;

  private static final long FIRST_HEARTBEAT_DELAY_MILLIS = 1;
  private static final long RECONNECT_DELAY_MILLIS = 20;
  private static final long MIN_CONNECT_TIMEOUT_MILLIS = 50;

  private final FleetSettings settings;
  private final VoterStore store;
  private final EventLoop loop;
  private final SplittableRandom random;
  private final Runnable onHeartbeatDue;
  private final BiConsumer<LeaseGrant, MembershipUpdate> onLeaseGranted;
  private final List<String> voters;

  /** Index in {@code voters} of the voter that is connected or tried next. */
  private int currentVoterIndex;

  private int unansweredHeartbeats;
  private ChannelHandlerContext openConnection;
  private boolean connecting;
  private boolean closed;
  private SettingsVersion inForce;
  private SettingsVersion prepared;

  /**
   * Starts connecting to the voters. Both callbacks run on the event loop.
   *
   * @param onHeartbeatDue has to send a heartbeat with {@link #send}
   * @param onLeaseGranted receives each grant, with the fleet's agreement about endpoints
   */
  LeaderConnection(
      FleetSettings settings,
      VoterStore store,
      EventLoop loop,
      SplittableRandom random,
      Runnable onHeartbeatDue,
      BiConsumer<LeaseGrant, MembershipUpdate> onLeaseGranted) {
    this.settings = settings;
    this.store = store;
    this.loop = loop;
    this.random = random;
    this.onHeartbeatDue = onHeartbeatDue;
    this.onLeaseGranted = onLeaseGranted;
    voters = new ArrayList<>(settings.voters().keySet());
    store.voters().forEach(this::addVoter);
    currentVoterIndex = random.nextInt(voters.size());
    loop.schedule(this::onHeartbeatInterval, FIRST_HEARTBEAT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Adds a voter that this router's settings file names only as a peer. */
  private void addVoter(String voter) {
    if (settings.peers().containsKey(voter) && !voters.contains(voter)) {
      voters.add(voter);
    }
  }

  private void onHeartbeatInterval() {
    if (closed) {
      return;
    }
    // Randomized, so that hundreds of routers don't send their heartbeats simultaneously.
    long meanMicros = settings.lease().micros() / HEARTBEATS_PER_LEASE;
    double factor = MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE * random.nextDouble();
    loop.schedule(this::onHeartbeatInterval, (long) (meanMicros * factor), TimeUnit.MICROSECONDS);
    if (openConnection == null) {
      connect();
    } else if (++unansweredHeartbeats > MAX_UNANSWERED_HEARTBEATS) {
      switchToNextVoter();
    } else {
      onHeartbeatDue.run();
    }
  }

  private void switchToNextVoter() {
    currentVoterIndex = nextVoterIndex();
    unansweredHeartbeats = 0;
    if (openConnection != null) {
      openConnection.close();
      openConnection = null;
    }
    connect();
  }

  private int nextVoterIndex() {
    return (currentVoterIndex + 1) % voters.size();
  }

  private void connect() {
    if (connecting || closed) {
      return;
    }
    connecting = true;
    long timeoutMillis = Math.max(MIN_CONNECT_TIMEOUT_MILLIS, settings.lease().micros() / 2_000);
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeoutMillis)
        .handler(new LeaderHandler())
        .connect(settings.peers().get(voters.get(currentVoterIndex)))
        .addListener(
            done -> {
              connecting = false;
              if (!done.isSuccess()) {
                currentVoterIndex = nextVoterIndex();
              }
            });
  }

  /** Sends a heartbeat; drops it while there is no connection. */
  void send(FleetRequest.Heartbeat heartbeat) {
    if (openConnection != null) {
      FrameCodec.send(openConnection, heartbeat);
    }
  }

  void close() {
    closed = true;
    if (openConnection != null) {
      openConnection.close();
    }
  }

  private void handleGrant(FleetReply.LeaseGranted reply) {
    unansweredHeartbeats = 0;
    reply.voters().forEach(this::addVoter);
    inForce = restoreText(reply.inForce(), inForce, prepared);
    prepared = restoreText(reply.prepared(), prepared, inForce);
    recordGrant(reply);
    if (inForce != null) {
      onLeaseGranted.accept(
          new LeaseGrant(
              reply.heartbeat(), reply.duration(), inForce, prepared, reply.changeCount()),
          reply.membershipUpdate());
    }
  }

  private void recordGrant(FleetReply.LeaseGranted reply) {
    try {
      store.recordVoters(reply.voters());
      // A leader that grants no lease may have been replaced, and its version may be outdated.
      if (inForce != null && reply.duration().micros() > 0) {
        store.recordInForce(inForce);
      }
    } catch (IOException fault) {
      Event.FLEET_STANDS.log(LOG, Level.ERROR, "", "can't write", fault.getMessage());
    }
  }

  /** Restores a text that the leader omitted because it has sent that version before. */
  private static SettingsVersion restoreText(
      SentVersion sent, SettingsVersion cached, SettingsVersion otherCached) {
    SettingsVersion version = sent == null ? null : sent.version();
    if (version == null || !version.settingsJson().isEmpty()) {
      return version;
    }
    String text = "";
    if (cached != null && cached.number() == version.number()) {
      text = cached.settingsJson();
    } else if (otherCached != null && otherCached.number() == version.number()) {
      text = otherCached.settingsJson();
    }
    return VersionCodec.withText(version, text);
  }

  private void followRedirect(ChannelHandlerContext connection, String leader) {
    addVoter(leader);
    currentVoterIndex = voters.contains(leader) ? voters.indexOf(leader) : nextVoterIndex();
    loop.schedule(() -> reconnect(connection), RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void reconnect(ChannelHandlerContext connection) {
    if (connection == openConnection) {
      connection.close();
      openConnection = null;
      connect();
    }
  }

  private void onRejected(String reason) {
    Event.FLEET_REFUSED.log(LOG, Level.ERROR, "", voters.get(currentVoterIndex), reason);
    currentVoterIndex = nextVoterIndex();
  }

  private final class LeaderHandler extends FrameCodec<FleetReply> {
    private boolean hasResponded;

    LeaderHandler() {
      super(ReplyCodec::decode);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      if (closed) {
        context.close();
        return;
      }
      openConnection = context;
      unansweredHeartbeats = 0;
      onHeartbeatDue.run();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (openConnection == context) {
        openConnection = null;
        // Otherwise a voter, or a proxy in front of it, that closes each connection without a
        // reply would be tried forever.
        currentVoterIndex = hasResponded ? currentVoterIndex : nextVoterIndex();
      }
    }

    @Override
    void onMessage(ChannelHandlerContext context, FleetReply reply) {
      if (context != openConnection) {
        return;
      }
      hasResponded = true;
      if (reply instanceof FleetReply.LeaseGranted grant) {
        handleGrant(grant);
      } else if (reply instanceof FleetReply.NotLeader notLeader) {
        followRedirect(context, notLeader.leader());
      } else if (reply instanceof FleetReply.Rejected rejected) {
        onRejected(rejected.reason());
      } else if (reply instanceof FleetReply.Undecided undecided) {
        onRejected(undecided.reason());
      } else if (reply instanceof FleetReply.Unknown unknown) {
        onRejected(unknown.reason());
      } else {
        onRejected("");
      }
    }
  }
}
