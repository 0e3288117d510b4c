package basaltlever.net;

import basaltlever.log.Counter;
import basaltlever.log.Event;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Keeps connections that have sent nothing out of the listen queue while a crowd of them may be
 * there: in the first seconds of a process, when all clients of a former one come back, and while
 * many have connected and said nothing. The queue is first in, first out: without this a client
 * with a statement waits until all silent ones before it have been accepted and rejected, and those
 * come back behind it at once. Where the system does not offer it, all are accepted as they come.
 */
final class DeferredAccept {
  /** The least that the system takes; a silent connection is accepted after this time. */
  static final Span DEFERRAL = Span.ofMillis(1_000);

  private static final int DEFERRAL_SECONDS = 1;

  /** The system's own timer for a deferral may be this much late. */
  private static final Span TIMER_SLACK = Span.ofMillis(100);

  /** It ends when it has not been requested for so long. */
  private static final Span OFF_DELAY = Span.ofMillis(5_000);

  private static final Logger LOG = LoggerFactory.getLogger(DeferredAccept.class);

  private enum State {
    /** Not to be had here, or the listener is not set up. */
    UNAVAILABLE,
    OFF,
    ON,
    /** The router ends. */
    ENDED
  }

  private final LoopIteration iteration;
  private ListenerSocket socket;
  private State state = State.UNAVAILABLE;
  private Moment requestedAt = Moment.LONG_AGO;

  DeferredAccept(LoopIteration iteration) {
    this.iteration = iteration;
  }

  /** The listener begins to listen, with the deferral on; unless the router ends by now. */
  void begin(ListenerSocket listener) {
    if (state != State.ENDED) {
      socket = listener;
      requestedAt = iteration.clock().now();
      applyDeferral(DEFERRAL_SECONDS, State.ON);
    }
  }

  /** Whether a connection that is accepted with nothing sent has waited for the deferral. */
  boolean isOn() {
    return state == State.ON;
  }

  /** Many clients have connected and said nothing, or there is no room for the next one. */
  void request() {
    requestedAt = iteration.clock().now();
    if (state == State.OFF) {
      applyDeferral(DEFERRAL_SECONDS, State.ON);
    }
  }

  private void applyDeferral(int seconds, State next) {
    try {
      socket.deferAccept(seconds);
      state = next;
      if (next == State.ON) {
        iteration.counters().increment(Counter.ACCEPT_DEFERRED);
      }
      Event.ACCEPT_DEFERRED.log(LOG, Level.INFO, "", next, "");
    } catch (IOException exception) {
      state = State.UNAVAILABLE;
      Event.ACCEPT_DEFERRED.log(LOG, Level.WARN, "", state, exception);
    }
  }

  /** Called every so often: ends the deferral where it has not been requested for a while. */
  void sweep(Moment now) {
    if (state == State.ON && now.since(requestedAt).isLongerThan(OFF_DELAY)) {
      applyDeferral(0, State.OFF);
    }
  }

  /**
   * The router ends, and its listener with it, which would reset connections that the system still
   * keeps back. Returns how long it takes until the last of them is in the listen queue.
   */
  Span end() {
    boolean wasOn = state == State.ON;
    if (wasOn) {
      applyDeferral(0, State.ENDED);
    }
    state = State.ENDED;
    return wasOn ? DEFERRAL.plus(TIMER_SLACK) : Span.NONE;
  }
}
