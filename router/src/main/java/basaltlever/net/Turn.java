package basaltlever.net;

import basaltlever.log.Event;
import basaltlever.time.Moment;
import io.netty.channel.SingleThreadEventLoop;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One turn of the loop: what the handlers heard is handed to the decisions in one go, after all I/O of the
 * turn and with one reading of the clock; only then is carried out what came back, in order.
 */
final class Turn {
    private static final Logger LOG = LoggerFactory.getLogger(Turn.class);
    private final SingleThreadEventLoop loop;
    private final Clock clock;
    private final ArrayDeque<Consumer<Moment>> heard = new ArrayDeque<>();
    private final ArrayDeque<Runnable> acts = new ArrayDeque<>();
    private boolean asked;
    private Moment now;

    Turn(SingleThreadEventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        now = clock.now();
    }

    /** For handlers and timers; on the loop's thread only. */
    void hear(Consumer<Moment> input) {
        heard.add(input);
        if (!asked) {
            asked = true;
            loop.executeAfterEventLoopIteration(this::run);
        }
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
        // What is heard while this goes on belongs to the next turn.
        for (int left = heard.size(); left > 0; left--) {
            Consumer<Moment> input = heard.poll();
            guarded("deciding", () -> input.accept(now));
        }
        for (Runnable act = acts.poll(); act != null; act = acts.poll()) {
            guarded("carrying out", act);
        }
    }

    private static void guarded(String what, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | OutOfMemoryError fault) {
            Event.FAULT.fault(LOG, "", fault, what);
        }
    }
}
