package basaltlever.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/**
 * Parses the arguments and runs the command that they name. The parser loads all types in the
 * method signatures of a command's class, so each command that needs {@link OperatorLibraries} is
 * wrapped in a class whose methods refer to none of them.
 */
final class CommandLine {
  private final JCommander parser = JCommander.newBuilder().programName("basaltlever").build();
  private final Map<String, Command> commands = new HashMap<>();
  private final String[] arguments;

  CommandLine(String[] arguments) {
    this.arguments = arguments;
    add("serve", new ServeCommand());
    if (arguments.length == 0 || !arguments[0].equals("serve")) {
      // The parser scans each command by reflection, which would delay the start of a router.
      addOthers();
    }
  }

  private void addOthers() {
    StateCommand state = new StateCommand();
    SwitchCommand switchover = new SwitchCommand();
    FleetCommand fleet = new FleetCommand();
    add("check", new CheckCommand());
    add("rehearse", new RehearseCommand());
    add("adapter", new AdapterCommand());
    add("state", new StateGroup(state));
    add("switch", new SwitchGroup(switchover));
    add("settings", new SettingsGroup(fleet));
    add("fleet", new FleetGroup(fleet));
    add("version", new VersionCommand());
    add("help", new HelpCommand(parser));
    state.addTo(parser);
    switchover.addTo(parser);
    fleet.addTo(parser);
  }

  private void add(String name, Command command) {
    parser.addCommand(name, command);
    commands.put(name, command);
  }

  /** Runs the command and returns its exit code. */
  int run(PrintStream out, PrintStream err) throws IOException, InterruptedException {
    try {
      parser.parse(arguments);
    } catch (ParameterException fault) {
      err.println("basaltlever: " + fault.getMessage());
      parser.usage();
      return ExitCode.MISUSED;
    }
    Command command = commands.get(parser.getParsedCommand());
    if (command == null) {
      parser.usage();
      return ExitCode.MISUSED;
    }
    if (command.needsOperatorLibraries() && !OperatorLibraries.areLoadable()) {
      OperatorLibraries.mainWith(arguments);
      return ExitCode.OK;
    }
    return command.run(out, err);
  }

  @Parameters(commandDescription = "Stored snapshots of a router: state show, verify, diff")
  private record StateGroup(StateCommand state) implements Command {
    @Override
    public boolean needsOperatorLibraries() {
      return true;
    }

    @Override
    public int run(PrintStream out, PrintStream err) throws IOException {
      return state.run(out, err);
    }
  }

  @Parameters(commandDescription = "Planned switchovers: switch announce, status, cancel")
  private record SwitchGroup(SwitchCommand switchover) implements Command {
    @Override
    public int run(PrintStream out, PrintStream err) {
      return switchover.run(out, err);
    }
  }

  @Parameters(
      commandDescription = "Versions of a fleet's settings: propose, revert, status, history, diff")
  private record SettingsGroup(FleetCommand fleet) implements Command {
    @Override
    public boolean needsOperatorLibraries() {
      return true;
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
      return fleet.run("settings", out, err);
    }
  }

  @Parameters(commandDescription = "Routers and voters of a fleet: fleet status, voters, recover")
  private record FleetGroup(FleetCommand fleet) implements Command {
    @Override
    public boolean needsOperatorLibraries() {
      return true;
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
      return fleet.run("fleet", out, err);
    }
  }

  @Parameters(commandDescription = "Prints the version")
  private static final class VersionCommand implements Command {
    @Override
    public int run(PrintStream out, PrintStream err) {
      out.println("basaltlever " + Main.class.getPackage().getImplementationVersion());
      return ExitCode.OK;
    }
  }

  @Parameters(commandDescription = "Prints this page")
  private static final class HelpCommand implements Command {
    private final JCommander parser;

    private HelpCommand(JCommander parser) {
      this.parser = parser;
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
      parser.usage();
      return ExitCode.OK;
    }
  }
}
