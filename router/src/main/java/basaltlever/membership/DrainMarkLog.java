package basaltlever.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Log of the drain marks that one leader has received, in order of arrival. Readers state the term
 * and the position up to which they have read; a position is only valid within its term.
 */
final class DrainMarkLog {
  private static final int MAX_MARKS = 5_000;
  private static final int MAX_MARKS_PER_BATCH = 1_000;

  /** The next marks for a reader, and its read position after them. */
  record Batch(List<DrainMark> marks, long position) {}

  private final TreeMap<Long, DrainMark> markByPosition = new TreeMap<>();
  private final Map<String, Long> positionByEndpoint = new HashMap<>();
  private long term;
  private long lastPosition;

  /** Empties the log for a term that no other leader has. */
  void startTerm(long newTerm) {
    markByPosition.clear();
    positionByEndpoint.clear();
    lastPosition = 0;
    term = newTerm;
  }

  long term() {
    return term;
  }

  /** Appends the mark and removes the endpoint's current one, if the new mark supersedes that. */
  void add(DrainMark mark) {
    Long currentPosition = positionByEndpoint.get(mark.endpoint());
    DrainMark current = currentPosition == null ? null : markByPosition.get(currentPosition);
    if (!mark.supersedes(current)) {
      return;
    }
    if (currentPosition != null) {
      markByPosition.remove(currentPosition);
    }
    lastPosition++;
    markByPosition.put(lastPosition, mark);
    positionByEndpoint.put(mark.endpoint(), lastPosition);
    if (markByPosition.size() > MAX_MARKS) {
      DrainMark oldest = markByPosition.pollFirstEntry().getValue();
      positionByEndpoint.remove(oldest.endpoint());
    }
  }

  /** Returns the marks after a reader's position, or from the start if that is of another term. */
  Batch readAfter(long readTerm, long readPosition) {
    long position = readTerm == term ? readPosition : 0;
    List<DrainMark> marks = new ArrayList<>();
    for (Map.Entry<Long, DrainMark> entry : markByPosition.tailMap(position, false).entrySet()) {
      if (marks.size() == MAX_MARKS_PER_BATCH) {
        break;
      }
      marks.add(entry.getValue());
      position = entry.getKey();
    }
    return new Batch(marks, position);
  }
}
