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
  private Future<?> timer;
  private PeerTimeout peerTimeout;

  /** Whether its last byte was written: before, it is proven that nothing ran. */
  private boolean written;

  private boolean finished;

  abstract void write(ByteBuf out);

  /** What a connection opened for it is used for. */
  abstract Descriptors.Use use();

  /** Whether it must no longer be sent. */
  boolean isObsolete(Moment now) {
    return false;
  }

  /** The answer is the job's to release. */
  abstract void onResponse(QueryResponse response);

  abstract void onFailure(AttemptOutcome outcome);

  final void attachTo(PooledConnection connection) {
    this.connection = connection;
  }

  final void setTimeout(Future<?> timer) {
    this.timer = timer;
  }

  final void setTimeout(PeerTimeout timeout) {
    peerTimeout = timeout;
  }

  final void markWritten() {
    written = true;
  }

  final boolean isFinished() {
    return finished;
  }

  final void complete(QueryResponse response) {
    if (finish()) {
      onResponse(response);
    } else {
      response.release();
    }
  }

  final void fail(AttemptOutcome outcomeIfUnwritten, AttemptOutcome outcomeIfWritten) {
    if (finish()) {
      onFailure(written ? outcomeIfWritten : outcomeIfUnwritten);
    }
  }

  /**
   * Its time is over. A loop that was held up may come to this before it reads an answer that has
   * come in time.
   */
  final void onTimeout() {
    if (connection != null) {
      connection.readReceived();
    }
    cancel(AttemptOutcome.TIMED_OUT);
  }

  /**
   * Stops waiting: a connection that carries it can't be used again, since the answer may still
   * come.
   */
  final void cancel(AttemptOutcome outcomeIfWritten) {
    PooledConnection carrier = connection;
    fail(AttemptOutcome.NEVER_SENT, outcomeIfWritten);
    if (carrier != null) {
      carrier.abandon();
    }
  }

  private boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    connection = null;
    if (timer != null) {
      timer.cancel(false);
    }
    if (peerTimeout != null) {
      peerTimeout.cancel();
    }
    return true;
  }
}
