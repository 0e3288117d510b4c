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
 * The leader's side of a voter: grants leases, confirms that it still leads, and submits the
 * commands that follow from what the routers report. All methods run on the voter's event loop.
 */
final class FleetLeader {
  private static final Logger LOG = LoggerFactory.getLogger(FleetLeader.class);

  /**
   * The share by which clocks of machines in one fleet may run apart; leases hold at twice that.
   */
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
  private List<ListFork> forks = List.of();

  FleetLeader(FleetSettings settings, EventLoop loop, VoterLifecycle lifecycle) {
    this.settings = settings;
    this.loop = loop;
    this.lifecycle = lifecycle;
    leaseTable = new LeaseTable(settings.lease(), 2 * MAX_CLOCK_DRIFT_RATIO);
    coordinator =
        new MembershipCoordinator(
            leaseTable, settings.peers().keySet(), settings.assignmentLifetime());
  }

  /** Starts the ticks. */
  void start() {
    long period = settings.lease().micros() / TICKS_PER_LEASE;
    loop.scheduleWithFixedDelay(this::sendTick, period, period, TimeUnit.MICROSECONDS);
  }

  /** Of the monotonic clock, which goes on while this process is stopped. */
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

  /** Whether it leads, and may act on what its register holds. */
  boolean isServing() {
    return leading && lifecycle.hasStartedEpoch();
  }

  private void startEpoch() {
    try {
      RegisterContent content = lifecycle.pendingEpochStart();
      RaftNode node = lifecycle.raftNode();
      if (content != null && node != null) {
        node.submit(new RaftCommand.StartEpoch(content));
      }
    } catch (IOException fault) {
      Event.FLEET_STANDS.log(
          LOG,
          Level.ERROR,
          "",
          "waits",
          "the beginning of charter "
              + lifecycle.epoch()
              + " can't be read: "
              + fault.getMessage());
    }
  }

  /** A majority that takes the command proves that nobody else led when it was sent. */
  private void sendTick() {
    RaftNode node = lifecycle.raftNode();
    if (leading && !lifecycle.hasStartedEpoch()) {
      startEpoch();
    } else if (leading && !tickInFlight && node != null) {
      tickInFlight = true;
      Moment sentAt = now();
      node.submit(new RaftCommand.Tick())
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

  /** Null where there is nothing to be done. */
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
      case NOTHING -> throw new IllegalArgumentException("nothing to be done");
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
    List<ListFork> found = coordinator.findForks(now());
    if (!found.equals(forks)) {
      forks = found;
      found.forEach(
          fork -> forkLog.note(fork.listVersion().generation(), "" + fork.holders().values()));
    }
  }

  private void submit(RaftCommand command) {
    RaftNode node = lifecycle.raftNode();
    if (node == null) {
      return;
    }
    stepInFlight = true;
    node.submit(command)
        .orTimeout(SUBMIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .whenComplete((answer, fault) -> loop.execute(() -> stepInFlight = false));
  }

  /** The answer to a router's heartbeat. */
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
    RaftNode node = lifecycle.raftNode();
    return new FleetReply.LeaseGranted(
        grant.heartbeatNumber(),
        grant.duration(),
        grant.changeCount(),
        node == null ? List.of() : node.voters(),
        SentVersion.withTextUnlessKnown(grant.inForce(), heartbeat.inForce()),
        SentVersion.withTextUnlessKnown(grant.prepared(), heartbeat.acknowledged()),
        membershipUpdate);
  }

  /** Records by which folder a voter votes: with another one it could vote twice. */
  private void recordFolder(String voter, String folderId) {
    RaftNode node = lifecycle.raftNode();
    if (!folderId.isEmpty()
        && node != null
        && !folderRecordInFlight
        && lifecycle.register().recordedFolder(voter).isEmpty()
        && node.voters().contains(voter)) {
      folderRecordInFlight = true;
      node.submit(new RaftCommand.RecordVoterFolder(voter, folderId))
          .orTimeout(SUBMIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .whenComplete((answer, fault) -> loop.execute(() -> folderRecordInFlight = false));
    }
  }

  /** The routers that it has heard from, for status. */
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

  /** Endpoint lists that contradict each other, for status. */
  List<StatusReport.ForkStatus> forkStatuses() {
    return coordinator.findForks(now()).stream()
        .map(
            fork ->
                new StatusReport.ForkStatus(
                    fork.listVersion().generation(), List.copyOf(fork.holders().values())))
        .toList();
  }
}
