package basaltlever.net;

import basaltlever.log.Counter;
import basaltlever.log.Counters;
import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.time.ClockOffset;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.channel.SingleThreadEventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One turn of the loop: what the handlers heard is handed to the decisions in one go, after all I/O
 * of the turn and with one reading of the clock; only then is carried out what came back, in order.
 * What comes while a turn goes on is read late: {@link ReadinessClock} knows since when what is
 * read may have waited.
 */
final class LoopIteration {
  private static final Logger LOG = LoggerFactory.getLogger(LoopIteration.class);
  private final SingleThreadEventLoop loop;
  private final Clock clock;
  private final Counters counters = new Counters();
  private final ClockOffset clockOffset = new ClockOffset();

  /** A turn that takes longer than this is counted, and named in the log. */
  private static final Span SLOW = Span.ofMillis(20);

  private final RateLimitedLog slowTurns;

  /** A turn that comes this much after its reading does not know any more what has come since. */
  private static final Span HELD_UP = Span.ofMillis(50);

  /**
   * This loop is never without something to do for longer, or a standstill of the process would not
   * show.
   */
  private static final Span TICKS = Span.ofMillis(50);

  private final ArrayDeque<Consumer<Moment>> news = new ArrayDeque<>();
  private final ArrayDeque<Consumer<Moment>> heard = new ArrayDeque<>();
  private final ArrayDeque<Runnable> acts = new ArrayDeque<>();

  /** Null for nothing. */
  private Consumer<Moment> first;

  private boolean asked;
  private boolean looksAgain;
  private Moment now;
  private Moment began;
  private final ReadinessClock readinessClock;
  private final IterationLoad load = new IterationLoad();

  /** What is to be done behind each turn. */
  private Runnable last = () -> {};

  LoopIteration(SingleThreadEventLoop loop, Clock clock, ReadinessClock readinessClock) {
    this.loop = loop;
    this.clock = clock;
    this.readinessClock = readinessClock;
    slowTurns = new RateLimitedLog(LOG, Event.TURN_SLOW, clock::now);
    now = clock.now();
    began = now;
    tick();
  }

  private void tick() {
    loop.schedule(this::tick, TICKS.micros(), TimeUnit.MICROSECONDS);
  }

  /** For handlers and timers; on the loop's thread only. */
  void hear(Consumer<Moment> input) {
    heard.add(input);
    begins();
  }

  /**
   * For what discovery tells. In a turn it is heard before anything else: a process that was held
   * up finds all of the meantime ready to be read at once, statements and the drain of the member
   * that they would go to.
   */
  void hearNews(Consumer<Moment> input) {
    news.add(input);
    begins();
  }

  /**
   * For handlers that read: no earlier than this can the bytes have come that are read in this
   * turn.
   */
  Moment arrival() {
    begins();
    return readinessClock.cameSince();
  }

  /**
   * Runs the task behind the loop's next look at its sockets: by way of a task, since what is put
   * behind an iteration from behind it would run in it.
   */
  void afterNextLook(Runnable task) {
    loop.executeAfterEventLoopIteration(
        () -> loop.execute(() -> loop.executeAfterEventLoopIteration(task)));
  }

  /** For how long this loop has been held up since it began, in all. */
  Span heldUp() {
    return readinessClock.heldUp();
  }

  /** What the turn under way has had to do. */
  IterationLoad load() {
    return load;
  }

  private void begins() {
    if (!asked) {
      asked = true;
      readinessClock.cameSince();
      began = clock.now();
      loop.executeAfterEventLoopIteration(this::run);
    }
  }

  /** To be done behind all else of each turn. */
  void last(Runnable step) {
    last = step;
  }

  /** To be done in every turn before anything else is heard. */
  void first(Consumer<Moment> look) {
    first = look;
  }

  /** For what the decisions want done. */
  void act(Runnable effect) {
    acts.add(effect);
  }

  /** The clock of the batch in hand, or of the last one. */
  Moment now() {
    return now;
  }

  Clock clock() {
    return clock;
  }

  private void run() {
    now = clock.now();
    if (!looksAgain && now.since(began).isLongerThan(HELD_UP)) {
      // Held up since it looked at its connections: news may wait there by now.
      looksAgain = true;
      // By way of a task: what is put behind this iteration from here would run in it.
      loop.execute(() -> loop.executeAfterEventLoopIteration(this::run));
      return;
    }
    asked = false;
    looksAgain = false;
    if (first != null) {
      guarded("looking at the lease", () -> first.accept(now));
    }
    decide(news);
    decide(heard);
    for (Runnable act = acts.poll(); act != null; act = acts.poll()) {
      guarded("carrying out", act);
    }
    guarded("ending the turn", last);
    Moment ended = clock.now();
    if (ended.since(began).isLongerThan(SLOW)) {
      counters.add(Counter.TURN_SLOW);
      slowTurns.note(
          ended.since(began).micros() / 1_000,
          "reading took " + now.since(began).micros() / 1_000 + " ms of it, " + load);
    }
    load.begins();
  }

  /** How this process's clock stands to the servers'. */
  ClockOffset clockOffset() {
    return clockOffset;
  }

  /** What this router counts. */
  Counters counters() {
    return counters;
  }

  private void decide(ArrayDeque<Consumer<Moment>> inputs) {
    // What is heard while this goes on belongs to the next turn.
    for (int left = inputs.size(); left > 0; left--) {
      Consumer<Moment> input = inputs.poll();
      guarded("deciding", () -> input.accept(now));
    }
  }

  private static void guarded(String what, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | OutOfMemoryError fault) {
      Event.FAULT.fault(LOG, "", fault, what);
    }
  }
}
