package basaltlever.model;

import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;

/** Progress of a search for a group's primary, in rounds over its members. */
public final class PrimarySearchState {
  private final List<Endpoint> polled = new ArrayList<>();
  private int cursor;
  private int rounds;
  private Moment roundStartedAt = Moment.LONG_AGO;

  /** Members polled that have not answered; the search adds to it and removes from it. */
  public List<Endpoint> polled() {
    return polled;
  }

  /** Whether the round has come to the end of so many members. */
  public boolean isRoundOver(int members) {
    return cursor >= members;
  }

  /** The place of the next member, and moves on. */
  public int takeNextPlace() {
    return cursor++;
  }

  /** Rounds that have found none since a primary was known. */
  public int rounds() {
    return rounds;
  }

  /** When the round began. */
  public Moment roundStartedAt() {
    return roundStartedAt;
  }

  /** Begins another round. */
  public void startRound(Moment now) {
    rounds++;
    cursor = 0;
    roundStartedAt = now;
  }

  /** The primary was lost: the next search begins at once. */
  public void primaryLost() {
    cursor = 0;
    roundStartedAt = Moment.LONG_AGO;
  }

  /** A primary was found. */
  public void primaryFound() {
    rounds = 0;
    cursor = 0;
  }
}
