package basaltlever.model;

import basaltlever.time.Moment;
import java.util.List;

/**
 * Holds the subset of a large group's endpoints that reads are sent to, and the number of endpoints
 * added to it for lack of capacity.
 */
public final class SubsetState {
  private List<Endpoint> endpoints;
  private Moment selectedAt = Moment.LONG_AGO;
  private boolean stale = true;
  private int extraEndpoints;
  private Moment lastWideningAt = Moment.LONG_AGO;

  /** Returns the endpoints of the subset; null before the first selection. */
  public List<Endpoint> endpoints() {
    return endpoints;
  }

  /** Returns the time of the last selection. */
  public Moment selectedAt() {
    return selectedAt;
  }

  /** Returns whether the subset has to be selected again. */
  public boolean isStale() {
    return stale;
  }

  /** Records that the group has changed and the subset has to be selected again. */
  public void markStale() {
    stale = true;
  }

  /** Replaces the endpoints of the subset. */
  public void setEndpoints(List<Endpoint> selected, Moment now) {
    endpoints = selected;
    selectedAt = now;
    stale = false;
  }

  /** Returns the number of endpoints by which the subset is widened. */
  public int extraEndpoints() {
    return extraEndpoints;
  }

  /** Widens the subset by the given number of endpoints, from the next selection on. */
  public void widenBy(int count) {
    extraEndpoints += count;
    stale = true;
  }

  /** Reverts the widening, from the next selection on. */
  public void resetWidening() {
    extraEndpoints = 0;
    stale = true;
  }

  /** Returns the time of the last attempt to widen the subset. */
  public Moment lastWideningAt() {
    return lastWideningAt;
  }

  /** Records an attempt to widen the subset. */
  public void recordWidening(Moment now) {
    lastWideningAt = now;
  }
}
