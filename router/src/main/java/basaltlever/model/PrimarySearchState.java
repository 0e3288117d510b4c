package basaltlever.model;

import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;

/** Progress of a search for a group's primary, in rounds over its members. */
public final class PrimarySearchState {
  private final List<Endpoint> pendingEndpoints = new ArrayList<>();
  private int nextIndex;
  private int rounds;
  private Moment roundStartedAt = Moment.LONG_AGO;

  /** Members polled that have not answered; the search adds to it and removes from it. */
  public List<Endpoint> pendingEndpoints() {
    return pendingEndpoints;
  }

  /** Whether the round has come to the end of so many members. */
  public boolean isRoundOver(int endpointCount) {
    return nextIndex >= endpointCount;
  }

  /** The place of the next member, and moves on. */
  public int nextIndex() {
    return nextIndex++;
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
    nextIndex = 0;
    roundStartedAt = now;
  }

  /** The primary was lost: the next search begins at once. */
  public void onPrimaryLost() {
    nextIndex = 0;
    roundStartedAt = Moment.LONG_AGO;
  }

  /** A primary was found. */
  public void onPrimaryFound() {
    rounds = 0;
    nextIndex = 0;
  }
}
