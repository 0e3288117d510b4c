package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.net.ClientModel.InjectedFault;
import basaltlever.net.ClientModel.Step;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * Whatever comes in whatever order, what the machine has received whole before the end is answered,
 * once, or its client has gone. Every order of so many steps is played on the program's own
 * connection; orders that lead to the same state once.
 */
class ClientModelTest {
  static {
    // The planted faults of reads are in the log by the hundred thousand else.
    System.setProperty("org.slf4j.simpleLogger.log.basaltlever.net.ClientConnection", "off");
  }

  private static final int DEPTH = 7;
  private static final int DEPTH_WITH_FAULT = 6;

  private record Exploration(String violation, List<Step> steps, int states) {}

  private static ClientModel replay(InjectedFault injectedFault, List<Step> steps) {
    ClientModel model = new ClientModel(injectedFault);
    steps.forEach(model::perform);
    return model;
  }

  private static Exploration explore(InjectedFault injectedFault, int depth) {
    Set<String> seen = new HashSet<>();
    ArrayDeque<List<Step>> unexplored = new ArrayDeque<>();
    unexplored.add(List.of());
    while (!unexplored.isEmpty()) {
      List<Step> steps = unexplored.poll();
      String violation = replay(injectedFault, steps).settle();
      if (!violation.isEmpty()) {
        return new Exploration(violation, steps, seen.size());
      }
      ClientModel current = replay(injectedFault, steps);
      for (Step step : Step.values()) {
        if (steps.size() < depth && current.isEnabled(step)) {
          List<Step> next = new ArrayList<>(steps);
          next.add(step);
          if (seen.add(replay(injectedFault, next).fingerprint())) {
            unexplored.add(next);
          }
        }
      }
    }
    return new Exploration("", List.of(), seen.size());
  }

  @Example
  void receivedStatementsAreAnsweredInEveryOrder() {
    Exploration exploration = explore(InjectedFault.NONE, DEPTH);
    check(
        exploration.violation().isEmpty(), exploration.violation() + " by " + exploration.steps());
    check(exploration.states() > 10_000, "orders were played: " + exploration.states());
    System.out.println(
        "states of a client's connection: " + exploration.states() + ", to a depth of " + DEPTH);
  }

  @Example
  void eachInjectedFaultIsDetected() {
    for (InjectedFault injectedFault : InjectedFault.values()) {
      if (injectedFault != InjectedFault.NONE) {
        check(
            !explore(injectedFault, DEPTH_WITH_FAULT).violation().isEmpty(),
            "not found: " + injectedFault);
      }
    }
  }
}
