package basaltlever.net;

import basaltlever.log.Event;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.channel.SingleThreadEventLoop;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One turn of the loop: what the handlers heard is handed to the decisions in one go, after all I/O of the
 * turn and with one reading of the clock; only then is carried out what came back, in order. What comes while
 * a turn goes on is read late: a turn knows since when what it reads may have waited.
 */
final class Turn {
    private static final Logger LOG = LoggerFactory.getLogger(Turn.class);
    /** A loop that begins again this soon after its last turn did not wait for what it reads now. */
    private static final Span AT_ONCE = Span.ofMillis(5);
    private final SingleThreadEventLoop loop;
    private final Clock clock;
    private final ArrayDeque<Consumer<Moment>> heard = new ArrayDeque<>();
    private final ArrayDeque<Runnable> acts = new ArrayDeque<>();
    /** Null for nothing. */
    private Consumer<Moment> first;
    private boolean asked;
    private Moment now;
    /** When this turn began, and what it reads may have come; when the last one ended. */
    private Moment began;
    private Moment earliest;
    private Moment ended;

    Turn(SingleThreadEventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        now = clock.now();
        began = now;
        earliest = now;
        ended = now;
    }

    /** For handlers and timers; on the loop's thread only. */
    void hear(Consumer<Moment> input) {
        heard.add(input);
        begins();
    }

    /** For handlers that read: no later than this can the bytes have come that are read in this turn. */
    Moment arrival() {
        begins();
        return earliest;
    }

    private void begins() {
        if (!asked) {
            asked = true;
            Moment at = clock.now();
            earliest = at.since(ended).isLongerThan(AT_ONCE) ? at : began;
            began = at;
            loop.executeAfterEventLoopIteration(this::run);
        }
    }

    /** To be done in every turn before anything else is heard. */
    void first(Consumer<Moment> look) {
        first = look;
    }

    /** For what the decisions want done. */
    void act(Runnable effect) {
        acts.add(effect);
    }

    /** The clock of the batch in hand, or of the last one. */
    Moment now() {
        return now;
    }

    Clock clock() {
        return clock;
    }

    private void run() {
        asked = false;
        now = clock.now();
        if (first != null) {
            guarded("looking at the lease", () -> first.accept(now));
        }
        // What is heard while this goes on belongs to the next turn.
        for (int left = heard.size(); left > 0; left--) {
            Consumer<Moment> input = heard.poll();
            guarded("deciding", () -> input.accept(now));
        }
        for (Runnable act = acts.poll(); act != null; act = acts.poll()) {
            guarded("carrying out", act);
        }
        ended = clock.now();
    }

    private static void guarded(String what, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | OutOfMemoryError fault) {
            Event.FAULT.fault(LOG, "", fault, what);
        }
    }
}
