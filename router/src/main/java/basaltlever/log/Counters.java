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
  public void add(Counter counter) {
    counts[counter.ordinal()]++;
  }

  /** Counts several more. */
  public void add(Counter counter, long more) {
    counts[counter.ordinal()] += more;
  }

  /** The count since the start. */
  public long get(Counter counter) {
    return counts[counter.ordinal()];
  }

  /** Logs each count that has grown as NAME=+GROWTH; nothing where none has. */
  public void report() {
    StringBuilder grown = new StringBuilder();
    for (Counter counter : Counter.values()) {
      int at = counter.ordinal();
      if (counts[at] > reported[at]) {
        grown
            .append(grown.isEmpty() ? "" : ",")
            .append(counter.key)
            .append("=+")
            .append(counts[at] - reported[at]);
        reported[at] = counts[at];
      }
    }
    if (!grown.isEmpty()) {
      Event.COUNTERS.log(LOG, Level.INFO, "", grown);
    }
  }
}
