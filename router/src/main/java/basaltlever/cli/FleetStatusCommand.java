package basaltlever.cli;

import basaltlever.cli.FleetClient.VoterStatus;
import basaltlever.config.InvalidSettingsException;
import basaltlever.fleet.StatusReport;
import basaltlever.fleet.StatusReport.ForkStatus;
import basaltlever.fleet.StatusReport.RouterStatus;
import basaltlever.membership.GroupAssignment;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Shows the routers of the fleet, with each one's version, lease and endpoint list. */
final class FleetStatusCommand {
  private static final String HEADER =
      "%-16s %8s %9s %9s %9s %10s %-9s %s"
          .formatted(
              "router", "version", "keeps to", "lease ms", "heard ms", "list", "is", "turned down");

  private final FleetOptions.FleetStatus options;
  private final PrintStream out;

  FleetStatusCommand(FleetOptions.FleetStatus options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  int run() throws CommandException, InvalidSettingsException, IOException {
    FleetClient client = FleetClient.of(options);
    VoterStatus leader = client.leaderStatus();
    CommandOutput.print(
        out,
        options,
        leader.json(List.of("leads", "standing", "peers", "forks", "moving", "era")),
        text(leader.status(), client.settings().peers().keySet()) + leader.source());
    return ExitCode.OK;
  }

  private static String text(StatusReport status, Collection<String> routers) {
    Map<String, RouterStatus> heard = new TreeMap<>();
    status.routers().forEach(peer -> heard.put(peer.name(), peer));
    StringBuilder text = new StringBuilder(HEADER);
    for (String router : routers) {
      RouterStatus peer = heard.get(router);
      text.append("\n")
          .append(peer == null ? "%-16s is not there".formatted(router) : describe(peer));
    }
    for (ForkStatus fork : status.forks()) {
      text.append("\ndiscovery tells two things as generation ")
          .append(fork.generation())
          .append(": ")
          .append(fork.holders());
    }
    for (GroupAssignment assignment : status.pendingAssignments()) {
      text.append("\n")
          .append(assignment.endpoint())
          .append(" moves to group ")
          .append(assignment.group())
          .append(": not used until every router has let go of it");
    }
    return text.toString();
  }

  private static String describe(RouterStatus peer) {
    return "%-16s %8d %9d %9d %9d %10d %-9s %s"
        .formatted(
            peer.name(),
            peer.inForce(),
            peer.acknowledged(),
            peer.leaseMillis(),
            peer.millisSinceHeartbeat(),
            peer.generation(),
            peer.listState(),
            peer.rejectionReason());
  }
}
