package basaltlever.net;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.pg.QueryResponse;
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;

/**
 * One query to one endpoint: an attempt of a statement, a poll or another check. Ends once, with a
 * response or a failure.
 */
abstract class ServerQuery {
  private PooledConnection connection;
  private Future<?> timer;
  private PeerTimeout peerTimeout;

  /** Whether the last byte was written. Before that, it is proven that the query did not run. */
  private boolean written;

  private boolean finished;

  abstract void write(ByteBuf out);

  /** Returns the use that a connection opened for this query is counted as. */
  abstract Descriptors.Use use();

  /** Returns whether the query must no longer be sent. */
  boolean isObsolete(Moment now) {
    return false;
  }

  /**
   * Returns whether the query may be sent now. If not, it is asked again in the next iteration,
   * until it becomes obsolete.
   */
  boolean isReadyToSend() {
    return true;
  }

  /** Handles the response, which this query must release. */
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
   * Ends the query at its timeout. After a stall of the loop this may run before a response that
   * arrived in time is read, so that is read first.
   */
  final void onTimeout() {
    if (connection != null) {
      connection.readReceived();
    }
    cancel(AttemptOutcome.TIMED_OUT);
  }

  /**
   * Ends the query. The connection that carries it cannot be reused, since the response may still
   * arrive.
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
