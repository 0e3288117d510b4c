package basaltlever.fleet;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.golden.Golden;
import basaltlever.settings.SettingsVersion;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

/** Checks that a voter's folder is read back, and that damaged or foreign ones are rejected. */
class VoterStoreTest {
  private static String openFailure(Path folder, String fleet, String name) {
    try {
      VoterStore.open(folder, fleet, name);
      return "";
    } catch (IOException fault) {
      return fault.getMessage();
    }
  }

  @Example
  void writtenFolderIsReadBackAndForeignOrDamagedFoldersAreRejected() throws Exception {
    Path folder = Files.createTempDirectory("voter-store");
    VoterStore voterStore = VoterStore.open(folder, "cards", "n1");
    voterStore.recordVotingEpoch(2, List.of("n1", "n4"));
    voterStore.recordLatestEpoch(3);
    voterStore.recordVoters(List.of("n4", "n5"));
    SettingsVersion version =
        new SettingsVersion(7, "{\"Balancers\":3}", 12, "ops", "fewer copies", 1_796_000_000_000L);
    voterStore.recordInForce(new SettingsVersion(6, "{}", 11, "ops", "before", 1));
    voterStore.recordInForce(version);
    VoterStore reopened = VoterStore.open(folder, "cards", "n1");
    check(
        reopened.identity().equals(voterStore.identity())
            && reopened.latestEpoch() == 3
            && reopened.voters().equals(List.of("n4", "n5"))
            && reopened.inForce().equals(version),
        "all recorded values are read back");
    check(
        openFailure(folder, "cards", "n2").contains("is the folder of n1 of fleet cards"),
        "folder of another router is rejected");
    check(
        openFailure(folder, "views", "n1").contains("not of n1 of views"),
        "folder of another fleet is rejected");
    Path file = folder.resolve("papers");
    byte[] bytes = Files.readAllBytes(file);
    for (int index = 0; index < bytes.length; index++) {
      byte[] damaged = bytes.clone();
      damaged[index] ^= 4;
      Files.write(file, damaged);
      check(
          openFailure(folder, "cards", "n1").contains("damaged"),
          "undetected bit flip in byte " + index);
    }
    for (int length = 0; length < bytes.length; length += 7) {
      Files.write(file, java.util.Arrays.copyOf(bytes, length));
      check(
          openFailure(folder, "cards", "n1").contains("damaged"),
          "undetected truncation to length " + length);
    }
  }

  @Example
  void fileOfAnEarlierReleaseIsRewrittenByteForByte() throws Exception {
    Path folder = Files.createTempDirectory("voter-store");
    Path file = folder.resolve("papers");
    Files.write(file, Golden.bytes("voter/papers"));
    VoterStore voterStore = VoterStore.open(folder, "cards", "n1");
    SettingsVersion recorded = voterStore.inForce();
    voterStore.recordInForce(new SettingsVersion(1, "{}", 1, "ops", "another", 1));
    voterStore.recordInForce(recorded);
    Golden.check("voter/papers", Files.readAllBytes(file));
  }

  /** Settings may fill a message up to its limit; the file must still be readable then. */
  @Example
  void onlyTheVersionIsOmittedWhenTheFileWouldExceedTheSizeLimit() throws Exception {
    Path folder = Files.createTempDirectory("voter-store");
    VoterStore voterStore = VoterStore.open(folder, "cards", "n1");
    voterStore.recordVotingEpoch(2, List.of("n1"));
    voterStore.recordInForce(
        new SettingsVersion(
            7, "x".repeat(MessageCodec.MAX_MESSAGE_BYTES - 60), 12, "ops", "large", 1));
    VoterStore reopened = VoterStore.open(folder, "cards", "n1");
    check(
        reopened.inForce() == null
            && reopened.identity().equals(voterStore.identity())
            && reopened.latestEpoch() == 2,
        "everything except the version is stored");
  }
}
