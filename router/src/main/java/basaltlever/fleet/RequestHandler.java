package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import basaltlever.settings.VersionRegister;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Handles the requests on one connection to a voter, on the voter's event loop. */
final class RequestHandler extends FrameCodec<FleetRequest> {
  private static final int PROPOSE_TIMEOUT_SECONDS = 3;
  private static final int VOTER_CHANGE_TIMEOUT_SECONDS = 5;

  private final FleetSettings settings;
  private final String voterName;
  private final EventLoop loop;
  private final VoterLifecycle lifecycle;
  private final FleetLeader fleetLeader;
  private final StatusReporter statusReporter;

  RequestHandler(
      FleetSettings settings,
      String voterName,
      EventLoop loop,
      VoterLifecycle lifecycle,
      FleetLeader leader,
      StatusReporter status) {
    super(RequestCodec::decode);
    this.settings = settings;
    this.voterName = voterName;
    this.loop = loop;
    this.lifecycle = lifecycle;
    this.fleetLeader = leader;
    this.statusReporter = status;
  }

  @Override
  void onMessage(ChannelHandlerContext context, FleetRequest request) {
    if (!request.fleet().equals(settings.name())) {
      rejectAndClose(context, "this is fleet " + settings.name());
    } else if (request instanceof FleetRequest.Heartbeat heartbeat) {
      answerHeartbeat(context, heartbeat);
    } else if (request instanceof FleetRequest.Propose propose) {
      propose(context, propose);
    } else if (request instanceof FleetRequest.ChangeVoters change) {
      changeVoters(context, change);
    } else if (request instanceof FleetRequest.Recover recover) {
      recoverInBackground(context, recover);
    } else if (request instanceof FleetRequest.Status statusRequest) {
      send(context, statusReporter.report(statusRequest.requester()));
    } else {
      rejectAndClose(context, "that is not spoken here");
    }
  }

  private static void rejectAndClose(ChannelHandlerContext context, String reason) {
    send(context, new FleetReply.Rejected(reason));
    context.close();
  }

  private void answerHeartbeat(ChannelHandlerContext context, FleetRequest.Heartbeat heartbeat) {
    RaftNode raftNode = lifecycle.raftNode();
    if (!isPeer(heartbeat.router())) {
      rejectAndClose(context, notPeerReason(heartbeat.router()));
    } else if (heartbeat.epoch() > lifecycle.epoch() && raftNode != null) {
      lifecycle.retireInBackground();
      send(context, new FleetReply.Retiring());
    } else if (fleetLeader.isServing()) {
      send(context, fleetLeader.grantLease(heartbeat));
    } else {
      send(context, new FleetReply.NotLeader(raftNode == null ? "" : raftNode.leaderName()));
    }
  }

  private boolean isPeer(String name) {
    return settings.peers().containsKey(name);
  }

  private String notPeerReason(String name) {
    return name + " is no peer of fleet " + settings.name();
  }

  private void propose(ChannelHandlerContext context, FleetRequest.Propose request) {
    RaftNode raftNode = lifecycle.raftNode();
    if (raftNode == null || !lifecycle.hasStartedEpoch()) {
      send(
          context,
          new FleetReply.Rejected(voterName + " does not vote: " + lifecycle.waitReason()));
      return;
    }
    raftNode
        .submit(toCommand(request, raftNode.register()))
        .orTimeout(PROPOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .whenComplete(
            (rejectionReason, fault) ->
                sendOnEventLoop(
                    context,
                    fault == null
                        ? toReply(rejectionReason)
                        : new FleetReply.Undecided("no majority answered: " + fault.getMessage())));
  }

  private static RaftCommand toCommand(FleetRequest.Propose request, VersionRegister register) {
    synchronized (register) {
      return new RaftCommand.Propose(
          request.basis(),
          request.text(),
          register.inForce().routers(),
          request.proposer(),
          request.reason(),
          System.currentTimeMillis());
    }
  }

  private static FleetReply toReply(String rejectionReason) {
    return rejectionReason.isEmpty()
        ? new FleetReply.Accepted()
        : new FleetReply.Rejected(rejectionReason);
  }

  private void sendOnEventLoop(ChannelHandlerContext context, FleetReply reply) {
    loop.execute(() -> send(context, reply));
  }

  /** Removes the voter's recorded folder first, since the voter may join with a new one. */
  private void changeVoters(ChannelHandlerContext context, FleetRequest.ChangeVoters request) {
    RaftNode raftNode = lifecycle.raftNode();
    String rejectionReason =
        raftNode == null || !fleetLeader.isServing()
            ? voterName + " does not lead"
            : rejectionReason(request, raftNode.voters());
    if (!rejectionReason.isEmpty()) {
      send(context, new FleetReply.Rejected(rejectionReason));
      return;
    }
    CompletableFuture<byte[]> change =
        raftNode
            .submit(new RaftCommand.RemoveVoterFolder(request.voter()))
            .thenCompose(answer -> raftNode.changeVoter(request.voter(), request.add()));
    change
        .orTimeout(VOTER_CHANGE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .whenComplete(
            (answer, fault) ->
                sendOnEventLoop(
                    context,
                    fault == null
                        ? new FleetReply.Accepted()
                        : new FleetReply.Undecided("no majority answered: " + fault)));
  }

  /** Returns why the change is rejected; empty if it is allowed. */
  private String rejectionReason(FleetRequest.ChangeVoters request, List<String> voters) {
    String voter = request.voter();
    if (!isPeer(voter)) {
      return notPeerReason(voter);
    }
    if (request.add() == voters.contains(voter)) {
      return voter + (request.add() ? " votes already" : " does not vote");
    }
    if (!request.add() && voter.equals(voterName)) {
      return voterName + " leads: stop it first, so that another does";
    }
    return !request.add() && voters.size() == 1 ? voter + " is the only one" : "";
  }

  private void recoverInBackground(ChannelHandlerContext context, FleetRequest.Recover request) {
    Thread recovery = new Thread(() -> recover(context, request), "voter-recovery");
    recovery.setDaemon(true);
    recovery.start();
  }

  @SuppressWarnings("IllegalCatch") // Top-level handler of its thread; JGroups declares Exception.
  private void recover(ChannelHandlerContext context, FleetRequest.Recover request) {
    String rejectionReason;
    try {
      rejectionReason = lifecycle.recover(request);
    } catch (Exception fault) {
      rejectionReason = "" + fault;
    }
    sendOnEventLoop(context, toReply(rejectionReason));
  }
}
