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
    Map<KillState.Left, Integer> expected = new EnumMap<>(Map.of(KillState.Left.NEWEST, 200));
    Map<KillState.Left, Integer> found = KillState.kills(200, 17);
    if (!found.equals(expected)) {
      throw new AssertionError("" + found);
    }
  }

  private static void expect(KillState.Left left, Path folder, long told) throws Exception {
    KillState.Left found = KillState.judge(folder, told, 1_000_000);
    if (found != left) {
      throw new AssertionError(found + " where " + left + " was planted");
    }
  }

  @Example
  void theJudgeFindsWhatIsPlanted() throws Exception {
    Path folder = Files.createTempDirectory("judged");
    expect(KillState.Left.LOST, folder, 0);
    SnapshotStore generations = new SnapshotStore(new LockedDirectory(folder));
    generations.store(MadeViews.view(1, KillState.NODES), 1 << 20);
    expect(KillState.Left.NEWEST, folder, 1);
    expect(KillState.Left.OLDER, folder, 2);
    LearnedState mixed = MadeViews.view(2, KillState.NODES);
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
    expect(KillState.Left.CORRUPT, folder, 1);
    // Another router's counts for nothing, so its weights are not those of the curve.
    LearnedState today = MadeViews.view(4, KillState.NODES);
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
    expect(KillState.Left.UNAGED, folder, 4);
  }
}
