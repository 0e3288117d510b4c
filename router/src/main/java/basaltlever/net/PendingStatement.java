package basaltlever.net;

import basaltlever.log.StatementTracer;
import basaltlever.pg.Query;
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/** A statement received from a client, with its text for as long as that is needed. */
final class PendingStatement {
  final long ticket;
  final ClientConnection client;
  final ByteBuf text;
  final Query query;

  /** Null if the statement is not traced. */
  final StatementTracer.Trace trace;

  /** Attempts in the order of the numbers given by the core. */
  final List<ServerQuery> attempts = new ArrayList<>(2);

  /** Latest time at which the statement's last byte can have arrived. */
  final Moment arrivedAt;

  /** Time by which the answer must be sent. */
  Moment answerDeadline;

  int openAttempts;
  boolean answered;
  boolean released;

  /** Creates a statement that takes ownership of the text. */
  PendingStatement(
      long ticket,
      ClientConnection client,
      ByteBuf text,
      Query query,
      Moment arrivedAt,
      StatementTracer.Trace trace) {
    this.ticket = ticket;
    this.client = client;
    this.text = text;
    this.query = query;
    this.arrivedAt = arrivedAt;
    this.trace = trace;
  }
}
