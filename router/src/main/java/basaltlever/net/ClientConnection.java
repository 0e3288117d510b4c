package basaltlever.net;

import basaltlever.log.Counter;
import basaltlever.log.Event;
import basaltlever.log.StatementTracer;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolCodes;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.Query;
import basaltlever.pg.StartupMessage;
import basaltlever.pg.StatementSyntax;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One client connection. Its statements are processed one at a time, in the order of their arrival.
 * {@link ClientLifecycle} decides when the connection may be ended, {@link ClientSocket} does the
 * I/O.
 */
final class ClientConnection implements Descriptors.EvictableClient, ClientLifecycle.Connection {
  private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

  /**
   * Timeout for the first or next bytes of a startup message, the first statement and the rest of a
   * message, and for the writing of a final error. Such a connection has to be ended within 3 s.
   */
  private static final Span CLIENT_TIMEOUT = Span.ofMillis(2_300);

  /** Time for a message that arrives slowly; after it, its connection is ended as a silent one. */
  private static final Span MAX_MESSAGE_TIME = Span.ofMillis(30_000);

  /**
   * Time for the client to close a half-closed connection. A client that reads the end of the
   * stream closes its side much sooner.
   */
  private static final Span HALF_CLOSED_TIMEOUT = Span.ofMillis(1_000);

  /**
   * Time that a half-closed connection always gets, even where another client needs its descriptor.
   * It is longer where the client's first statement may still arrive.
   */
  private static final Span MIN_HALF_CLOSED_TIME = Span.ofMillis(10);

  private static final Span MIN_HALF_CLOSED_TIME_BEFORE_STATEMENT = Span.ofMillis(150);

  /** Time after which any half-closed connection makes way for a client that needs a descriptor. */
  static final Span MAX_TIME_TO_FREE_DESCRIPTOR = MIN_HALF_CLOSED_TIME_BEFORE_STATEMENT;

  private static final int MAX_READS_BEFORE_CLOSE = 8;

  /** After this time without a read, the socket may hold an unread end of stream. */
  private static final Span MAX_READ_AGE = Span.ofMillis(10);

  /** Messages of one client processed at once when the router stops. */
  private static final int MAX_FINAL_MESSAGES = 1_024;

  /**
   * Copying a small row into one buffer costs less than writing four slices (docs/performance.md).
   */
  private static final int MAX_COPIED_ROW_BYTES = 512;

  private final ClientHost host;
  private final MemoryBudget budget;
  private final ClientInput input;
  private final ClientLifecycle lifecycle = new ClientLifecycle(this);
  private final IterationShare share = new IterationShare();
  private ClientSocket socket;

  /**
   * The error that ends this connection once all complete messages before it are answered; null for
   * none. Input that arrives after it is discarded.
   */
  private ProtocolException deferredError;

  private PendingStatement pendingStatement;

  /** After an error in the extended query protocol, messages are skipped up to the next Sync. */
  private boolean skippingToSync;

  private boolean messageReceived;
  private final boolean admitted;

  /** Whether the remaining buffered messages are scheduled for a later batch. */
  private boolean continuationScheduled;

  private final long number;

  /** When the last bytes of the client were read. */
  private Moment lastReceivedAt = Moment.LONG_AGO;

  /** Start of the timeout for the startup message and the first statement. */
  private Moment silenceStart;

  private final Moment silentSince;

  /**
   * Earliest time at which the connection may have entered the listen queue; null once the socket
   * has been read.
   */
  private Moment queuedSince;

  private Moment idleSince;
  private Moment lastReadAt;

  /**
   * Bytes received from the client, and the length of its startup message; 0 while that is unknown.
   */
  private long receivedBytes;

  private int startupMessageBytes;

  /** When this router began to end the connection. */
  private Moment endBegunAt = Moment.NEVER;

  /** Since when an incomplete message has been buffered; never if there is none. */
  private Moment partialMessageSince = Moment.NEVER;

