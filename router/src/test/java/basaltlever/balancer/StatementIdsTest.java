package basaltlever.balancer;

import static basaltlever.LoadBalancerHarness.check;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Tests which statement ids may start. */
class StatementIdsTest {
  /** Guards against an id that is forgotten within the window, whatever order ids come in. */
  @Property(tries = 20, seed = "72", shrinking = ShrinkingMode.OFF)
  void noExecutedIdOpensAgainWithinTheWindow(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    StatementIds ids = new StatementIds();
    ArrayDeque<Long> window = new ArrayDeque<>();
    Set<Long> executed = new HashSet<>();
    for (int i = 0; i < 3 * StatementIds.WINDOW_IDS; i++) {
      boolean repeats = !window.isEmpty() && random.nextInt(4) == 0;
      long id = repeats ? window.peekFirst() : random.nextLong();
      boolean opened = ids.open(id);
      check(!(opened && executed.contains(id)), "id opened twice: " + id);
      if (opened && random.nextInt(8) > 0) {
        ids.markExecuted(id);
        window.add(id);
        executed.add(id);
      }
      if (opened) {
        ids.close(id);
      }
      if (window.size() > StatementIds.WINDOW_IDS) {
        executed.remove(window.poll());
      }
    }
  }

  @Example
  void openIdDoesNotOpenAgainAndUnexecutedIdDoesOnceClosed() {
    StatementIds ids = new StatementIds();
    check(ids.open(5) && !ids.open(5), "an open id is not opened again");
    ids.close(5);
    check(ids.open(5), "nothing was executed");
    ids.markExecuted(5);
    ids.markExecuted(5);
    ids.close(5);
    check(!ids.open(5), "it was executed");
  }
}
