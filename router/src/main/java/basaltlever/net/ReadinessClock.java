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
  private static final Span AT_ONCE = Span.ofMillis(5);

  /** A look that lasts this much longer than it was to wait was held up. */
  private static final Span HELD_UP = Span.ofMillis(10);

  private final Supplier<Moment> clock;
  private Moment began;
  private Moment waitsUntil;

  /** Whether something has been handled since this look began, and when that began. */
  private boolean handling;

  private Moment handledAt;

  /** At the last look that proves it, all sockets were empty that it did not find readable. */
  private Moment provenAt;

  private Moment bound;
  private Span heldUp = Span.NONE;

  ReadinessClock(Supplier<Moment> clock) {
    this.clock = clock;
    began = clock.get();
    waitsUntil = began;
    handledAt = began;
    provenAt = began;
    bound = began;
  }

  /** A look at the sockets begins, and the former one with all behind it is over. */
  void begins() {
    began = clock.get();
    Span handledFor = began.since(handledAt);
    heldUp = handledFor.isLongerThan(HELD_UP) ? heldUp.plus(handledFor) : heldUp;
    waitsUntil = began;
    handling = false;
  }

  /** The look that has begun waits for something to come, but for no longer than this. */
  void waits(Span longest) {
    waitsUntil = began.plus(longest);
  }

  /** The look is over and what it found was handled. */
  void ends() {
    if (!handling) {
      found();
    }
  }

  /** What is read from here on, up to the next look, came no earlier than this. */
  Moment cameSince() {
    if (!handling) {
      found();
    }
    return bound;
  }

  /**
   * For how long, in all, the loop was not there for its sockets: what it handled between two looks
   * took long, or a look lasted longer than it was to wait.
   */
  Span heldUp() {
    return heldUp;
  }

  private void found() {
    handling = true;
    handledAt = clock.get();
    boolean isHeldUp = handledAt.isAfter(waitsUntil.plus(HELD_UP));
    heldUp = isHeldUp ? heldUp.plus(handledAt.since(waitsUntil)) : heldUp;
    boolean waited = !isHeldUp && handledAt.since(began).isLongerThan(AT_ONCE);
    bound = waited ? handledAt : provenAt;
    provenAt = isHeldUp ? provenAt : handledAt;
  }
}
