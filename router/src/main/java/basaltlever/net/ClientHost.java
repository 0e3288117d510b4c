package basaltlever.net;

import basaltlever.log.Counters;
import basaltlever.log.StatementTracer;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.Query;
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;

/** The services of the router that a client connection uses. */
interface ClientHost {
  Moment now();

  /** Returns the earliest time at which the bytes that are read now may have arrived. */
  Moment earliestArrival();

  /** Returns a number that identifies the current iteration of the event loop. */
  long iteration();

  Counters counters();

  Descriptors descriptors();

  /** Returns the bound of the unprocessed input of all clients. */
  InputMemory inputMemory();

  StatementTracer trace();

  /** Returns the index of the query's workload, or throws if no workload has that name. */
  int workloadIndex(Query query) throws ProtocolException;

  /**
   * Submits a statement whose last byte arrived at that time, and takes ownership of its text. The
   * answer follows later.
   */
  PendingStatement submit(
      ClientConnection client, ByteBuf text, Query query, int workload, Moment arrivedAt);

  /** Notifies that the client no longer waits for the statement; null if none was pending. */
  void onClientLeft(ClientConnection connection, PendingStatement pendingStatement);

  /** Notifies that the system has closed the connection. */
  void onClosed(ClientConnection connection);

  /**
   * Notifies that this router begins to end the connection, with this many bytes of an incomplete
   * message buffered.
   */
  void onEndBegun(long connectionNumber, Object client, CloseReason closeReason, int partialBytes);

  /** Notifies that the client sent input that cannot be processed. */
  void onInvalidInput(Object client, String problem);

  void onMessageRead();

  /** Returns how many messages of all clients were read in this iteration. */
  int messagesReadInIteration();

  /** Runs the step after all reads of this event loop iteration. */
  void runAfterReads(Runnable step);

  /** Whether idle connections are ended because the router shuts down. */
  boolean isClosingIdle();

  /** Whether statements are refused because the router core has given its last answers. */
  boolean isRefusingAll();

  /**
   * Returns the time after which a rejected client may reconnect; 0 if the settings allow no such
   * hint.
   */
  long retryAfterMillis();
}
