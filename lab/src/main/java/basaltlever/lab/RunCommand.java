package basaltlever.lab;

import basaltlever.config.InvalidSettingsException;
import basaltlever.lab.endtoend.InvalidOptionException;
import basaltlever.lab.endtoend.ManyServers;
import basaltlever.lab.endtoend.NewClientsOptions;
import basaltlever.lab.endtoend.NewClientsRun;
import basaltlever.lab.endtoend.RunOptions;
import basaltlever.lab.fleet.AgreementRun;
import basaltlever.lab.report.HtmlReport;
import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.sockets.SocketRun;
import basaltlever.lab.virtual.VirtualRun;
import basaltlever.lab.world.SimulatedCluster;
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
 * Runs a scenario. The exit code is 0 if all its expectations were met, 1 if one was not and 2 for
 * invalid input.
 */
@Parameters(commandDescription = "Runs a scenario and checks its expectations")
final class RunCommand {
  @Parameter(description = "SCENARIO (a name printed by list, or a file.ini)", required = true)
  private String name;

  @Parameter(names = "--seed", description = "random seed")
  private long seed = 1;

  @Parameter(names = "--seeds", description = "number of runs, with consecutive seeds")
  private int runCount = 1;

  @Parameter(names = "--seconds", description = "duration of the workload")
  private Integer seconds;

  @Parameter(
      names = "--set",
      description = "KEY=VALUE of [run], or SECTION.KEY=VALUE; may be repeated")
  private List<String> settings = new ArrayList<>();

  @Parameter(names = "--json", description = "output file for the figures")
  private String figuresFile;

  @Parameter(names = "--report", description = "output folder for a page with charts")
  private String reportPath;

  @Parameter(names = "--router-jar", description = "another build of the router, for comparison")
  private Path jar;

  @Parameter(
      names = "--operator",
      description =
          "setting for the operator file of the routers:" + " SECTION.KEY=VALUE; may be repeated")
  private List<String> operatorSettings = new ArrayList<>();

  @Parameter(
      names = "--logs",
      description = "folder for the routers' logs (many-servers, new-clients)")
  private Path logFolder;

  @Parameter(
      names = "--follow",
      description =
          "milliseconds: the course of statements that take longer is logged (new-clients)")
  private long traceMillis;

  @ParametersDelegate private final RelayBenchmark relayBenchmark = new RelayBenchmark();

  int run() throws Exception {
    if (name.equals("relay")) {
      return relayBenchmark.run(jar, figuresFile);
    }
    if (name.equals("many-servers")) {
      return runManyServers();
    }
    if (name.equals("new-clients")) {
      return runNewClients();
    }
    Scenario scenario;
    try {
      List<String> overrides = new ArrayList<>(settings);
      if (seconds != null) {
        overrides.add("seconds=" + seconds);
      }
      scenario = Scenario.parse(Scenario.readText(name), overrides);
    } catch (Scenario.InvalidScenarioException e) {
      System.err.println("basaltlever-lab: " + e.getMessage().replace("\n", "\nbasaltlever-lab: "));
      return 2;
    }
    List<Object> runs = new ArrayList<>();
    boolean passed = true;
    Map<String, Object> lastFigures = Map.of();
    for (int i = 0; i < runCount; i++) {
      lastFigures = playScenario(scenario, seed + i);
      passed &= ((List<?>) lastFigures.get("broken")).isEmpty();
      runs.add(lastFigures);
    }
    Map<String, Object> output =
        runCount == 1 ? lastFigures : new LinkedHashMap<>(Map.of("scenario", name, "runs", runs));
    FiguresWriter.publish(output, figuresFile);
    return passed ? 0 : 1;
  }

  private int runManyServers() throws Exception {
    try {
      List<String> overrides = new ArrayList<>(settings);
      if (seconds != null) {
        overrides.add("seconds=" + seconds);
      }
      RunOptions options = RunOptions.parse(overrides);
      Map<String, Object> figures = new LinkedHashMap<>();
      figures.put("scenario", name);
      figures.put("seed", seed);
      figures.putAll(ManyServers.compareWithBaseline(options, seed, jar, logFolder));
      FiguresWriter.publish(figures, figuresFile);
      return ((List<?>) figures.get("broken")).isEmpty() ? 0 : 1;
    } catch (InvalidOptionException e) {
      System.err.println("basaltlever-lab: " + e.getMessage());
      return 2;
    }
  }

  private int runNewClients() throws Exception {
    boolean passed = true;
    for (int i = 0; i < runCount; i++) {
      try (NewClientsRun run =
          new NewClientsRun(NewClientsOptions.parse(settings), seed + i, jar)) {
        if (traceMillis > 0) {
          run.traceStatementsLongerThan(traceMillis);
        }
        Map<String, Object> figures = run.run();
        figures.put("seed", seed + i);
        FiguresWriter.publish(figures, figuresFile);
        passed &= ((List<?>) figures.get("broken")).isEmpty();
        if (logFolder != null) {
          run.copyLogs(Files.createDirectories(logFolder.resolve("seed-" + (seed + i))));
        }
      } catch (InvalidOptionException e) {
        System.err.println("basaltlever-lab: " + e.getMessage());
        return 2;
      }
    }
    return passed ? 0 : 1;
  }

  private Map<String, Object> playScenario(Scenario scenario, long runSeed) throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("scenario", name);
    figures.put("seed", runSeed);
    SimulatedCluster cluster;
    if (scenario.virtualTime) {
      try {
        VirtualRun run = new VirtualRun(scenario, runSeed);
        figures.putAll(run.runScenario());
        cluster = run.cluster();
      } catch (InvalidSettingsException e) {
        throw new IllegalStateException(e);
      }
    } else if (scenario.count("voters") > 0) {
      try (AgreementRun run =
          new AgreementRun(scenario, runSeed, jar, operatorText(scenario.usesChangeTable))) {
        figures.putAll(run.run());
        cluster = run.cluster();
      }
    } else {
      try (SocketRun run =
          new SocketRun(scenario, runSeed, jar, operatorText(scenario.usesChangeTable))) {
        figures.putAll(run.runScenario());
        cluster = run.cluster();
        if (!run.routers().stream().allMatch(router -> router.process().isAlive())) {
          System.err.println(run.routers().get(0).readLog());
        }
      }
    }
    List<String> violations = scenario.violations(figures);
    figures.put("broken", violations);
    figures.put("told", cluster.checker.findings());
    if (reportPath != null) {
      HtmlReport.write(
          Path.of(reportPath), scenario.title.isEmpty() ? name : scenario.title, figures, cluster);
    }
    return figures;
  }

  private String operatorText(boolean usesChangeTable) {
    // Another build may be too old to support the change table.
    StringBuilder text =
        new StringBuilder(
            usesChangeTable && jar == null
                ? "[change]\ntable = " + SocketRun.ANNOUNCEMENT_TABLE + "\n"
                : "");
    // Each router has its own state folder, so that a restarted router finds its snapshots.
    text.append(jar == null ? "[state]\nfolder = {folder}\nperiod_ms = 500\n" : "");
    for (String setting : operatorSettings) {
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
