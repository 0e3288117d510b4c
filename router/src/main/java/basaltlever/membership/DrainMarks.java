package basaltlever.membership;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Drain marks of one router, with those that its leader has not acknowledged. */
final class DrainMarks {
  private static final int MAX_MARKS = 5_000;
  private static final int MAX_MARKS_PER_HEARTBEAT = 500;

  private final Map<String, DrainMark> markByEndpoint = new HashMap<>();

  /** Marks that the leader has not acknowledged, oldest first. */
  private final ArrayDeque<DrainMark> unacknowledged = new ArrayDeque<>();

  /** Number of marks removed from the head of the queue so far. */
  private long acknowledged;

  /** Adds a mark from this router's own list; returns false if it supersedes no present mark. */
  boolean addOwn(DrainMark mark) {
    boolean isNew = mark.supersedes(markByEndpoint.get(mark.endpoint()));
    if (isNew) {
      markByEndpoint.put(mark.endpoint(), mark);
      if (unacknowledged.size() < MAX_MARKS) {
        unacknowledged.add(mark);
      }
      removeOldestAboveLimit();
    }
    return isNew;
  }

  /** Adds a mark from the leader, which needs no acknowledgement; returns whether it is new. */
  boolean addReceived(DrainMark mark) {
    boolean isNew = mark.supersedes(markByEndpoint.get(mark.endpoint()));
    if (isNew) {
      markByEndpoint.put(mark.endpoint(), mark);
      removeOldestAboveLimit();
    }
    return isNew;
  }

  private void removeOldestAboveLimit() {
    if (markByEndpoint.size() > MAX_MARKS) {
      markByEndpoint.values().stream()
          .min(Comparator.comparing(DrainMark::listVersion))
          .ifPresent(oldest -> markByEndpoint.remove(oldest.endpoint()));
    }
  }

  /** Returns the endpoint's mark, or null if there is none. */
  DrainMark get(String endpoint) {
    return markByEndpoint.get(endpoint);
  }

  /** Queues all marks again, since a new leader may lack any of them. */
  void resendAll() {
    acknowledged += unacknowledged.size();
    unacknowledged.clear();
    unacknowledged.addAll(markByEndpoint.values());
  }

  /** Removes the marks up to a {@link #batchEnd} that the leader has acknowledged. */
  void acknowledge(long end) {
    while (acknowledged < end && !unacknowledged.isEmpty()) {
      unacknowledged.removeFirst();
      acknowledged++;
    }
  }

  /** Returns the marks for the next heartbeat. */
  List<DrainMark> nextBatch() {
    return unacknowledged.stream().limit(MAX_MARKS_PER_HEARTBEAT).toList();
  }

  /** Returns the count that the leader acknowledges after it has received the batch. */
  long batchEnd(List<DrainMark> batch) {
    return acknowledged + batch.size();
  }
}
