package basaltlever;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.KnownEndpoint;
import basaltlever.snapshot.LearnedState;
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
 * Views on a disk whose power is cut between any two operations and at any byte, and files that are
 * no views.
 */
class SnapshotStorePowerCutTest {
  enum Bug {
    NONE,
    NO_SYNC,
    RENAME_FIRST,
    NO_FOLDER_SYNC,
    NO_CHECKSUM
  }

  private static final class PowerCut extends IOException {
    private static final long serialVersionUID = 1L;
  }

  /**
   * What is written is in the cache; power cuts after a number of steps, and of each unsynced file
   * any sectors have reached the disk, and of the names' unsynced changes any part, in any order.
   */
  private static final class Cut implements DirectoryOperations {
    private static final int SECTOR = 64;
    private final SplittableRandom chance;
    private final Bug bug;
    private final Map<Integer, byte[]> cached = new HashMap<>();
    private final Map<Integer, byte[]> durable = new HashMap<>();
    private final Map<String, Integer> names = new TreeMap<>();
    private final Map<String, Integer> durableNames = new TreeMap<>();
    private final List<Runnable> pending = new ArrayList<>();
    private int inodes;
    private long left = Long.MAX_VALUE;
    private long steps;

    Cut(SplittableRandom chance, Bug bug) {
      this.chance = chance;
      this.bug = bug;
    }

    private void step() throws PowerCut {
      steps++;
      if (left-- <= 0) {
        throw new PowerCut();
      }
    }

    /** The power comes back: what is there now is all there is. */
    void restarts() {
      for (Runnable change : pending) {
        if (chance.nextBoolean()) {
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
                    chance.nextBoolean()
                        ? bytes.length
                        : Math.max(
                            old.length, bytes.length == 0 ? 0 : chance.nextInt(bytes.length)));
            for (int at = 0; at < Math.min(bytes.length, now.length); at += SECTOR) {
              if (chance.nextBoolean()) {
                System.arraycopy(
                    bytes, at, now, at, Math.min(SECTOR, Math.min(bytes.length, now.length) - at));
              }
            }
            durable.put(inode, now);
          });
      cached.clear();
      names.clear();
      names.putAll(durableNames);
      left = Long.MAX_VALUE;
    }

    /** One bit of the newest file. */
    void flips() throws IOException {
      List<String> all = SnapshotStore.names(this);
      if (!all.isEmpty()) {
        byte[] bytes = bytes(names.get(all.get(0)));
        if (bytes.length == 0) {
          return;
        }
        int place = chance.nextInt(bytes.length);
        bytes[place] = (byte) (bytes[place] ^ 1 << chance.nextInt(8));
      }
    }

    private byte[] bytes(int inode) {
      return cached.getOrDefault(inode, durable.getOrDefault(inode, new byte[0]));
    }

    @Override
    public List<String> list() throws IOException {
      step();
      return List.copyOf(names.keySet());
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
      step();
      byte[] bytes = bytes(names.get(name)).clone();
      return bug == Bug.NO_CHECKSUM ? Resum.over(bytes) : bytes;
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
      step();
      int inode = names.computeIfAbsent(name, n -> ++inodes);
      pending.add(() -> durableNames.put(name, inode));
      // Each byte is a step of its own.
      int length = (int) Math.min(bytes.length, left);
      cached.put(inode, Arrays.copyOf(bytes, length));
      steps += length;
      left -= length;
      if (length < bytes.length) {
        throw new PowerCut();
      }
    }

    @Override
    public void sync(String name) throws IOException {
      step();
      if (bug != Bug.NO_SYNC) {
        durable.put(names.get(name), bytes(names.get(name)));
        cached.remove(names.get(name));
      }
    }

    @Override
    public void rename(String from, String to) throws IOException {
      step();
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
      step();
      names.remove(name);
      pending.add(() -> durableNames.remove(name));
    }

