package basaltlever.lab;

import basaltlever.lab.fleet.AgreementRun;
import basaltlever.lab.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * Guards against routers of a fleet that apply contradicting settings or endpoint lists. Small runs
 * of the scenarios stop, disconnect and kill router processes under load; three of them vote.
 */
class AgreementRunTest {
  @Example
  void noServerSeesContradictingVersionsWhileProcessesFail() throws Exception {
    // The number of decided versions depends on the machine, so only one is required. The limits on
    // violations are those of the full scenario.
    Scenario scenario =
        Scenario.parse(
            Scenario.readText("agreement"),
            List.of(
                "seconds=16",
                "routers=5",
                "load=0.5",
                "stops_ms=800",
                "expect.versions_least=1",
                "expect.refused_least=0",
                "expect.repeats_least=1"));
    List<String> violations = runScenario(scenario, 11);
    if (!violations.isEmpty()) {
      throw new AssertionError(violations);
    }
  }

  private static List<String> runScenario(Scenario scenario, long seed) throws Exception {
    try (AgreementRun run = new AgreementRun(scenario, seed, null, "")) {
      Map<String, Object> figures = run.run();
      List<String> violations = new ArrayList<>(scenario.violations(figures));
      if (!violations.isEmpty()) {
        violations.addAll(run.cluster().checker.findings());
        violations.add(figures.toString());
      }
      return violations;
    }
  }

  @Example
  void stoppedRoutersSendNothingToServersDrainedMeanwhile() throws Exception {
    List<String> violations =
        runScenario(Scenario.parse(Scenario.readText("held-up"), List.of("seconds=12")), 5);
    if (!violations.isEmpty()) {
      throw new AssertionError(violations);
    }
  }

  /**
   * Two of three voters are lost for good. Operator commands let the third continue and add new
   * voters; then the third is lost as well.
   */
  @Example
  void lostMajorityIsReplacedByOperatorWhileClientsAreServed() throws Exception {
    List<String> violations =
        runScenario(
            Scenario.parse(
                Scenario.readText("majority-lost"),
                List.of("seconds=32", "load=0.5", "expect.repeats_least=1")),
            3);
    if (!violations.isEmpty()) {
      throw new AssertionError(violations);
    }
  }

  private static Scenario readListsScenario(String... overrides)
      throws Scenario.InvalidScenarioException {
    List<String> settings =
        new ArrayList<>(
            List.of(
                "seconds=12", "routers=5", "load=0.4", "warm_ms=1500", "expect.odd_lists_least=5"));
    settings.addAll(List.of(overrides));
    return Scenario.parse(Scenario.readText("lists"), settings);
  }

  @Example
  void contradictingListsLeadToNoServerInTwoGroupsAndNoMissedDrain() throws Exception {
    List<String> violations = runScenario(readListsScenario(), 12);
    if (!violations.isEmpty()) {
      throw new AssertionError(violations);
    }
  }

  /**
   * The same faults without a fleet, where each router follows its own list: shows that the checks
   * detect the violations that the fleet prevents.
   */
  @Example
  void contradictingListsLeadToViolationsWithoutFleet() throws Exception {
    String violations = runScenario(readListsScenario("agrees=0"), 12).toString();
    if (!violations.contains("two_groups is") || !violations.contains("drained_beyond is")) {
      throw new AssertionError(
          "expected violations of two_groups and drained_beyond without a fleet, got: "
              + violations);
    }
  }
}
