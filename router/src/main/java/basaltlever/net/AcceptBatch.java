package basaltlever.net;

import basaltlever.time.Span;

/**
 * Limits how many connections are accepted in one read of the listener to as many as fit into a
 * short time. In a process that has just started, or that gets little processor time, accepting
 * takes a hundred times as long as later; without this limit, new connections would delay the
 * statements in progress beyond their deadlines.
 */
final class AcceptBatch {
  /** Bound of the batch regardless of speed, so that reads of other sockets get their turn. */
  static final int MAX_CONNECTIONS = 16;

  private static final int INITIAL_CONNECTIONS = 4;

  /** Factor by which the size may grow from one read to the next. */
  private static final int MAX_GROWTH_FACTOR = 2;

  private static final Span TARGET = Span.ofMillis(5);

  private int size = INITIAL_CONNECTIONS;

  /** Returns the size of the next batch. */
  int size() {
    return size;
  }

  /**
   * Adjusts the size to the time that this many connections took, including the processing of their
   * first messages.
   */
  void recordAccepted(int connections, Span elapsed) {
    if (connections == 0) {
      return;
    }
    long affordable = connections * TARGET.micros() / Math.max(1, elapsed.micros());
    long maxSize = Math.min(MAX_CONNECTIONS, (long) MAX_GROWTH_FACTOR * size);
    size = (int) Math.max(1, Math.min(maxSize, affordable));
  }
}
