package basaltlever.fleet;

import basaltlever.membership.VoterEligibility.VoterIdentity;
import basaltlever.settings.SettingsVersion;
import basaltlever.storage.LockedDirectory;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.zip.CRC32C;

/**
 * What an instance's folder says of it: whose it is, under which charter it votes and with whom,
 * and the latest charter, voters and version that it was told of. Written whole, synced and
 * renamed, behind its sum; a folder of another router or fleet is refused, as is one that can't be
 * read: who goes on with a guess could vote twice.
 */
public final class VoterStore {
  private static final String FILE = "papers";
  private static final String NEW = "papers.new";
  private static final int LARGEST = MessageCodec.LARGEST;

  private final LockedDirectory folder;
  private VoterIdentity seal;
  private long knows;
  private List<String> voters;

  /** Null where none was told. */
  private SettingsVersion told;

  private VoterStore(
      LockedDirectory folder,
      VoterIdentity seal,
      long knows,
      List<String> voters,
      SettingsVersion told) {
    this.folder = folder;
    this.seal = seal;
    this.knows = knows;
    this.voters = voters;
    this.told = told;
  }

  /** Of the router by that name; throws with the reason where the folder is not its own. */
  public static VoterStore read(Path path, String fleet, String name) throws IOException {
    Files.createDirectories(path);
    LockedDirectory folder = new LockedDirectory(path);
    if (!folder.names().contains(FILE)) {
      return new VoterStore(
          folder,
          new VoterIdentity(fleet, name, UUID.randomUUID().toString(), 0, List.of()),
          0,
          List.of(),
          null);
    }
    byte[] bytes = folder.read(FILE, LARGEST);
    if (bytes.length < Long.BYTES || ByteBuffer.wrap(bytes).getLong() != sum(bytes, Long.BYTES)) {
      throw new IOException(
          path.resolve(FILE)
              + " is damaged: bring the folder back from a copy, or take this"
              + " voter out, empty the folder and take it in again");
    }
    Map<String, Object> all = MessageCodec.read(bytes, Long.BYTES, bytes.length - Long.BYTES);
    VoterIdentity seal =
        new VoterIdentity(
            MessageCodec.text(all, "fleet"),
            MessageCodec.text(all, "name"),
            MessageCodec.text(all, "id"),
            MessageCodec.number(all, "charter"),
            MessageCodec.texts(all, "members"));
    if (!seal.fleet().equals(fleet) || !seal.name().equals(name)) {
      throw new IOException(
          path
              + " is the folder of "
              + seal.name()
              + " of fleet "
              + seal.fleet()
              + ", not of "
              + name
              + " of "
              + fleet);
    }
    return new VoterStore(
        folder,
        seal,
        MessageCodec.number(all, "knows"),
        MessageCodec.texts(all, "voters"),
        MessageCodec.version(all.get("told")));
  }

  private static long sum(byte[] bytes, int from) {
    CRC32C sum = new CRC32C();
    sum.update(bytes, from, bytes.length - from);
    return sum.getValue();
  }

  /** With no members where it does not vote. */
  synchronized VoterIdentity seal() {
    return seal;
  }

  /** The latest charter that this router was told of. */
  public synchronized long knows() {
    return knows;
  }

  /** From here on it votes so, also after a crash in the next moment. */
  synchronized void votes(long charter, List<String> members) throws IOException {
    seal = new VoterIdentity(seal.fleet(), seal.name(), seal.id(), charter, List.copyOf(members));
    knows = Math.max(knows, charter);
    write();
  }

  synchronized void isTold(long charter) throws IOException {
    if (charter > knows) {
      knows = charter;
      write();
    }
  }

  /**
   * Who votes, as a leader told last: files may name voters that are long gone. Empty before that.
   */
  synchronized List<String> voters() {
    return voters;
  }

  synchronized void areTold(List<String> members) throws IOException {
    if (!members.isEmpty() && !members.equals(voters)) {
      voters = List.copyOf(members);
      write();
    }
  }

  /**
   * The version that a leader told last to be in force, with how many routers share the whole: a
   * process that starts while nobody leads keeps to nothing looser. Null where none was told.
   */
  public synchronized SettingsVersion told() {
    return told;
  }

  synchronized void isTold(SettingsVersion inForce) throws IOException {
    if (!inForce.equals(told)) {
      told = inForce;
      write();
    }
  }

  private void write() throws IOException {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("fleet", seal.fleet());
    all.put("name", seal.name());
    all.put("id", seal.id());
    all.put("charter", seal.charter());
    all.put("members", seal.members());
    all.put("knows", knows);
    all.put("voters", voters);
    all.put("told", MessageCodec.of(told));
    byte[] content = MessageCodec.write(all);
    if (content.length > LARGEST - Long.BYTES) {
      // Settings that fill a whole message: without them is better than a folder that can't be
      // read.
      all.remove("told");
      content = MessageCodec.write(all);
    }
    ByteBuffer bytes =
        ByteBuffer.allocate(Long.BYTES + content.length).putLong(sum(content, 0)).put(content);
    folder.write(NEW, bytes.array());
    folder.sync(NEW);
    folder.rename(NEW, FILE);
    folder.syncFolder();
  }

  /** What a charter begins with, where it was begun here; null where it was not. */
  synchronized Map<String, Object> seed(long charter) throws IOException {
    Path file = log(charter).resolve("seed");
    if (charter == 0 || !Files.exists(file)) {
      return null;
    }
    byte[] bytes = Files.readAllBytes(file);
    return MessageCodec.read(bytes, 0, bytes.length);
  }

  /** To be followed by {@link #votes}: before that it is nothing. */
  synchronized void begins(long charter, Map<String, Object> register) throws IOException {
    LockedDirectory own = new LockedDirectory(Files.createDirectories(log(charter)));
    own.write("seed.new", MessageCodec.write(register));
    own.sync("seed.new");
    own.rename("seed.new", "seed");
    own.syncFolder();
  }

  /** Where the engine keeps its log under a charter. */
  Path log(long charter) {
    return charter == 0 ? folder.path() : folder.path().resolve("charter-" + charter);
  }
}
