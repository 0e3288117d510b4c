package basaltlever.net;

import basaltlever.time.Moment;

/** Unix time that never runs backwards: read once from the system, from then on by the steady clock. */
final class Clock {
    private final long start = System.currentTimeMillis() * 1_000;
    private final long steady = System.nanoTime();

    Moment now() {
        return new Moment(start + (System.nanoTime() - steady) / 1_000);
    }
}
