package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Which endpoints are polled next. Only endpoints for which a poll is due or under way are in it,
 * so each step costs the logarithm of how many those are, whatever the size of the list.
 */
public final class PollSchedule {
  private static final Comparator<Endpoint> BY_ID =
      Comparator.comparingInt(endpoint -> endpoint.id());
  private static final Comparator<Endpoint> BY_WAKE =
      Comparator.comparingLong((Endpoint endpoint) -> endpoint.polling().nextCheckAt().micros())
          .thenComparing(BY_ID);
  private final TreeSet<Endpoint> scheduled = new TreeSet<>(BY_WAKE);

  /** After this long without an answer a poll counts as missed. */
  private final Span timeout;

  public PollSchedule(Span timeout) {
    this.timeout = timeout;
  }

  /**
   * To be called whenever a poll of the endpoint was sent, was answered or is due at another time.
   */
  public void update(Endpoint endpoint) {
    scheduled.remove(endpoint);
    endpoint.polling().updateNextCheckAt(timeout);
    if (endpoint.polling().nextCheckAt().isBefore(Moment.NEVER)) {
      scheduled.add(endpoint);
    }
  }

  /** Takes an endpoint out of the schedule. */
  public void remove(Endpoint endpoint) {
    scheduled.remove(endpoint);
  }

  /** When something is to be done next; never where nothing is scheduled. */
  public Moment next() {
    return scheduled.isEmpty() ? Moment.NEVER : scheduled.first().polling().nextCheckAt();
  }

  /** Takes out those that are due or have timed out, in the order of their ids. */
  public List<Endpoint> takeDue(Moment now) {
    List<Endpoint> due = new ArrayList<>();
    while (!scheduled.isEmpty() && !now.isBefore(scheduled.first().polling().nextCheckAt())) {
      due.add(scheduled.pollFirst());
    }
    due.sort(BY_ID);
    return due;
  }

  /** Endpoints scheduled. */
  public int size() {
    return scheduled.size();
  }
}
