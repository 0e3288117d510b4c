package basaltlever.model;

import basaltlever.time.Moment;
import java.util.List;

/** The members of a large group that reads go to, and by how many it was widened. */
public final class SubsetState {
  private List<Endpoint> endpoints;
  private Moment chosenAt = Moment.LONG_AGO;
  private boolean stale = true;
  private int extraEndpoints;
  private Moment lastWideningAt = Moment.LONG_AGO;

  /** The members chosen; null before the first choice. */
  public List<Endpoint> endpoints() {
    return endpoints;
  }

  /** When the members were chosen. */
  public Moment chosenAt() {
    return chosenAt;
  }

  /** Whether the group has changed since. */
  public boolean isStale() {
    return stale;
  }

  /** The group has changed. */
  public void markStale() {
    stale = true;
  }

  /** Takes a new choice of members. */
  public void setEndpoints(List<Endpoint> chosen, Moment now) {
    endpoints = chosen;
    chosenAt = now;
    stale = false;
  }

  /** By how many members the subset is widened. */
  public int extraEndpoints() {
    return extraEndpoints;
  }

  /** Widens the subset from its next choice on. */
  public void widenBy(int count) {
    extraEndpoints += count;
    stale = true;
  }

  /** Gives up what the subset was widened by. */
  public void narrow() {
    extraEndpoints = 0;
    stale = true;
  }

  /** When it was last tried to widen the subset. */
  public Moment lastWideningAt() {
    return lastWideningAt;
  }

  /** The subset is being widened. */
  public void recordWidening(Moment now) {
    lastWideningAt = now;
  }
}
