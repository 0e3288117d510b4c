package basaltlever.lab.virtual;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartFile;
import basaltlever.config.StartValues;
import basaltlever.lab.load.LoadGenerator;
import basaltlever.lab.load.StatementTransport;
import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.world.FaultInjector;
import basaltlever.lab.world.SimulatedCluster;
import basaltlever.lab.world.Statement;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Runs a scenario in virtual time, at sizes that sockets can't reach. Runs with the same seed are
 * identical.
 */
public final class VirtualRun {
  /** The time for routers to discover and poll the servers before the load starts. */
  private static final Span STARTUP_DURATION = Span.ofMillis(1_000);

  /** The time for late responses after the load has ended. */
  private static final Span COMPLETION_TIME = Span.ofMillis(4_000);

  private final Scenario scenario;
  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final SimulatedCluster cluster;
  private final FaultInjector faults;
  private final List<VirtualRouter> routers = new ArrayList<>();
  private final List<StartValues> alternatingSettings;
  private final Bug bug;
  private int switches;

  public VirtualRun(Scenario scenario, long seed) throws InvalidSettingsException {
    this(scenario, seed, Bug.NONE);
  }

  public VirtualRun(Scenario scenario, long seed, Bug bug) throws InvalidSettingsException {
    this.scenario = scenario;
    this.bug = bug;
    int count = scenario.count("routers");
    cluster =
        new SimulatedCluster(
            scheduler,
            new SplittableRandom(seed),
            scenario.span("grace_ms"),
            STARTUP_DURATION,
            scenario.replicasRefuseStaleReads,
            scenario.count("groups"),
            scenario.count("members"),
            scenario.count("cores"),
            count);
    cluster.setAbruptSwitchovers(scenario.abruptHandover);
    faults =
        new FaultInjector(
            cluster,
            scenario.faultWeights,
            scenario.span("faults_from_ms"),
            scenario.span("faults_to_ms"),
            count);
    alternatingSettings = List.of(startValues(false), startValues(true));
    for (int r = 0; r < count; r++) {
      routers.add(
          new VirtualRouter(r, cluster, alternatingSettings.get(0), scenario.usesChangeTable, bug));
    }
    scheduler.runUntil(scheduler.now().plus(STARTUP_DURATION));
  }

  private StartValues startValues(boolean alternative) throws InvalidSettingsException {
    return StartFile.parse(
            "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"settings\":"
                + scenario.routerSettings(alternative)
                + "}")
        .startValues();
  }

  /** Switches all routers between the two settings, once per interval. */
  private void scheduleSettingsSwitch(Span interval) {
    scheduler.runAfter(
        interval,
        () -> {
          switches++;
          routers.forEach(
              router ->
                  router.applySettings(alternatingSettings.get(switches % 2), switches % 2 == 1));
          scheduleSettingsSwitch(interval);
        });
  }

  public SimulatedCluster cluster() {
    return cluster;
  }

  /** Runs the scenario to its end and returns the figures. */
  public Map<String, Object> runScenario() {
    Span duration = Span.ofMillis(scenario.number("seconds") * 1_000);
    LoadGenerator load = createLoad();
    VersionRollout rollout = new VersionRollout(scenario, cluster, routers, bug);
    if (scenario.number("read_versions") > 0) {
      load.followVersions(rollout::inForce);
      rollout.start();
    }
    load.runFor(duration);
    if (scenario.number("switch_ms") > 0) {
      scheduleSettingsSwitch(scenario.span("switch_ms"));
    }
    faults.runFor(duration.minus(Span.ofMillis(500)));
    if (scenario.simultaneousFault != null) {
      scheduler.runAfter(
          scenario.span("all_at_once_s").times(1_000),
          () -> faults.injectIntoGroups(scenario.simultaneousFault, scenario.number("all_share")));
    }
    scheduler.runUntil(scheduler.now().plus(duration).plus(COMPLETION_TIME));
    Map<String, Object> stats = cluster.checker.figures();
    stats.put("faults", faults.injectionCounts());
    stats.put("switches", switches);
    stats.put("promotion_ms", cluster.meanPromotionMillis());
    if (scenario.simultaneousFault != null) {
      stats.put("recovered_95_s", cluster.timeSeries().recoverySeconds(scenario.number("seconds")));
    }
    rollout.addTo(stats);
    stats.put("polls", routers.stream().mapToLong(VirtualRouter::pollCount).sum());
    return stats;
  }

  private LoadGenerator createLoad() {
    return new LoadGenerator(
        cluster,
        new StatementTransport() {
          @Override
          public void submit(Statement statement, ResponseListener listener) {
            routers.get(statement.router).onStatementReceived(statement, listener);
          }

          @Override
          public void abandon(Statement statement) {
            routers.get(statement.router).onClientDisconnected(statement);
          }
        },
        faults,
        scenario.scaledWorkloads(),
        routers.size());
  }
}
