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
 * Reads the newest snapshot of a directory at startup and writes a snapshot each period, on a
 * dedicated thread. Only that thread waits for a slow disk; startup and shutdown wait for a bounded
 * time.
 */
public final class SnapshotWriter {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotWriter.class);

  /** Maximum time that startup waits for the disk. */
  private static final Span READ_TIMEOUT = Span.ofMillis(1_000);

  /** Maximum time that shutdown waits for the disk. */
  private static final Span LAST_WRITE_TIMEOUT = Span.ofMillis(1_000);

  /** Spreads the writes of routers that were started together; a fraction of the period. */
  private static final double JITTER = 0.25;

  private static final int MAX_LOGGED_REJECTIONS = 2;

  /** Provides the state to store. */
  public interface Source {
    /**
     * Returns the current learned state; null if it is not available. Called on the writer's
     * thread.
     */
    LearnedState currentState() throws InterruptedException;
  }

  private final LockedDirectory directory;
  private final SnapshotStore store;
  private final String deployment;
  private final String router;
  private final SplittableRandom random;
  private final Source source;
  private final RateLimitedLog failureLog;
  private final ScheduledThreadPoolExecutor executor;
  private final Future<StateRestore> restoreResult;
  private volatile Span period;
  private volatile int maxBytes;
  private boolean locked;
  private boolean lockRefusalLogged;
  private boolean sequenceInitialized;
  private long sequence;

  /**
   * Creates a writer and starts to read the newest snapshot.
   *
   * @param path the directory of the snapshots
   * @param deployment the deployment of the router
   * @param router the name of the router
   * @param period the average time between two snapshots
   * @param maxBytes the maximum size of a snapshot
   * @param random source of the jitter
   * @param source provides the state to store
   */
  public SnapshotWriter(
      Path path,
      String deployment,
      String router,
      Span period,
      int maxBytes,
      SplittableRandom random,
      Source source) {
    directory = new LockedDirectory(path);
    this.deployment = deployment;
    this.router = router;
    this.period = period;
    this.maxBytes = maxBytes;
    this.random = random;
    this.source = source;
    store = new SnapshotStore(directory);
    failureLog =
        new RateLimitedLog(
            LOG, Event.VIEW_NOT_KEPT, () -> new Moment(SystemClocks.monotonicMicros()));
    executor = new ScheduledThreadPoolExecutor(1, SnapshotWriter::newDaemonThread);
    restoreResult = executor.submit(this::readSnapshot);
  }

  private static Thread newDaemonThread(Runnable task) {
    Thread worker = new Thread(task, "view");
    worker.setDaemon(true);
    return worker;
  }

  /**
   * Returns the restore of the newest snapshot. It waits at most one second; after a timeout or
   * failure it returns {@link StateRestore#EMPTY}.
   */
  public StateRestore awaitRestore() throws InterruptedException {
    try {
      return restoreResult.get(READ_TIMEOUT.micros(), TimeUnit.MICROSECONDS);
    } catch (TimeoutException timeout) {
      Event.VIEW_LEFT_OUT.log(
          LOG, Level.WARN, "", "reading the snapshot in " + directory + " took more than 1 s");
    } catch (ExecutionException fault) {
      Event.VIEW_LEFT_OUT.log(LOG, Level.WARN, "", fault.getCause());
    }
    return StateRestore.EMPTY;
  }

  /** Starts to write a snapshot each period. */
  public void startWriting() {
    double jitter = 1 - JITTER + 2 * JITTER * random.nextDouble();
    try {
      executor.schedule(
          () -> {
            writeCurrentState();
            startWriting();
          },
          period.times(jitter).micros(),
          TimeUnit.MICROSECONDS);
    } catch (RejectedExecutionException shutDown) {
      // The executor was shut down; no further snapshot is scheduled.
    }
  }

  /** Changes the period and the maximum size of future snapshots. */
  public void reconfigure(Span newPeriod, int newMaxBytes) {
    period = newPeriod;
    maxBytes = newMaxBytes;
  }

  /** Returns the directory of the snapshots. */
  public Path directoryPath() {
    return directory.path();
  }

  /**
   * Writes a last snapshot, or none if it is null, then releases the directory. Does not wait for
   * the write.
   */
  public void close(LearnedState last) {
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    executor.execute(
        () -> {
          if (last != null) {
            writeSnapshot(last);
          }
          releaseDirectory();
        });
    executor.shutdown();
  }

  /** Waits at most one second until the last snapshot is written. */
  public void awaitClosed() throws InterruptedException {
    if (!executor.awaitTermination(LAST_WRITE_TIMEOUT.micros(), TimeUnit.MICROSECONDS)) {
      failureLog.log(directory, "the last snapshot was not written within 1 s of shutdown");
    }
  }

  private StateRestore readSnapshot() {
    try {
      if (!lockDirectory()) {
        return StateRestore.EMPTY;
      }
      SnapshotStore.LoadResult newest = loadNewest();
      newest.rejectedFiles().stream()
          .limit(MAX_LOGGED_REJECTIONS)
          .forEach(file -> Event.VIEW_LEFT_OUT.log(LOG, Level.WARN, "", file));
      if (newest.state() == null) {
        return StateRestore.EMPTY;
      }
      StateRestore result =
          StateRestore.evaluate(
              newest.state(),
              deployment,
              router,
              SystemClocks.unixMicros(),
              SystemClocks.monotonicMicros(),
              SystemClocks.bootId());
      logRestore(newest.fileName(), result);
      return result;
    } catch (IOException fault) {
      Event.VIEW_LEFT_OUT.log(LOG, Level.WARN, "", fault);
      return StateRestore.EMPTY;
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
        result.pendingEndpointCount(),
        String.format("%.4f", StateDecay.weight(result.age())));
  }

  private SnapshotStore.LoadResult loadNewest() throws IOException {
    SnapshotStore.LoadResult newest = store.loadNewest();
    sequence = Math.max(sequence, newest.highestSequence());
    sequenceInitialized = true;
    return newest;
  }

  private boolean lockDirectory() throws IOException {
    locked = directory.tryLock();
    if (!locked && !lockRefusalLogged) {
      lockRefusalLogged = true;
      Event.VIEW_FOLDER_HELD.log(
          LOG,
          Level.WARN,
          "another process has locked the snapshot directory; this router does not use it",
          directory);
    }
    return locked;
  }

  @SuppressWarnings("IllegalCatch") // A failure of the source must not stop the periodic writes.
  private void writeCurrentState() {
    try {
      LearnedState state = source.currentState();
      if (state != null) {
        writeSnapshot(state);
      }
    } catch (InterruptedException shutDown) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException fault) {
      failureLog.log(directory, String.valueOf(fault));
    }
  }

  /**
   * Writes a snapshot. After a failure the directory is locked again and the sequence continues
   * from its files, since the directory may have been removed and recreated.
   */
  @SuppressWarnings("IllegalCatch") // The directory must be released after any failure.
  private void writeSnapshot(LearnedState state) {
    try {
      if (!locked && !lockDirectory()) {
        return;
      }
      if (!sequenceInitialized) {
        loadNewest();
      }
      store.store(state.withSequence(sequence + 1), maxBytes);
      sequence++;
    } catch (IOException | RuntimeException fault) {
      failureLog.log(directory, String.valueOf(fault));
      releaseDirectory();
      sequenceInitialized = false;
    }
  }

  private void releaseDirectory() {
    locked = false;
    try {
      directory.close();
    } catch (IOException fault) {
      failureLog.log(directory, String.valueOf(fault));
    }
  }
}
