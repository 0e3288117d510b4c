package basaltlever.pg;

/**
 * Counts the bytes of buffered messages, so that peers that send or read slowly can't exhaust the
 * memory.
 */
public final class MemoryBudget {
  private final long maxBytes;
  private long reservedBytes;

  /** Creates a budget of this many bytes. */
  public MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Reserves the bytes even beyond the budget, so that the caller always has to release them.
   *
   * @return false if more than the budget is reserved now
   */
  public boolean reserve(long bytes) {
    reservedBytes += bytes;
    return reservedBytes <= maxBytes;
  }

  /** Returns bytes that were reserved. */
  public void release(long bytes) {
    reservedBytes -= bytes;
  }

  /** The bytes that are reserved now. */
  public long reservedBytes() {
    return reservedBytes;
  }
}
