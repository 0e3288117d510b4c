package basaltlever.log;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.event.Level;

/**
 * Limits log lines that peers can trigger at will to one a second. Each line states how many were
 * suppressed before it.
 */
public final class RateLimitedLog {
  private static final Span MIN_INTERVAL = Span.ofMillis(1_000);
  private final Logger log;
  private final Event event;
  private final Supplier<Moment> clock;
  private Moment lastLoggedAt = Moment.LONG_AGO;
  private int suppressedLines;

  /**
   * Creates a log for an event with three fields: subject, cause and number of suppressed lines.
   */
  public RateLimitedLog(Logger log, Event event, Supplier<Moment> clock) {
    this.log = log;
    this.event = event;
    this.clock = clock;
  }

  /** Logs a line, or only counts it if the last one was logged less than a second ago. */
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
