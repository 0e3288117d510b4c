package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import basaltlever.log.Event;
import basaltlever.membership.VoterEligibility;
import basaltlever.membership.VoterEligibility.PeerStatus;
import basaltlever.membership.VoterEligibility.VoterIdentity;
import basaltlever.settings.VersionRegister;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Decides whether this instance may vote, and runs its Raft node while it votes. The Raft node is
 * replaced only under the store's lock; any thread may read it.
 */
final class VoterLifecycle implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(VoterLifecycle.class);
  private static final long ELIGIBILITY_RETRY_MILLIS = 200;
  private static final long CHECK_INTERVAL_MILLIS = 2_000;
  private static final long MIN_SUSPECT_TIMEOUT_MILLIS = 300;

  private final FleetSettings settings;
  private final String name;
  private final VoterStore store;
  private final PeerPoller poller;
  private final Consumer<Boolean> onLeadershipChanged;

  /** Reported while this instance doesn't vote. */
  private final VersionRegister emptyRegister = new VersionRegister();

  /** Null while this instance doesn't vote. */
  private volatile RaftNode raftNode;

  private volatile long epoch;
  private volatile String waitReason = "";
  private volatile boolean leading;
  private volatile boolean closed;

  /** Creates the lifecycle; {@code onLeadershipChanged} may be called on any thread. */
  VoterLifecycle(
      FleetSettings settings,
      String name,
      VoterStore store,
      Consumer<Boolean> onLeadershipChanged) {
    this.settings = settings;
    this.name = name;
    this.store = store;
    this.onLeadershipChanged = onLeadershipChanged;
    poller = new PeerPoller(settings, name, store);
  }

  /** Starts checking in the background whether this instance may vote. */
  void start() {
    Thread eligibilityThread = new Thread(this::checkUntilClosed, "voter-eligibility");
    eligibilityThread.setDaemon(true);
    eligibilityThread.start();
  }

  /**
   * Checks periodically, also while this instance votes, since the voter may have been removed or
   * given up while it was disconnected.
   */
  @SuppressWarnings("IllegalCatch") // Top-level handler of its thread; JGroups declares Exception.
  private void checkUntilClosed() {
    while (!closed) {
      try {
        checkEligibility(poller.pollAll());
        Thread.sleep(raftNode == null ? ELIGIBILITY_RETRY_MILLIS : CHECK_INTERVAL_MILLIS);
      } catch (InterruptedException interrupted) {
        return;
      } catch (Exception fault) {
        waitReason = "" + fault;
        Event.FLEET_JOINS.log(
            LOG, Level.WARN, "check of the eligibility to vote failed; retrying", fault);
        try {
          Thread.sleep(CHECK_INTERVAL_MILLIS);
        } catch (InterruptedException interrupted) {
          return;
        }
      }
    }
  }

  private void checkEligibility(List<PeerStatus> others) throws Exception {
    synchronized (store) {
      if (raftNode == null && !closed) {
        VoterIdentity identity = store.identity();
        startVoting(
            VoterEligibility.decide(
                name,
                identity.voters().isEmpty() ? null : identity,
                List.copyOf(settings.voters().keySet()),
                others));
      } else if (others.stream().anyMatch(this::isSuperseding)) {
        retire();
      }
    }
  }

  /** Returns whether a voter is in a newer epoch, or leads this epoch without this instance. */
  private boolean isSuperseding(PeerStatus other) {
    return other.epoch() > epoch
        || (other.isLeader() && other.epoch() == epoch && !other.voters().contains(name));
  }

  private void startVoting(VoterEligibility eligibility) throws Exception {
    if (eligibility.kind() == VoterEligibility.Kind.WAIT) {
      if (!eligibility.reason().equals(waitReason)) {
        waitReason = eligibility.reason();
        Event.FLEET_STANDS.log(LOG, Level.WARN, "", "waits", waitReason);
      }
      return;
    }
    if (eligibility.kind() != VoterEligibility.Kind.RESUME) {
      store.recordVotingEpoch(eligibility.epoch(), eligibility.voters());
    }
    waitReason = "";
    epoch = eligibility.epoch();
    Files.createDirectories(store.logFolder(epoch));
    raftNode =
        new RaftNode(
            epoch == 0 ? settings.name() : settings.name() + "#" + epoch,
            name,
            settings.voters(),
            eligibility.voters(),
            store.logFolder(epoch),
            Math.max(MIN_SUSPECT_TIMEOUT_MILLIS, settings.lease().micros() / 1_000),
            onLeadershipChanged);
    Event.FLEET_STANDS.log(
        LOG,
        Level.INFO,
        "",
        "votes",
        eligibility.kind()
            + " under charter "
            + epoch
            + " with "
            + String.join(", ", eligibility.voters()));
  }

  /** Stops voting, since the other voters continue in a newer epoch or without this instance. */
  private void retire() {
    RaftNode former = raftNode;
    raftNode = null;
    onLeadershipChanged.accept(false);
    former.close();
    Event.FLEET_STANDS.log(
        LOG,
        Level.WARN,
        "",
        "retires",
        "a charter newer than " + epoch + " exists, or this voter was removed");
  }

  /** Stops voting, in the background, after a heartbeat has reported a newer epoch. */
  void retireInBackground() {
    Thread retirementThread =
        new Thread(
            () -> {
              synchronized (store) {
                if (raftNode != null) {
                  retire();
                }
              }
            },
            "voter-retirement");
    retirementThread.setDaemon(true);
    retirementThread.start();
  }

  /**
   * Executes an operator's request to continue with this voter alone, in a new epoch. Blocks while
   * it polls the other voters.
   *
   * @return why the request is rejected; empty if the new epoch starts
   */
  String recover(FleetRequest.Recover request) throws Exception {
    synchronized (store) {
      RaftNode former = raftNode;
      String rejectionReason = reasonToRejectRecovery(request, former);
      if (!rejectionReason.isEmpty()) {
        return rejectionReason;
      }
      raftNode = null;
      former.close();
      VersionRegister register = former.register();
      synchronized (register) {
        register.recover(
            new TreeSet<>(request.endedVoters()),
            request.proposer(),
            request.reason(),
            System.currentTimeMillis());
      }
      long newEpoch = epoch + 1;
      store.writeEpochStart(newEpoch, RegisterContent.of(register));
      store.recordVotingEpoch(newEpoch, List.of(name));
      startVoting(new VoterEligibility(VoterEligibility.Kind.RESUME, newEpoch, List.of(name), ""));
      return "";
    }
  }

  private String reasonToRejectRecovery(FleetRequest.Recover request, RaftNode current) {
    if (current == null) {
      return name + " does not vote: " + waitReason;
    }
    if (request.epoch() != epoch + 1) {
      return "charter " + epoch + " holds, so the next one is " + (epoch + 1);
    }
    if (leading || !current.leaderName().isEmpty()) {
      return "a majority is there: " + (leading ? name : current.leaderName()) + " leads";
    }
    for (String voter : current.voters()) {
      if (!voter.equals(name)) {
        String rejectionReason =
            reasonToRejectRecoveryBy(
                voter, request.endedVoters().contains(voter), current.register().changeCount());
        if (!rejectionReason.isEmpty()) {
          return rejectionReason;
        }
      }
    }
    return "";
  }

  private String reasonToRejectRecoveryBy(String voter, boolean isEnded, long ownChangeCount) {
    StatusReport status = poller.poll(voter);
    if (isEnded) {
      return status == null ? "" : voter + " answers, so it is not ended";
    }
    if (status == null) {
      return voter + " votes too: end it and name it, or bring it back";
    }
    return status.changeCount() > ownChangeCount
        ? voter + " knows more: have it recover instead"
        : "";
  }

  /** Called by the event loop after it has handled a change of leadership. */
  void setLeading(boolean isLeading) {
    leading = isLeading;
  }

  /** Returns the Raft node; null while this instance doesn't vote. */
  RaftNode raftNode() {
    return raftNode;
  }

  /** Returns the register of the Raft node, or an empty one while this instance doesn't vote. */
  VersionRegister register() {
    RaftNode current = raftNode;
    return current == null ? emptyRegister : current.register();
  }

  long epoch() {
    return epoch;
  }

  /** Returns why this instance doesn't vote. */
  String waitReason() {
    return waitReason;
  }

  /**
   * Returns whether the register contains the initial content of the epoch. Until it does, this
   * voter must not act as the leader.
   */
  boolean hasStartedEpoch() {
    RaftNode current = raftNode;
    return current != null && current.register().epoch() == epoch;
  }

  /**
   * Returns the initial content of the epoch; null if the epoch has started, or if another voter
   * has to start it.
   */
  RegisterContent pendingEpochStart() throws IOException {
    return hasStartedEpoch() || raftNode == null ? null : store.readEpochStart(epoch);
  }

  /** Returns the id of the folder with which this instance votes; empty while it doesn't. */
  String folderId() {
    return raftNode == null ? "" : store.identity().folderId();
  }

  /** Returns whether the folder of this instance has never been used to vote. */
  boolean hasUnusedFolder() {
    return store.identity().voters().isEmpty();
  }

  @Override
  public void close() {
    closed = true;
    synchronized (store) {
      if (raftNode != null) {
        raftNode.close();
      }
    }
  }
}
