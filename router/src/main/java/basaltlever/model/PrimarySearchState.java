package basaltlever.model;

import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;

/** Tracks the search for the primary of a group, in rounds over the group's endpoints. */
public final class PrimarySearchState {
  private final List<Endpoint> pendingEndpoints = new ArrayList<>();
  private int nextIndex;
  private int rounds;
  private Moment roundStartedAt = Moment.LONG_AGO;

  /** Returns the endpoints polled that have not responded yet. The search modifies this list. */
  public List<Endpoint> pendingEndpoints() {
    return pendingEndpoints;
  }

  /** Returns whether the round has covered all endpoints of the group. */
  public boolean isRoundOver(int endpointCount) {
    return nextIndex >= endpointCount;
  }

  /** Returns the index of the next endpoint and advances by one. */
  public int takeNextIndex() {
    return nextIndex++;
  }

  /** Returns the number of rounds started since a primary was last known. */
  public int rounds() {
    return rounds;
  }

  /** Returns the start time of the current round. */
  public Moment roundStartedAt() {
    return roundStartedAt;
  }

  /** Starts another round. */
  public void startRound(Moment now) {
    rounds++;
    nextIndex = 0;
    roundStartedAt = now;
  }

  /** Resets the search after the primary was lost, so that the next round can start immediately. */
  public void onPrimaryLost() {
    nextIndex = 0;
    roundStartedAt = Moment.LONG_AGO;
  }

  /** Ends the search after a primary was found. */
  public void onPrimaryFound() {
    rounds = 0;
    nextIndex = 0;
  }
}
