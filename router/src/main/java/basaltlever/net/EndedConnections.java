package basaltlever.net;

import basaltlever.log.Event;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Names in the log which connections this router ended and why; so many lines a second, all of them
 * are counted.
 */
final class EndedConnections {
  private static final Logger LOG = LoggerFactory.getLogger(EndedConnections.class);
  private static final int LINES_A_SECOND = 20;
  private static final Span SECOND = Span.ofMillis(1_000);
  private final Supplier<Moment> clock;
  private Moment second = Moment.LONG_AGO;
  private int lines;

  EndedConnections(Supplier<Moment> clock) {
    this.clock = clock;
  }

  void note(long connection, Object client, CloseReason closeReason, int bytes) {
    Moment now = clock.get();
    if (!now.since(second).isShorterThan(SECOND)) {
      second = now;
      lines = 0;
    }
    if (lines++ < LINES_A_SECOND) {
      Event.CLIENT_ENDED.log(LOG, Level.INFO, "", connection, client, closeReason, bytes);
    }
  }
}
