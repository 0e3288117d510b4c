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
 * A router's connection to the leader, which is found by trying one voter after the other. What a
 * heartbeat says and what a grant means is up to the caller. All methods run on the event loop.
 */
final class LeaderConnection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderConnection.class);
  private static final int HEARTBEATS_PER_LEASE = 4;

  /** The shortest interval between heartbeats, and the range above it, as shares of the mean. */
  private static final double SHORTEST_INTERVAL = 0.8;

  private static final double INTERVAL_RANGE = 0.4;

  /** Unanswered heartbeats after which another voter is tried. */
  private static final int MAX_UNANSWERED = 2;

  private static final long FIRST_HEARTBEAT_MILLIS = 1;
  private static final long RECONNECT_MILLIS = 20;
  private static final long MIN_CONNECT_TIMEOUT_MILLIS = 50;

  private final FleetSettings settings;
  private final VoterStore store;
  private final EventLoop loop;
  private final SplittableRandom random;
  private final Runnable heartbeatDue;
  private final BiConsumer<LeaseGrant, MembershipUpdate> granted;
  private final List<String> voters;

  /** The index of the voter that is tried. */
  private int current;

  private int unanswered;
  private ChannelHandlerContext open;
  private boolean connecting;
  private boolean closed;
  private SettingsVersion inForce;
  private SettingsVersion prepared;

  /** HeartbeatDue has to send a heartbeat by {@link #send}; callbacks run on the event loop. */
  LeaderConnection(
      FleetSettings settings,
      VoterStore store,
      EventLoop loop,
      SplittableRandom random,
      Runnable heartbeatDue,
      BiConsumer<LeaseGrant, MembershipUpdate> granted) {
    this.settings = settings;
    this.store = store;
    this.loop = loop;
    this.random = random;
    this.heartbeatDue = heartbeatDue;
    this.granted = granted;
    voters = new ArrayList<>(settings.voters().keySet());
    store.voters().forEach(this::addVoter);
    current = random.nextInt(voters.size());
    loop.schedule(this::intervalElapsed, FIRST_HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Adds a voter that this router's settings file doesn't name as one, but as a peer. */
  private void addVoter(String voter) {
    if (settings.peers().containsKey(voter) && !voters.contains(voter)) {
      voters.add(voter);
    }
  }

  private void intervalElapsed() {
    if (closed) {
      return;
    }
    // Randomized, so that hundreds of routers don't send their heartbeats at the same time.
    long mean = settings.lease().micros() / HEARTBEATS_PER_LEASE;
    double share = SHORTEST_INTERVAL + INTERVAL_RANGE * random.nextDouble();
    loop.schedule(this::intervalElapsed, (long) (mean * share), TimeUnit.MICROSECONDS);
    if (open == null) {
      connect();
    } else if (++unanswered > MAX_UNANSWERED) {
      abandonCurrentVoter();
    } else {
      heartbeatDue.run();
    }
  }

  private void abandonCurrentVoter() {
    current = next();
    unanswered = 0;
    if (open != null) {
      open.close();
      open = null;
    }
    connect();
  }

  private int next() {
    return (current + 1) % voters.size();
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
        .connect(settings.peers().get(voters.get(current)))
        .addListener(
            done -> {
              connecting = false;
              if (!done.isSuccess()) {
                current = next();
              }
            });
  }

  /** Drops the heartbeat while there is no connection. */
  void send(FleetRequest.Heartbeat heartbeat) {
    if (open != null) {
      FrameCodec.send(open, heartbeat);
    }
  }

  void close() {
    closed = true;
    if (open != null) {
      open.close();
    }
  }

  private void leaseGranted(FleetReply.LeaseGranted reply) {
    unanswered = 0;
    reply.members().forEach(this::addVoter);
    inForce = withKnownText(reply.inForce(), inForce, prepared);
    prepared = withKnownText(reply.prepared(), prepared, inForce);
    recordGrant(reply);
    if (inForce != null) {
      granted.accept(
          new LeaseGrant(reply.heartbeat(), reply.duration(), inForce, prepared, reply.changes()),
          reply.lists());
    }
  }

  private void recordGrant(FleetReply.LeaseGranted reply) {
    try {
      store.recordVoters(reply.members());
      // A leader that grants no lease may have been replaced, so its version may be outdated.
      if (inForce != null && reply.duration().micros() > 0) {
        store.recordInForce(inForce);
      }
    } catch (IOException fault) {
      Event.FLEET_STANDS.log(LOG, Level.ERROR, "", "can't write", fault.getMessage());
    }
  }

  /** A version without a text is one that was sent with its text before. */
  private static SettingsVersion withKnownText(
      SentVersion sent, SettingsVersion known, SettingsVersion other) {
    SettingsVersion version = sent == null ? null : sent.version();
    if (version == null || !version.settingsJson().isEmpty()) {
      return version;
    }
    String text = "";
    if (known != null && known.number() == version.number()) {
      text = known.settingsJson();
    } else if (other != null && other.number() == version.number()) {
      text = other.settingsJson();
    }
    return VersionCodec.withText(version, text);
  }

  private void followRedirect(ChannelHandlerContext from, String leader) {
    addVoter(leader);
    current = voters.contains(leader) ? voters.indexOf(leader) : next();
    loop.schedule(() -> reconnect(from), RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void reconnect(ChannelHandlerContext from) {
    if (from == open) {
      from.close();
      open = null;
      connect();
    }
  }

  private void rejected(String reason) {
    Event.FLEET_REFUSED.log(LOG, Level.ERROR, "", voters.get(current), reason);
    current = next();
  }

  private final class LeaderHandler extends FrameCodec<FleetReply> {
    private boolean answered;

    LeaderHandler() {
      super(ReplyCodec::decode);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      if (closed) {
        context.close();
        return;
      }
      open = context;
      unanswered = 0;
      heartbeatDue.run();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (open == context) {
        open = null;
        // A voter, or a proxy before it, that closes without an answer would be tried forever.
        current = answered ? current : next();
      }
    }

    @Override
    void messageReceived(ChannelHandlerContext context, FleetReply reply) {
      if (context != open) {
        return;
      }
      answered = true;
      if (reply instanceof FleetReply.LeaseGranted grant) {
        leaseGranted(grant);
      } else if (reply instanceof FleetReply.NotLeader notLeader) {
        followRedirect(context, notLeader.leader());
      } else if (reply instanceof FleetReply.Refused refused) {
        rejected(refused.reason());
      } else if (reply instanceof FleetReply.Undecided undecided) {
        rejected(undecided.reason());
      } else if (reply instanceof FleetReply.Unknown unknown) {
        rejected(unknown.reason());
      } else {
        rejected("");
      }
    }
  }
}
