package basaltlever.storage;

import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateDecay;
import basaltlever.snapshot.StateRestore;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.io.IOException;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Reads the snapshot of a directory at start and writes one each period, on a thread of its own:
 * however slow the disk is, only that thread waits for it, and start and shutdown for a bounded
 * time.
 */
public final class SnapshotWriter {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotWriter.class);

  /** A start does not wait any longer for the disk. */
  private static final Span READ_TIMEOUT = Span.ofMillis(1_000);

  /** Nor does a shutdown. */
  private static final Span LAST_WRITE_TIMEOUT = Span.ofMillis(1_000);

  /** Spreads the writes of routers that were started together, as a share of the period. */
  private static final double JITTER = 0.25;

  private static final int MAX_LOGGED_REJECTIONS = 2;

  /** Provides the state to be stored. */
  public interface Source {
    /**
     * What the router has learned by now; null where it can't say. Called on the writer's thread.
     */
    LearnedState currentState() throws InterruptedException;
  }

  private final LockedDirectory directory;
  private final SnapshotStore store;
  private final String deployment;
  private final String router;
  private final SplittableRandom random;
  private final Source source;
  private final RateLimitedLog failures;
  private final ScheduledThreadPoolExecutor thread;
  private final Future<StateRestore> restore;
  private volatile Span period;
  private volatile int maxBytes;
  private boolean locked;
  private boolean lockRefusalLogged;
  private boolean sequenceKnown;
  private long sequence;

  /**
   * Starts to read the newest snapshot.
   *
   * @param folder the directory of the snapshots
   * @param deployment the deployment of the router
   * @param router the name of the router
   * @param period the time between two snapshots, on average
   * @param maxBytes the largest size of a snapshot
   * @param random draws the jitter
   * @param source provides the state to be stored
   */
  public SnapshotWriter(
      Path folder,
      String deployment,
      String router,
      Span period,
      int maxBytes,
      SplittableRandom random,
      Source source) {
    directory = new LockedDirectory(folder);
    this.deployment = deployment;
    this.router = router;
    this.period = period;
    this.maxBytes = maxBytes;
    this.random = random;
    this.source = source;
    store = new SnapshotStore(directory);
    failures =
        new RateLimitedLog(
            LOG, Event.VIEW_NOT_KEPT, () -> new Moment(SystemClocks.monotonicMicros()));
    thread = new ScheduledThreadPoolExecutor(1, SnapshotWriter::daemonThread);
    restore = thread.submit(this::restore);
  }

  private static Thread daemonThread(Runnable work) {
    Thread worker = new Thread(work, "view");
    worker.setDaemon(true);
    return worker;
  }

  /** Waits, for a second at most, for what the directory's snapshot is worth; never fails. */
  public StateRestore awaitRestore() throws InterruptedException {
    try {
      return restore.get(READ_TIMEOUT.micros(), TimeUnit.MICROSECONDS);
    } catch (TimeoutException slow) {
      Event.VIEW_LEFT_OUT.log(
          LOG, Level.WARN, "", "reading " + directory + " takes more than a second");
    } catch (ExecutionException fault) {
      Event.VIEW_LEFT_OUT.log(LOG, Level.WARN, "", fault.getCause());
    }
    return StateRestore.NOTHING;
  }

  /** Writes a snapshot each period from now on. */
  public void startWriting() {
    double jitter = 1 - JITTER + 2 * JITTER * random.nextDouble();
    try {
      thread.schedule(
          () -> {
            writeCurrentState();
            startWriting();
          },
          period.times(jitter).micros(),
          TimeUnit.MICROSECONDS);
    } catch (RejectedExecutionException shutDown) {
      // The last snapshot has been written.
    }
  }

  /** Changes the period and the largest size of the snapshots to come. */
  public void reconfigure(Span newPeriod, int newMaxBytes) {
    period = newPeriod;
    maxBytes = newMaxBytes;
  }

  /** The directory of the snapshots. */
  public Path directoryPath() {
    return directory.path();
  }

  /** Writes a last snapshot, or none for null, then releases the directory. Returns at once. */
  public void close(LearnedState last) {
    thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    thread.execute(
        () -> {
          if (last != null) {
            write(last);
          }
          releaseDirectory();
        });
    thread.shutdown();
  }

  /** Waits for the last snapshot, for a second at most. */
  public void awaitClosed() throws InterruptedException {
    if (!thread.awaitTermination(LAST_WRITE_TIMEOUT.micros(), TimeUnit.MICROSECONDS)) {
      failures.log(directory, "the last view did not reach the disk in time");
    }
  }

  private StateRestore restore() {
    try {
      if (!lockDirectory()) {
        return StateRestore.NOTHING;
      }
      SnapshotStore.Found found = findNewest();
      found.rejected().stream()
          .limit(MAX_LOGGED_REJECTIONS)
          .forEach(file -> Event.VIEW_LEFT_OUT.log(LOG, Level.WARN, "", file));
      if (found.state() == null) {
        return StateRestore.NOTHING;
      }
      StateRestore result =
          StateRestore.of(
              found.state(),
              deployment,
              router,
              SystemClocks.unixMicros(),
              SystemClocks.monotonicMicros(),
              SystemClocks.bootId());
      logRestore(found.name(), result);
      return result;
    } catch (IOException fault) {
      Event.VIEW_LEFT_OUT.log(LOG, Level.WARN, "", fault);
      return StateRestore.NOTHING;
    }
  }

  private static void logRestore(String fileName, StateRestore result) {
    if (!result.rejection().isEmpty()) {
      Event.VIEW_LEFT_OUT.log(LOG, Level.WARN, "", fileName + ": " + result.rejection());
      return;
    }
    Event.VIEW_TAKEN.log(
        LOG,
        Level.INFO,
        "",
        fileName,
        result.age().micros() / 1_000,
        result.pendingCount(),
        String.format("%.4f", StateDecay.weight(result.age())));
  }

  private SnapshotStore.Found findNewest() throws IOException {
    SnapshotStore.Found found = store.newest();
    sequence = Math.max(sequence, found.highestSequence());
    sequenceKnown = true;
    return found;
  }

  private boolean lockDirectory() throws IOException {
    locked = directory.tryLock();
    if (!locked && !lockRefusalLogged) {
      lockRefusalLogged = true;
      Event.VIEW_FOLDER_HELD.log(
          LOG, Level.WARN, "another process writes here; it is left alone", directory);
    }
    return locked;
  }

  @SuppressWarnings("IllegalCatch") // A fault of the source must not end the periodic writes.
  private void writeCurrentState() {
    try {
      LearnedState state = source.currentState();
      if (state != null) {
        write(state);
      }
    } catch (InterruptedException shutDown) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException fault) {
      failures.log(directory, String.valueOf(fault));
    }
  }

  /** A directory that was removed and created again is locked again; numbers go on from there. */
  @SuppressWarnings("IllegalCatch") // Whatever fails, the directory must be released.
  private void write(LearnedState state) {
    try {
      if (!locked && !lockDirectory()) {
        return;
      }
      if (!sequenceKnown) {
        findNewest();
      }
      store.store(state.withSequence(sequence + 1), maxBytes);
      sequence++;
    } catch (IOException | RuntimeException fault) {
      failures.log(directory, String.valueOf(fault));
      releaseDirectory();
      sequenceKnown = false;
    }
  }

  private void releaseDirectory() {
    locked = false;
    try {
      directory.close();
    } catch (IOException fault) {
      failures.log(directory, String.valueOf(fault));
    }
  }
}
