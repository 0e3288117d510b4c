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

/**
 * Kills processes that store snapshots, and checks that the check of the stored state detects each
 * kind of failure.
 */
class KillStateTest {
  @Example
  void newestSnapshotIsLoadedAfterEachOfTwoHundredKills() throws Exception {
    Map<KillStateCommand.RestoreOutcome, Integer> expected =
        new EnumMap<>(Map.of(KillStateCommand.RestoreOutcome.NEWEST, 200));
    Map<KillStateCommand.RestoreOutcome, Integer> found = KillStateCommand.runKills(200, 17);
    if (!found.equals(expected)) {
      throw new AssertionError("outcomes of the kills: " + found);
    }
  }

  private static void expectOutcome(
      KillStateCommand.RestoreOutcome expected, Path folder, long acknowledgedSequence)
      throws Exception {
    KillStateCommand.RestoreOutcome found =
        KillStateCommand.checkStoredState(folder, acknowledgedSequence, 1_000_000);
    if (found != expected) {
      throw new AssertionError(found + " where " + expected + " was expected");
    }
  }

  @Example
  void checkDetectsLostOutdatedCorruptAndUnagedState() throws Exception {
    Path folder = Files.createTempDirectory("judged");
    expectOutcome(KillStateCommand.RestoreOutcome.LOST, folder, 0);
    SnapshotStore store = new SnapshotStore(new LockedDirectory(folder));
    store.store(SyntheticStates.learnedState(1, KillStateCommand.ENDPOINT_COUNT), 1 << 20);
    expectOutcome(KillStateCommand.RestoreOutcome.NEWEST, folder, 1);
    expectOutcome(KillStateCommand.RestoreOutcome.OLDER, folder, 2);
    LearnedState mixed = SyntheticStates.learnedState(2, KillStateCommand.ENDPOINT_COUNT);
    store.store(
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
    expectOutcome(KillStateCommand.RestoreOutcome.CORRUPT, folder, 1);
    // The state of another router is rejected, so that no endpoint is restored.
    LearnedState ofOtherRouter = SyntheticStates.learnedState(4, KillStateCommand.ENDPOINT_COUNT);
    store.store(
        new LearnedState(
            ofOtherRouter.deployment(),
            "another",
            4,
            ofOtherRouter.writtenAtMicros(),
            ofOtherRouter.monotonicMicros(),
            ofOtherRouter.bootId(),
            4,
            ofOtherRouter.endpoints(),
            List.of()),
        1 << 20);
    expectOutcome(KillStateCommand.RestoreOutcome.UNAGED, folder, 4);
  }
}
