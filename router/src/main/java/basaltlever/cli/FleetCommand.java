package basaltlever.cli;

import basaltlever.config.InvalidSettingsException;
import com.beust.jcommander.JCommander;
import java.io.IOException;
import java.io.PrintStream;

/**
 * The commands {@code settings} and {@code fleet}, which send requests to the voters of a fleet.
 */
final class FleetCommand {
  private static final String FLEET = "fleet";

  private final FleetOptions.Propose propose = new FleetOptions.Propose();
  private final FleetOptions.Revert revert = new FleetOptions.Revert();
  private final FleetOptions.SettingsStatus settingsStatus = new FleetOptions.SettingsStatus();
  private final FleetOptions.History history = new FleetOptions.History();
  private final FleetOptions.Diff diff = new FleetOptions.Diff();
  private final FleetOptions.FleetStatus fleetStatus = new FleetOptions.FleetStatus();
  private final FleetOptions.Voters voters = new FleetOptions.Voters();
  private final FleetOptions.Recover recover = new FleetOptions.Recover();
  private JCommander settings;
  private JCommander fleet;

  /** Adds the subcommands to those of the program. */
  void addTo(JCommander main) {
    settings = main.getCommands().get("settings");
    settings.addCommand("propose", propose);
    settings.addCommand("revert", revert);
    settings.addCommand("status", settingsStatus);
    settings.addCommand("history", history);
    settings.addCommand("diff", diff);
    fleet = main.getCommands().get(FLEET);
    fleet.addCommand("status", fleetStatus);
    fleet.addCommand("voters", voters);
    fleet.addCommand("recover", recover);
  }

  /** Runs the subcommand of {@code settings} or {@code fleet}; returns the exit code. */
  int run(String command, PrintStream out, PrintStream err) {
    try {
      return command.equals(FLEET) ? runFleet(out) : runSettings(out);
    } catch (CommandException fault) {
      err.println("basaltlever: " + fault.getMessage());
      return fault.exitCode();
    } catch (InvalidSettingsException fault) {
      err.println("basaltlever: " + fault.getMessage().replace("\n", "\nbasaltlever: "));
      return ExitCode.MISUSED;
    } catch (IOException fault) {
      err.println("basaltlever: " + fault.getMessage());
      return ExitCode.REFUSED;
    } catch (InterruptedException ended) {
      return ExitCode.REFUSED;
    }
  }

  private int runFleet(PrintStream out)
      throws CommandException, InvalidSettingsException, IOException, InterruptedException {
    String subcommand = fleet.getParsedCommand();
    if (subcommand == null) {
      throw new CommandMisusedException("fleet takes status, voters or recover");
    }
    return switch (subcommand) {
      case "voters" -> new VotersCommand(voters, out).run();
      case "recover" -> new RecoverCommand(recover, out).run();
      default -> new FleetStatusCommand(fleetStatus, out).run();
    };
  }

  private int runSettings(PrintStream out)
      throws CommandException, InvalidSettingsException, IOException, InterruptedException {
    String subcommand = settings.getParsedCommand();
    if (subcommand == null) {
      throw new CommandMisusedException("settings takes propose, revert, status, history or diff");
    }
    return switch (subcommand) {
      case "propose" -> new ProposeCommand(propose, out).proposeFile();
      case "revert" -> new ProposeCommand(revert, out).proposeEarlierVersion();
      case "status" -> new SettingsStatusCommand(settingsStatus, out).run();
      case "diff" -> new DiffCommand(diff, out).run();
      default -> new HistoryCommand(history, out).run();
    };
  }
}
