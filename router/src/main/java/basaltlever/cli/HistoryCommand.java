package basaltlever.cli;

import basaltlever.config.InvalidSettingsException;
import basaltlever.fleet.StatusCodec;
import basaltlever.fleet.StatusReport;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Shows what became of the latest versions. */
final class HistoryCommand {
  private final FleetOptions.History options;
  private final PrintStream out;

  HistoryCommand(FleetOptions.History options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  int run() throws CommandException, InvalidSettingsException, IOException {
    List<StatusReport.VersionStatus> lines =
        FleetClient.of(options).leaderStatus().status().history();
    String text = lines.stream().map(HistoryCommand::describe).collect(Collectors.joining("\n"));
    CommandOutput.print(
        out,
        options,
        Map.of("history", lines.stream().map(StatusCodec::encode).toList()),
        text.isEmpty() ? "none was proposed yet" : text);
    return ExitCode.OK;
  }

  private static String describe(StatusReport.VersionStatus line) {
    return line.outcome()
        + " "
        + FleetClient.describe(line.version().version())
        + (line.reason().isEmpty() ? "" : " (" + line.reason() + ")");
  }
}
