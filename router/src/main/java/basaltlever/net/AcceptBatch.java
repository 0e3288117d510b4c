package basaltlever.net;

import basaltlever.time.Span;

/**
 * How many connections are accepted in one look at the sockets: as many as fit into a time that
 * those who are served already can wait. In a process that has just started, or gets little
 * processor time, one connection takes a hundred times as long as later; without this the newcomers
 * would make all late whose statements are in hand.
 */
final class AcceptBatch {
  /** However fast it goes: then what they and others sent has its turn. */
  static final int MAX_CONNECTIONS = 16;

  private static final int INITIAL_CONNECTIONS = 4;

  /** It grows by no more than this factor from one look to the next. */
  private static final int MAX_GROWTH_FACTOR = 2;

  private static final Span TARGET = Span.ofMillis(5);

  private int size = INITIAL_CONNECTIONS;

  /** For the next look. */
  int size() {
    return size;
  }

  /**
   * So many were accepted in one look, which took so long with all that their first bytes asked.
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
