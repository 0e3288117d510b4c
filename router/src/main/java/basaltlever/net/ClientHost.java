package basaltlever.net;

import basaltlever.log.Counters;
import basaltlever.log.StatementTracer;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.Query;
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;

/** What a client's connection needs of the router that it is connected to. */
interface ClientHost {
  Moment now();

  /** No earlier than this can the bytes have come that are read now. */
  Moment earliestArrival();

  Counters counters();

  Descriptors descriptors();

  StatementTracer trace();

  /** The place of the query's class among the workloads; a fault where none has that name. */
  int workloadIndex(Query query) throws ProtocolException;

  /**
   * Takes a statement over, with its text, which came whole at that moment; the answer comes later.
   */
  PendingStatement submit(
      ClientConnection client, ByteBuf text, Query query, int workload, Moment arrivedAt);

  /** The client waits for nothing any more, if it did for this statement; null for none. */
  void onClientLeft(ClientConnection connection, PendingStatement pendingStatement);

  /** The system has closed the connection. */
  void onClosed(ClientConnection connection);

  /**
   * This router ends the connection, for this reason, with so many bytes of a message that had not
   * come whole.
   */
  void onEndBegun(long connectionNumber, Object client, CloseReason closeReason, int partialBytes);

  /** The client sent what can't be used. */
  void onInvalidInput(Object client, String problem);

  void onMessageRead();

  /** Runs the step in the turn behind all reads of this look at the sockets. */
  void runAfterReads(Runnable step);

  /** Whether idle connections end, since the router does. */
  boolean isClosingIdle();

  /** Whether the decisions have answered for the last time. */
  boolean isRefusingAll();

  /**
   * When a client that is turned away may come back; 0 where the settings do not let it be told.
   */
  long retryAfterMillis();
}
