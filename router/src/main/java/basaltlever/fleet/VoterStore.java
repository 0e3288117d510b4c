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
 * Stores the voter state of an instance in its folder: its identity, the configuration epoch in
 * which it votes and the voters of that epoch, and the latest epoch, voters and settings version
 * that it has learned of.
 *
 * <p>Each update writes a new file with a checksum, syncs it and renames it over the previous one.
 * A folder of another router or fleet, or one that can't be read, is rejected: an instance that
 * continued with guessed contents could vote twice.
 */
public final class VoterStore {
  private static final String IDENTITY_FILE = "papers";
  private static final String NEW_IDENTITY_FILE = "papers.new";
  private static final String EPOCH_START_FILE = "seed";
  private static final String NEW_EPOCH_START_FILE = "seed.new";
  private static final int MAX_FILE_BYTES = MessageCodec.MAX_MESSAGE_BYTES;

  private final LockedDirectory directory;
  private VoterIdentity identity;
  private long latestEpoch;
  private List<String> voters;

  /** Null until a leader has reported one. */
  private SettingsVersion inForce;

  private VoterStore(
      LockedDirectory directory,
      VoterIdentity identity,
      long latestEpoch,
      List<String> voters,
      SettingsVersion inForce) {
    this.directory = directory;
    this.identity = identity;
    this.latestEpoch = latestEpoch;
    this.voters = voters;
    this.inForce = inForce;
  }

  /**
   * Opens the folder of an instance; an empty folder gets a new id.
   *
   * @throws IOException if the folder is damaged or belongs to another instance or fleet
   */
  public static VoterStore open(Path path, String fleet, String name) throws IOException {
    Files.createDirectories(path);
    LockedDirectory directory = new LockedDirectory(path);
    if (!directory.list().contains(IDENTITY_FILE)) {
      String id = UUID.randomUUID().toString();
      VoterIdentity identity = new VoterIdentity(fleet, name, id, 0, List.of());
      return new VoterStore(directory, identity, 0, List.of(), null);
    }
    Map<String, Object> fields = readFields(path, directory);
    VoterIdentity identity =
        new VoterIdentity(
            MessageCodec.getText(fields, "fleet"),
            MessageCodec.getText(fields, "name"),
            MessageCodec.getText(fields, "id"),
            MessageCodec.getNumber(fields, "charter"),
            MessageCodec.getTexts(fields, "members"));
    checkOwner(path, identity, fleet, name);
    return new VoterStore(
        directory,
        identity,
        MessageCodec.getNumber(fields, "knows"),
        MessageCodec.getTexts(fields, "voters"),
        VersionCodec.decode(fields.get("told")));
  }

  private static Map<String, Object> readFields(Path path, LockedDirectory directory)
      throws IOException {
    byte[] bytes = directory.read(IDENTITY_FILE, MAX_FILE_BYTES);
    if (bytes.length < Long.BYTES
        || ByteBuffer.wrap(bytes).getLong() != checksum(bytes, Long.BYTES)) {
      throw new IOException(
          path.resolve(IDENTITY_FILE)
              + " is damaged: restore the folder from a backup, or remove this"
              + " voter, empty the folder and add the voter again");
    }
    return MessageCodec.read(bytes, Long.BYTES, bytes.length - Long.BYTES);
  }

  private static void checkOwner(Path path, VoterIdentity identity, String fleet, String name)
      throws IOException {
    if (!identity.fleet().equals(fleet) || !identity.name().equals(name)) {
      throw new IOException(
          "%s is the folder of %s of fleet %s, not of %s of %s"
              .formatted(path, identity.name(), identity.fleet(), name, fleet));
    }
  }

  private static long checksum(byte[] bytes, int from) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes, from, bytes.length - from);
    return checksum.getValue();
  }

  /** Returns the identity, which names no voters until this instance has voted. */
  synchronized VoterIdentity identity() {
    return identity;
  }

  /** Returns the latest configuration epoch that this router has learned of. */
  public synchronized long latestEpoch() {
    return latestEpoch;
  }

  /** Records the epoch in which this instance votes from now on, and the voters of that epoch. */
  synchronized void recordVotingEpoch(long epoch, List<String> voters) throws IOException {
    identity =
        new VoterIdentity(
            identity.fleet(), identity.name(), identity.folderId(), epoch, List.copyOf(voters));
    latestEpoch = Math.max(latestEpoch, epoch);
    write();
  }

  synchronized void recordLatestEpoch(long epoch) throws IOException {
    if (epoch > latestEpoch) {
      latestEpoch = epoch;
      write();
    }
  }

  /**
   * Returns the voters that a leader reported last; empty before the first report. Settings files
   * may still name voters that were removed long ago.
   */
  synchronized List<String> voters() {
    return voters;
  }

  synchronized void recordVoters(List<String> newVoters) throws IOException {
    if (!newVoters.isEmpty() && !newVoters.equals(voters)) {
      voters = List.copyOf(newVoters);
      write();
    }
  }

  /**
   * Returns the version that was in force, and its number of routers, when a leader last granted a
   * lease; null if there is none. A process that starts while there is no leader applies limits at
   * least as strict.
   */
  public synchronized SettingsVersion inForce() {
    return inForce;
  }

  synchronized void recordInForce(SettingsVersion version) throws IOException {
    if (!version.equals(inForce)) {
      inForce = version;
      write();
    }
  }

  private void write() throws IOException {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("fleet", identity.fleet());
    fields.put("name", identity.name());
    fields.put("id", identity.folderId());
    fields.put("charter", identity.epoch());
    fields.put("members", identity.voters());
    fields.put("knows", latestEpoch);
    fields.put("voters", voters);
    fields.put("told", VersionCodec.encode(inForce));
    byte[] content = MessageCodec.write(fields);
    if (content.length > MAX_FILE_BYTES - Long.BYTES) {
      // Without the version the file remains readable; a file above the limit would be rejected.
      fields.remove("told");
      content = MessageCodec.write(fields);
    }
    ByteBuffer bytes =
        ByteBuffer.allocate(Long.BYTES + content.length).putLong(checksum(content, 0)).put(content);
    directory.write(NEW_IDENTITY_FILE, bytes.array());
    directory.sync(NEW_IDENTITY_FILE);
    directory.rename(NEW_IDENTITY_FILE, IDENTITY_FILE);
    directory.syncDirectory();
  }

  /** Returns the initial content of an epoch; null if this instance didn't start the epoch. */
  synchronized RegisterContent readEpochStart(long epoch) throws IOException {
    Path file = logFolder(epoch).resolve(EPOCH_START_FILE);
    if (epoch == 0 || !Files.exists(file)) {
      return null;
    }
    byte[] bytes = Files.readAllBytes(file);
    return RaftCommandCodec.decodeContent(MessageCodec.read(bytes, 0, bytes.length));
  }

  /** Writes the initial content of an epoch; {@link #recordVotingEpoch} has to follow. */
  synchronized void writeEpochStart(long epoch, RegisterContent content) throws IOException {
    LockedDirectory epochFolder = new LockedDirectory(Files.createDirectories(logFolder(epoch)));
    epochFolder.write(NEW_EPOCH_START_FILE, MessageCodec.write(RaftCommandCodec.encode(content)));
    epochFolder.sync(NEW_EPOCH_START_FILE);
    epochFolder.rename(NEW_EPOCH_START_FILE, EPOCH_START_FILE);
    epochFolder.syncDirectory();
  }

  /** Returns the folder of the Raft node's log in an epoch. */
  Path logFolder(long epoch) {
    return epoch == 0 ? directory.path() : directory.path().resolve("charter-" + epoch);
  }
}