  /**
   * Creates a connection with a number that identifies it in the log. A connection that is not
   * admitted is rejected as soon as it is accepted.
   */
  ClientConnection(
      ClientHost host,
      MemoryBudget budget,
      boolean admitted,
      long number,
      Moment queuedSince,
      Moment silentSince) {
    this.admitted = admitted;
    this.host = host;
    this.budget = budget;
    this.number = number;
    this.queuedSince = queuedSince;
    input = new ClientInput(budget, host.inputMemory());
    lastReadAt = host.now();
    silenceStart = lastReadAt;
    this.silentSince = silentSince;
    idleSince = lastReadAt;
  }

  void attachSocket(ClientSocket clientSocket) {
    socket = clientSocket;
    if (admitted) {
      host.descriptors().addNewClient(this);
    }
  }

  /**
   * Reads the socket: the first statement may have been received while the connection waited in the
   * listen queue.
   */
  void onAccepted() {
    if (!admitted) {
      rejectForCapacity();
      return;
    }
    socket.readAvailable();
    queuedSince = null;
    if (receivedBytes == 0) {
      silenceStart = silentSince;
      idleSince = silentSince;
    }
  }

  /** Takes ownership of the buffer. */
  void onBytesReceived(ByteBuf bytes) {
    lastReadAt = host.now();
    lastReceivedAt = lastReadAt;
    if (startupMessageBytes == 0 && bytes.readableBytes() >= Integer.BYTES) {
      startupMessageBytes = bytes.getInt(bytes.readerIndex());
    }
    receivedBytes += bytes.readableBytes();
    if (!lifecycle.isOpen() || deferredError != null) {
      // The input is read so that the client's end of stream is seen, and so that closing the
      // socket over unread bytes does not reset the connection.
      bytes.release();
      return;
    }
    try {
      buffer(bytes);
    } catch (ProtocolException exception) {
      // Complete messages are answered before the error, which states that nothing was done.
      deferredError = exception;
    }
    processMessages();
  }

  private void buffer(ByteBuf bytes) throws ProtocolException {
    Moment arrivedAt = queuedSince == null ? host.earliestArrival() : queuedSince;
    if (lifecycle.state() == ClientLifecycle.State.STARTING) {
      input.addStartupBytes(bytes, arrivedAt, lastReceivedAt);
      return;
    }
    String skipReason = input.add(bytes, arrivedAt, lastReceivedAt, lifecycle.isBusy());
    if (skipReason != null) {
      host.onInvalidInput(socket.remoteAddress(), skipReason);
    }
  }

  /** Processes buffered messages while no statement is in progress and the socket is writable. */
  private void processMessages() {
    share.enterIteration(host.iteration(), host.now());
    processMessages(
        () -> continuationScheduled || share.isUsedUp(host.now(), host.messagesReadInIteration()));
  }

  /** Processes buffered messages until none is left or the condition holds. */
  private void processMessages(BooleanSupplier isOver) {
    if (!lifecycle.isOpen()) {
      return;
    }
    try {
      boolean bufferDrained = processBatch(isOver);
      // One flush for the whole batch: each answer is a few bytes, and a system call for each would
      // cost more than all other work on it.
      socket.flush();
      partialMessageSince =
          hasPartialMessage() ? partialMessageSince.earlier(host.now()) : Moment.NEVER;
      if (lifecycle.state() == ClientLifecycle.State.IDLE && messageReceived) {
        onIdleAfterMessage();
      }
      if (lifecycle.canTakeMessage()
          && deferredError != null
          && socket.isWritable()
          && bufferDrained) {
        endWithError(deferredError, CloseReason.PROTOCOL_ERROR);
      } else if (lifecycle.isOpen()) {
        socket.setAutoRead(isInputWanted(bufferDrained));
      }
    } catch (ProtocolException exception) {
      endWithError(exception, CloseReason.PROTOCOL_ERROR);
    }
  }

