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
  private static int receiveReadsUntilOneWaits(LoadBalancerHarness world) {
    int read = world.receiveStatement(ANY);
    while (world.lastAttempt().statement() == read) {
      read = world.receiveStatement(ANY);
    }
    return read;
  }

  /**
   * Guards against: in a burst beside load reads were rejected with most of their time left, since
   * the time in which their own router did not run counted as a wait for capacity.
   */
  @Example
  void stallOfRouterDoesNotCountAsWaitForCapacity() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int waitingRead = receiveReadsUntilOneWaits(world);
    world.now = world.now.plus(ms(100));
    world.balancer.onTimerFired(world.now);
    check(!world.rejectedStatements.contains(waitingRead), "it goes on waiting");
    world.endAttempt(world.attempts.get(0), AttemptOutcome.COMPLETED, Role.UNKNOWN);
    check(
        world.lastAttempt().statement() == waitingRead, "and gets the capacity that is there now");
  }

  /** The wait itself is no longer than before. */
  @Example
  void readWithoutCapacityIsRejectedWhenRouterRunsOnTime() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int waitingRead = receiveReadsUntilOneWaits(world);
    world.advance(60);
    check(world.rejectedStatements.contains(waitingRead), "rejected, with time to try elsewhere");
  }

  /**
   * Guards against: an attempt whose connection came up too late, since its router was held up, was
   * never sent, and the read was rejected at once though connections stood ready by then.
   */
  @Example
  void readWhoseAttemptWasNeverSentIsRetried() {
    LoadBalancerHarness world = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int read = world.receiveStatement(ANY);
    world.advance(100);
    world.endAttempt(world.attempts.get(0), AttemptOutcome.NEVER_SENT, Role.UNKNOWN);
    check(world.rejectedStatements.isEmpty(), "not rejected");
    check(world.attempts.size() == 2 && world.lastAttempt().statement() == read, "sent once more");
  }
}
