package basaltlever.net;

/** Work done in one loop iteration, for the log line of a slow one. */
final class IterationLoad {
  private static final long BYTES_PER_KB = 1 << 10;
  private int accepted;
  private int messages;
  private long heapAtStart;

  IterationLoad() {
    reset();
  }

  void reset() {
    accepted = 0;
    messages = 0;
    heapAtStart = heapUsed();
  }

  void countAccepted() {
    accepted++;
  }

  void countMessage() {
    messages++;
  }

  int accepted() {
    return accepted;
  }

  int messages() {
    return messages;
  }

  private static long heapUsed() {
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Reports a heap smaller than at the start of the iteration as collected. */
  @Override
  public String toString() {
    long grown = (heapUsed() - heapAtStart) / BYTES_PER_KB;
    return accepted
        + " accepted, "
        + messages
        + " messages read, heap "
        + (grown < 0 ? "collected " : "grown ")
        + Math.abs(grown)
        + " KB";
  }
}
