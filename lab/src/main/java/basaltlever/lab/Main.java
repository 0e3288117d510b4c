package basaltlever.lab;

import basaltlever.lab.endtoend.Soak;
import basaltlever.lab.fleet.FleetSimulation;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.Map;

/**
 * The laboratory's command line. The exit code is 0 if all checks of the command passed, 1 if one
 * failed and 2 for invalid input.
 */
public final class Main {
  private static final int EXIT_USAGE = 2;

  private Main() {}

  @Parameters(commandDescription = "Prints this help")
  private static final class Help {}

  @Parameters(hidden = true, commandDescription = "Forwards bytes without routing, for run relay")
  private static final class ByteRelay {
    @Parameter(names = "--port", required = true)
    private int port;

    @Parameter(names = "--to", required = true)
    private int targetPort;
  }

  public static void main(String[] args) throws Exception {
    KillStateCommand killState = new KillStateCommand();
    KillStateCommand.StateWriter stateWriter = new KillStateCommand.StateWriter();
    RestartPairedCommand restartPaired = new RestartPairedCommand();
    ViewCostCommand viewCost = new ViewCostCommand();
    RunCommand run = new RunCommand();
    BuiltInScenarios scenarios = new BuiltInScenarios();
    CompareCommand compare = new CompareCommand();
    PairedPlaysCommand pairedPlays = new PairedPlaysCommand();
    FleetSimulation fleetScale = new FleetSimulation();
    DemoCommand demo = new DemoCommand();
    ArchiveCommand archive = new ArchiveCommand();
    Soak soak = new Soak();
    ByteRelay byteRelay = new ByteRelay();
    JCommander commandLine =
        JCommander.newBuilder()
            .programName("basaltlever-lab")
            .addCommand("kill-state", killState)
            .addCommand("write-views", stateWriter)
            .addCommand("restart-paired", restartPaired)
            .addCommand("view-cost", viewCost)
            .addCommand("run", run)
            .addCommand("list", scenarios)
            .addCommand("compare", compare)
            .addCommand("paired-plays", pairedPlays)
            .addCommand("fleet-scale", fleetScale)
            .addCommand("demo", demo)
            .addCommand("archive", archive)
            .addCommand("soak", soak)
            .addCommand("bare", byteRelay)
            .addCommand("help", new Help())
            .build();
    try {
      commandLine.parse(args);
    } catch (ParameterException e) {
      System.err.println("basaltlever-lab: " + e.getMessage());
      System.exit(EXIT_USAGE);
    }
    String command = commandLine.getParsedCommand();
    switch (command == null ? "" : command) {
      case "kill-state" -> System.exit(killState.run());
      case "write-views" -> stateWriter.run();
      case "restart-paired" -> System.exit(restartPaired.run());
      case "view-cost" -> System.exit(viewCost.run());
      case "run" -> System.exit(run.run());
      case "list" -> scenarios.run();
      case "compare" -> System.exit(compare.run());
      case "paired-plays" -> System.exit(pairedPlays.run());
      case "fleet-scale" -> {
        boolean passed = true;
        for (Map<String, Object> figures : fleetScale.run()) {
          FiguresWriter.publish(figures, null);
          passed &= figures.get("contradictions").equals(0);
        }
        System.exit(passed ? 0 : 1);
      }
      case "bare" -> basaltlever.lab.sockets.TcpForwarder.run(byteRelay.port, byteRelay.targetPort);
      case "demo" -> System.exit(demo.run());
      case "soak" -> System.exit(soak.run(figures -> FiguresWriter.publish(figures, null)));
      case "archive" -> System.exit(archive.run());
      case "help" -> commandLine.usage();
      default -> {
        commandLine.usage();
        System.exit(EXIT_USAGE);
      }
    }
  }
}
