package basaltlever;

import static basaltlever.StandIn.ANY;
import static basaltlever.StandIn.check;
import static basaltlever.StandIn.ms;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.Role;
import net.jqwik.api.Example;

/** What the decisions make of time in which their own process was held up. */
class HeldUpDecisionsTest {
  /** Takes reads until one finds no capacity, and returns that one. */
  private static int takeUntilOneWaits(StandIn world) {
    int last = world.take(ANY);
    while (world.last().statement() == last) {
      last = world.take(ANY);
    }
    return last;
  }

  /**
   * Guards against: in a burst beside load reads were rejected with most of their time left, since
   * the time in which their own router did not run counted as a wait for capacity.
   */
  @Example
  void aReadIsNotRejectedForAWaitInWhichItsRouterWasHeldUp() {
    StandIn world = StandIn.plain().steady(20);
    int waits = takeUntilOneWaits(world);
    world.now = world.now.plus(ms(100));
    world.balancer.timerFired(world.now);
    check(!world.rejected.contains(waits), "it goes on waiting");
    world.end(world.sent.get(0), AttemptOutcome.COMPLETED, Role.UNKNOWN);
    check(world.last().statement() == waits, "and gets the capacity that is there now");
  }

  /** The wait itself is no longer than before. */
  @Example
  void aReadThatFindsNoCapacityIsStillRejectedOnARouterThatRuns() {
    StandIn world = StandIn.plain().steady(20);
    int waits = takeUntilOneWaits(world);
    world.later(60);
    check(world.rejected.contains(waits), "rejected, with time to try elsewhere");
  }

  /**
   * Guards against: an attempt whose connection came up too late, since its router was held up, was
   * never sent, and the read was rejected at once though connections stood ready by then.
   */
  @Example
  void aReadWhoseAttemptWasNeverSentGetsAnotherOne() {
    StandIn world = StandIn.plain().steady(20);
    int read = world.take(ANY);
    world.later(100);
    world.end(world.sent.get(0), AttemptOutcome.NEVER_SENT, Role.UNKNOWN);
    check(world.rejected.isEmpty(), "not rejected");
    check(world.sent.size() == 2 && world.last().statement() == read, "sent once more");
  }
}
