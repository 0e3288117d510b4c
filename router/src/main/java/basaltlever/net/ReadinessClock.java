package basaltlever.net;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.function.Supplier;

/**
 * Tells how long what a loop reads may have waited unread. A loop looks at all its sockets, then
 * handles what it found; a socket that is found readable was empty at the look before. Where the
 * loop waited in a look, what it found came while it waited; where the process stood still in one,
 * nobody knows when in that time it came, and the look proves nothing.
 */
final class ReadinessClock {
  /**
   * A look that found something sooner did not wait for it: it may have come since the look before.
   */
  private static final Span MIN_WAIT = Span.ofMillis(5);

  /** A look that lasts this much longer than it was to wait was held up. */
  private static final Span STALL_THRESHOLD = Span.ofMillis(10);

  private final Supplier<Moment> clock;
  private Moment selectStartedAt;
  private Moment selectDueAt;

  /** Whether something has been handled since this look began, and when that began. */
  private boolean handling;

  private Moment handlingStartedAt;

  /** At the last look that proves it, all sockets were empty that it did not find readable. */
  private Moment provenEmptyAt;

  private Moment earliestArrival;
  private Span stalledTime = Span.NONE;

  ReadinessClock(Supplier<Moment> clock) {
    this.clock = clock;
    selectStartedAt = clock.get();
    selectDueAt = selectStartedAt;
    handlingStartedAt = selectStartedAt;
    provenEmptyAt = selectStartedAt;
    earliestArrival = selectStartedAt;
  }

  /** A look at the sockets begins, and the former one with all behind it is over. */
  void onSelectStart() {
    selectStartedAt = clock.get();
    Span handlingTime = selectStartedAt.since(handlingStartedAt);
    stalledTime =
        handlingTime.isLongerThan(STALL_THRESHOLD) ? stalledTime.plus(handlingTime) : stalledTime;
    selectDueAt = selectStartedAt;
    handling = false;
  }

  /** The look that has begun waits for something to come, but for no longer than this. */
  void onSelectWait(Span maxWait) {
    selectDueAt = selectStartedAt.plus(maxWait);
  }

  /** The look is over and what it found was handled. */
  void onIterationEnd() {
    if (!handling) {
      onSelectReturn();
    }
  }

  /** What is read from here on, up to the next look, came no earlier than this. */
  Moment earliestArrival() {
    if (!handling) {
      onSelectReturn();
    }
    return earliestArrival;
  }

  /**
   * For how long, in all, the loop was not there for its sockets: what it handled between two looks
   * took long, or a look lasted longer than it was to wait.
   */
  Span stalledTime() {
    return stalledTime;
  }

  private void onSelectReturn() {
    handling = true;
    handlingStartedAt = clock.get();
    boolean isStalled = handlingStartedAt.isAfter(selectDueAt.plus(STALL_THRESHOLD));
    stalledTime = isStalled ? stalledTime.plus(handlingStartedAt.since(selectDueAt)) : stalledTime;
    boolean hasWaited =
        !isStalled && handlingStartedAt.since(selectStartedAt).isLongerThan(MIN_WAIT);
    earliestArrival = hasWaited ? handlingStartedAt : provenEmptyAt;
    provenEmptyAt = isStalled ? provenEmptyAt : handlingStartedAt;
  }
}
