package basaltlever.lab;

import basaltlever.snapshot.LearnedState;
import basaltlever.storage.LockedDirectory;
import basaltlever.storage.SnapshotStore;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** Real processes, and proof that their judge can find against them. */
class KillStateTest {
  @Example
  void twoHundredKillsLoseAndSpoilNothing() throws Exception {
    Map<KillStateCommand.RestoreOutcome, Integer> expected =
        new EnumMap<>(Map.of(KillStateCommand.RestoreOutcome.NEWEST, 200));
    Map<KillStateCommand.RestoreOutcome, Integer> found = KillStateCommand.runKills(200, 17);
    if (!found.equals(expected)) {
      throw new AssertionError("" + found);
    }
  }

  private static void expect(KillStateCommand.RestoreOutcome left, Path folder, long told)
      throws Exception {
    KillStateCommand.RestoreOutcome found =
        KillStateCommand.checkStoredState(folder, told, 1_000_000);
    if (found != left) {
      throw new AssertionError(found + " where " + left + " was planted");
    }
  }

  @Example
  void theJudgeFindsWhatIsPlanted() throws Exception {
    Path folder = Files.createTempDirectory("judged");
    expect(KillStateCommand.RestoreOutcome.LOST, folder, 0);
    SnapshotStore generations = new SnapshotStore(new LockedDirectory(folder));
    generations.store(SyntheticStates.learnedState(1, KillStateCommand.ENDPOINT_COUNT), 1 << 20);
    expect(KillStateCommand.RestoreOutcome.NEWEST, folder, 1);
    expect(KillStateCommand.RestoreOutcome.OLDER, folder, 2);
    LearnedState mixed = SyntheticStates.learnedState(2, KillStateCommand.ENDPOINT_COUNT);
    generations.store(
        new LearnedState(
            mixed.deployment(),
            mixed.router(),
            3,
            mixed.writtenAtMicros(),
            mixed.monotonicMicros(),
            mixed.bootId(),
            3,
            mixed.endpoints(),
            List.of()),
        1 << 20);
    expect(KillStateCommand.RestoreOutcome.CORRUPT, folder, 1);
    // Another router's counts for nothing, so its weights are not those of the curve.
    LearnedState today = SyntheticStates.learnedState(4, KillStateCommand.ENDPOINT_COUNT);
    generations.store(
        new LearnedState(
            today.deployment(),
            "another",
            4,
            today.writtenAtMicros(),
            today.monotonicMicros(),
            today.bootId(),
            4,
            today.endpoints(),
            List.of()),
        1 << 20);
    expect(KillStateCommand.RestoreOutcome.UNAGED, folder, 4);
  }
}
