package basaltlever.lab;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateRestore;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.storage.LockedDirectory;
import basaltlever.storage.SnapshotStore;
import basaltlever.storage.SystemClocks;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Tests that stored state survives SIGKILL. Processes store one snapshot after the other and are
 * killed at a random time. The newest snapshot in the folder of each is then compared with the
 * contents that follow from its sequence number, and with the last sequence number that the process
 * reported as stored.
 */
@Parameters(
    commandDescription =
        "Kills processes by SIGKILL while they store snapshots, and checks the stored state")
final class KillStateCommand {
  static final int ENDPOINT_COUNT = 200;
  private static final int PARALLEL_KILLS = 6;
  private static final long MAX_KILL_DELAY_NANOS = 12_000_000;
  private static final double HEALTH_DECAY_SECONDS = 120;

  @Parameter(names = "--kills", description = "number of processes to kill")
  private int killCount = 200;

  @Parameter(names = "--seed", description = "random seed of the times of the kills")
  private long seed = 1;

  @Parameter(names = "--json", description = "output file for the figures")
  private String figuresFile;

  /** The state that was found after a kill; from {@link #CORRUPT} on, the experiment fails. */
  enum RestoreOutcome {
    /** The last snapshot that was reported as stored, or a newer one. */
    NEWEST,
    /** A snapshot older than the last one that was reported as stored. */
    OLDER,
    /** A snapshot whose contents don't match its sequence number. */
    CORRUPT,
    /**
     * A snapshot from which an endpoint is not restored, or with a wrongly decayed failure rate.
     */
    UNAGED,
    /** No valid snapshot. */
    LOST
  }

  /** Runs in the process that is killed. */
  @Parameters(hidden = true, commandDescription = "Stores snapshots in a folder until it is killed")
  static final class StateWriter {
    @Parameter(description = "DIR", required = true)
    private String folder;

    void run() throws IOException {
      try (LockedDirectory directory = new LockedDirectory(Path.of(folder))) {
        if (!directory.tryLock()) {
          throw new IOException("the folder is locked by another process");
        }
        SnapshotStore store = new SnapshotStore(directory);
        // Exits once nothing reads its output: the process that was to kill it has ended.
        for (long sequence = store.loadNewest().highestSequence() + 1;
            !System.out.checkError();
            sequence++) {
          store.store(SyntheticStates.learnedState(sequence, ENDPOINT_COUNT), 1 << 20);
          System.out.println(sequence);
        }
      }
    }
  }

  int run() throws Exception {
    Map<RestoreOutcome, Integer> counts = runKills(killCount, seed);
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("kills", killCount);
    figures.put("loaded_newest", counts.getOrDefault(RestoreOutcome.NEWEST, 0));
    figures.put("loaded_older", counts.getOrDefault(RestoreOutcome.OLDER, 0));
    figures.put("corrupt_loaded", counts.getOrDefault(RestoreOutcome.CORRUPT, 0));
    figures.put("unaged_loaded", counts.getOrDefault(RestoreOutcome.UNAGED, 0));
    figures.put("lost_all", counts.getOrDefault(RestoreOutcome.LOST, 0));
    FiguresWriter.publish(figures, figuresFile);
    return counts.keySet().stream()
            .anyMatch(outcome -> outcome.ordinal() >= RestoreOutcome.CORRUPT.ordinal())
        ? 1
        : 0;
  }

  static Map<RestoreOutcome, Integer> runKills(int killCount, long seed) throws Exception {
    SplittableRandom random = new SplittableRandom(seed);
    ExecutorService threads =
        Executors.newFixedThreadPool(PARALLEL_KILLS, SimulatedGroup::newDaemonThread);
    List<Future<RestoreOutcome>> futures = new ArrayList<>();
    for (int i = 0; i < killCount; i++) {
      SplittableRandom killRandom = random.split();
      futures.add(threads.submit((Callable<RestoreOutcome>) () -> killOneWriter(killRandom)));
    }
    Map<RestoreOutcome, Integer> counts = new EnumMap<>(RestoreOutcome.class);
    for (Future<RestoreOutcome> future : futures) {
      counts.merge(future.get(), 1, Integer::sum);
    }
    threads.shutdown();
    return counts;
  }

  private static RestoreOutcome killOneWriter(SplittableRandom random) throws Exception {
    Path folder = Files.createTempDirectory("kill-state");
    Process process =
        new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-Xshare:auto",
                "-Xmx64m",
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "write-views",
                folder.toString())
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    long acknowledgedSequence = 0;
    try (BufferedReader output = process.inputReader()) {
      String line = output.readLine();
      if (line == null) {
        throw new IOException("the writer process ended without storing a snapshot");
      }
      long killAtNanos = System.nanoTime() + random.nextLong(MAX_KILL_DELAY_NANOS);
      while (System.nanoTime() < killAtNanos) {
        Thread.onSpinWait();
      }
      // Process.destroyForcibly would close the output; the handle leaves it readable.
      process.toHandle().destroyForcibly();
      for (; line != null; line = output.readLine()) {
        // An incomplete last line parses as a smaller number and is ignored.
        acknowledgedSequence =
            line.isEmpty()
                ? acknowledgedSequence
                : Math.max(acknowledgedSequence, Long.parseLong(line));
      }
    }
    process.waitFor(10, TimeUnit.SECONDS);
    RestoreOutcome outcome =
        checkStoredState(folder, acknowledgedSequence, random.nextLong(1, 600_000_000L));
    if (outcome == RestoreOutcome.NEWEST) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    }
    return outcome;
  }

  static RestoreOutcome checkStoredState(Path folder, long acknowledgedSequence, long elapsedMicros)
      throws IOException {
    LearnedState state = new SnapshotStore(new LockedDirectory(folder)).loadNewest().state();
    if (state == null) {
      return RestoreOutcome.LOST;
    }
    List<StoredEndpoint> expectedEndpoints =
        SyntheticStates.storedEndpoints(state.sequence(), ENDPOINT_COUNT);
    // The order may differ: a snapshot ends with its unremarkable endpoints.
    if (state.endpoints().size() != ENDPOINT_COUNT
        || !state.endpoints().containsAll(expectedEndpoints)
        || state.listVersion() != state.sequence()) {
      return RestoreOutcome.CORRUPT;
    }
    StateRestore restore =
        StateRestore.evaluate(
            state,
            SyntheticStates.DEPLOYMENT,
            SyntheticStates.ROUTER,
            state.writtenAtMicros() + elapsedMicros,
            state.monotonicMicros() + elapsedMicros,
            SystemClocks.bootId());
    for (StoredEndpoint stored : expectedEndpoints) {
      EndpointState restored =
          restore.takeEndpoint(
              stored.id(), stored.address(), stored.state().listedStartMicros(), 0, true);
      double storedRate = stored.state().unresponsive() ? 1 : stored.state().failureRate();
      if (restored == null
          || Math.abs(
                  restored.failureRate()
                      - storedRate * Math.exp(-elapsedMicros / 1e6 / HEALTH_DECAY_SECONDS))
              > 1e-9) {
        return RestoreOutcome.UNAGED;
      }
    }
    return state.sequence() >= acknowledgedSequence ? RestoreOutcome.NEWEST : RestoreOutcome.OLDER;
  }
}
