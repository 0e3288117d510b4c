package basaltlever.lab.fleet;

import basaltlever.lab.scenario.Scenario;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One run of the soak for versions: router processes of a fleet that prepare versions under load,
 * with faults and a deployment that are drawn from the seed. The servers' own log positions decide
 * whether reads were answered from data that is old enough to break a version.
 */
public final class VersionSoak {
  private static final String SCENARIO = "read-versions-fleet";

  /** The stated time of a fleet covers two leases at least. */
  private static final int MILLIS_BEYOND_TWO_LEASES = 200;

  private VersionSoak() {}

  /**
   * Runs one seed and returns the figures; those that break an expectation are listed as {@code
   * broken}.
   *
   * @param jar the router build under test, or null to use the class path of this program
   */
  public static Map<String, Object> run(long seed, double seconds, Path jar) throws Exception {
    Scenario scenario = draw(new SplittableRandom(seed), seconds);
    try (AgreementRun run = new AgreementRun(scenario, seed, jar, "")) {
      Map<String, Object> figures = run.run();
      figures.put("seed", seed);
      figures.put("broken", scenario.violations(figures));
      figures.put("failures", run.cluster().checker.findings());
      return figures;
    }
  }

  private static Scenario draw(SplittableRandom random, double seconds)
      throws Scenario.InvalidScenarioException {
    int leaseMillis = 300 + random.nextInt(900);
    return Scenario.parse(
        Scenario.readText(SCENARIO),
        List.of(
            "seconds=" + Math.max(1, Math.round(seconds)),
            "routers=" + (3 + random.nextInt(3)),
            "members=" + (3 + random.nextInt(3)),
            "lease_ms=" + leaseMillis,
            "stated_ms=" + (2 * leaseMillis + MILLIS_BEYOND_TWO_LEASES),
            "version_ms=" + (150 + random.nextInt(900)),
            "stops_ms=" + (400 + random.nextInt(1_200)),
            "faults.lag=" + (5 + random.nextInt(15)),
            "faults.restart=" + 0.1 * random.nextInt(5),
            "kind balance-view.bound_ms=" + (100 + random.nextInt(500)),
            "load=" + (0.5 + 0.7 * random.nextDouble()),
            "expect.versions_least=1"));
  }
}
