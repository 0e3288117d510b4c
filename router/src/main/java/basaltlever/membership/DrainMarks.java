package basaltlever.membership;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The drain marks that one router knows, and which of them its leader may lack. */
final class DrainMarks {
  private static final int MAX_MARKS = 5_000;
  private static final int MAX_MARKS_PER_HEARTBEAT = 500;

  private final Map<String, DrainMark> markByEndpoint = new HashMap<>();

  /** Marks that the leader has not acknowledged, oldest first. */
  private final ArrayDeque<DrainMark> unacknowledged = new ArrayDeque<>();

  /** Number of marks that were removed from the head of the queue. */
  private long acknowledged;

  /** Adds a mark from this router's own list; false where a known one supersedes it. */
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

  /** Adds a mark from the leader, which needs no acknowledgement; false where superseded. */
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

  /** The endpoint's mark; null where there is none. */
  DrainMark get(String endpoint) {
    return markByEndpoint.get(endpoint);
  }

  /** A new leader may lack all marks. */
  void resendAll() {
    acknowledged += unacknowledged.size();
    unacknowledged.clear();
    unacknowledged.addAll(markByEndpoint.values());
  }

  /** The leader has all marks up to the count that it was told with {@link #batchEnd}. */
  void acknowledge(long end) {
    while (acknowledged < end && !unacknowledged.isEmpty()) {
      unacknowledged.removeFirst();
      acknowledged++;
    }
  }

  /** The marks for the next heartbeat. */
  List<DrainMark> nextBatch() {
    return unacknowledged.stream().limit(MAX_MARKS_PER_HEARTBEAT).toList();
  }

  /** What the leader acknowledges once it has that batch. */
  long batchEnd(List<DrainMark> batch) {
    return acknowledged + batch.size();
  }
}
