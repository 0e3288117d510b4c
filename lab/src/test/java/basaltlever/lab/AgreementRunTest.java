package basaltlever.lab;

import basaltlever.lab.fleet.AgreementRun;
import basaltlever.lab.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * The scenario in small: five router processes, three of which vote, stopped, cut and ended under
 * load.
 */
class AgreementRunTest {
  @Example
  void noServerSeesContradictingVersionsWhileProcessesFail() throws Exception {
    // How many versions come to an end depends on the machine; that some do, and what they do, must
    // not.
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
    List<String> broken = broken(scenario, 11);
    if (!broken.isEmpty()) {
      throw new AssertionError(broken);
    }
  }

  private static List<String> broken(Scenario scenario, long seed) throws Exception {
    try (AgreementRun run = new AgreementRun(scenario, seed, null, "")) {
      Map<String, Object> figures = run.run();
      List<String> broken = new ArrayList<>(scenario.violations(figures));
      if (!broken.isEmpty()) {
        broken.addAll(run.cluster().checker.findings());
        broken.add(figures.toString());
      }
      return broken;
    }
  }

  @Example
  void routersThatStoodStillSendNothingToWhoDrainedMeanwhile() throws Exception {
    List<String> broken =
        broken(Scenario.parse(Scenario.readText("held-up"), List.of("seconds=12")), 5);
    if (!broken.isEmpty()) {
      throw new AssertionError(broken);
    }
  }

  /**
   * Both other voters end for good; commands of the program go on from the third, which ends as
   * well.
   */
  @Example
  void aLostMajorityIsGivenUpAndReplacedWhileClientsAreServed() throws Exception {
    List<String> broken =
        broken(
            Scenario.parse(
                Scenario.readText("majority-lost"),
                List.of("seconds=32", "load=0.5", "expect.repeats_least=1")),
            3);
    if (!broken.isEmpty()) {
      throw new AssertionError(broken);
    }
  }

  private static Scenario lists(String... more) throws Scenario.InvalidScenarioException {
    List<String> settings =
        new ArrayList<>(
            List.of(
                "seconds=12", "routers=5", "load=0.4", "warm_ms=1500", "expect.odd_lists_least=5"));
    settings.addAll(List.of(more));
    return Scenario.parse(Scenario.readText("lists"), settings);
  }

  @Example
  void noMemberServesTwoGroupsAndNoDrainStaysUnknownWhileListsContradict() throws Exception {
    List<String> broken = broken(lists(), 12);
    if (!broken.isEmpty()) {
      throw new AssertionError(broken);
    }
  }

  /**
   * The same troubles to the same routers without a fleet: what the servers count does come to
   * pass.
   */
  @Example
  void withoutAFleetTheServersSeeTheContradictions() throws Exception {
    String broken = broken(lists("agrees=0"), 12).toString();
    if (!broken.contains("two_groups is") || !broken.contains("drained_beyond is")) {
      throw new AssertionError("each router by its own list, and nothing seen: " + broken);
    }
  }
}
