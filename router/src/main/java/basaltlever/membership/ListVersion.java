package basaltlever.membership;

/**
 * How new a word on a member is. Generations of one discovery count up; where it lost its state and
 * counts anew the fleet agrees on another era, so that what came before it is older all the same.
 *
 * @param era counted by the voters, from 0
 * @param generation of the list, as discovery tells it
 */
public record ListVersion(long era, long generation) implements Comparable<ListVersion> {
  /** Older than any list. */
  public static final ListVersion NEVER = new ListVersion(-1, 0);

  @Override
  public int compareTo(ListVersion other) {
    return era != other.era
        ? Long.compare(era, other.era)
        : Long.compare(generation, other.generation);
  }

  public boolean isNewerThan(ListVersion other) {
    return compareTo(other) > 0;
  }
}
