package basaltlever.fleet;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.golden.Golden;
import basaltlever.settings.SettingsVersion;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

/** A voter's folder is read as it was written; damaged or foreign folders are rejected. */
class VoterStoreTest {
  private static String refused(Path folder, String fleet, String name) {
    try {
      VoterStore.read(folder, fleet, name);
      return "";
    } catch (IOException fault) {
      return fault.getMessage();
    }
  }

  @Example
  void whatWasWrittenIsFoundAndNobodyElsesOrDamagedIsTaken() throws Exception {
    Path folder = Files.createTempDirectory("papers");
    VoterStore voterStore = VoterStore.read(folder, "cards", "n1");
    voterStore.recordVote(2, List.of("n1", "n4"));
    voterStore.recordEpoch(3);
    voterStore.recordVoters(List.of("n4", "n5"));
    SettingsVersion version =
        new SettingsVersion(7, "{\"Balancers\":3}", 12, "ops", "fewer copies", 1_796_000_000_000L);
    voterStore.recordInForce(new SettingsVersion(6, "{}", 11, "ops", "before", 1));
    voterStore.recordInForce(version);
    VoterStore again = VoterStore.read(folder, "cards", "n1");
    check(
        again.identity().equals(voterStore.identity())
            && again.latestEpoch() == 3
            && again.voters().equals(List.of("n4", "n5"))
            && again.inForce().equals(version),
        "kept");
    check(
        refused(folder, "cards", "n2").contains("is the folder of n1 of fleet cards"),
        "another router's");
    check(refused(folder, "views", "n1").contains("not of n1 of views"), "another fleet's");
    Path file = folder.resolve("papers");
    byte[] bytes = Files.readAllBytes(file);
    for (int at = 0; at < bytes.length; at++) {
      byte[] bad = bytes.clone();
      bad[at] ^= 4;
      Files.write(file, bad);
      check(refused(folder, "cards", "n1").contains("damaged"), "bit of byte " + at);
    }
    for (int length = 0; length < bytes.length; length += 7) {
      Files.write(file, java.util.Arrays.copyOf(bytes, length));
      check(refused(folder, "cards", "n1").contains("damaged"), "cut at " + length);
    }
  }

  @Example
  void whatAnEarlierReleaseKeptIsWrittenWithTheSameBytes() throws Exception {
    Path folder = Files.createTempDirectory("papers");
    Path file = folder.resolve("papers");
    Files.write(file, Golden.bytes("voter/papers"));
    VoterStore voterStore = VoterStore.read(folder, "cards", "n1");
    SettingsVersion told = voterStore.inForce();
    voterStore.recordInForce(new SettingsVersion(1, "{}", 1, "ops", "another", 1));
    voterStore.recordInForce(told);
    Golden.check("voter/papers", Files.readAllBytes(file));
  }

  /** One message may hold settings that fill it: the folder must still be read. */
  @Example
  void settingsThatFillAMessageAreLeftOutAndNothingElseIs() throws Exception {
    Path folder = Files.createTempDirectory("papers");
    VoterStore voterStore = VoterStore.read(folder, "cards", "n1");
    voterStore.recordVote(2, List.of("n1"));
    voterStore.recordInForce(
        new SettingsVersion(7, "x".repeat(MessageCodec.MAX_BYTES - 60), 12, "ops", "large", 1));
    VoterStore again = VoterStore.read(folder, "cards", "n1");
    check(
        again.inForce() == null
            && again.identity().equals(voterStore.identity())
            && again.latestEpoch() == 2,
        "all but the version");
  }
}
