package basaltlever.net;

import basaltlever.log.Event;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Logs which connections this router ended and why, with a bounded number of lines per second;
 * counters cover all of them.
 */
final class EndedConnectionLog {
  private static final Logger LOG = LoggerFactory.getLogger(EndedConnectionLog.class);
  private static final int MAX_LINES_PER_SECOND = 20;
  private static final Span WINDOW = Span.ofMillis(1_000);
  private final Supplier<Moment> clock;
  private Moment windowStart = Moment.LONG_AGO;
  private int linesInWindow;

  EndedConnectionLog(Supplier<Moment> clock) {
    this.clock = clock;
  }

  void log(long connectionNumber, Object client, CloseReason closeReason, int partialBytes) {
    Moment now = clock.get();
    if (!now.since(windowStart).isShorterThan(WINDOW)) {
      windowStart = now;
      linesInWindow = 0;
    }
    if (linesInWindow++ < MAX_LINES_PER_SECOND) {
      Event.CLIENT_ENDED.log(
          LOG, Level.INFO, "", connectionNumber, client, closeReason, partialBytes);
    }
  }
}
