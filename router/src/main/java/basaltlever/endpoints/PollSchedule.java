package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Schedules the polls of endpoints. It contains only endpoints with a poll due or in flight, so the
 * cost of each step is logarithmic in their number, whatever the size of the list.
 */
public final class PollSchedule {
  private static final Comparator<Endpoint> BY_ID =
      Comparator.comparingInt(endpoint -> endpoint.id());
  private static final Comparator<Endpoint> BY_WAKE_TIME =
      Comparator.comparingLong((Endpoint endpoint) -> endpoint.polling().nextCheckAt().micros())
          .thenComparing(BY_ID);
  private final TreeSet<Endpoint> scheduled = new TreeSet<>(BY_WAKE_TIME);

  /** A poll that is not answered within this time counts as missed. */
  private final Span timeout;

  public PollSchedule(Span timeout) {
    this.timeout = timeout;
  }

  /**
   * Updates the schedule; must be called after a poll of the endpoint was sent, was answered or was
   * rescheduled.
   */
  public void update(Endpoint endpoint) {
    scheduled.remove(endpoint);
    endpoint.polling().updateNextCheckAt(timeout);
    if (endpoint.polling().nextCheckAt().isBefore(Moment.NEVER)) {
      scheduled.add(endpoint);
    }
  }

  /** Removes an endpoint from the schedule. */
  public void remove(Endpoint endpoint) {
    scheduled.remove(endpoint);
  }

  /** Returns when the next poll is due or times out; {@code NEVER} if nothing is scheduled. */
  public Moment nextWakeAt() {
    return scheduled.isEmpty() ? Moment.NEVER : scheduled.first().polling().nextCheckAt();
  }

  /** Removes and returns the endpoints whose poll is due or has timed out, ordered by id. */
  public List<Endpoint> removeDue(Moment now) {
    List<Endpoint> due = new ArrayList<>();
    while (!scheduled.isEmpty() && !now.isBefore(scheduled.first().polling().nextCheckAt())) {
      due.add(scheduled.pollFirst());
    }
    due.sort(BY_ID);
    return due;
  }

  /** The number of scheduled endpoints. */
  public int size() {
    return scheduled.size();
  }
}
