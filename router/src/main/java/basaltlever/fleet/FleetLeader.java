package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.ListAnomaly;
import basaltlever.membership.MembershipCoordinator;
import basaltlever.membership.MembershipCoordinator.ListFork;
import basaltlever.membership.MembershipUpdate;
import basaltlever.settings.LeaseGrant;
import basaltlever.settings.LeaseTable;
import basaltlever.settings.LeaseTable.RouterLease;
import basaltlever.settings.RouterHeartbeat;
import basaltlever.settings.VersionRegister;
import basaltlever.time.Moment;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * The leader's part of a voter: grants leases, confirms its leadership, and submits the commands
 * that result from the routers' reports. All methods run on the voter's event loop.
 */
final class FleetLeader {
  private static final Logger LOG = LoggerFactory.getLogger(FleetLeader.class);

  /** The ratio by which clock rates in a fleet may differ; leases allow for twice that ratio. */
  private static final double MAX_CLOCK_DRIFT_RATIO = 0.01;

  private static final int TICKS_PER_LEASE = 4;
  private static final int TICK_TIMEOUT_LEASES = 2;
  private static final int SUBMIT_TIMEOUT_SECONDS = 5;
  private static final int MAX_LOGGED_ASSIGNMENTS = 5;

  private final FleetSettings settings;
  private final EventLoop loop;
  private final VoterLifecycle lifecycle;
  private final LeaseTable leaseTable;
  private final MembershipCoordinator coordinator;
  private final RateLimitedLog forkLog =
      new RateLimitedLog(LOG, Event.FLEET_FORK, FleetLeader::now);
  private boolean leading;
  private boolean stepInFlight;
  private boolean tickInFlight;
  private boolean folderRecordInFlight;
  private List<ListFork> lastLoggedForks = List.of();

  FleetLeader(FleetSettings settings, EventLoop loop, VoterLifecycle lifecycle) {
    this.settings = settings;
    this.loop = loop;
    this.lifecycle = lifecycle;
    leaseTable = new LeaseTable(settings.lease(), 2 * MAX_CLOCK_DRIFT_RATIO);
    coordinator =
        new MembershipCoordinator(
            leaseTable, settings.peers().keySet(), settings.assignmentLifetime());
  }

  /** Starts the periodic ticks. */
  void start() {
    long period = settings.lease().micros() / TICKS_PER_LEASE;
    loop.scheduleWithFixedDelay(this::sendTick, period, period, TimeUnit.MICROSECONDS);
  }

  /** Returns the time of the monotonic clock, which continues while this process is stopped. */
  private static Moment now() {
    return new Moment(System.nanoTime() / 1_000);
  }

  void onLeadershipChanged(boolean isNowLeading) {
    leading = isNowLeading;
    lifecycle.setLeading(isNowLeading);
    if (isNowLeading) {
      leaseTable.startLeading(now());
      coordinator.startLeading(now(), System.nanoTime() | 1);
      startEpoch();
    } else {
      leaseTable.stopLeading();
    }
    Event.FLEET_LEADER.log(LOG, Level.INFO, "", isNowLeading ? "leads" : "follows");
  }

  boolean isLeading() {
    return leading;
  }

  /** Returns whether this voter leads and its register contains the start of the epoch. */
  boolean isServing() {
    return leading && lifecycle.hasStartedEpoch();
  }

  private void startEpoch() {
    try {
      RegisterContent content = lifecycle.pendingEpochStart();
      RaftNode raftNode = lifecycle.raftNode();
      if (content != null && raftNode != null) {
        raftNode.submit(new RaftCommand.StartEpoch(content));
      }
    } catch (IOException fault) {
      Event.FLEET_STANDS.log(
          LOG,
          Level.ERROR,
          "",
          "waits",
          "the start of charter " + lifecycle.epoch() + " can't be read: " + fault.getMessage());
    }
  }

  /** A tick that a majority commits proves that there was no other leader when it was sent. */
  private void sendTick() {
    RaftNode raftNode = lifecycle.raftNode();
    if (leading && !lifecycle.hasStartedEpoch()) {
      startEpoch();
    } else if (leading && !tickInFlight && raftNode != null) {
      tickInFlight = true;
      Moment sentAt = now();
      raftNode
          .submit(new RaftCommand.Tick())
          .orTimeout(settings.lease().micros() * TICK_TIMEOUT_LEASES, TimeUnit.MICROSECONDS)
          .whenComplete((answer, fault) -> loop.execute(() -> onTickCompleted(sentAt, fault)));
    }
  }

  private void onTickCompleted(Moment sentAt, Throwable fault) {
    tickInFlight = false;
    if (fault == null && isServing()) {
      leaseTable.confirmLeadership(sentAt);
      submitNextStep();
    }
  }

  private void submitNextStep() {
    VersionRegister register = lifecycle.register();
    LeaseTable.Step versionStep;
    MembershipCoordinator.Step listStep;
    RaftCommand versionCommand;
    synchronized (register) {
      versionStep = leaseTable.nextStep(now(), register);
      listStep = coordinator.nextStep(now(), register);
      versionCommand = toCommand(versionStep, register);
    }
    if (stepInFlight) {
      return;
    }
    if (versionCommand != null) {
      submit(versionCommand);
      Event.FLEET_STEP.log(
          LOG, Level.INFO, "", versionStep.kind(), versionStep.number(), versionStep.reason());
    } else if (listStep.kind() != MembershipCoordinator.Step.Kind.NOTHING) {
      submit(toCommand(listStep));
      logListStep(listStep);
    }
    logNewForks();
  }

