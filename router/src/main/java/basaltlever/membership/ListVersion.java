package basaltlever.membership;

/**
 * Version of an endpoint list. Discovery increases the generation with every list; where it loses
 * its state and restarts the generations the fleet agrees on a new era, and all lists of the eras
 * before are older.
 *
 * @param era of the generations, from 0
 * @param generation of the list, as discovery gives it
 */
public record ListVersion(long era, long generation) implements Comparable<ListVersion> {
  /** Older than any list. */
  public static final ListVersion NONE = new ListVersion(-1, 0);

  @Override
  public int compareTo(ListVersion other) {
    return era != other.era
        ? Long.compare(era, other.era)
        : Long.compare(generation, other.generation);
  }

  /** Whether this version is strictly newer. */
  public boolean isNewerThan(ListVersion other) {
    return compareTo(other) > 0;
  }
}
