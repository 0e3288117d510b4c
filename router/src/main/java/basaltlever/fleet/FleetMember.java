package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import basaltlever.log.Event;
import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.MembershipUpdate;
import basaltlever.settings.LeaseGrant;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * One instance's part in its fleet: its link, and its voter where it is one. On a loop of its own.
 */
public final class FleetMember implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(FleetMember.class);
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final VoterServer voter;
  private final LeaderConnection link;
  private final String name;
  private final FleetSettings terms;
  private final VoterStore papers;

  /** Of this process. */
  private final long incarnation = System.currentTimeMillis();

  /**
   * Beats is run on this fleet's loop when a beat is due, granted with each answer. Throws where
   * the voter can't be started: its folder or its ports.
   */
  public FleetMember(
      FleetSettings terms,
      String name,
      VoterStore papers,
      SplittableRandom chance,
      Runnable beats,
      BiConsumer<LeaseGrant, MembershipUpdate> granted)
      throws Exception {
    this.terms = terms;
    this.papers = papers;
    this.name = name;
    VoterServer own = null;
    try {
      own = terms.voters().containsKey(name) ? new VoterServer(terms, name, loop, papers) : null;
    } finally {
      if (own == null && terms.voters().containsKey(name)) {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      }
    }
    voter = own;
    link = new LeaderConnection(terms, papers, loop, chance, beats, granted);
  }

  /** What a router says of itself and of its list; from any thread. */
  public void beat(
      long number,
      long charter,
      long force,
      long keeps,
      long refused,
      String refusal,
      boolean holds,
      HeartbeatReport report) {
    Map<String, Object> beat =
        new LinkedHashMap<>(
            Map.of(
                "do",
                "beat",
                "fleet",
                terms.name(),
                "from",
                name,
                "incarnation",
                incarnation,
                "beat",
                number,
                "force",
                force,
                "keeps",
                keeps,
                "refused",
                refused,
                "refusal",
                refusal,
                "holds",
                holds));
    beat.put("lists", MembershipCodec.of(report));
    beat.put("charter", charter);
    beat.put("folder", voter == null ? "" : voter.folder());
    loop.execute(
        () -> {
          try {
            papers.isTold(charter);
          } catch (IOException fault) {
            Event.FLEET_STANDS.log(LOG, Level.ERROR, "", "can't write", fault.getMessage());
          }
          link.send(beat);
        });
  }

  @Override
  public void close() {
    try {
      loop.submit(link::end).await(500);
      if (voter != null) {
        voter.close();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException ended) {
      // It ends in any case.
    }
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }
}
