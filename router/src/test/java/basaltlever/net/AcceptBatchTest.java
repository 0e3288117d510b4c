package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.time.Span;
import net.jqwik.api.Example;

/** Tests how the size of an accept batch follows the time that accepting takes. */
class AcceptBatchTest {
  private static final Span COLD_ACCEPT_TIME = Span.ofMillis(6);
  private static final Span WARM_ACCEPT_TIME = Span.ofMillis(0.08);

  private static void acceptFullBatch(AcceptBatch batch, Span timePerConnection) {
    batch.recordAccepted(batch.size(), timePerConnection.times(batch.size()));
  }

  /**
   * Guards against batches that delay the statements in progress: under load, a burst of new
   * connections was accepted 16 per read, which took 100 ms and more. All statements in progress
   * missed their deadlines, and a third of the burst was rejected.
   */
  @Example
  void slowAcceptsShrinkTheBatchToOne() {
    AcceptBatch batch = new AcceptBatch();
    acceptFullBatch(batch, COLD_ACCEPT_TIME);
    check(batch.size() == 1, "batch size after slow accepts, expected 1: " + batch.size());
    acceptFullBatch(batch, COLD_ACCEPT_TIME);
    check(batch.size() == 1, "batch size after more slow accepts, expected 1: " + batch.size());
  }

  @Example
  void fastAcceptsGrowTheBatchToItsMaximum() {
    AcceptBatch batch = new AcceptBatch();
    acceptFullBatch(batch, COLD_ACCEPT_TIME);
    for (int i = 0; i < 5; i++) {
      acceptFullBatch(batch, WARM_ACCEPT_TIME);
    }
    check(
        batch.size() == AcceptBatch.MAX_CONNECTIONS,
        "batch size after fast accepts, expected the maximum: " + batch.size());
  }

  @Example
  void aReadWithoutConnectionsLeavesTheBatchUnchanged() {
    AcceptBatch batch = new AcceptBatch();
    int before = batch.size();
    batch.recordAccepted(0, Span.ofMillis(50));
    check(batch.size() == before, "a read without connections changed the batch size");
  }
}
