package basaltlever.net;

import basaltlever.log.StatementTracer;
import basaltlever.pg.Query;
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/** A statement taken from a client, with its text until nothing needs that any more. */
final class PendingStatement {
  final long ticket;
  final ClientConnection client;
  final ByteBuf text;
  final Query query;

  /** Null where nobody follows it. */
  final StatementTracer.Trace trace;

  /** By the count that the decisions give them. */
  final List<ServerQuery> attempts = new ArrayList<>(2);

  /** Its last byte had come by then at the latest, and its answer goes out by then. */
  final Moment arrivedAt;

  Moment answerDeadline;
  int openAttempts;
  boolean answered;
  boolean released;

  /** Takes the text over. */
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
