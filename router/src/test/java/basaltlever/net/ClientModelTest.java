package basaltlever.net;

import static basaltlever.StandIn.check;

import basaltlever.net.ClientModel.Planted;
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
  private static final int DEPTH_PLANTED = 6;

  private record Found(String broken, List<Step> steps, int states) {}

  private static ClientModel played(Planted planted, List<Step> steps) {
    ClientModel model = new ClientModel(planted);
    steps.forEach(model::take);
    return model;
  }

  private static Found explore(Planted planted, int depth) {
    Set<String> seen = new HashSet<>();
    ArrayDeque<List<Step>> open = new ArrayDeque<>();
    open.add(List.of());
    while (!open.isEmpty()) {
      List<Step> steps = open.poll();
      String broken = played(planted, steps).settle();
      if (!broken.isEmpty()) {
        return new Found(broken, steps, seen.size());
      }
      ClientModel here = played(planted, steps);
      for (Step step : Step.values()) {
        if (steps.size() < depth && here.may(step)) {
          List<Step> next = new ArrayList<>(steps);
          next.add(step);
          if (seen.add(played(planted, next).fingerprint())) {
            open.add(next);
          }
        }
      }
    }
    return new Found("", List.of(), seen.size());
  }

  @Example
  void whatWasReceivedIsAnsweredInEveryOrder() {
    Found found = explore(Planted.NONE, DEPTH);
    check(found.broken().isEmpty(), found.broken() + " by " + found.steps());
    check(found.states() > 10_000, "orders were played: " + found.states());
    System.out.println(
        "states of a client's connection: " + found.states() + ", to a depth of " + DEPTH);
  }

  @Example
  void eachPlantedFaultIsFound() {
    for (Planted planted : Planted.values()) {
      if (planted != Planted.NONE) {
        check(!explore(planted, DEPTH_PLANTED).broken().isEmpty(), "not found: " + planted);
      }
    }
  }
}
