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
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * The participation of one instance in its fleet: its connection to the leader and, if the instance
 * is configured as a voter, its voter. Both run on one separate event loop.
 */
public final class FleetMember implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(FleetMember.class);
  private static final int CLOSE_TIMEOUT_MILLIS = 500;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();

  /** Null if this instance isn't configured as a voter. */
  private final VoterServer voter;

  private final LeaderConnection connection;
  private final String name;
  private final FleetSettings settings;
  private final VoterStore store;

  /** Identifies this process; a restart changes it. */
  private final long incarnation = System.currentTimeMillis();

  /**
   * Starts the voter and the connection. Both callbacks run on the event loop of this object.
   * Throws if the voter can't be started.
   *
   * @param onHeartbeatDue has to send a heartbeat with {@link #sendHeartbeat}
   * @param onLeaseGranted receives each grant, with the fleet's agreement about endpoints
   */
  public FleetMember(
      FleetSettings settings,
      String name,
      VoterStore store,
      SplittableRandom random,
      Runnable onHeartbeatDue,
      BiConsumer<LeaseGrant, MembershipUpdate> onLeaseGranted)
      throws Exception {
    this.settings = settings;
    this.store = store;
    this.name = name;
    boolean isVoter = settings.voters().containsKey(name);
    VoterServer started = null;
    try {
      started = isVoter ? new VoterServer(settings, name, loop, store) : null;
    } finally {
      if (started == null && isVoter) {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      }
    }
    voter = started;
    connection =
        new LeaderConnection(settings, store, loop, random, onHeartbeatDue, onLeaseGranted);
  }

  /**
   * Sends a heartbeat. May be called on any thread.
   *
   * @param number sequence number of the heartbeat
   * @param epoch latest configuration epoch that the router has learned of
   * @param inForce number of the version in force at the router
   * @param acknowledged number of the prepared version that the router complies with
   * @param rejected number of the version that the router can't comply with; 0 if there is none
   * @param rejectionReason why it can't; empty if it rejects nothing
   * @param holdsLease whether the router holds a lease
   * @param membershipReport state of its endpoint list
   */
  public void sendHeartbeat(
      long number,
      long epoch,
      long inForce,
      long acknowledged,
      long rejected,
      String rejectionReason,
      boolean holdsLease,
      HeartbeatReport membershipReport) {
    FleetRequest.Heartbeat heartbeat =
        new FleetRequest.Heartbeat(
            settings.name(),
            name,
            incarnation,
            number,
            inForce,
            acknowledged,
            rejected,
            rejectionReason,
            holdsLease,
            membershipReport,
            epoch,
            voter == null ? "" : voter.folderId());
    loop.execute(() -> recordAndSend(heartbeat));
  }

  private void recordAndSend(FleetRequest.Heartbeat heartbeat) {
    try {
      store.recordLatestEpoch(heartbeat.epoch());
    } catch (IOException fault) {
      Event.FLEET_STANDS.log(LOG, Level.ERROR, "", "can't write", fault.getMessage());
    }
    connection.send(heartbeat);
  }

  @Override
  public void close() {
    try {
      loop.submit(connection::close).await(CLOSE_TIMEOUT_MILLIS);
      if (voter != null) {
        voter.close();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }
}
