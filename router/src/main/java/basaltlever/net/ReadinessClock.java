package basaltlever.net;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.function.Supplier;

/**
 * Bounds how long bytes read by a loop may have waited unread. A loop selects over all its sockets,
 * then handles the ready ones; a socket found readable was empty at the previous select. If the
 * loop waited in a select, its input arrived during the wait. If the process was stalled in a
 * select, the time of arrival is unknown, and that select proves nothing.
 */
final class ReadinessClock {
  /**
   * A select that returned sooner did not wait for its input, which may have arrived since the
   * previous select.
   */
  private static final Span MIN_WAIT = Span.ofMillis(5);

  /**
   * A select that overruns its wait by more than this was stalled, and so was a loop that handled
   * input for longer.
   */
  private static final Span STALL_THRESHOLD = Span.ofMillis(10);

  private final Supplier<Moment> clock;
  private Moment selectStartedAt;
  private Moment selectDueAt;

  /** Whether input has been handled since this select started. */
  private boolean handling;

  /** When handling began after the last select that has returned. */
  private Moment handlingStartedAt;

  /**
   * Time of the last select that proves it: all sockets were empty then, except those found
   * readable.
   */
  private Moment provenEmptyAt;

  private Moment earliestArrival;
  private long selects;
  private Span stalledTime = Span.NONE;

  ReadinessClock(Supplier<Moment> clock) {
    this.clock = clock;
    selectStartedAt = clock.get();
    selectDueAt = selectStartedAt;
    handlingStartedAt = selectStartedAt;
    provenEmptyAt = selectStartedAt;
    earliestArrival = selectStartedAt;
  }

  /** Records that a select starts, which ends the previous iteration. */
  void onSelectStart() {
    selects++;
    selectStartedAt = clock.get();
    Span handlingTime = selectStartedAt.since(handlingStartedAt);
    stalledTime =
        handlingTime.isLongerThan(STALL_THRESHOLD) ? stalledTime.plus(handlingTime) : stalledTime;
    selectDueAt = selectStartedAt;
    handling = false;
  }

  /** Returns the number of selects that have started. */
  long selects() {
    return selects;
  }

  /** Records the longest time that the current select may wait. */
  void onSelectWait(Span maxWait) {
    selectDueAt = selectStartedAt.plus(maxWait);
  }

  /** Records that the select has returned and its input was handled. */
  void onIterationEnd() {
    if (!handling) {
      onSelectReturn();
    }
  }

  /** Returns the earliest time at which input read before the next select can have arrived. */
  Moment earliestArrival() {
    if (!handling) {
      onSelectReturn();
    }
    return earliestArrival;
  }

  /**
   * Returns the total time for which the loop did not serve its sockets: it handled input between
   * two selects for long, or a select overran its wait.
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
