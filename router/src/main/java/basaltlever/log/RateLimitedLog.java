package basaltlever.log;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.event.Level;

/**
 * Log lines that others can cause at will: one a second at most, which says how many it stands for.
 */
public final class RateLimitedLog {
  private static final Span MIN_INTERVAL = Span.ofMillis(1_000);
  private final Logger log;
  private final Event event;
  private final Supplier<Moment> clock;
  private Moment lastLoggedAt = Moment.LONG_AGO;
  private int suppressedLines;

  /** The event has three fields: whose line it is, what happened, how many more there were. */
  public RateLimitedLog(Logger log, Event event, Supplier<Moment> clock) {
    this.log = log;
    this.event = event;
    this.clock = clock;
  }

  /** Logs a line, or only counts it where the last one was less than a second ago. */
  public void log(Object subject, String cause) {
    Moment now = clock.get();
    if (now.since(lastLoggedAt).isShorterThan(MIN_INTERVAL)) {
      suppressedLines++;
    } else {
      event.log(log, Level.INFO, "", subject, cause, suppressedLines);
      lastLoggedAt = now;
      suppressedLines = 0;
    }
  }
}
