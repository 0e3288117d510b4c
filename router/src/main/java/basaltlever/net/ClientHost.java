package basaltlever.net;

import basaltlever.log.Counters;
import basaltlever.log.StatementTrace;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.Query;
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;

/** What a client's connection needs of the router that it is connected to. */
interface ClientHost {
  Moment now();

  /** No earlier than this can the bytes have come that are read now. */
  Moment arrival();

  Counters counters();

  Descriptors descriptors();

  StatementTrace lives();

  /** The place of the query's class among the workloads; a fault where none has that name. */
  int workload(Query query) throws ProtocolException;

  /**
   * Takes a statement over, with its text, which came whole at that moment; the answer comes later.
   */
  PendingStatement take(
      ClientConnection client, ByteBuf text, Query query, int workload, Moment arrived);

  /** The client waits for nothing any more, if it did for this statement; null for none. */
  void left(ClientConnection connection, PendingStatement pendingStatement);

  /** The system has closed the connection. */
  void closed(ClientConnection connection);

  /**
   * This router ends the connection, for this reason, with so many bytes of a message that had not
   * come whole.
   */
  void ends(long connection, Object client, CloseReason closeReason, int bytes);

  /** The client sent what can't be used. */
  void spoilt(Object client, String what);

  void messageRead();

  /** Runs the step in the turn behind all reads of this look at the sockets. */
  void later(Runnable step);

  /** Whether idle connections end, since the router does. */
  boolean closesIdle();

  /** Whether the decisions have answered for the last time. */
  boolean refusesAll();

  /**
   * When a client that is turned away may come back; 0 where the settings do not let it be told.
   */
  long comeBackMillis();
}