  /**
   * The buffer of pipelined messages is bounded, and a client that does not read is not read
   * either. While a statement is in progress, reading continues, so that the client's end of stream
   * is seen.
   */
  private boolean isInputWanted(boolean bufferDrained) {
    boolean fits = bufferDrained || input.bufferedBytes() <= maxReadBytes();
    return lifecycle.isBusy() || deferredError != null || (fits && socket.isWritable());
  }

  /** Returns how much may be read from the socket at a time. */
  int maxReadBytes() {
    return host.inputMemory().allowance(IterationShare.MAX_READ_BYTES);
  }

  /** Returns false if complete messages remain for a later batch. */
  private boolean processBatch(BooleanSupplier isOver) throws ProtocolException {
    while (lifecycle.canTakeMessage() && socket.isWritable()) {
      if (isOver.getAsBoolean()) {
        scheduleContinuation();
        return false;
      }
      boolean starting = lifecycle.state() == ClientLifecycle.State.STARTING;
      ByteBuf message = starting ? input.nextStartupMessage() : input.nextMessage();
      if (message == null) {
        if (!input.hasSkippedMessage()) {
          return true;
        }
        share.countMessage(0);
        handleSkippedMessage();
        continue;
      }
      host.onMessageRead();
      share.countMessage(message.readableBytes());
      if (starting) {
        handleStartupMessage(message);
      } else {
        handleMessage(message);
      }
      input.onMessageProcessed();
    }
    return true;
  }

  /** Processes a message of which only the type is known. */
  private void handleSkippedMessage() throws ProtocolException {
    byte type = input.takeSkippedMessage();
    host.onMessageRead();
    onMessageReceived();
    if (type == ProtocolCodes.QUERY) {
      skippingToSync = false;
      rejectSkippedQuery();
    } else {
      handleOtherMessage(type);
    }
  }

  private void rejectSkippedQuery() {
    host.counters().increment(Counter.REFUSED_SENT_AHEAD);
    writeReply(
        out ->
            MessageEncoder.writeErrorResponse(
                out,
                "ERROR",
                ProtocolCodes.TOO_MANY_CONNECTIONS,
                "too much was sent ahead, and nothing was done",
                null));
  }

  private void onIdleAfterMessage() {
    if (hasPartialMessage()) {
      // A connection with part of a statement buffered is not idle: evicting it would lose those
      // bytes.
      host.descriptors().markBusy(this);
    } else if (host.isClosingIdle()) {
      // Deferred until the reads of this iteration are done: messages behind this one are still
      // processed, also by a router that shuts down.
      host.runAfterReads(() -> endIfIdle(CloseReason.SHUTDOWN));
    } else {
      host.descriptors().addIdleClient(this);
    }
  }

  /**
   * Schedules the next batch by a timer, since the event loop runs plain tasks before it reads
   * again: with a task, one client with many pipelined messages delayed all others and every timer.
   * At most one continuation is pending, or each read from such a client would add a batch of its
   * own.
   */
  private void scheduleContinuation() {
    if (!continuationScheduled) {
      continuationScheduled = true;
      socket.schedule(
          Span.NONE,
          () -> {
            continuationScheduled = false;
            processMessages();
          });
    }
  }

  /**
   * Ends or closes the connection if its client has timed out: one that sends nothing or only part
   * of a message, or does not close its side, occupies a descriptor to no use.
   */
  void endIfTimedOut(Moment now) {
    if (lifecycle.isOpen()) {
      endIfSilent(now);
    } else if (now.since(endBegunAt)
        .isLongerThan(
            lifecycle.state() == ClientLifecycle.State.FLUSHING
                ? CLIENT_TIMEOUT
                : HALF_CLOSED_TIMEOUT)) {
      readBeforeClose();
      socket.close();
    }
  }

  private void endIfSilent(Moment now) {
    if (!isSilent(now)) {
      return;
    }
    // The timeout may have passed while this process was stalled, with the rest of the message
    // received meanwhile.
    socket.readAvailable();
    if (!isSilent(now)) {
      return;
    }
    if (lifecycle.state() == ClientLifecycle.State.IDLE && !hasPartialMessage()) {
      endIfIdle(CloseReason.SILENT);
    } else {
      endWithError(
          new ProtocolException(
              ProtocolCodes.PROTOCOL_VIOLATION, "a message did not come whole in time"),
          CloseReason.SILENT);
    }
  }

