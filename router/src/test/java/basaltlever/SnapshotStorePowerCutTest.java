package basaltlever;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.storage.DirectoryOperations;
import basaltlever.storage.InvalidSnapshotException;
import basaltlever.storage.SnapshotCodec;
import basaltlever.storage.SnapshotStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.Example;

/**
 * Tests snapshots on a disk whose power fails between any two operations or at any byte, and files
 * that are not valid snapshots.
 */
class SnapshotStorePowerCutTest {
  enum Bug {
    NONE,
    NO_SYNC,
    RENAME_FIRST,
    NO_DIRECTORY_SYNC,
    NO_CHECKSUM
  }

  private static final class PowerCut extends IOException {
    private static final long serialVersionUID = 1L;
  }

  /**
   * Simulates a disk with a write cache that loses power after a number of steps. Any sectors of
   * each unsynced file and any subset of the unsynced directory changes may have reached the disk.
   */
  private static final class SimulatedDisk implements DirectoryOperations {
    private static final int SECTOR = 64;
    private final SplittableRandom random;
    private final Bug bug;
    private final Map<Integer, byte[]> cached = new HashMap<>();
    private final Map<Integer, byte[]> durable = new HashMap<>();
    private final Map<String, Integer> names = new TreeMap<>();
    private final Map<String, Integer> durableNames = new TreeMap<>();
    private final List<Runnable> pending = new ArrayList<>();
    private int inodes;
    private long stepsUntilPowerCut = Long.MAX_VALUE;
    private long steps;

    SimulatedDisk(SplittableRandom random, Bug bug) {
      this.random = random;
      this.bug = bug;
    }

    private void countStep() throws PowerCut {
      steps++;
      if (stepsUntilPowerCut-- <= 0) {
        throw new PowerCut();
      }
    }

    /** Restores power: only the durable part of the cached changes remains. */
    void restorePower() {
      for (Runnable change : pending) {
        if (random.nextBoolean()) {
          change.run();
        }
      }
      pending.clear();
      cached.forEach(
          (inode, bytes) -> {
            byte[] old = durable.getOrDefault(inode, new byte[0]);
            byte[] now =
                Arrays.copyOf(
                    old,
                    random.nextBoolean()
                        ? bytes.length
                        : Math.max(
                            old.length, bytes.length == 0 ? 0 : random.nextInt(bytes.length)));
            for (int at = 0; at < Math.min(bytes.length, now.length); at += SECTOR) {
              if (random.nextBoolean()) {
                System.arraycopy(
                    bytes, at, now, at, Math.min(SECTOR, Math.min(bytes.length, now.length) - at));
              }
            }
            durable.put(inode, now);
          });
      cached.clear();
      names.clear();
      names.putAll(durableNames);
      stepsUntilPowerCut = Long.MAX_VALUE;
    }

    /** Flips one random bit of the newest file. */
    void flipBitOfNewestFile() throws IOException {
      List<String> all = SnapshotStore.listFileNames(this);
      if (!all.isEmpty()) {
        byte[] bytes = content(names.get(all.get(0)));
        if (bytes.length == 0) {
          return;
        }
        int index = random.nextInt(bytes.length);
        bytes[index] = (byte) (bytes[index] ^ 1 << random.nextInt(8));
      }
    }

    private byte[] content(int inode) {
      return cached.getOrDefault(inode, durable.getOrDefault(inode, new byte[0]));
    }

    @Override
    public List<String> list() throws IOException {
      countStep();
      return List.copyOf(names.keySet());
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
      countStep();
      byte[] bytes = content(names.get(name)).clone();
      return bug == Bug.NO_CHECKSUM ? Checksums.recompute(bytes) : bytes;
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
      countStep();
      int inode = names.computeIfAbsent(name, n -> ++inodes);
      pending.add(() -> durableNames.put(name, inode));
      // Each byte counts as one step.
      int length = (int) Math.min(bytes.length, stepsUntilPowerCut);
      cached.put(inode, Arrays.copyOf(bytes, length));
      steps += length;
      stepsUntilPowerCut -= length;
      if (length < bytes.length) {
        throw new PowerCut();
      }
    }

    @Override
    public void sync(String name) throws IOException {
      countStep();
      if (bug != Bug.NO_SYNC) {
        durable.put(names.get(name), content(names.get(name)));
        cached.remove(names.get(name));
      }
    }

    @Override
    public void rename(String from, String to) throws IOException {
      countStep();
      int inode = names.remove(from);
      names.put(to, inode);
      pending.add(
          () -> {
            durableNames.remove(from, inode);
            durableNames.put(to, inode);
          });
    }

    @Override
    public void delete(String name) throws IOException {
      countStep();
      names.remove(name);
      pending.add(() -> durableNames.remove(name));
    }

    @Override
    public void syncDirectory() throws IOException {
      countStep();
      if (bug != Bug.NO_DIRECTORY_SYNC) {
        pending.forEach(Runnable::run);
        pending.clear();
      }
    }
  }

