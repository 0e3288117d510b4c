package basaltlever.storage;

import basaltlever.snapshot.LearnedState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Stores snapshots in a directory. Each is written to a temporary file, synced and renamed, and the
 * directory is synced; only then is the third newest snapshot deleted. So from the second snapshot
 * on, there are always two complete ones, and the newest complete one is used.
 */
public final class SnapshotStore {
  private static final String TEMPORARY_FILE = "view.new";
  private static final String FILE_NAME_PREFIX = "view-";
  private static final int SEQUENCE_DIGITS = 16;
  private static final int HEXADECIMAL = 16;

  /**
   * The limit on the first digit prevents an overflow, so that the next sequence number sorts last.
   */
  private static final String FILE_NAME_PATTERN = FILE_NAME_PREFIX + "[0-3][0-9a-f]{15}\\.blv";

  private static final int RETAINED_SNAPSHOTS = 2;

  private final DirectoryOperations directory;

  /** Creates a store that uses the given directory. */
  public SnapshotStore(DirectoryOperations directory) {
    this.directory = directory;
  }

  /**
   * A file that contains no usable snapshot.
   *
   * @param fileName name of the file
   * @param reason why it is not usable
   */
  public record RejectedFile(String fileName, String reason) {
    @Override
    public String toString() {
      return fileName + ": " + reason;
    }
  }

  /**
   * The newest complete snapshot.
   *
   * @param state its state; null if no snapshot is complete
   * @param fileName name of its file; empty if no snapshot is complete
   * @param highestSequence the highest sequence number in the names of the files that were read
   * @param rejectedFiles newer files that contain no complete snapshot
   */
  public record LoadResult(
      LearnedState state,
      String fileName,
      long highestSequence,
      List<RejectedFile> rejectedFiles) {}

  /** Returns the file name of a snapshot. */
  public static String fileName(long sequence) {
    return String.format("%s%016x.blv", FILE_NAME_PREFIX, sequence);
  }

  /** Returns the file names of all snapshots, newest first. */
  public static List<String> listFileNames(DirectoryOperations directory) throws IOException {
    return directory.list().stream()
        .filter(name -> name.matches(FILE_NAME_PATTERN))
        .sorted(Comparator.reverseOrder())
        .toList();
  }

  private static long parseSequence(String fileName) {
    int end = FILE_NAME_PREFIX.length() + SEQUENCE_DIGITS;
    return Long.parseLong(fileName.substring(FILE_NAME_PREFIX.length(), end), HEXADECIMAL);
  }

  /** Reads the newest complete snapshot. */
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
          "its sequence number " + state.sequence() + " does not match the file name");
    }
    return state;
  }

  /** Durably stores a snapshot of at most the given size, then deletes outdated snapshots. */
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
