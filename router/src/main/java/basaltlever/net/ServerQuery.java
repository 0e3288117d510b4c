package basaltlever.net;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.pg.QueryResponse;
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;

/**
 * One query to one node: an execution or a poll. It ends once, with an answer or with the loss of
 * it.
 */
abstract class ServerQuery {
  private PooledConnection connection;
  private Future<?> limit;
  private PeerTimeout peerTimeout;

  /** Whether its last byte was written: before, it is proven that nothing ran. */
  private boolean written;

  private boolean over;

  abstract void write(ByteBuf out);

  /** What a connection opened for it is used for. */
  abstract Descriptors.Use use();

  /** Whether it must no longer be sent. */
  boolean isTooLate(Moment now) {
    return false;
  }

  /** The answer is the job's to release. */
  abstract void answered(QueryResponse response);

  abstract void lost(AttemptOutcome outcome);

  final void on(PooledConnection connection) {
    this.connection = connection;
  }

  final void endsBy(Future<?> limit) {
    this.limit = limit;
  }

  final void endsBy(PeerTimeout timeout) {
    peerTimeout = timeout;
  }

  final void wasWritten() {
    written = true;
  }

  final boolean isOver() {
    return over;
  }

  final void endAnswered(QueryResponse response) {
    if (end()) {
      answered(response);
    } else {
      response.release();
    }
  }

  final void endLost(AttemptOutcome before, AttemptOutcome after) {
    if (end()) {
      lost(written ? after : before);
    }
  }

  /**
   * Its time is over. A loop that was held up may come to this before it reads an answer that has
   * come in time.
   */
  final void timeIsOver() {
    if (connection != null) {
      connection.readReceived();
    }
    giveUp(AttemptOutcome.TIMED_OUT);
  }

  /**
   * Stops waiting: a connection that carries it can't be used again, since the answer may still
   * come.
   */
  final void giveUp(AttemptOutcome after) {
    PooledConnection in = connection;
    endLost(AttemptOutcome.NEVER_SENT, after);
    if (in != null) {
      in.abandon();
    }
  }

  private boolean end() {
    if (over) {
      return false;
    }
    over = true;
    connection = null;
    if (limit != null) {
      limit.cancel(false);
    }
    if (peerTimeout != null) {
      peerTimeout.cancel();
    }
    return true;
  }
}
