package basaltlever.storage;

import basaltlever.snapshot.LearnedState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The views of a folder. Each is written aside, synced, given its name, and the folder synced; only
 * then the third newest goes. So two whole ones are there at any time, but for the first, and the
 * newest name that is whole wins.
 */
public final class SnapshotStore {
  private static final String ASIDE = "view.new";

  /** Numbers stay so far from the end that the next one always sorts behind all there are. */
  private static final String NAME = "view-[0-3][0-9a-f]{15}\\.blv";

  private static final int KEPT = 2;

  private final DirectoryOperations disk;

  public SnapshotStore(DirectoryOperations disk) {
    this.disk = disk;
  }

  /**
   * What was found: the view is null where none is whole. The number is the highest of all names.
   */
  public record Found(LearnedState view, String name, long number, List<String> faults) {}

  public static String name(long number) {
    return String.format("view-%016x.blv", number);
  }

  /** Names of views, the newest first. */
  public static List<String> names(DirectoryOperations disk) throws IOException {
    return disk.names().stream()
        .filter(name -> name.matches(NAME))
        .sorted(Comparator.reverseOrder())
        .toList();
  }

  public Found newest() throws IOException {
    List<String> faults = new ArrayList<>();
    long number = 0;
    for (String name : names(disk)) {
      long named = Long.parseLong(name.substring(5, 21), 16);
      number = Math.max(number, named);
      try {
        LearnedState view = SnapshotCodec.read(disk.read(name, SnapshotCodec.LARGEST));
        if (view.number() != named) {
          throw new InvalidSnapshotException(
              "it is number " + view.number() + ", under another's name");
        }
        return new Found(view, name, number, faults);
      } catch (InvalidSnapshotException | IOException fault) {
        faults.add(name + ": " + fault.getMessage());
      }
    }
    return new Found(null, "", number, faults);
  }

  public void store(LearnedState view, int most) throws IOException {
    disk.write(ASIDE, SnapshotCodec.write(view, most));
    disk.sync(ASIDE);
    disk.rename(ASIDE, name(view.number()));
    disk.syncFolder();
    List<String> names = names(disk);
    for (String old : names.subList(Math.min(KEPT, names.size()), names.size())) {
      disk.delete(old);
    }
  }
}
