package basaltlever.storage;

import basaltlever.snapshot.LearnedState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The snapshots in a directory. Each is written to a temporary file, synced and renamed, and the
 * directory synced; only then is the third newest deleted. So after the first there are always two
 * whole ones, and the newest whole one counts.
 */
public final class SnapshotStore {
  private static final String TEMPORARY_FILE = "view.new";
  private static final String PREFIX = "view-";
  private static final int SEQUENCE_DIGITS = 16;
  private static final int HEXADECIMAL = 16;

  /** The first digit keeps sequence numbers far from overflow, so that the next one sorts last. */
  private static final String FILE_NAME_PATTERN = PREFIX + "[0-3][0-9a-f]{15}\\.blv";

  private static final int RETAINED_SNAPSHOTS = 2;

  private final DirectoryOperations directory;

  /** Of the directory behind these operations. */
  public SnapshotStore(DirectoryOperations directory) {
    this.directory = directory;
  }

  /**
   * A file that holds no usable snapshot.
   *
   * @param fileName of the file
   * @param reason what is wrong with it
   */
  public record RejectedFile(String fileName, String reason) {
    @Override
    public String toString() {
      return fileName + ": " + reason;
    }
  }

  /**
   * The newest whole snapshot.
   *
   * @param state its state; null where none is whole
   * @param fileName of its file; empty where none is whole
   * @param highestSequence the highest sequence number in any file name that was looked at
   * @param rejectedFiles newer files that hold no whole snapshot
   */
  public record LoadResult(
      LearnedState state,
      String fileName,
      long highestSequence,
      List<RejectedFile> rejectedFiles) {}

  /** The file name of a snapshot. */
  public static String fileName(long sequence) {
    return String.format("%s%016x.blv", PREFIX, sequence);
  }

  /** The file names of all snapshots, the newest first. */
  public static List<String> listFileNames(DirectoryOperations directory) throws IOException {
    return directory.list().stream()
        .filter(name -> name.matches(FILE_NAME_PATTERN))
        .sorted(Comparator.reverseOrder())
        .toList();
  }

  private static long parseSequence(String fileName) {
    int end = PREFIX.length() + SEQUENCE_DIGITS;
    return Long.parseLong(fileName.substring(PREFIX.length(), end), HEXADECIMAL);
  }

  /** Reads the newest whole snapshot. */
  public LoadResult loadNewest() throws IOException {
    List<RejectedFile> rejected = new ArrayList<>();
    long highestSequence = 0;
    for (String name : listFileNames(directory)) {
      highestSequence = Math.max(highestSequence, parseSequence(name));
      try {
        return new LoadResult(readSnapshot(name), name, highestSequence, rejected);
      } catch (InvalidSnapshotException | IOException fault) {
        rejected.add(new RejectedFile(name, fault.getMessage()));
      }
    }
    return new LoadResult(null, "", highestSequence, rejected);
  }

  private LearnedState readSnapshot(String name) throws InvalidSnapshotException, IOException {
    LearnedState state = SnapshotCodec.decode(directory.read(name, SnapshotCodec.MAX_FILE_BYTES));
    if (state.sequence() != parseSequence(name)) {
      throw InvalidSnapshotException.forFile(
          "it is number " + state.sequence() + ", under another's name");
    }
    return state;
  }

  /** Makes a snapshot of at most the given size durable, then deletes the outdated ones. */
  public void store(LearnedState state, int maxBytes) throws IOException {
    directory.write(TEMPORARY_FILE, SnapshotCodec.encode(state, maxBytes));
    directory.sync(TEMPORARY_FILE);
    directory.rename(TEMPORARY_FILE, fileName(state.sequence()));
    directory.syncDirectory();
    List<String> names = listFileNames(directory);
    for (String outdated :
        names.subList(Math.min(RETAINED_SNAPSHOTS, names.size()), names.size())) {
      directory.delete(outdated);
    }
  }
}
