package basaltlever.fleet;

import basaltlever.config.FleetSettings;
import basaltlever.settings.VersionRegister;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Answers the requests on one connection to a voter, on the voter's event loop. */
final class RequestHandler extends FrameCodec<FleetRequest> {
  private static final int PROPOSE_TIMEOUT_SECONDS = 3;
  private static final int CHANGE_TIMEOUT_SECONDS = 5;

  private final FleetSettings settings;
  private final String voterName;
  private final EventLoop loop;
  private final VoterLifecycle lifecycle;
  private final FleetLeader leader;
  private final StatusReporter status;

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
    this.leader = leader;
    this.status = status;
  }

  @Override
  void messageReceived(ChannelHandlerContext context, FleetRequest request) {
    if (!request.fleet().equals(settings.name())) {
      refuseAndClose(context, "this is fleet " + settings.name());
    } else if (request instanceof FleetRequest.Heartbeat heartbeat) {
      answerHeartbeat(context, heartbeat);
    } else if (request instanceof FleetRequest.Propose propose) {
      propose(context, propose);
    } else if (request instanceof FleetRequest.ChangeVoters change) {
      changeVoters(context, change);
    } else if (request instanceof FleetRequest.Recover recover) {
      recoverInBackground(context, recover);
    } else if (request instanceof FleetRequest.Status asked) {
      send(context, status.report(asked.from()));
    } else {
      refuseAndClose(context, "that is not spoken here");
    }
  }

  private static void refuseAndClose(ChannelHandlerContext context, String reason) {
    send(context, new FleetReply.Refused(reason));
    context.close();
  }

  private void answerHeartbeat(ChannelHandlerContext context, FleetRequest.Heartbeat heartbeat) {
    RaftNode node = lifecycle.node();
    if (!isPeer(heartbeat.from())) {
      refuseAndClose(context, noPeer(heartbeat.from()));
    } else if (heartbeat.epoch() > lifecycle.epoch() && node != null) {
      lifecycle.retireInBackground();
      send(context, new FleetReply.Retiring());
    } else if (leader.isServing()) {
      send(context, leader.grant(heartbeat));
    } else {
      send(context, new FleetReply.NotLeader(node == null ? "" : node.leader()));
    }
  }

  private boolean isPeer(String name) {
    return settings.peers().containsKey(name);
  }

  private String noPeer(String name) {
    return name + " is no peer of fleet " + settings.name();
  }

  private void propose(ChannelHandlerContext context, FleetRequest.Propose request) {
    RaftNode node = lifecycle.node();
    if (node == null || !lifecycle.hasStartedEpoch()) {
      send(
          context, new FleetReply.Refused(voterName + " does not vote: " + lifecycle.waitReason()));
      return;
    }
    node.submit(command(request, node.register()))
        .orTimeout(PROPOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .whenComplete(
            (objection, fault) ->
                sendLater(
                    context,
                    fault == null
                        ? reply(objection)
                        : new FleetReply.Undecided("no majority answered: " + fault.getMessage())));
  }

  private static RaftCommand command(FleetRequest.Propose request, VersionRegister register) {
    synchronized (register) {
      return new RaftCommand.Propose(
          request.basis(),
          request.text(),
          register.inForce().routers(),
          request.who(),
          request.why(),
          System.currentTimeMillis());
    }
  }

  private static FleetReply reply(String objection) {
    return objection.isEmpty() ? new FleetReply.Accepted() : new FleetReply.Refused(objection);
  }

  private void sendLater(ChannelHandlerContext context, FleetReply reply) {
    loop.execute(() -> send(context, reply));
  }

  /** The voter's folder is forgotten first, since it may come with another one. */
  private void changeVoters(ChannelHandlerContext context, FleetRequest.ChangeVoters request) {
    RaftNode node = lifecycle.node();
    String objection =
        node == null || !leader.isServing()
            ? voterName + " does not lead"
            : objection(request, node.members());
    if (!objection.isEmpty()) {
      send(context, new FleetReply.Refused(objection));
      return;
    }
    CompletableFuture<byte[]> change =
        node.submit(new RaftCommand.ForgetVoterFolder(request.voter()))
            .thenCompose(answer -> node.changeMember(request.voter(), request.add()));
    change
        .orTimeout(CHANGE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .whenComplete(
            (answer, fault) ->
                sendLater(
                    context,
                    fault == null
                        ? new FleetReply.Accepted()
                        : new FleetReply.Undecided("no majority answered: " + fault)));
  }

  /** Empty where there is none. */
  private String objection(FleetRequest.ChangeVoters request, List<String> members) {
    String voter = request.voter();
    if (!isPeer(voter)) {
      return noPeer(voter);
    }
    if (request.add() == members.contains(voter)) {
      return voter + (request.add() ? " votes already" : " does not vote");
    }
    if (!request.add() && voter.equals(voterName)) {
      return voterName + " leads: stop it first, so that another does";
    }
    return !request.add() && members.size() == 1 ? voter + " is the only one" : "";
  }

  private void recoverInBackground(ChannelHandlerContext context, FleetRequest.Recover request) {
    Thread recovery = new Thread(() -> recover(context, request), "voter-recovery");
    recovery.setDaemon(true);
    recovery.start();
  }

  @SuppressWarnings("IllegalCatch") // The last guard of its thread; JGroups declares Exception.
  private void recover(ChannelHandlerContext context, FleetRequest.Recover request) {
    String objection;
    try {
      objection = lifecycle.recover(request);
    } catch (Exception fault) {
      objection = "" + fault;
    }
    sendLater(context, reply(objection));
  }
}
