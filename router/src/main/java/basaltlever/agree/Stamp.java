package basaltlever.agree;

/**
 * How new a word on a member is. Generations of one discovery count up; where it lost its state and
 * counts anew the fleet agrees on another era, so that what came before it is older all the same.
 *
 * @param era counted by the voters, from 0
 * @param generation of the list, as discovery tells it
 */
public record Stamp(long era, long generation) implements Comparable<Stamp> {
  /** Older than any list. */
  public static final Stamp NEVER = new Stamp(-1, 0);

  @Override
  public int compareTo(Stamp other) {
    return era != other.era
        ? Long.compare(era, other.era)
        : Long.compare(generation, other.generation);
  }

  public boolean isNewerThan(Stamp other) {
    return compareTo(other) > 0;
  }
}
