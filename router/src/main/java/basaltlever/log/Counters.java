package basaltlever.log;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Counts events since the start of a router and logs the changes since the last report. Used on the
 * event loop's thread only.
 */
public final class Counters {
  private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
  private final long[] counts = new long[Counter.values().length];
  private final long[] reported = new long[counts.length];

  /** Adds one to a counter. */
  public void increment(Counter counter) {
    counts[counter.ordinal()]++;
  }

  /** Adds an amount to a counter. */
  public void add(Counter counter, long amount) {
    counts[counter.ordinal()] += amount;
  }

  /** Returns the count since the start of the router. */
  public long get(Counter counter) {
    return counts[counter.ordinal()];
  }

  /** Logs each counter that has increased as NAME=+INCREASE; logs nothing if none has. */
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
