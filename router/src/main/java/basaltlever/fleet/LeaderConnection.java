package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import basaltlever.log.Event;
import basaltlever.membership.MembershipUpdate;
import basaltlever.settings.LeaseGrant;
import basaltlever.settings.SettingsVersion;
import basaltlever.time.Span;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * A router's side of the talk: one connection to whichever voter leads, found by asking one after
 * the other. What a beat says and what a grant means is the follower's; here it is carried.
 */
final class LeaderConnection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderConnection.class);
  private static final int BEATS_A_LEASE = 4;

  /** Beats without an answer after which another voter is asked. */
  private static final int PATIENCE = 2;

  private final FleetSettings terms;
  private final VoterStore papers;
  private final EventLoop loop;
  private final SplittableRandom chance;
  private final Runnable beats;
  private final BiConsumer<LeaseGrant, MembershipUpdate> granted;
  private final List<String> voters;
  private int asks;
  private int unanswered;
  private ChannelHandlerContext open;
  private boolean connecting;
  private boolean ended;
  private SettingsVersion force;
  private SettingsVersion prepared;

  /**
   * Beats is run when one is due, and has to bring it by {@link #send}; both on the link's loop.
   */
  LeaderConnection(
      FleetSettings terms,
      VoterStore papers,
      EventLoop loop,
      SplittableRandom chance,
      Runnable beats,
      BiConsumer<LeaseGrant, MembershipUpdate> granted) {
    this.terms = terms;
    this.papers = papers;
    this.loop = loop;
    this.chance = chance;
    this.beats = beats;
    this.granted = granted;
    voters = new ArrayList<>(terms.voters().keySet());
    papers.voters().forEach(this::mayAsk);
    asks = chance.nextInt(voters.size());
    loop.schedule(this::due, 1, TimeUnit.MILLISECONDS);
  }

  /** Taken in since this router's file was written. */
  private void mayAsk(String voter) {
    if (terms.peers().containsKey(voter) && !voters.contains(voter)) {
      voters.add(voter);
    }
  }

  private void due() {
    if (ended) {
      return;
    }
    // Spread, so that hundreds of followers do not beat in step.
    long evenly = terms.lease().micros() / BEATS_A_LEASE;
    long period = (long) (evenly * (0.8 + 0.4 * chance.nextDouble()));
    loop.schedule(this::due, period, TimeUnit.MICROSECONDS);
    if (open == null) {
      connect();
    } else if (++unanswered > PATIENCE) {
      elsewhere();
    } else {
      beats.run();
    }
  }

  private void elsewhere() {
    asks = (asks + 1) % voters.size();
    unanswered = 0;
    if (open != null) {
      open.close();
      open = null;
    }
    connect();
  }

  private void connect() {
    if (connecting || ended) {
      return;
    }
    connecting = true;
    LeaderHandler talk = new LeaderHandler();
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS,
            (int) Math.max(50, terms.lease().micros() / 2_000))
        .handler(talk)
        .connect(terms.peers().get(voters.get(asks)))
        .addListener(
            done -> {
              connecting = false;
              if (!done.isSuccess()) {
                asks = (asks + 1) % voters.size();
              }
            });
  }

  void send(Map<String, Object> beat) {
    if (open != null) {
      FrameCodec.send(open, beat);
    }
  }

  void end() {
    ended = true;
    if (open != null) {
      open.close();
    }
  }

  private final class LeaderHandler extends FrameCodec {
    private boolean answered;

    @Override
    public void channelActive(ChannelHandlerContext context) {
      if (ended) {
        context.close();
        return;
      }
      open = context;
      unanswered = 0;
      beats.run();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (open == context) {
        open = null;
        // Taken and closed without a word, by a relay before it or for want of room: asked again at
        // once
        // and for ever, it kept this router from the one that leads.
        asks = answered ? asks : (asks + 1) % voters.size();
      }
    }

    @Override
    void heard(ChannelHandlerContext from, Map<String, Object> message) {
      if (from != open) {
        return;
      }
      answered = true;
      switch (MessageCodec.text(message, "do")) {
        case "grant" -> {
          unanswered = 0;
          List<String> members = MessageCodec.texts(message, "members");
          members.forEach(LeaderConnection.this::mayAsk);
          force = filled(MessageCodec.version(message.get("force")), force, prepared);
          prepared = filled(MessageCodec.version(message.get("prepared")), prepared, force);
          try {
            papers.areTold(members);
            if (force != null && MessageCodec.number(message, "lasts") > 0) {
              // Who gives no lease may have been replaced: what it tells is no word of the fleet.
              papers.isTold(force);
            }
          } catch (IOException fault) {
            Event.FLEET_STANDS.log(LOG, Level.ERROR, "", "can't write", fault.getMessage());
          }
          if (force != null) {
            granted.accept(
                new LeaseGrant(
                    MessageCodec.number(message, "beat"),
                    new Span(MessageCodec.number(message, "lasts")),
                    force,
                    prepared,
                    MessageCodec.number(message, "changes")),
                MembershipCodec.sight(message.get("lists")));
          }
        }
        case "follows" -> {
          String leader = MessageCodec.text(message, "leader");
          mayAsk(leader);
          asks = voters.contains(leader) ? voters.indexOf(leader) : (asks + 1) % voters.size();
          loop.schedule(
              () -> {
                if (from == open) {
                  from.close();
                  open = null;
                  connect();
                }
              },
              20,
              TimeUnit.MILLISECONDS);
        }
        default -> {
          Event.FLEET_REFUSED.log(
              LOG, Level.ERROR, "", voters.get(asks), MessageCodec.text(message, "why"));
          asks = (asks + 1) % voters.size();
        }
      }
    }

    /** A text that it has told before stands for itself. */
    private SettingsVersion filled(
        SettingsVersion told, SettingsVersion known, SettingsVersion other) {
      if (told == null || !told.text().isEmpty()) {
        return told;
      }
      String text =
          known != null && known.number() == told.number()
              ? known.text()
              : other != null && other.number() == told.number() ? other.text() : "";
      return new SettingsVersion(
          told.number(), text, told.routers(), told.who(), told.why(), told.atMillis());
    }
  }
}
