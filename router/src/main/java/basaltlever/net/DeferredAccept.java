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
 * Keeps connections that have sent nothing out of the listen queue while a crowd of them is likely:
 * in the first seconds of a process, when all clients of its predecessor reconnect, and while many
 * connected clients have sent no statement. The queue is first in, first out: without the deferral,
 * a client with a statement waits until all silent connections before it are accepted and rejected,
 * and those reconnect behind it immediately. Where the system does not support it, connections are
 * accepted in the order of their arrival.
 */
final class DeferredAccept {
  /**
   * The shortest deferral that the system supports; a silent connection is accepted after this
   * time.
   */
  static final Span DEFERRAL = Span.ofMillis(1_000);

  private static final int DEFERRAL_SECONDS = 1;

  /** Maximum delay of the system's deferral timer. */
  private static final Span TIMER_SLACK = Span.ofMillis(100);

  /** Time without a request after which the deferral is turned off. */
  private static final Span OFF_DELAY = Span.ofMillis(5_000);

  private static final Logger LOG = LoggerFactory.getLogger(DeferredAccept.class);

  private enum State {
    /** Not supported by the system, or the listener is not set up. */
    UNAVAILABLE,
    OFF,
    ON,
    /** The router shuts down. */
    ENDED
  }

  private final LoopIteration iteration;
  private ListenerSocket socket;
  private State state = State.UNAVAILABLE;
  private Moment requestedAt = Moment.LONG_AGO;

  DeferredAccept(LoopIteration iteration) {
    this.iteration = iteration;
  }

  /** Turns the deferral on for a new listener, unless the router already shuts down. */
  void begin(ListenerSocket listener) {
    if (state != State.ENDED) {
      socket = listener;
      requestedAt = iteration.clock().now();
      applyDeferral(DEFERRAL_SECONDS, State.ON);
    }
  }

  /** Whether a connection that is accepted without input has waited for the deferral. */
  boolean isOn() {
    return state == State.ON;
  }

  /**
   * Requests the deferral, because many clients have sent no statement or there is no room for
   * another one.
   */
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

  /** Turns the deferral off if it has not been requested for a while; called periodically. */
  void sweep(Moment now) {
    if (state == State.ON && now.since(requestedAt).isLongerThan(OFF_DELAY)) {
      applyDeferral(0, State.OFF);
    }
  }

  /**
   * Turns the deferral off at shutdown, since closing the listener would reset the connections that
   * the system still defers. Returns the time until the last of them is in the listen queue.
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
