package basaltlever;

import static basaltlever.LoadBalancerHarness.ANY;
import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.Role;
import net.jqwik.api.Example;

/** Tests decisions after an interval in which the router's own process was stalled. */
class StalledRouterTest {
  /** Receives reads until one finds no capacity and returns the id of that read. */
  private static int receiveReadsUntilOneWaits(LoadBalancerHarness harness) {
    int read = harness.receiveStatement(ANY);
    while (harness.lastAttempt().statement() == read) {
      read = harness.receiveStatement(ANY);
    }
    return read;
  }

  /**
   * Guards against rejecting reads with most of their time left: in a burst under load, the time in
   * which the router did not run counted as a wait for capacity.
   */
  @Example
  void stallOfRouterDoesNotCountAsWaitForCapacity() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int waitingRead = receiveReadsUntilOneWaits(harness);
    harness.now = harness.now.plus(ms(100));
    harness.balancer.onTimerFired(harness.now);
    check(!harness.rejectedStatements.contains(waitingRead), "expected the read to keep waiting");
    harness.endAttempt(harness.attempts.get(0), AttemptOutcome.COMPLETED, Role.UNKNOWN);
    check(
        harness.lastAttempt().statement() == waitingRead,
        "expected the read to be sent once capacity is free");
  }

  /** The time that its client has ends the wait, also where the router itself was stalled. */
  @Example
  void stallOfRouterDoesNotExtendTheWaitPastTheTimeOfTheClient() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int waitingRead = receiveReadsUntilOneWaits(harness);
    harness.now = harness.now.plus(ms(200));
    harness.balancer.onTimerFired(harness.now);
    check(!harness.rejectedStatements.contains(waitingRead), "expected the read to keep waiting");
    harness.advance(105);
    check(
        harness.rejectedStatements.contains(waitingRead),
        "expected a rejection once the answer could only be late and worthless");
  }

  /**
   * Guards against rejecting a read whose attempt was never sent: its connection was established
   * too late because the router was stalled, and the read was rejected immediately although
   * connections were ready by then.
   */
  @Example
  void readWhoseAttemptWasNeverSentIsRetried() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().discoverGroup(20);
    int read = harness.receiveStatement(ANY);
    harness.advance(100);
    harness.endAttempt(harness.attempts.get(0), AttemptOutcome.NEVER_SENT, Role.UNKNOWN);
    check(harness.rejectedStatements.isEmpty(), "expected no rejection");
    check(
        harness.attempts.size() == 2 && harness.lastAttempt().statement() == read,
        "expected a second attempt for the read");
  }
}
