package basaltlever.cli;

import basaltlever.cli.FleetClient.VoterStatus;
import basaltlever.config.InvalidSettingsException;
import basaltlever.fleet.FleetRequest;
import basaltlever.fleet.StatusCodec;
import basaltlever.fleet.StatusReport;
import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import basaltlever.settings.SettingsVersion;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Proposes settings and waits for what becomes of them. */
final class ProposeCommand {
  private final FleetOptions.Propose options;
  private final PrintStream out;

  ProposeCommand(FleetOptions.Propose options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  /** Proposes the settings of a file. */
  int proposeFile()
      throws CommandException, InvalidSettingsException, IOException, InterruptedException {
    if (options.files.size() != 1) {
      throw new CommandMisusedException("propose takes one file");
    }
    return propose(readSettings(options.files.get(0)));
  }

  /** Proposes the settings of an earlier version. */
  int proposeEarlierVersion()
      throws CommandException, InvalidSettingsException, IOException, InterruptedException {
    List<String> numbers = options.files;
    if (numbers.size() != 1) {
      throw new CommandMisusedException("revert takes the number of one version");
    }
    StatusReport status = FleetClient.of(options).leaderStatus().status();
    return propose(FleetClient.text(status, FleetClient.versionNumber("revert", numbers.get(0))));
  }

  private static String readSettings(String file) throws CommandMisusedException, IOException {
    try {
      String text = Files.readString(Path.of(file));
      if (!(Json.read(text) instanceof Map<?, ?> tree)) {
        throw new CommandMisusedException(file + " is no JSON object");
      }
      // A whole start file is taken for its settings.
      return CommandOutput.json(
          tree.get("settings") instanceof Map<?, ?> settings ? settings : tree);
    } catch (InvalidJsonException fault) {
      throw new CommandMisusedException(file + " is no JSON: " + fault.getMessage());
    } catch (NoSuchFileException missing) {
      throw new CommandMisusedException(file + " is missing");
    }
  }

  private int propose(String text)
      throws CommandException, InvalidSettingsException, IOException, InterruptedException {
    FleetClient client = FleetClient.of(options);
    VoterStatus before = client.leaderStatus();
    long basis = options.basis >= 0 ? options.basis : before.status().inForce().number();
    client.execute(
        before.voter(),
        new FleetRequest.Propose(client.settings().name(), basis, text, options.who, options.why));
    Deadline deadline = Deadline.inMillis(options.waitMillis);
    while (!deadline.isOver()) {
      if (isInForce(client.leaderStatus().status(), basis)) {
        return ExitCode.OK;
      }
      Thread.sleep(Deadline.POLL_INTERVAL_MILLIS);
    }
    throw new CommandRefusedException(
        "it was taken, and neither came into force nor was withdrawn in "
            + options.waitMillis
            + " ms: see settings status");
  }

  /** Prints the version once it is in force, and throws where it was withdrawn. */
  private boolean isInForce(StatusReport status, long basis)
      throws CommandRefusedException, IOException {
    for (StatusReport.VersionStatus line : status.history()) {
      SettingsVersion version = line.version().version();
      boolean own =
          version.proposer().equals(options.who)
              && version.reason().equals(options.why)
              && version.number() > basis;
      if (own && line.outcome().equals("IN_FORCE")) {
        CommandOutput.print(
            out, options, StatusCodec.encode(line), "version " + version.number() + " is in force");
        return true;
      }
      if (own && line.outcome().equals("WITHDRAWN")) {
        throw new CommandRefusedException(
            "version " + version.number() + " was withdrawn: " + line.reason());
      }
    }
    return false;
  }
}
