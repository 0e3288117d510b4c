package basaltlever.cli;

import basaltlever.config.InvalidSettingsException;
import basaltlever.fleet.FleetRequest;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;

/** Starts a new configuration epoch at one voter after the majority is permanently lost. */
final class RecoverCommand {
  private static final long START_TIMEOUT_MILLIS = 15_000;

  private final FleetOptions.Recover options;
  private final PrintStream out;

  RecoverCommand(FleetOptions.Recover options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  /** Starts the epoch at the remaining voter with the most recent register. */
  int run() throws CommandException, InvalidSettingsException, IOException, InterruptedException {
    FleetClient client = FleetClient.of(options);
    for (String voter : options.endedVoters) {
      if (!client.settings().peers().containsKey(voter)) {
        throw new CommandMisusedException(
            "--ended names " + voter + ", which fleet.peers does not");
      }
    }
    String fleet = client.settings().name();
    String remaining = FleetClient.mostUpToDate(client.queryAllVoters());
    if (remaining == null) {
      throw new CommandRefusedException(
          "no voter of fleet " + fleet + " answers: one has to be left, with its folder");
    }
    client.execute(
        remaining,
        new FleetRequest.Recover(
            fleet, options.epoch, options.endedVoters, options.requester, options.reason));
    awaitLeader(client, remaining);
    CommandOutput.print(
        out,
        options,
        Map.of("charter", options.epoch, "voter", remaining),
        "charter "
            + options.epoch
            + " has begun: "
            + remaining
            + " leads, and votes alone: take others in with fleet voters --add NAME");
    return ExitCode.OK;
  }

  private void awaitLeader(FleetClient client, String voter)
      throws CommandRefusedException, IOException, InterruptedException {
    Deadline deadline = Deadline.inMillis(START_TIMEOUT_MILLIS);
    while (!deadline.isOver()) {
      if (client.leads(voter, options.epoch)) {
        return;
      }
      Thread.sleep(Deadline.POLL_INTERVAL_MILLIS);
    }
    throw new CommandRefusedException(
        "charter "
            + options.epoch
            + " is "
            + voter
            + "'s, which does not lead yet: see fleet voters");
  }
}
