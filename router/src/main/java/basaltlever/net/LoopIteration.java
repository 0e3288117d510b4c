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
  private static final Span SLOW_THRESHOLD = Span.ofMillis(20);

  private final RateLimitedLog slowIterationLog;

  /** A turn that comes this much after its reading does not know any more what has come since. */
  private static final Span STALL_THRESHOLD = Span.ofMillis(50);

  /**
   * This loop is never without something to do for longer, or a standstill of the process would not
   * show.
   */
  private static final Span TICK_INTERVAL = Span.ofMillis(50);

  private final ArrayDeque<Consumer<Moment>> discoveryInputs = new ArrayDeque<>();
  private final ArrayDeque<Consumer<Moment>> inputs = new ArrayDeque<>();
  private final ArrayDeque<Runnable> effects = new ArrayDeque<>();

  /** Null for nothing. */
  private Consumer<Moment> firstStep;

  private boolean runScheduled;
  private boolean selectingAgain;
  private Moment now;
  private Moment startedAt;
  private final ReadinessClock readinessClock;
  private final IterationLoad load = new IterationLoad();

  /** What is to be done behind each turn. */
  private Runnable lastStep = () -> {};

  LoopIteration(SingleThreadEventLoop loop, Clock clock, ReadinessClock readinessClock) {
    this.loop = loop;
    this.clock = clock;
    this.readinessClock = readinessClock;
    slowIterationLog = new RateLimitedLog(LOG, Event.TURN_SLOW, clock::now);
    now = clock.now();
    startedAt = now;
    tick();
  }

  private void tick() {
    loop.schedule(this::tick, TICK_INTERVAL.micros(), TimeUnit.MICROSECONDS);
  }

  /** For handlers and timers; on the loop's thread only. */
  void enqueue(Consumer<Moment> input) {
    inputs.add(input);
    scheduleRun();
  }

  /**
   * For what discovery tells. In a turn it is heard before anything else: a process that was held
   * up finds all of the meantime ready to be read at once, statements and the drain of the member
   * that they would go to.
   */
  void enqueueDiscovery(Consumer<Moment> input) {
    discoveryInputs.add(input);
    scheduleRun();
  }

  /**
   * For handlers that read: no earlier than this can the bytes have come that are read in this
   * turn.
   */
  Moment earliestArrival() {
    scheduleRun();
    return readinessClock.earliestArrival();
  }

  /**
   * Runs the task behind the loop's next look at its sockets: by way of a task, since what is put
   * behind an iteration from behind it would run in it.
   */
  void runAfterNextSelect(Runnable task) {
    loop.executeAfterEventLoopIteration(
        () -> loop.execute(() -> loop.executeAfterEventLoopIteration(task)));
  }

  /** For how long this loop has been held up since it began, in all. */
  Span stalledTime() {
    return readinessClock.stalledTime();
  }

  /** What the turn under way has had to do. */
  IterationLoad load() {
    return load;
  }

  private void scheduleRun() {
    if (!runScheduled) {
      runScheduled = true;
      readinessClock.earliestArrival();
      startedAt = clock.now();
      loop.executeAfterEventLoopIteration(this::run);
    }
  }

  /** To be done behind all else of each turn. */
  void setLastStep(Runnable step) {
    lastStep = step;
  }

  /** To be done in every turn before anything else is heard. */
  void setFirstStep(Consumer<Moment> step) {
    firstStep = step;
  }

  /** For what the decisions want done. */
  void addEffect(Runnable effect) {
    effects.add(effect);
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
    if (!selectingAgain && now.since(startedAt).isLongerThan(STALL_THRESHOLD)) {
      // Held up since it looked at its connections: news may wait there by now.
      selectingAgain = true;
      // By way of a task: what is put behind this iteration from here would run in it.
      loop.execute(() -> loop.executeAfterEventLoopIteration(this::run));
      return;
    }
    runScheduled = false;
    selectingAgain = false;
    if (firstStep != null) {
      runGuarded("looking at the lease", () -> firstStep.accept(now));
    }
    processInputs(discoveryInputs);
    processInputs(inputs);
    for (Runnable effect = effects.poll(); effect != null; effect = effects.poll()) {
      runGuarded("carrying out", effect);
    }
    runGuarded("ending the turn", lastStep);
    Moment endedAt = clock.now();
    if (endedAt.since(startedAt).isLongerThan(SLOW_THRESHOLD)) {
      counters.increment(Counter.TURN_SLOW);
      slowIterationLog.log(
          endedAt.since(startedAt).micros() / 1_000,
          "reading took " + now.since(startedAt).micros() / 1_000 + " ms of it, " + load);
    }
    load.reset();
  }

  /** How this process's clock stands to the servers'. */
  ClockOffset clockOffset() {
    return clockOffset;
  }

  /** What this router counts. */
  Counters counters() {
    return counters;
  }

  private void processInputs(ArrayDeque<Consumer<Moment>> inputs) {
    // What is heard while this goes on belongs to the next turn.
    for (int remaining = inputs.size(); remaining > 0; remaining--) {
      Consumer<Moment> input = inputs.poll();
      runGuarded("deciding", () -> input.accept(now));
    }
  }

  private static void runGuarded(String description, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | OutOfMemoryError fault) {
      Event.FAULT.logError(LOG, "", fault, description);
    }
  }
}
