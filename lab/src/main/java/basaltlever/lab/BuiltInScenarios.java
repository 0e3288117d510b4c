package basaltlever.lab;

import basaltlever.lab.scenario.Scenario;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The scenarios that come with the program. */
@Parameters(commandDescription = "Names the scenarios that come with the program")
final class BuiltInScenarios {
  static final List<String> NAMES =
      List.of(
          "primary-changes",
          "planned-switches",
          "quiet",
          "settings-switch",
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
