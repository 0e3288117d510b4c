package basaltlever.net;

import static basaltlever.StandIn.check;

import basaltlever.time.Span;
import net.jqwik.api.Example;

/** How many connections one look at the sockets accepts. */
class AcceptBatchTest {
  private static final Span COLD = Span.ofMillis(6);
  private static final Span WARM = Span.ofMillis(0.08);

  private static void look(AcceptBatch batch, Span eachTakes) {
    batch.accepted(batch.size(), eachTakes.times(batch.size()));
  }

  /**
   * Guards against: beside load the newcomers of a burst, accepted 16 in a look of 100 ms and more,
   * made all statements late that were in hand, and a third of the burst was rejected.
   */
  @Example
  void whereAConnectionTakesLongOneIsAcceptedAtATime() {
    AcceptBatch batch = new AcceptBatch();
    look(batch, COLD);
    check(batch.size() == 1, "one: " + batch.size());
    look(batch, COLD);
    check(batch.size() == 1, "never none: " + batch.size());
  }

  @Example
  void whereItGoesFastAsManyAreAcceptedAsBefore() {
    AcceptBatch batch = new AcceptBatch();
    look(batch, COLD);
    for (int i = 0; i < 5; i++) {
      look(batch, WARM);
    }
    check(batch.size() == AcceptBatch.MAX_CONNECTIONS, "all: " + batch.size());
  }

  @Example
  void aLookThatFoundNobodyTellsNothing() {
    AcceptBatch batch = new AcceptBatch();
    int before = batch.size();
    batch.accepted(0, Span.ofMillis(50));
    check(batch.size() == before, "as it was");
  }
}
