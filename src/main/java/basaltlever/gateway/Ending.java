package basaltlever.gateway;

/** How an execution or a poll ended. */
public enum Ending {
    COMPLETED(false), ERROR(false), FULL(true), TIMED_OUT(false), NO_CONNECTION(true), RESET(false),
    CANCELLED(false), NEVER_SENT(true), MISS(true), UNKNOWN(false);

    /** True where the ending itself proves that nothing ran. */
    public final boolean provesNotRun;

    Ending(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }
}
