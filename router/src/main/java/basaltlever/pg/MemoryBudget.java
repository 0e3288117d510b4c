package basaltlever.pg;

/**
 * Counts the bytes of messages held, so that peers who send or read slowly can't fill the memory.
 */
public final class MemoryBudget {
  private final long most;
  private long held;

  public MemoryBudget(long most) {
    this.most = most;
  }

  /** Counts them in any case; false where that is more than there should be. */
  public boolean hold(long bytes) {
    held += bytes;
    return held <= most;
  }

  public void release(long bytes) {
    held -= bytes;
  }

  public long held() {
    return held;
  }
}
