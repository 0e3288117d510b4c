package basaltlever.lab;

import basaltlever.lab.endtoend.Soak;
import basaltlever.lab.fleet.FleetScale;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.Map;

/**
 * The laboratory's command line. Exit 0 where all that was stated held, 1 where not, 2 for bad
 * input.
 */
public final class Main {
  private static final int MISUSED = 2;

  private Main() {}

  @Parameters(commandDescription = "Prints this page")
  private static final class Help {}

  @Parameters(hidden = true, commandDescription = "Passes bytes on, for run relay")
  private static final class BareRelay {
    @Parameter(names = "--port", required = true)
    private int port;

    @Parameter(names = "--to", required = true)
    private int to;
  }

  public static void main(String[] args) throws Exception {
    KillState killState = new KillState();
    KillState.Writer writer = new KillState.Writer();
    RestartPaired restartPaired = new RestartPaired();
    ViewCost viewCost = new ViewCost();
    Run run = new Run();
    Scenarios list = new Scenarios();
    Compare compare = new Compare();
    PairedPlays pairedPlays = new PairedPlays();
    FleetScale fleetScale = new FleetScale();
    Demo demo = new Demo();
    Archive archive = new Archive();
    Soak soak = new Soak();
    BareRelay bare = new BareRelay();
    JCommander line =
        JCommander.newBuilder()
            .programName("basaltlever-lab")
            .addCommand("kill-state", killState)
            .addCommand("write-views", writer)
            .addCommand("restart-paired", restartPaired)
            .addCommand("view-cost", viewCost)
            .addCommand("run", run)
            .addCommand("list", list)
            .addCommand("compare", compare)
            .addCommand("paired-plays", pairedPlays)
            .addCommand("fleet-scale", fleetScale)
            .addCommand("demo", demo)
            .addCommand("archive", archive)
            .addCommand("soak", soak)
            .addCommand("bare", bare)
            .addCommand("help", new Help())
            .build();
    try {
      line.parse(args);
    } catch (ParameterException fault) {
      System.err.println("basaltlever-lab: " + fault.getMessage());
      System.exit(MISUSED);
    }
    String command = line.getParsedCommand();
    switch (command == null ? "" : command) {
      case "kill-state" -> System.exit(killState.run());
      case "write-views" -> writer.run();
      case "restart-paired" -> System.exit(restartPaired.run());
      case "view-cost" -> System.exit(viewCost.run());
      case "run" -> System.exit(run.run());
      case "list" -> list.run();
      case "compare" -> System.exit(compare.run());
      case "paired-plays" -> System.exit(pairedPlays.run());
      case "fleet-scale" -> {
        boolean kept = true;
        for (Map<String, Object> told : fleetScale.play()) {
          Figures.tell(told, null);
          kept &= told.get("contradictions").equals(0);
        }
        System.exit(kept ? 0 : 1);
      }
      case "bare" -> basaltlever.lab.sockets.Bare.run(bare.port, bare.to);
      case "demo" -> System.exit(demo.run());
      case "soak" -> System.exit(soak.run(figures -> Figures.tell(figures, null)));
      case "archive" -> System.exit(archive.run());
      case "help" -> line.usage();
      default -> {
        line.usage();
        System.exit(MISUSED);
      }
    }
  }
}