    @Override
    public void syncDirectory() throws IOException {
      step();
      if (bug != Bug.NO_FOLDER_SYNC) {
        pending.forEach(Runnable::run);
        pending.clear();
      }
    }
  }

  /** Stores with one order of steps turned round. */
  private static void store(DirectoryOperations disk, LearnedState view, Bug bug)
      throws IOException {
    if (bug == Bug.RENAME_FIRST) {
      disk.write(SnapshotStore.fileName(view.sequence()), SnapshotCodec.write(view, 1 << 20));
      for (String old : SnapshotStore.names(disk).subList(1, SnapshotStore.names(disk).size())) {
        disk.delete(old);
      }
      disk.sync(SnapshotStore.fileName(view.sequence()));
      disk.syncDirectory();
    } else {
      new SnapshotStore(disk).store(view, 1 << 20);
    }
  }

  /**
   * How many of the cuts left something else than a whole view, or one older than the last that was
   * kept.
   */
  private static int broken(Bug bug, int cuts) throws IOException {
    int broken = 0;
    SplittableRandom seeds = new SplittableRandom(20261201);
    Cut measured = new Cut(seeds.split(), Bug.NONE);
    store(measured, LearnedStateFixtures.createLearnedState(1, 3), Bug.NONE);
    long steps = measured.steps;
    for (int i = 0; i < cuts; i++) {
      Cut disk = new Cut(seeds.split(), bug);
      long kept = 0;
      // Each byte and each operation of one of four writes, in turn; between them the power may
      // have
      // gone too.
      int whole = i % 4;
      for (long number = 1; number <= whole; number++) {
        store(disk, LearnedStateFixtures.createLearnedState(number, 3), bug);
        kept = number;
      }
      disk.left = i / 4 * 7_919L % (steps + 4);
      try {
        store(disk, LearnedStateFixtures.createLearnedState(whole + 1, 3), bug);
        kept = whole + 1L;
      } catch (PowerCut cut) {
        // As planned.
      }
      disk.restarts();
      if (i % 8 >= 6) {
        disk.flips();
        kept--;
      }
      SnapshotStore.Found found = new SnapshotStore(disk).newest();
      boolean sound =
          found.state() == null
              ? kept <= 0
              : found
                      .state()
                      .equals(LearnedStateFixtures.createLearnedState(found.state().sequence(), 3))
                  && found.state().sequence() >= kept;
      // And the next one must be found again, whatever the cut left behind.
      LearnedState next = LearnedStateFixtures.createLearnedState(found.highestSequence() + 1, 3);
      store(disk, next, bug);
      sound &= next.equals(new SnapshotStore(disk).newest().state());
      broken += sound ? 0 : 1;
    }
    return broken;
  }

  @Example
  void noPowerCutLeavesACorruptOrAnOlderView() throws IOException {
    check(broken(Bug.NONE, 16_000) == 0, "a cut was not survived");
  }

  @Example
  void thePlantedBugsAreCaught() throws IOException {
    for (Bug bug : new Bug[] {Bug.NO_SYNC, Bug.RENAME_FIRST, Bug.NO_FOLDER_SYNC, Bug.NO_CHECKSUM}) {
      check(broken(bug, 3_000) > 0, bug + " was not caught");
    }
  }

  @Example
  void whatIsWrittenIsReadAndLittleIsLeftOutFirst() throws InvalidSnapshotException {
    LearnedState view = LearnedStateFixtures.createLearnedState(7, 500);
    byte[] whole = SnapshotCodec.write(view, 1 << 20);
    check(
        SnapshotCodec.read(whole).groups().equals(view.groups())
            && SnapshotCodec.read(whole).endpoints().containsAll(view.endpoints()),
        "all of it");
    byte[] cut = SnapshotCodec.write(view, 32 << 10);
    List<KnownEndpoint> kept = SnapshotCodec.read(cut).endpoints();
    check(
        cut.length <= 32 << 10 && kept.size() > 50 && kept.size() < 500, "bounded: " + kept.size());
    check(
        kept.stream().noneMatch(known -> known.state().isUnremarkable())
            || view.endpoints().stream()
                .filter(known -> !known.state().isUnremarkable())
                .allMatch(kept::contains),
        "what says little goes first");
  }

  /**
   * What a later version adds is passed over, what an earlier one lacked takes its default; another
   * format is refused.
   */
  @Example
  void olderAndNewerVersionsReadEachOther() throws Exception {
    byte[] sound = SnapshotCodec.write(LearnedStateFixtures.createLearnedState(3, 1), 1 << 20);
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
    // In the place of the second record, the first node's, so that the count in the head still
    // fits.
    java.nio.ByteBuffer in = java.nio.ByteBuffer.wrap(sound);
    int second = 16 + in.getInt(8);
    int third = second + 8 + in.getInt(second);
    java.nio.ByteBuffer made =
        java.nio.ByteBuffer.allocate(sound.length - (third - second) + 8 + record.size());
    made.put(sound, 0, second)
        .putInt(record.size())
        .putInt(0)
        .put(record.toByteArray())
        .put(sound, third, sound.length - third);
    LearnedState read = SnapshotCodec.read(Resum.over(made.array()));
    check(read.endpoints().size() == 1 && read.groups().size() == 2, "as many records");
    EndpointState node = read.endpoints().get(0).state();
    check(
        read.endpoints().get(0).id().equals("later")
            && !node.unresponsive()
            && !node.isDown()
            && node.failureRate() == 0
            && node.capacity() > 1e9
            && node.sinceStart().equals(EndpointState.NEVER),
        "nothing of it makes for more care");
    made.putInt(4, 2);
    check(
        fault(made.array()).equals("byte 4: format 2, where this program reads 1"),
        fault(made.array()));
  }

  private static String fault(byte[] bytes) {
    try {
      SnapshotCodec.read(bytes);
      return "";
    } catch (InvalidSnapshotException fault) {
      return fault.getMessage();
    }
  }

  /**
   * A million, of sound bytes turned, cut, doubled or mixed; those that keep their sums are found
   * by construction.
   */
  @Example
  void aMillionMutatedFilesAreEachReadOrRefused() throws InvalidSnapshotException {
    SplittableRandom chance = new SplittableRandom(815);
    byte[] sound = SnapshotCodec.write(LearnedStateFixtures.createLearnedState(3, 1), 1 << 20);
    byte[] other = SnapshotCodec.write(LearnedStateFixtures.createLearnedState(4, 1), 1 << 20);
    int refused = 0;
    for (int i = 0; i < 1_000_000; i++) {
      byte[] bytes =
          i % 2 == 0 ? sound.clone() : Arrays.copyOf(sound, chance.nextInt(sound.length + 40));
      for (int n = chance.nextInt(4); n >= 0 && bytes.length > 0; n--) {
        int at = chance.nextInt(bytes.length);
        bytes[at] =
            chance.nextInt(3) == 0 && at < other.length ? other[at] : (byte) chance.nextInt();
      }
      if (Arrays.equals(bytes, sound)) {
        continue;
      }
      // The reader behind the sums sees the same: these are laid anew over whatever is there.
      byte[] summed = i % 4 < 2 ? bytes : Resum.over(bytes);
      String told = fault(summed);
      check(i % 4 >= 2 || !told.isEmpty(), "taken though mutated");
      check(
          told.isEmpty() || told.startsWith("byte ") || told.startsWith("it ends"),
          "no place: " + told);
      refused += told.isEmpty() ? 0 : 1;
    }
    check(refused > 700_000, "few were refused: " + refused);
  }

  /** Lays a mutated file's sums anew, so that what stands behind them is put to the test. */
  private static final class Resum {
    static byte[] over(byte[] bytes) {
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
