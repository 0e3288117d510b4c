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
 * Checks that a snapshot written by an earlier release is decoded correctly, encoded to the same
 * bytes and printed as before.
 */
class SnapshotGoldenTest {
  private static final int MAX_BYTES = 1 << 20;

  @Example
  void recordedSnapshotIsReadAndRewrittenByteForByte() throws Exception {
    LearnedState recorded = SnapshotCodec.decode(Golden.bytes("snapshot-7.view"));
    check(
        recorded.equals(LearnedStateFixtures.createLearnedState(7, 5)),
        "the decoded snapshot equals the recorded state");
    Golden.check("snapshot-7.view", SnapshotCodec.encode(recorded, MAX_BYTES));
  }

  @Example
  void stateCommandsPrintTheRecordedOutput() throws Exception {
    Path folder = Files.createTempDirectory("golden");
    Path file = folder.resolve("view-0000000000000007.blv");
    Files.write(file, Golden.bytes("snapshot-7.view"));
    StringBuilder output = new StringBuilder();
    for (List<String> command :
        List.of(
            List.of("state", "verify", file.toString()),
            List.of("state", "show", folder.toString(), "--json"),
            List.of("state", "diff", file.toString(), file.toString()))) {
      output.append(Golden.mask(CommandRunner.run(Main.class, command)));
    }
    Golden.check("snapshot-7.shown", output.toString().replace(folder.toString(), "FOLDER"));
  }
}
