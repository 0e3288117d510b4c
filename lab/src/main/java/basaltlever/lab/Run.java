package basaltlever.lab;

import basaltlever.config.InvalidSettingsException;
import basaltlever.lab.endtoend.DayOptions;
import basaltlever.lab.endtoend.InvalidOption;
import basaltlever.lab.endtoend.ManyServers;
import basaltlever.lab.endtoend.NewClientsDay;
import basaltlever.lab.endtoend.NewClientsOptions;
import basaltlever.lab.fleet.AgreementRun;
import basaltlever.lab.report.Report;
import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.sockets.SocketRun;
import basaltlever.lab.virtual.VirtualRun;
import basaltlever.lab.world.World;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Plays scenarios: exit 0 where all that they expect held, 1 with what did not, 2 for bad input.
 */
@Parameters(commandDescription = "Plays a scenario and says whether all that it expects held")
final class Run {
  @Parameter(description = "SCENARIO (a name that list tells, or a file.ini)", required = true)
  private String name;

  @Parameter(names = "--seed", description = "of all chance")
  private long seed = 1;

  @Parameter(names = "--seeds", description = "how many runs, each with the next seed")
  private int seeds = 1;

  @Parameter(names = "--seconds", description = "how long statements arrive")
  private Integer seconds;

  @Parameter(
      names = "--set",
      description = "KEY=VALUE of [run], or SECTION.KEY=VALUE; may be repeated")
  private List<String> settings = new ArrayList<>();

  @Parameter(names = "--json", description = "file for the figures")
  private String json;

  @Parameter(names = "--report", description = "folder for a page with charts")
  private String report;

  @Parameter(names = "--router-jar", description = "another build of the router, to compare with")
  private Path jar;

  @Parameter(
      names = "--operator",
      description =
          "operator's file text for the routers, as KEY=VALUE of a section:"
              + " SECTION.KEY=VALUE; may be repeated")
  private List<String> operator = new ArrayList<>();

  @Parameter(
      names = "--logs",
      description = "folder for the routers' logs (many-servers, new-clients)")
  private Path logs;

  @Parameter(
      names = "--follow",
      description = "milliseconds: lives of longer statements are logged (new-clients)")
  private long follow;

  @ParametersDelegate private final Relay relay = new Relay();

  int run() throws Exception {
    if (name.equals("relay")) {
      return relay.run(jar, json);
    }
    if (name.equals("many-servers")) {
      return manyServers();
    }
    if (name.equals("new-clients")) {
      return newClients();
    }
    Scenario scenario;
    try {
      List<String> all = new ArrayList<>(settings);
      if (seconds != null) {
        all.add("seconds=" + seconds);
      }
      scenario = Scenario.read(Scenario.text(name), all);
    } catch (Scenario.Fault fault) {
      System.err.println(
          "basaltlever-lab: " + fault.getMessage().replace("\n", "\nbasaltlever-lab: "));
      return 2;
    }
    List<Object> runs = new ArrayList<>();
    boolean held = true;
    Map<String, Object> last = Map.of();
    for (int i = 0; i < seeds; i++) {
      last = play(scenario, seed + i);
      held &= ((List<?>) last.get("broken")).isEmpty();
      runs.add(last);
    }
    Map<String, Object> told =
        seeds == 1 ? last : new LinkedHashMap<>(Map.of("scenario", name, "runs", runs));
    Figures.tell(told, json);
    return held ? 0 : 1;
  }

  private int manyServers() throws Exception {
    try {
      List<String> all = new ArrayList<>(settings);
      if (seconds != null) {
        all.add("seconds=" + seconds);
      }
      DayOptions day = DayOptions.parse(all);
      Map<String, Object> figures = new LinkedHashMap<>();
      figures.put("scenario", name);
      figures.put("seed", seed);
      figures.putAll(ManyServers.compare(day, seed, jar, logs));
      Figures.tell(figures, json);
      return ((List<?>) figures.get("broken")).isEmpty() ? 0 : 1;
    } catch (InvalidOption fault) {
      System.err.println("basaltlever-lab: " + fault.getMessage());
      return 2;
    }
  }

  private int newClients() throws Exception {
    boolean held = true;
    for (int i = 0; i < seeds; i++) {
      try (NewClientsDay day =
          new NewClientsDay(NewClientsOptions.parse(settings), seed + i, jar)) {
        if (follow > 0) {
          day.follow(follow);
        }
        Map<String, Object> figures = day.play();
        figures.put("seed", seed + i);
        Figures.tell(figures, json);
        held &= ((List<?>) figures.get("broken")).isEmpty();
        if (logs != null) {
          day.copyLogs(Files.createDirectories(logs.resolve("seed-" + (seed + i))));
        }
      } catch (InvalidOption fault) {
        System.err.println("basaltlever-lab: " + fault.getMessage());
        return 2;
      }
    }
    return held ? 0 : 1;
  }

  private Map<String, Object> play(Scenario scenario, long own) throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("scenario", name);
    figures.put("seed", own);
    World world;
    if (scenario.virtual) {
      try {
        VirtualRun run = new VirtualRun(scenario, own);
        figures.putAll(run.play());
        world = run.world();
      } catch (InvalidSettingsException fault) {
        throw new IllegalStateException(fault);
      }
    } else if (scenario.count("voters") > 0) {
      try (AgreementRun run =
          new AgreementRun(scenario, own, jar, operatorText(scenario.changes))) {
        figures.putAll(run.play());
        world = run.world();
      }
    } else {
      try (SocketRun run = new SocketRun(scenario, own, jar, operatorText(scenario.changes))) {
        figures.putAll(run.play());
        world = run.world();
        if (!run.routers().stream().allMatch(router -> router.process().isAlive())) {
          System.err.println(run.routers().get(0).log());
        }
      }
    }
    List<String> broken = scenario.broken(figures);
    figures.put("broken", broken);
    figures.put("told", world.ledger.told());
    if (report != null) {
      Report.write(
          Path.of(report), scenario.title.isEmpty() ? name : scenario.title, figures, world);
    }
    return figures;
  }

  private String operatorText(boolean asks) {
    // An older build knows nothing of the table.
    StringBuilder text =
        new StringBuilder(asks && jar == null ? "[change]\ntable = " + SocketRun.TABLE + "\n" : "");
    // Each router has a folder of its own, for the days on which one is started again.
    text.append(jar == null ? "[state]\nfolder = {folder}\nperiod_ms = 500\n" : "");
    for (String setting : operator) {
      int dot = setting.indexOf('.');
      text.append('[')
          .append(setting, 0, dot)
          .append("]\n")
          .append(setting.substring(dot + 1))
          .append('\n');
    }
    return text.toString();
  }
}