  /** A client that sends slowly is not silent, within the time for a message. */
  private boolean isSilent(Moment now) {
    Moment waitingSince = messageReceived ? partialMessageSince : silenceStart;
    boolean stopped = now.since(waitingSince.later(lastReceivedAt)).isLongerThan(CLIENT_TIMEOUT);
    boolean overdue = now.since(waitingSince).isLongerThan(MAX_MESSAGE_TIME);
    return lifecycle.canTakeMessage()
        && waitingSince.isBefore(Moment.NEVER)
        && (stopped || overdue);
  }

  void onWritabilityChanged() {
    processMessages();
  }

  private boolean endWithError(ProtocolException exception, CloseReason closeReason) {
    if (lifecycle.beginEndWithError(closeReason)) {
      if (closeReason != CloseReason.SHUTDOWN) {
        host.onInvalidInput(socket.remoteAddress(), exception.getMessage());
      }
      ByteBuf out = socket.alloc().buffer();
      MessageEncoder.writeErrorResponse(
          out, "FATAL", exception.sqlState, exception.getMessage(), null);
      beginLingeringClose(out);
      return true;
    }
    return false;
  }

  private void handleStartupMessage(ByteBuf message) throws ProtocolException {
    if (message.readableBytes() < 8) {
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "a startup message is too short");
    }
    int version = message.getInt(message.readerIndex() + 4);
    if (version == ProtocolCodes.SSL_REQUEST || version == ProtocolCodes.GSS_ENCRYPTION_REQUEST) {
      socket.write(socket.alloc().buffer(1).writeByte('N'));
    } else if (version == ProtocolCodes.CANCEL_REQUEST) {
      // No client has received a cancel key, and the protocol defines no answer.
      close(CloseReason.PEER_CLOSED);
    } else if (version >>> 16 != ProtocolCodes.PROTOCOL_VERSION >>> 16) {
      throw new ProtocolException(
          ProtocolCodes.FEATURE_NOT_SUPPORTED,
          "protocol version " + (version >>> 16) + " is not spoken here");
    } else {
      StartupMessage.checkParameters(message.skipBytes(2 * Integer.BYTES));
      ByteBuf out = socket.alloc().buffer();
      if (version != ProtocolCodes.PROTOCOL_VERSION) {
        MessageEncoder.writeNegotiateProtocolVersion(out);
      }
      MessageEncoder.writeStartupResponse(out);
      socket.write(out);
      input.onStarted();
      lifecycle.onStarted();
      markIdle();
    }
  }

  private void handleMessage(ByteBuf message) throws ProtocolException {
    byte type = message.readByte();
    message.skipBytes(4);
    onMessageReceived();
    if (type == ProtocolCodes.QUERY) {
      skippingToSync = false;
      handleQuery(message);
    } else {
      handleOtherMessage(type);
    }
  }

  private void onMessageReceived() {
    if (!messageReceived) {
      messageReceived = true;
      host.descriptors().onFirstMessage(this);
    }
    partialMessageSince = Moment.NEVER;
  }

  /** Handles a message that is no query; its content does not matter. */
  private void handleOtherMessage(byte type) throws ProtocolException {
    if (type == ProtocolCodes.TERMINATE) {
      close(CloseReason.PEER_CLOSED);
    } else if (type == ProtocolCodes.SYNC) {
      skippingToSync = false;
      writeReply(out -> {});
    } else if ("PBEDCHF".indexOf(type) >= 0) {
      if (!skippingToSync) {
        skippingToSync = type != 'F';
        ByteBuf out = socket.alloc().buffer();
        MessageEncoder.writeErrorResponse(
            out,
            "ERROR",
            ProtocolCodes.FEATURE_NOT_SUPPORTED,
            "only simple queries are taken here",
            null);
        if (type == 'F') {
          MessageEncoder.writeReadyForQuery(out);
        }
        socket.write(out);
      }
    } else if ("dcf".indexOf(type) < 0) {
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "a message of unknown type " + type);
    }
  }

  private void handleQuery(ByteBuf message) throws ProtocolException {
    int lastIndex = message.writerIndex() - 1;
    if (!message.isReadable() || message.getByte(lastIndex) != 0) {
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "a query does not end in a zero byte");
    }
    ByteBuf text = message.slice(message.readerIndex(), message.readableBytes() - 1);
    try {
      handleQueryText(text);
    } catch (ProtocolException exception) {
      host.onInvalidInput(socket.remoteAddress(), exception.getMessage());
      writeReply(
          out ->
              MessageEncoder.writeErrorResponse(
                  out, "ERROR", exception.sqlState, exception.getMessage(), null));
    }
  }

  private void handleQueryText(ByteBuf text) throws ProtocolException {
    StatementSyntax.checkString(text);
    if (Query.isBlank(text)) {
      writeReply(MessageEncoder::writeEmptyQueryResponse);
      return;
    }
    StatementSyntax.checkStatement(text);
    String commandTag = Query.findSessionCommand(text);
    if (commandTag != null) {
      writeReply(out -> MessageEncoder.writeCommandComplete(out, commandTag));
    } else {
      submitStatement(text);
    }
  }

  private void submitStatement(ByteBuf text) throws ProtocolException {
    Query query = Query.parse(text);
    int workload = host.workloadIndex(query);
    if (host.isRefusingAll()) {
      host.counters().increment(Counter.REFUSED_SHUTDOWN);
      throw new ProtocolException(
          ProtocolCodes.TOO_MANY_CONNECTIONS, "this router ends, and nothing was done");
    }
    // The copy outlives the read buffer, since later executions send the text again.
    ByteBuf statementText = socket.alloc().buffer(text.readableBytes()).writeBytes(text);
    pendingStatement = host.submit(this, statementText, query, workload, input.messageArrivedAt());
    lifecycle.onStatementSubmitted();
    host.descriptors().markBusy(this);
  }

  /** Writes an answer without a flush; {@link #processMessages} flushes once for the batch. */
  private void writeReply(Consumer<ByteBuf> bodyWriter) {
    ByteBuf out = socket.alloc().buffer();
    bodyWriter.accept(out);
    MessageEncoder.writeReadyForQuery(out);
    socket.write(out);
  }

  /** Sends the final answer as received from the endpoint and takes ownership of the slices. */
  void sendRow(List<ByteBuf> rowSlices) {
    if (!lifecycle.isBusy()) {
      rowSlices.forEach(ByteBuf::release);
      return;
    }
    long size = rowSlices.stream().mapToLong(ByteBuf::readableBytes).sum();
    if (!budget.reserve(size)) {
      budget.release(size);
      rowSlices.forEach(ByteBuf::release);
      sendError(ProtocolCodes.SYSTEM_ERROR, "there is no memory for the answer", null);
      return;
    }
    ByteBuf end = socket.alloc().buffer();
    for (ByteBuf slice : rowSlices) {
      if (size <= MAX_COPIED_ROW_BYTES) {
        end.writeBytes(slice);
        slice.release();
      } else {
        socket.write(slice);
      }
    }
    MessageEncoder.writeReadyForQuery(end);
    StatementTracer.Trace traceEntry = pendingStatement.trace;
    socket.writeAndFlush(
        end,
        written -> {
          budget.release(size);
          host.trace().end(traceEntry, written ? "row_out" : "row_lost");
        });
    onAnswered();
  }

  void sendError(String code, String message, String detail) {
    if (lifecycle.isBusy()) {
      StatementTracer.Trace traceEntry = pendingStatement.trace;
      ByteBuf out = socket.alloc().buffer();
      MessageEncoder.writeErrorResponse(out, "ERROR", code, message, detail);
      MessageEncoder.writeReadyForQuery(out);
      socket.writeAndFlush(out, written -> host.trace().end(traceEntry, written ? "out" : "lost"));
      onAnswered();
    }
  }

  private void onAnswered() {
    pendingStatement = null;
    lifecycle.onAnswered();
    markIdle();
    processMessages();
  }

  private void markIdle() {
    idleSince = host.now();
    partialMessageSince = hasPartialMessage() ? idleSince : Moment.NEVER;
  }

  /**
   * Reads the socket if it was not read lately or not to its end, since the client may have
   * disconnected meanwhile.
   */
  void readIfStale() {
    readIfStale(lastReadAt);
  }

  /**
   * Reads the socket if the statement waited unread or the socket was not read to its end, since
   * the client's end of stream may be unread behind it.
   */
  void readIfStatementWaited(Moment arrivedAt) {
    readIfStale(arrivedAt);
  }

  private void readIfStale(Moment since) {
    boolean stale = host.now().since(since).isLongerThan(MAX_READ_AGE);
    if (lifecycle.isBusy() && (stale || !socket.isDrained())) {
      lastReadAt = host.now();
      socket.readAvailable();
    }
  }

  /** Whether the client's input was read to its end, so that its end of stream is known. */
  boolean isInputRead() {
    return socket.isDrained();
  }

  @Override
  public void readAvailable() {
    socket.readAvailable();
  }

  /** Reads before the socket is closed, which would reset the connection over unread bytes. */
  private void readBeforeClose() {
    int reads = 0;
    do {
      socket.readAvailable();
      reads++;
    } while (reads < MAX_READS_BEFORE_CLOSE && !socket.isDrained());
  }

  @Override
  public boolean hasPartialMessage() {
    return !input.isEmpty();
  }

  @Override
  public boolean isAllWritten() {
    return socket.isAllWritten();
  }

  @Override
  public void shutdownOutput() {
    socket.shutdownOutput();
  }

  /**
   * Ends the connection between statements. A client whose statement crosses the end sends it
   * again.
   */
  @Override
  public boolean endIfIdle(CloseReason closeReason) {
    if (!messageReceived && closeReason != CloseReason.SILENT) {
      // The first statement may cross the end. Clients send a statement again if it was lost on an
      // idle connection, but not on a new one, so a new connection ends with an error.
      return closeReason == CloseReason.SHUTDOWN
          ? endWithError(shutdownError(), closeReason)
          : rejectForCapacity();
    }
    if (!lifecycle.endIfIdle(closeReason)) {
      host.counters().increment(Counter.CLIENT_END_DECLINED);
      return false;
    }
    onEndBegun();
    return true;
  }

  /**
   * Ends the connection with an error, which also answers a statement that has been sent and is not
   * read yet.
   */
  private boolean rejectForCapacity() {
    if (!lifecycle.beginEndWithError(CloseReason.TURNED_AWAY)) {
      return false;
    }
    ByteBuf out = socket.alloc().buffer();
    long retryAfterMillis = host.retryAfterMillis();
    MessageEncoder.writeErrorResponse(
        out,
        "FATAL",
        ProtocolCodes.TOO_MANY_CONNECTIONS,
        "too many connections are open",
        retryAfterMillis > 0 ? "" + retryAfterMillis : null);
    beginLingeringClose(out);
    return true;
  }

  /**
   * Answers what the client has sent and ends the connection. Each statement is rejected, since the
   * router refuses all by now. The number of answers is limited, and a client that does not read
   * them gets no more than the socket takes.
   */
  void endImmediately() {
    readBeforeClose();
    processFinalMessages();
    if (!endIfIdle(CloseReason.SHUTDOWN)) {
      endWithError(shutdownError(), CloseReason.SHUTDOWN);
    }
  }

  private void processFinalMessages() {
    AtomicInteger remaining = new AtomicInteger(MAX_FINAL_MESSAGES);
    processMessages(() -> remaining.getAndDecrement() <= 0);
  }

  private static ProtocolException shutdownError() {
    return new ProtocolException(
        ProtocolCodes.CANNOT_CONNECT_NOW, "this router ends, and nothing was done");
  }

  /**
   * Begins a lingering close. Closing over unread bytes resets the connection, and the client then
   * loses the last answer if it has not read it yet. So this side shuts down its output, and input
   * is read and discarded until the client closes its side or a timeout expires. A client that does
   * not read the error loses its descriptor after the same timeout as a silent one.
   */
  private void beginLingeringClose(ByteBuf error) {
    onEndBegun();
    socket.writeAndFlush(
        error,
        written -> {
          if (written && lifecycle.state() == ClientLifecycle.State.FLUSHING) {
            socket.shutdownOutput();
            lifecycle.onOutputShutdown();
          } else {
            socket.close();
          }
        });
  }

  private void onEndBegun() {
    endBegunAt = host.now();
    int partialBytes = input.bufferedBytes();
    releaseStatement();
    host.onEndBegun(number, socket.remoteAddress(), lifecycle.reason(), partialBytes);
    host.descriptors().addLingeringClient(this);
    socket.setAutoRead(true);
  }

  @Override
  public boolean closeIfLingered() {
    Span minLingerTime =
        startupMessageBytes > 0 && receivedBytes > startupMessageBytes
            ? MIN_HALF_CLOSED_TIME
            : MIN_HALF_CLOSED_TIME_BEFORE_STATEMENT;
    if (lifecycle.state() != ClientLifecycle.State.HALF_CLOSED
        || host.now().since(endBegunAt).isShorterThan(minLingerTime)) {
      return false;
    }
    readBeforeClose();
    socket.close();
    return true;
  }

  @Override
  public Moment idleSince() {
    return idleSince;
  }

  ClientLifecycle.State state() {
    return lifecycle.state();
  }

  boolean isBusy() {
    return lifecycle.isBusy();
  }

  /** Whether the client is connected and the statement is unanswered. */
  boolean isWaitingFor(PendingStatement statement) {
    return lifecycle.isBusy() && pendingStatement == statement;
  }

  boolean hasReceivedMessage() {
    return messageReceived;
  }

  private void close(CloseReason closeReason) {
    markClosed(closeReason);
    socket.close();
  }

  /**
   * The client's end of stream was read; {@link #onClosed} follows once the system has closed the
   * socket.
   */
  void onPeerClosed() {
    markClosed(CloseReason.PEER_CLOSED);
  }

  /** The system has closed the socket. */
  void onClosed() {
    markClosed(CloseReason.PEER_CLOSED);
    host.onClosed(this);
  }

  /** The client or the network has reset the connection. */
  void onConnectionLost() {
    close(CloseReason.PEER_CLOSED);
  }

  /**
   * This program failed while processing input: a statement in progress is answered, then the
   * connection ends.
   */
  void onFailure(Throwable cause) {
    Event.FAULT.logError(LOG, "", cause, "processing input of client " + socket.remoteAddress());
    if (lifecycle.isOpen()) {
      deferredError =
          new ProtocolException(
              ProtocolCodes.TOO_MANY_CONNECTIONS, "the router could not read what was sent");
      if (lifecycle.canTakeMessage()) {
        endWithError(deferredError, CloseReason.FAULT);
      }
    }
  }

  private void markClosed(CloseReason closeReason) {
    boolean wasOpen = lifecycle.isOpen();
    if (lifecycle.markClosed(closeReason) && wasOpen) {
      host.counters().increment(closeReason.counter);
      host.trace().logClientDisconnect(socket.remoteAddress(), closeReason, input.bufferedBytes());
      releaseStatement();
    }
  }

  /** Releases the buffered input and the pending statement; nothing more is processed. */
  private void releaseStatement() {
    input.release();
    if (messageReceived) {
      host.descriptors().onActiveClientEnded();
    }
    host.onClientLeft(this, pendingStatement);
    pendingStatement = null;
  }
}
