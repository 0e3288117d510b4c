package basaltlever.log;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Counts since the start of a router; what changed since the last report goes to the log. On the
 * loop's thread only.
 */
public final class Counters {
  private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
  private final long[] counts = new long[Counter.values().length];
  private final long[] reported = new long[counts.length];

  /** Counts one more. */
  public void increment(Counter counter) {
    counts[counter.ordinal()]++;
  }

  /** Counts several more. */
  public void add(Counter counter, long amount) {
    counts[counter.ordinal()] += amount;
  }

  /** The count since the start. */
  public long get(Counter counter) {
    return counts[counter.ordinal()];
  }

  /** Logs each count that has grown as NAME=+GROWTH; nothing where none has. */
  public void logChanges() {
    StringBuilder changes = new StringBuilder();
    for (Counter counter : Counter.values()) {
      int index = counter.ordinal();
      if (counts[index] > reported[index]) {
        changes
            .append(changes.isEmpty() ? "" : ",")
            .append(counter.key)
            .append("=+")
            .append(counts[index] - reported[index]);
        reported[index] = counts[index];
      }
    }
    if (!changes.isEmpty()) {
      Event.COUNTERS.log(LOG, Level.INFO, "", changes);
    }
  }
}
