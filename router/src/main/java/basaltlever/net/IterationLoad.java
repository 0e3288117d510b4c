package basaltlever.net;

/** What one turn of the loop had to do, for the log line of a slow one. */
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

  /** A heap that holds less than at the start of the turn has been collected in it. */
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
