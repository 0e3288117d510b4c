package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.time.Span;
import net.jqwik.api.Example;

/** How many connections one look at the sockets accepts. */
class AcceptBatchTest {
  private static final Span COLD_ACCEPT_TIME = Span.ofMillis(6);
  private static final Span WARM_ACCEPT_TIME = Span.ofMillis(0.08);

  private static void acceptFullBatch(AcceptBatch batch, Span timePerConnection) {
    batch.recordAccepted(batch.size(), timePerConnection.times(batch.size()));
  }

  /**
   * Guards against: beside load the newcomers of a burst, accepted 16 in a look of 100 ms and more,
   * made all statements late that were in hand, and a third of the burst was rejected.
   */
  @Example
  void slowAcceptsShrinkTheBatchToOne() {
    AcceptBatch batch = new AcceptBatch();
    acceptFullBatch(batch, COLD_ACCEPT_TIME);
    check(batch.size() == 1, "one: " + batch.size());
    acceptFullBatch(batch, COLD_ACCEPT_TIME);
    check(batch.size() == 1, "never none: " + batch.size());
  }

  @Example
  void fastAcceptsGrowTheBatchToItsMaximum() {
    AcceptBatch batch = new AcceptBatch();
    acceptFullBatch(batch, COLD_ACCEPT_TIME);
    for (int i = 0; i < 5; i++) {
      acceptFullBatch(batch, WARM_ACCEPT_TIME);
    }
    check(batch.size() == AcceptBatch.MAX_CONNECTIONS, "all: " + batch.size());
  }

  @Example
  void aReadWithoutConnectionsLeavesTheBatchUnchanged() {
    AcceptBatch batch = new AcceptBatch();
    int before = batch.size();
    batch.recordAccepted(0, Span.ofMillis(50));
    check(batch.size() == before, "as it was");
  }
}
