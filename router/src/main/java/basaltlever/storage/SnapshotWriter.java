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
 * Reads the view of a folder at start and writes one each period, on a thread of its own: however
 * slow the disk is, nobody waits for it but this thread, and the start and the end for a stated
 * while.
 */
public final class SnapshotWriter {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotWriter.class);

  /** A disk that takes longer to be read would cost a start more than the view is worth. */
  private static final Span READ_WITHIN = Span.ofMillis(1_000);

  private static final Span LAST_WITHIN = Span.ofMillis(1_000);

  /** So that routers started together don't go on writing together. */
  private static final double JITTER = 0.25;

  /**
   * What a router has learned by now; null where it can't say any more. Called on the keeper's
   * thread.
   */
  public interface Source {
    LearnedState view() throws InterruptedException;
  }

  private final LockedDirectory folder;
  private final SnapshotStore generations;
  private final String deployment;
  private final String router;
  private final SplittableRandom chance;
  private final Source source;
  private final RateLimitedLog failures;
  private final ScheduledThreadPoolExecutor thread;
  private final Future<StateRestore> reading;
  private volatile Span period;
  private volatile int most;
  private boolean held;
  private boolean told;
  private boolean read;
  private long number;

  public SnapshotWriter(
      Path folder,
      String deployment,
      String router,
      Span period,
      int most,
      SplittableRandom chance,
      Source source) {
    this.folder = new LockedDirectory(folder);
    this.deployment = deployment;
    this.router = router;
    this.period = period;
    this.most = most;
    this.chance = chance;
    this.source = source;
    generations = new SnapshotStore(this.folder);
    failures =
        new RateLimitedLog(LOG, Event.VIEW_NOT_KEPT, () -> new Moment(SystemClocks.steady()));
    thread =
        new ScheduledThreadPoolExecutor(
            1,
            work -> {
              Thread worker = new Thread(work, "view");
              worker.setDaemon(true);
              return worker;
            });
    reading = thread.submit(this::read);
  }

  /**
   * What the folder's view is worth, read since this was made; never fails, and takes a second at
   * most.
   */
  public StateRestore recall() throws InterruptedException {
    try {
      return reading.get(READ_WITHIN.micros(), TimeUnit.MICROSECONDS);
    } catch (TimeoutException slow) {
      Event.VIEW_LEFT_OUT.log(
          LOG, Level.WARN, "", "reading " + folder + " takes more than a second");
    } catch (ExecutionException fault) {
      Event.VIEW_LEFT_OUT.log(LOG, Level.WARN, "", fault.getCause());
    }
    return StateRestore.NONE;
  }

  /** Each period from now on, and a random part of it sooner or later. */
  public void keeps() {
    long wait = period.times(1 - JITTER + 2 * JITTER * chance.nextDouble()).micros();
    try {
      thread.schedule(
          () -> {
            writeAnother();
            keeps();
          },
          wait,
          TimeUnit.MICROSECONDS);
    } catch (RejectedExecutionException ended) {
      // The last one has been written.
    }
  }

  public void adjust(Span newPeriod, int newMost) {
    period = newPeriod;
    most = newMost;
  }

  public Path folder() {
    return folder.path();
  }

  /** One view more, or none where it is null, then the folder is let go. Returns at once. */
  public void ends(LearnedState last) {
    thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    thread.execute(
        () -> {
          if (last != null) {
            write(last);
          }
          close();
        });
    thread.shutdown();
  }

  /** For the last write, a second at most: an exit is not held up any longer by a slow disk. */
  public void awaitEnd() throws InterruptedException {
    if (!thread.awaitTermination(LAST_WITHIN.micros(), TimeUnit.MICROSECONDS)) {
      failures.note(folder, "the last view did not reach the disk in time");
    }
  }

  private StateRestore read() {
    try {
      if (!take()) {
        return StateRestore.NONE;
      }
      SnapshotStore.Found found = newest();
      found.faults().stream()
          .limit(2)
          .forEach(fault -> Event.VIEW_LEFT_OUT.log(LOG, Level.WARN, "", fault));
      if (found.view() == null) {
        return StateRestore.NONE;
      }
      StateRestore recollection =
          StateRestore.of(
              found.view(),
              deployment,
              router,
              SystemClocks.now(),
              SystemClocks.steady(),
              SystemClocks.boot());
      if (!recollection.rejection().isEmpty()) {
        Event.VIEW_LEFT_OUT.log(
            LOG, Level.WARN, "", found.name() + ": " + recollection.rejection());
      } else {
        Event.VIEW_TAKEN.log(
            LOG,
            Level.INFO,
            "",
            found.name(),
            recollection.age().micros() / 1_000,
            recollection.pendingCount(),
            String.format("%.4f", StateDecay.weight(recollection.age())));
      }
      return recollection;
    } catch (IOException fault) {
      Event.VIEW_LEFT_OUT.log(LOG, Level.WARN, "", fault);
      return StateRestore.NONE;
    }
  }

  private SnapshotStore.Found newest() throws IOException {
    SnapshotStore.Found found = generations.newest();
    number = Math.max(number, found.number());
    read = true;
    return found;
  }

  private boolean take() throws IOException {
    held = folder.take();
    if (!held && !told) {
      told = true;
      Event.VIEW_FOLDER_HELD.log(
          LOG, Level.WARN, "another process writes here; it is left alone", folder);
    }
    return held;
  }

  private void writeAnother() {
    try {
      LearnedState view = source.view();
      if (view != null) {
        write(view);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException fault) {
      failures.note(folder, String.valueOf(fault));
    }
  }

  /** A folder that vanished and came back is taken again; numbers go on from what is there. */
  private void write(LearnedState view) {
    try {
      if (!held && !take()) {
        return;
      }
      if (!read) {
        newest();
      }
      generations.store(view.withSequence(number + 1), most);
      number++;
    } catch (IOException | RuntimeException fault) {
      failures.note(folder, String.valueOf(fault));
      close();
      read = false;
    }
  }

  private void close() {
    held = false;
    try {
      folder.close();
    } catch (IOException fault) {
      failures.note(folder, String.valueOf(fault));
    }
  }
}
