package basaltlever.pg;

/**
 * Limits the bytes of buffered messages, so that peers that send or read slowly can't exhaust the
 * memory.
 */
public final class MemoryBudget {
  private final long maxBytes;
  private long reservedBytes;

  /** Creates a budget of the given number of bytes. */
  public MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Reserves the bytes even if that exceeds the budget, so that the caller always has to release
   * them.
   *
   * @return false if the reserved bytes now exceed the budget
   */
  public boolean reserve(long bytes) {
    reservedBytes += bytes;
    return reservedBytes <= maxBytes;
  }

  /** Releases reserved bytes. */
  public void release(long bytes) {
    reservedBytes -= bytes;
  }

  /** Returns the maximum number of reserved bytes. */
  public long maxBytes() {
    return maxBytes;
  }

  /** Returns the number of bytes that are reserved now. */
  public long reservedBytes() {
    return reservedBytes;
  }
}
