package basaltlever.golden;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.LearnedStateFixtures;
import basaltlever.cli.Main;
import basaltlever.snapshot.LearnedState;
import basaltlever.storage.SnapshotCodec;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

/**
 * A learned state that an earlier release kept: read as it was meant, written with the same bytes,
 * shown alike.
 */
class SnapshotGoldenTest {
  private static final int LARGEST = 1 << 20;

  @Example
  void aKeptStateIsReadAndWrittenWithTheSameBytes() throws Exception {
    LearnedState recorded = SnapshotCodec.read(Golden.bytes("snapshot-7.view"));
    check(recorded.equals(LearnedStateFixtures.createLearnedState(7, 5)), "read as it was meant");
    Golden.check("snapshot-7.view", SnapshotCodec.write(recorded, LARGEST));
  }

  @Example
  void theCommandsShowItAsBefore() throws Exception {
    Path folder = Files.createTempDirectory("golden");
    Path file = folder.resolve("view-0000000000000007.blv");
    Files.write(file, Golden.bytes("snapshot-7.view"));
    StringBuilder shown = new StringBuilder();
    for (List<String> command :
        List.of(
            List.of("state", "verify", file.toString()),
            List.of("state", "show", folder.toString(), "--json"),
            List.of("state", "diff", file.toString(), file.toString()))) {
      shown.append(Golden.lines(Commands.run(Main.class, command)));
    }
    Golden.check("snapshot-7.shown", shown.toString().replace(folder.toString(), "FOLDER"));
  }
}
