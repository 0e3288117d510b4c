package basaltlever.lab;

import basaltlever.lab.scenario.Scenario;
import com.beust.jcommander.Parameters;
import java.util.List;

/** Lists the scenarios that are included in the program. */
@Parameters(commandDescription = "Lists the scenarios that are included in the program")
final class BuiltInScenarios {
  static final List<String> NAMES =
      List.of(
          "overload",
          "primary-changes",
          "planned-switches",
          "quiet",
          "settings-switch",
          "read-versions",
          "read-versions-fleet",
          "third-lost",
          "agreement",
          "lists",
          "held-up",
          "majority-lost");

  void run() throws Scenario.InvalidScenarioException {
    for (String name : NAMES) {
      System.out.printf(
          "%-18s %s%n", name, Scenario.parse(Scenario.readText(name), List.of()).title);
    }
  }
}
