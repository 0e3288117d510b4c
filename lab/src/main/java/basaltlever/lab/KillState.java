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
 * Processes that write one view after the other, each ended by SIGKILL at a random moment; what
 * their folders then hold is judged against what the number of a view says must be in it, and
 * against what the process had told to be kept.
 */
@Parameters(
    commandDescription =
        "Ends processes by SIGKILL while they write views, and judges what is left")
final class KillState {
  static final int NODES = 200;
  private static final int AT_ONCE = 6;
  private static final long LATEST_NANOS = 12_000_000;
  private static final double CONDITION_SECONDS = 120;

  @Parameter(names = "--kills", description = "how many")
  private int kills = 200;

  @Parameter(names = "--seed", description = "of the moments")
  private long seed = 1;

  @Parameter(names = "--json", description = "file for the figures")
  private String json;

  enum Left {
    NEWEST,
    OLDER,
    CORRUPT,
    UNAGED,
    LOST
  }

  /** The process that is killed. */
  @Parameters(hidden = true, commandDescription = "Writes views into a folder until it is killed")
  static final class Writer {
    @Parameter(description = "DIR", required = true)
    private String folder;

    void run() throws IOException {
      try (LockedDirectory to = new LockedDirectory(Path.of(folder))) {
        if (!to.tryLock()) {
          throw new IOException("the folder is held");
        }
        SnapshotStore generations = new SnapshotStore(to);
        // Where nobody reads any more, whoever was to kill it has gone, and it ends by itself.
        for (long number = generations.loadNewest().highestSequence() + 1;
            !System.out.checkError();
            number++) {
          generations.store(MadeViews.view(number, NODES), 1 << 20);
          System.out.println(number);
        }
      }
    }
  }

  int run() throws Exception {
    Map<Left, Integer> counts = kills(kills, seed);
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("kills", kills);
    figures.put("loaded_newest", counts.getOrDefault(Left.NEWEST, 0));
    figures.put("loaded_older", counts.getOrDefault(Left.OLDER, 0));
    figures.put("corrupt_loaded", counts.getOrDefault(Left.CORRUPT, 0));
    figures.put("unaged_loaded", counts.getOrDefault(Left.UNAGED, 0));
    figures.put("lost_all", counts.getOrDefault(Left.LOST, 0));
    Figures.tell(figures, json);
    return counts.keySet().stream().anyMatch(left -> left.ordinal() >= Left.CORRUPT.ordinal())
        ? 1
        : 0;
  }

  static Map<Left, Integer> kills(int kills, long seed) throws Exception {
    SplittableRandom chance = new SplittableRandom(seed);
    ExecutorService threads = Executors.newFixedThreadPool(AT_ONCE, Fleet::daemon);
    List<Future<Left>> all = new ArrayList<>();
    for (int i = 0; i < kills; i++) {
      SplittableRandom own = chance.split();
      all.add(threads.submit((Callable<Left>) () -> kill(own)));
    }
    Map<Left, Integer> counts = new EnumMap<>(Left.class);
    for (Future<Left> one : all) {
      counts.merge(one.get(), 1, Integer::sum);
    }
    threads.shutdown();
    return counts;
  }

  private static Left kill(SplittableRandom chance) throws Exception {
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
    long told = 0;
    try (BufferedReader lines = process.inputReader()) {
      String line = lines.readLine();
      if (line == null) {
        throw new IOException("the writer wrote nothing");
      }
      long until = System.nanoTime() + chance.nextLong(LATEST_NANOS);
      while (System.nanoTime() < until) {
        Thread.onSpinWait();
      }
      // Ended through its handle, what it has told can still be read.
      process.toHandle().destroyForcibly();
      for (; line != null; line = lines.readLine()) {
        // A last line that is cut short is a smaller number.
        told = line.isEmpty() ? told : Math.max(told, Long.parseLong(line));
      }
    }
    process.waitFor(10, TimeUnit.SECONDS);
    Left left = judge(folder, told, chance.nextLong(1, 600_000_000L));
    if (left == Left.NEWEST) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    }
    return left;
  }

  static Left judge(Path folder, long told, long later) throws IOException {
    LearnedState view = new SnapshotStore(new LockedDirectory(folder)).loadNewest().state();
    if (view == null) {
      return Left.LOST;
    }
    List<StoredEndpoint> made = MadeViews.nodes(view.sequence(), NODES);
    // Little-telling nodes may stand behind the others.
    if (view.endpoints().size() != NODES
        || !view.endpoints().containsAll(made)
        || view.listVersion() != view.sequence()) {
      return Left.CORRUPT;
    }
    StateRestore offered =
        StateRestore.evaluate(
            view,
            MadeViews.DEPLOYMENT,
            MadeViews.ROUTER,
            view.writtenAtMicros() + later,
            view.monotonicMicros() + later,
            SystemClocks.bootId());
    for (StoredEndpoint known : made) {
      EndpointState aged =
          offered.takeEndpoint(
              known.id(), known.address(), known.state().listedStartMicros(), 0, true);
      double was = known.state().unresponsive() ? 1 : known.state().failureRate();
      if (aged == null
          || Math.abs(aged.failureRate() - was * Math.exp(-later / 1e6 / CONDITION_SECONDS))
              > 1e-9) {
        return Left.UNAGED;
      }
    }
    return view.sequence() >= told ? Left.NEWEST : Left.OLDER;
  }
}
