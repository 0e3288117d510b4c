package basaltlever.net;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import org.slf4j.Logger;

/** Log lines that others can cause at will: one a second at most, which says how many it stands for. */
final class Tally {
    private static final Span APART = Span.ofMillis(1_000);
    private final Logger log;
    private final Clock clock;
    private Moment last = Moment.LONG_AGO;
    private int passedOver;

    Tally(Logger log, Clock clock) {
        this.log = log;
        this.clock = clock;
    }

    void note(Object whose, String what) {
        Moment now = clock.now();
        if (now.since(last).isShorterThan(APART)) {
            passedOver++;
        } else {
            log.info("{}: {}; {} more since the last such line", whose, what, passedOver);
            last = now;
            passedOver = 0;
        }
    }
}