  /** Stores a snapshot, with the wrong order of steps for {@link Bug#RENAME_FIRST}. */
  private static void storeWithBug(DirectoryOperations disk, LearnedState snapshot, Bug bug)
      throws IOException {
    if (bug == Bug.RENAME_FIRST) {
      disk.write(
          SnapshotStore.fileName(snapshot.sequence()), SnapshotCodec.encode(snapshot, 1 << 20));
      for (String old :
          SnapshotStore.listFileNames(disk).subList(1, SnapshotStore.listFileNames(disk).size())) {
        disk.delete(old);
      }
      disk.sync(SnapshotStore.fileName(snapshot.sequence()));
      disk.syncDirectory();
    } else {
      new SnapshotStore(disk).store(snapshot, 1 << 20);
    }
  }

  /**
   * Returns the number of power cuts after which the newest snapshot was invalid or older than the
   * last one stored, or the next one was not found.
   */
  private static int countFailedRecoveries(Bug bug, int cuts) throws IOException {
    int failures = 0;
    SplittableRandom seeds = new SplittableRandom(20261201);
    SimulatedDisk measured = new SimulatedDisk(seeds.split(), Bug.NONE);
    storeWithBug(measured, LearnedStateFixtures.createLearnedState(1, 3), Bug.NONE);
    long steps = measured.steps;
    for (int i = 0; i < cuts; i++) {
      SimulatedDisk disk = new SimulatedDisk(seeds.split(), bug);
      long durableSequence = 0;
      // Cuts the power at each byte and operation of one of four writes in turn,
      // and also between the writes.
      int completeWrites = i % 4;
      for (long number = 1; number <= completeWrites; number++) {
        storeWithBug(disk, LearnedStateFixtures.createLearnedState(number, 3), bug);
        durableSequence = number;
      }
      disk.stepsUntilPowerCut = i / 4 * 7_919L % (steps + 4);
      try {
        storeWithBug(disk, LearnedStateFixtures.createLearnedState(completeWrites + 1, 3), bug);
        durableSequence = completeWrites + 1L;
      } catch (PowerCut cut) {
        // The planned power cut.
      }
      disk.restorePower();
      if (i % 8 >= 6) {
        disk.flipBitOfNewestFile();
        durableSequence--;
      }
      SnapshotStore.LoadResult found = new SnapshotStore(disk).loadNewest();
      boolean recovered =
          found.state() == null
              ? durableSequence <= 0
              : found
                      .state()
                      .equals(LearnedStateFixtures.createLearnedState(found.state().sequence(), 3))
                  && found.state().sequence() >= durableSequence;
      // The next snapshot must be found, whatever files the cut left.
      LearnedState next = LearnedStateFixtures.createLearnedState(found.highestSequence() + 1, 3);
      storeWithBug(disk, next, bug);
      recovered &= next.equals(new SnapshotStore(disk).loadNewest().state());
      failures += recovered ? 0 : 1;
    }
    return failures;
  }

  @Example
  void powerCutNeverLeavesACorruptOrOutdatedSnapshot() throws IOException {
    check(
        countFailedRecoveries(Bug.NONE, 16_000) == 0,
        "no power cut may lose or corrupt a snapshot");
  }

  @Example
  void eachPlantedBugIsDetected() throws IOException {
    for (Bug bug :
        new Bug[] {Bug.NO_SYNC, Bug.RENAME_FIRST, Bug.NO_DIRECTORY_SYNC, Bug.NO_CHECKSUM}) {
      check(countFailedRecoveries(bug, 3_000) > 0, bug + " must be detected");
    }
  }

  @Example
  void encodedSnapshotIsReadBackAndUnremarkableEndpointsAreOmittedFirst()
      throws InvalidSnapshotException {
    LearnedState snapshot = LearnedStateFixtures.createLearnedState(7, 500);
    byte[] complete = SnapshotCodec.encode(snapshot, 1 << 20);
    check(
        SnapshotCodec.decode(complete).groups().equals(snapshot.groups())
            && SnapshotCodec.decode(complete).endpoints().containsAll(snapshot.endpoints()),
        "all groups and endpoints are read back");
    byte[] truncated = SnapshotCodec.encode(snapshot, 32 << 10);
    List<StoredEndpoint> endpoints = SnapshotCodec.decode(truncated).endpoints();
    check(
        truncated.length <= 32 << 10 && endpoints.size() > 50 && endpoints.size() < 500,
        "the size limit omits only some endpoints: " + endpoints.size());
    check(
        endpoints.stream().noneMatch(endpoint -> endpoint.state().isUnremarkable())
            || snapshot.endpoints().stream()
                .filter(endpoint -> !endpoint.state().isUnremarkable())
                .allMatch(endpoints::contains),
        "unremarkable endpoints are omitted first");
  }

