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
 * One iteration of the event loop. Passes the input of all handlers to the core in one batch, after
 * all I/O of the iteration and with one clock reading, then carries out the resulting effects in
 * order. What arrives during an iteration is read late; {@link ReadinessClock} tracks since when it
 * may have waited.
 */
final class LoopIteration {
  private static final Logger LOG = LoggerFactory.getLogger(LoopIteration.class);
  private final SingleThreadEventLoop loop;
  private final Clock clock;
  private final Counters counters = new Counters();
  private final ClockOffset clockOffset = new ClockOffset();

  /** A longer iteration is counted and logged. */
  private static final Span SLOW_THRESHOLD = Span.ofMillis(20);

  private final RateLimitedLog slowIterationLog;

  /**
   * If the batch runs this long after the iteration started, newer input may be waiting at the
   * sockets.
   */
  private static final Span STALL_THRESHOLD = Span.ofMillis(50);

  /**
   * Longest time without a task on this loop. Without one, a stall of the process would not be
   * detected.
   */
  private static final Span TICK_INTERVAL = Span.ofMillis(50);

  private final ArrayDeque<Consumer<Moment>> discoveryInputs = new ArrayDeque<>();
  private final ArrayDeque<Consumer<Moment>> inputs = new ArrayDeque<>();
  private final ArrayDeque<Runnable> effects = new ArrayDeque<>();

  /** Null if there is none. */
  private Consumer<Moment> firstStep;

  private boolean runScheduled;

  /** Whether the batch of this iteration is being processed. */
  private boolean running;

  private boolean selectingAgain;
  private Moment now;
  private Moment startedAt;
  private final ReadinessClock readinessClock;
  private final IterationLoad load = new IterationLoad();

  /** Runs at the end of each iteration. */
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

  /** Queues input of a handler or timer for the core. Called on the loop's thread only. */
  void enqueue(Consumer<Moment> input) {
    inputs.add(input);
    scheduleRun();
  }

  /**
   * Queues input from discovery, which is processed before all other input of the iteration. After
   * a stall, everything that arrived meanwhile is readable together: statements, and the drain of
   * the endpoint that they would be sent to.
   */
  void enqueueDiscovery(Consumer<Moment> input) {
    discoveryInputs.add(input);
    scheduleRun();
  }

  /** Returns the earliest time at which bytes read in this iteration can have arrived. */
  Moment earliestArrival() {
    scheduleRun();
    return readinessClock.earliestArrival();
  }

  /**
   * Runs the task after the loop's next select. It is scheduled through a task, because what is
   * added while after-iteration tasks run would run in the same iteration.
   */
  void runAfterNextSelect(Runnable task) {
    loop.executeAfterEventLoopIteration(
        () -> loop.execute(() -> loop.executeAfterEventLoopIteration(task)));
  }

  /** Returns the total time for which this loop has been stalled since its start. */
  Span stalledTime() {
    return readinessClock.stalledTime();
  }

  /** Returns the number of selects so far, which identifies the current iteration. */
  long number() {
    return readinessClock.selects();
  }

  /** Returns the work of the current iteration. */
  IterationLoad load() {
    return load;
  }

  private void scheduleRun() {
    if (!runScheduled) {
      runScheduled = true;
      readinessClock.earliestArrival();
      startedAt = clock.now();
      if (running) {
        // What is added while after-iteration tasks run would run in the same iteration, and no
        // socket would be read and no timer fire for as long as effects produce input.
        runAfterNextSelect(this::run);
      } else {
        loop.executeAfterEventLoopIteration(this::run);
      }
    }
  }

  /** Sets the step that runs at the end of each iteration. */
  void setLastStep(Runnable step) {
    lastStep = step;
  }

  /** Sets the step that runs in each iteration before any input is processed. */
  void setFirstStep(Consumer<Moment> step) {
    firstStep = step;
  }

  /** Queues an effect requested by the core. */
  void addEffect(Runnable effect) {
    effects.add(effect);
  }

  /** Returns the clock reading of the current batch, or of the last one. */
  Moment now() {
    return now;
  }

  Clock clock() {
    return clock;
  }

  private void run() {
    now = clock.now();
    if (!selectingAgain && now.since(startedAt).isLongerThan(STALL_THRESHOLD)) {
      // The loop was stalled since its select, so input from discovery may be waiting.
      selectingAgain = true;
      // Scheduled through a task, because what is added from here would run in the same iteration.
      loop.execute(() -> loop.executeAfterEventLoopIteration(this::run));
      return;
    }
    runScheduled = false;
    selectingAgain = false;
    running = true;
    processBatch();
    running = false;
    Moment endedAt = clock.now();
    if (endedAt.since(startedAt).isLongerThan(SLOW_THRESHOLD)) {
      counters.increment(Counter.TURN_SLOW);
      slowIterationLog.log(
          endedAt.since(startedAt).micros() / 1_000,
          "reading took " + now.since(startedAt).micros() / 1_000 + " ms of it, " + load);
    }
    load.reset();
  }

  private void processBatch() {
    if (firstStep != null) {
      runGuarded("checking the lease", () -> firstStep.accept(now));
    }
    processInputs(discoveryInputs);
    processInputs(inputs);
    for (Runnable effect = effects.poll(); effect != null; effect = effects.poll()) {
      runGuarded("carrying out an effect", effect);
    }
    runGuarded("running the last step of the iteration", lastStep);
  }

  /** Returns the offset between this process's clock and the servers' clocks. */
  ClockOffset clockOffset() {
    return clockOffset;
  }

  /** Returns this router's counters. */
  Counters counters() {
    return counters;
  }

  private void processInputs(ArrayDeque<Consumer<Moment>> inputs) {
    // Input queued meanwhile belongs to the next iteration.
    for (int remaining = inputs.size(); remaining > 0; remaining--) {
      Consumer<Moment> input = inputs.poll();
      runGuarded("processing input", () -> input.accept(now));
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
