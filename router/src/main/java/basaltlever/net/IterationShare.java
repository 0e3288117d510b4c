package basaltlever.net;

import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * Bounds what one client connection gets of each iteration of the event loop, whatever it sends and
 * whatever makes it process its input: messages, their bytes, and processor time. What remains is
 * processed in later iterations, so other clients and all timers get their turn.
 */
final class IterationShare {
  static final int MAX_MESSAGES = 16;

  static final int MAX_MESSAGES_OF_ALL = 32 * MAX_MESSAGES;

  /** The largest message exceeds this; then it is the only one of its iteration. */
  static final int MAX_MESSAGE_BYTES = 1 << 17;

  /** Bytes read from the socket at a time. */
  static final int MAX_READ_BYTES = 1 << 17;

  static final Span MAX_TIME = Span.ofMillis(2);

  private long iteration = -1;
  private int messages;
  private long messageBytes;
  private Moment startedAt = Moment.NEVER;

  /** Starts a new share if the loop is in another iteration than at the last call. */
  void enterIteration(long currentIteration, Moment now) {
    if (currentIteration != iteration) {
      iteration = currentIteration;
      messages = 0;
      messageBytes = 0;
      startedAt = now;
    }
  }

  /** Records a processed message. */
  void countMessage(int bytes) {
    messages++;
    messageBytes += bytes;
  }

  /**
   * Returns whether no further message is to be processed in this iteration.
   *
   * @param messagesOfAll the messages of all connections in this iteration; where they are many,
   *     each further connection gets one
   */
  boolean isUsedUp(Moment now, int messagesOfAll) {
    return messages >= (messagesOfAll < MAX_MESSAGES_OF_ALL ? MAX_MESSAGES : 1)
        || messageBytes >= MAX_MESSAGE_BYTES
        || (messages > 0 && now.since(startedAt).isLongerThan(MAX_TIME));
  }
}
