package basaltlever.cli;

import basaltlever.cli.FleetClient.VoterStatus;
import basaltlever.config.InvalidSettingsException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

/** Prints the version in force and the one that is being brought into force. */
final class SettingsStatusCommand {
  private final FleetOptions.SettingsStatus options;
  private final PrintStream out;

  SettingsStatusCommand(FleetOptions.SettingsStatus options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  int run() throws CommandException, InvalidSettingsException, IOException {
    VoterStatus leader = FleetClient.of(options).leaderStatus();
    CommandOutput.print(
        out,
        options,
        leader.json(List.of("leads", "standing", "force", "prepared")),
        "in force: "
            + FleetClient.describe(leader.status().inForce())
            + "\non its way: "
            + FleetClient.describe(leader.status().prepared())
            + leader.sourceLine());
    return ExitCode.OK;
  }
}
