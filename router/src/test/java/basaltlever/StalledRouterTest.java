package basaltlever;

import static basaltlever.LoadBalancerHarness.ANY;
import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.Role;
import net.jqwik.api.Example;

/** What the decisions make of time in which their own process was held up. */
class StalledRouterTest {
  /** Takes reads until one finds no capacity, and returns that one. */
  private static int receiveReadsUntilOneWaits(LoadBalancerHarness harness) {
    int last = harness.receiveStatement(ANY);
    while (harness.lastAttempt().statement() == last) {
      last = harness.receiveStatement(ANY);
    }
    return last;
  }

  /**
   * Guards against: in a burst beside load reads were rejected with most of their time left, since
   * the time in which their own router did not run counted as a wait for capacity.
   */
  @Example
  void stallOfRouterDoesNotCountAsWaitForCapacity() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int waits = receiveReadsUntilOneWaits(harness);
    harness.now = harness.now.plus(ms(100));
    harness.balancer.onTimerFired(harness.now);
    check(!harness.rejectedStatements.contains(waits), "it goes on waiting");
    harness.endAttempt(harness.sentAttempts.get(0), AttemptOutcome.COMPLETED, Role.UNKNOWN);
    check(harness.lastAttempt().statement() == waits, "and gets the capacity that is there now");
  }

  /** The wait itself is no longer than before. */
  @Example
  void readWithoutCapacityIsRejectedWhenRouterRunsOnTime() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int waits = receiveReadsUntilOneWaits(harness);
    harness.advance(60);
    check(harness.rejectedStatements.contains(waits), "rejected, with time to try elsewhere");
  }

  /**
   * Guards against: an attempt whose connection came up too late, since its router was held up, was
   * never sent, and the read was rejected at once though connections stood ready by then.
   */
  @Example
  void readWhoseAttemptWasNeverSentIsRetried() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int read = harness.receiveStatement(ANY);
    harness.advance(100);
    harness.endAttempt(harness.sentAttempts.get(0), AttemptOutcome.NEVER_SENT, Role.UNKNOWN);
    check(harness.rejectedStatements.isEmpty(), "not rejected");
    check(
        harness.sentAttempts.size() == 2 && harness.lastAttempt().statement() == read,
        "sent once more");
  }
}
