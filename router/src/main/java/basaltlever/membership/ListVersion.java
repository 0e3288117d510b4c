package basaltlever.membership;

/**
 * Version of an endpoint list. Discovery increases the generation with every list. If it loses its
 * state and restarts the generations, the fleet agrees on a new era, whose lists are newer than all
 * lists of earlier eras.
 *
 * @param era era of the generations, starting at 0
 * @param generation generation assigned to the list by discovery
 */
public record ListVersion(long era, long generation) implements Comparable<ListVersion> {
  /** Version that denotes the absence of a list; older than that of any list. */
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