  /**
   * Fields added by a later version are skipped, fields that an earlier version lacks take their
   * defaults, and another format is rejected.
   */
  @Example
  void unknownFieldsAreSkippedMissingFieldsDefaultAndOtherFormatsAreRejected() throws Exception {
    byte[] valid = SnapshotCodec.encode(LearnedStateFixtures.createLearnedState(3, 1), 1 << 20);
    java.io.ByteArrayOutputStream record = new java.io.ByteArrayOutputStream();
    try (var out =
        new com.fasterxml.jackson.dataformat.cbor.CBORFactory().createGenerator(record)) {
      out.writeStartObject();
      out.writeStringField("kind", "node");
      out.writeArrayFieldStart("mood");
      out.writeNumber(3);
      out.writeEndArray();
      out.writeStringField("id", "later");
      out.writeNumberField("huge", java.math.BigInteger.TEN.pow(40));
      out.writeEndObject();
    }
    // Replaces the second record, the first endpoint, so that the count in the header
    // still matches.
    java.nio.ByteBuffer in = java.nio.ByteBuffer.wrap(valid);
    int second = 16 + in.getInt(8);
    int third = second + 8 + in.getInt(second);
    java.nio.ByteBuffer modified =
        java.nio.ByteBuffer.allocate(valid.length - (third - second) + 8 + record.size());
    modified
        .put(valid, 0, second)
        .putInt(record.size())
        .putInt(0)
        .put(record.toByteArray())
        .put(valid, third, valid.length - third);
    LearnedState read = SnapshotCodec.decode(Checksums.recompute(modified.array()));
    check(
        read.endpoints().size() == 1 && read.groups().size() == 2,
        "one endpoint and two groups are read");
    EndpointState endpoint = read.endpoints().get(0).state();
    check(
        read.endpoints().get(0).id().equals("later")
            && !endpoint.unresponsive()
            && !endpoint.isDown()
            && endpoint.failureRate() == 0
            && endpoint.capacity() > 1e9
            && endpoint.sinceStart().equals(EndpointState.NEVER),
        "the missing fields restrict nothing");
    modified.putInt(4, 2);
    check(
        errorMessage(modified.array()).equals("byte 4: format 2, where this program reads 1"),
        errorMessage(modified.array()));
  }

  private static String errorMessage(byte[] bytes) {
    try {
      SnapshotCodec.decode(bytes);
      return "";
    } catch (InvalidSnapshotException exception) {
      return exception.getMessage();
    }
  }

  /**
   * Mutates valid files a million times by changing, truncating, extending or mixing bytes. Half of
   * the files get recomputed checksums, so that the parser behind them is tested too.
   */
  @Example
  void eachOfAMillionMutatedFilesIsReadOrRejected() throws InvalidSnapshotException {
    SplittableRandom random = new SplittableRandom(815);
    byte[] valid = SnapshotCodec.encode(LearnedStateFixtures.createLearnedState(3, 1), 1 << 20);
    byte[] other = SnapshotCodec.encode(LearnedStateFixtures.createLearnedState(4, 1), 1 << 20);
    int rejected = 0;
    for (int i = 0; i < 1_000_000; i++) {
      byte[] bytes =
          i % 2 == 0 ? valid.clone() : Arrays.copyOf(valid, random.nextInt(valid.length + 40));
      for (int n = random.nextInt(4); n >= 0 && bytes.length > 0; n--) {
        int at = random.nextInt(bytes.length);
        bytes[at] =
            random.nextInt(3) == 0 && at < other.length ? other[at] : (byte) random.nextInt();
      }
      if (Arrays.equals(bytes, valid)) {
        continue;
      }
      // Recomputed checksums let half of the mutated files reach the parser.
      byte[] mutated = i % 4 < 2 ? bytes : Checksums.recompute(bytes);
      String message = errorMessage(mutated);
      check(i % 4 >= 2 || !message.isEmpty(), "a mutated file must be rejected");
      check(
          message.isEmpty() || message.startsWith("byte ") || message.startsWith("it ends"),
          "expected a position in the message: " + message);
      rejected += message.isEmpty() ? 0 : 1;
    }
    check(rejected > 700_000, "expected more rejections: " + rejected);
  }

  /** Recomputes the checksums of a mutated file, so that the parser behind them is tested. */
  private static final class Checksums {
    static byte[] recompute(byte[] bytes) {
      if (bytes.length < 60) {
        return bytes;
      }
      java.nio.ByteBuffer file = java.nio.ByteBuffer.wrap(bytes);
      int end = bytes.length - 32;
      for (int at = 8; at + 8 <= end; ) {
        int length = file.getInt(at);
        if (length < 0 || length > end - at - 8) {
          break;
        }
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(bytes, at + 8, length);
        file.putInt(at + 4, (int) crc.getValue());
        at += 8 + length;
      }
      try {
        java.security.MessageDigest digest = java.security.MessageDigest.getInstance("SHA-256");
        digest.update(bytes, 0, end);
        System.arraycopy(digest.digest(), 0, bytes, end, 32);
      } catch (java.security.GeneralSecurityException e) {
        throw new IllegalStateException(e);
      }
      return bytes;
    }
  }
}