  /** Returns the command of a step; null for none. */
  private static RaftCommand toCommand(LeaseTable.Step step, VersionRegister register) {
    return switch (step.kind()) {
      case BRING_INTO_FORCE -> new RaftCommand.BringIntoForce(step.number());
      case WITHDRAW -> new RaftCommand.Withdraw(step.number(), step.reason());
      case SET_ROUTER_COUNT ->
          new RaftCommand.ProposeRouterCount(
              new RaftCommand.Propose(
                  step.number(),
                  register.inForce().settingsJson(),
                  step.routers(),
                  "fleet",
                  step.routers() + " routers are here",
                  System.currentTimeMillis()));
      case NOTHING -> null;
    };
  }

  private RaftCommand toCommand(MembershipCoordinator.Step step) {
    return switch (step.kind()) {
      case ASSIGN -> new RaftCommand.Assign(step.assignments());
      case CLEAR -> new RaftCommand.ClearAssignments(step.assignments());
      case START_NEW_ERA -> {
        VersionRegister register = lifecycle.register();
        synchronized (register) {
          yield new RaftCommand.StartNewEra(register.era());
        }
      }
      case NOTHING -> throw new IllegalArgumentException("a step of kind NOTHING has no command");
    };
  }

  private void logListStep(MembershipCoordinator.Step step) {
    Event.FLEET_LISTS.log(
        LOG,
        Level.INFO,
        "",
        step.kind(),
        step.assignments().size(),
        step.assignments().stream()
            .limit(MAX_LOGGED_ASSIGNMENTS)
            .map(assignment -> assignment.endpoint() + " in " + assignment.group())
            .toList());
  }

  private void logNewForks() {
    List<ListFork> currentForks = coordinator.findForks(now());
    if (!currentForks.equals(lastLoggedForks)) {
      lastLoggedForks = currentForks;
      currentForks.forEach(
          fork -> forkLog.log(fork.listVersion().generation(), "" + fork.holders().values()));
    }
  }

  private void submit(RaftCommand command) {
    RaftNode raftNode = lifecycle.raftNode();
    if (raftNode == null) {
      return;
    }
    stepInFlight = true;
    raftNode
        .submit(command)
        .orTimeout(SUBMIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .whenComplete((answer, fault) -> loop.execute(() -> stepInFlight = false));
  }

  /** Returns the reply to a router's heartbeat. */
  FleetReply.LeaseGranted grantLease(FleetRequest.Heartbeat heartbeat) {
    LeaseGrant grant;
    MembershipUpdate membershipUpdate;
    VersionRegister register = lifecycle.register();
    synchronized (register) {
      grant =
          leaseTable.answerHeartbeat(
              now(),
              new RouterHeartbeat(
                  heartbeat.router(),
                  heartbeat.incarnation(),
                  heartbeat.number(),
                  heartbeat.inForce(),
                  heartbeat.acknowledged(),
                  heartbeat.rejected(),
                  heartbeat.rejectionReason(),
                  heartbeat.holdsLease()),
              register);
      membershipUpdate =
          coordinator.answerHeartbeat(
              now(), heartbeat.router(), heartbeat.membershipReport(), register);
    }
    recordFolder(heartbeat.router(), heartbeat.voterFolderId());
    RaftNode raftNode = lifecycle.raftNode();
    return new FleetReply.LeaseGranted(
        grant.heartbeatNumber(),
        grant.duration(),
        grant.changeCount(),
        raftNode == null ? List.of() : raftNode.voters(),
        SentVersion.withTextUnlessKnown(grant.inForce(), heartbeat.inForce()),
        SentVersion.withTextUnlessKnown(grant.prepared(), heartbeat.acknowledged()),
        membershipUpdate);
  }

  /** Records the folder with which a voter votes: with a different one it could vote twice. */
  private void recordFolder(String voter, String folderId) {
    RaftNode raftNode = lifecycle.raftNode();
    if (!folderId.isEmpty()
        && raftNode != null
        && !folderRecordInFlight
        && lifecycle.register().recordedFolder(voter).isEmpty()
        && raftNode.voters().contains(voter)) {
      folderRecordInFlight = true;
      raftNode
          .submit(new RaftCommand.RecordVoterFolder(voter, folderId))
          .orTimeout(SUBMIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .whenComplete((answer, fault) -> loop.execute(() -> folderRecordInFlight = false));
    }
  }

  /** Returns the status of the routers from which heartbeats have arrived. */
  List<StatusReport.RouterStatus> routerStatuses(VersionRegister register) {
    return leaseTable.routers().stream().map(router -> routerStatus(router, register)).toList();
  }

  private StatusReport.RouterStatus routerStatus(RouterLease router, VersionRegister register) {
    HeartbeatReport report = coordinator.lastReport(router.name());
    String listState =
        report.anomaly() == ListAnomaly.NONE
            ? coordinator.assessAgreement(router.name(), now(), register).name()
            : report.anomaly().name();
    return new StatusReport.RouterStatus(
        router.name(),
        router.incarnation(),
        Math.max(0, router.leaseEnd().since(now()).micros() / 1_000),
        now().since(router.lastHeartbeatAt()).micros() / 1_000,
        router.inForce(),
        router.acknowledged(),
        router.rejectionReason(),
        report.listVersion().generation(),
        Long.toHexString(report.digest()),
        listState);
  }

  /** Returns the endpoint lists that contradict each other. */
  List<StatusReport.ForkStatus> forkStatuses() {
    return coordinator.findForks(now()).stream()
        .map(
            fork ->
                new StatusReport.ForkStatus(
                    fork.listVersion().generation(), List.copyOf(fork.holders().values())))
        .toList();
  }
}
