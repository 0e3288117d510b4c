package basaltlever.net;

import basaltlever.log.Counter;
import basaltlever.log.Event;
import basaltlever.log.StatementTrace;
import basaltlever.pg.ArrivalTimes;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolCodes;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.Query;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One client: its statements are taken one after the other, in the order in which they came. {@link
 * ClientLifecycle} says when its connection may be ended, {@link ClientSocket} moves the bytes.
 */
final class ClientConnection implements Descriptors.EvictableClient, ClientLifecycle.Connection {
  private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

  /** A value of 64 KiB in hexadecimal, with its statement. */
  private static final int MAX_MESSAGE_BYTES = 1 << 18;

  private static final int MAX_STARTUP_MESSAGE_BYTES = 1 << 13;

  /**
   * More than this sent ahead is thrown away: left unread, it would hide that its client has gone.
   */
  private static final int MAX_PIPELINED_BYTES = 1 << 20;

  /**
   * For a start, a first query, or the rest of a message: what takes longer is owed an end within 3
   * s.
   */
  private static final Span CLIENT_TIMEOUT = Span.ofMillis(2_300);

  /** Once its sending has ended, a client that takes note of it is gone much sooner. */
  private static final Span HALF_CLOSED_TIMEOUT = Span.ofMillis(1_000);

  /**
   * Where others wait for its descriptor it has less: this long, or longer where its first
   * statement may yet come.
   */
  private static final Span MIN_HALF_CLOSED_TIME = Span.ofMillis(10);

  private static final Span MIN_HALF_CLOSED_TIME_BEFORE_STATEMENT = Span.ofMillis(150);

  /** A socket that was read longer ago may hold its client's end by now. */
  private static final Span MAX_READ_AGE = Span.ofMillis(10);

  /** So many messages of one client, then the others have their turn. */
  private static final int MAX_MESSAGES_PER_BATCH = 16;

  /** A small row in one piece costs less than four pieces gathered (docs/performance.md). */
  private static final int MAX_COPIED_ROW_BYTES = 512;

  private final ClientHost host;
  private final MemoryBudget budget;
  private final MessageDecoder decoder;
  private final ClientLifecycle lifecycle = new ClientLifecycle(this);
  private ClientSocket socket;
  private final ArrivalTimes arrivals = new ArrivalTimes();

  /** Of the message in hand. */
  private Moment messageArrivedAt = Moment.LONG_AGO;

  /**
   * What ends this connection once all that came whole before it is answered; what comes now is no
   * use.
   */
  private ProtocolException deferredError;

  private PendingStatement pendingStatement;

  /** After an error in the extended protocol all is skipped up to the next Sync. */
  private boolean skippingToSync;

  private boolean messageReceived;
  private final boolean admitted;

  /** Whether the rest of what was read has its turn yet to come. */
  private boolean continuationScheduled;

  private final long number;

  /** Since when it has been owed an end if it says nothing. */
  private Moment silenceStart;

  private final Moment silentSince;

  /** When it may have come to the listen queue; until its socket has been read once. */
  private Moment queuedSince;

  private Moment idleSince;
  private Moment lastReadAt;

  /** Bytes that it has sent, and those of its startup message; 0 where that is not known yet. */
  private long receivedBytes;

  private int startupMessageBytes;

  /** When it was told to go. */
  private Moment endBegunAt = Moment.NEVER;

  /** Since when a message has been under way; never where none is. */
  private Moment partialMessageSince = Moment.NEVER;

  /** The number tells connections apart in the log. One that is not admitted is told so at once. */
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
    decoder = new MessageDecoder(MAX_STARTUP_MESSAGE_BYTES, budget);
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
   * The machine may hold its first statement by now, which has waited in the listen queue with it.
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

  /** The buffer is taken over. */
  void onBytesReceived(ByteBuf bytes) {
    lastReadAt = host.now();
    if (startupMessageBytes == 0 && bytes.readableBytes() >= Integer.BYTES) {
      startupMessageBytes = bytes.getInt(bytes.readerIndex());
    }
    receivedBytes += bytes.readableBytes();
    if (!lifecycle.isOpen() || deferredError != null) {
      // Read to hear when its client goes, and so that no unread byte resets the connection at its
      // end.
      bytes.release();
      return;
    }
    arrivals.recordRead(
        bytes.readableBytes(), queuedSince == null ? host.earliestArrival() : queuedSince);
    try {
      decoder.add(bytes);
      if (lifecycle.isBusy() && decoder.bufferedBytes() > MAX_PIPELINED_BYTES) {
        throw new ProtocolException(
            ProtocolCodes.TOO_MANY_CONNECTIONS,
            "more than " + MAX_PIPELINED_BYTES + " bytes were sent ahead");
      }
    } catch (ProtocolException exception) {
      // What came whole is owed its own answers first: this one would say nothing was done.
      deferredError = exception;
    }
    processMessages();
  }

  /** Goes on while no statement is under way and the client takes its answers. */
  private void processMessages() {
    if (!lifecycle.isOpen()) {
      return;
    }
    try {
      boolean bufferDrained = processBatch(continuationScheduled ? 0 : MAX_MESSAGES_PER_BATCH);
      // Once for all of them: each is a few bytes, and a write of its own costs more than all else
      // about it.
      socket.flush();
      partialMessageSince =
          decoder.bufferedBytes() == 0 ? Moment.NEVER : partialMessageSince.earlier(host.now());
      if (lifecycle.state() == ClientLifecycle.State.IDLE && messageReceived) {
        onIdleAfterMessage();
      }
      if (lifecycle.canTakeMessage()
          && deferredError != null
          && socket.isWritable()
          && bufferDrained) {
        endWithError(deferredError, CloseReason.PROTOCOL_ERROR);
      } else if (lifecycle.isOpen()) {
        // A client may send more ahead, but not without end; one that waits for an answer may
        // leave.
        socket.setAutoRead(
            lifecycle.isBusy()
                || deferredError != null
                || decoder.bufferedBytes() <= MAX_MESSAGE_BYTES);
      }
    } catch (ProtocolException exception) {
      endWithError(exception, CloseReason.PROTOCOL_ERROR);
    }
  }

  /** False where more messages have come whole, whose turn comes later. */
  private boolean processBatch(int maxMessages) throws ProtocolException {
    for (int remaining = maxMessages;
        lifecycle.canTakeMessage() && socket.isWritable();
        remaining--) {
      if (remaining == 0) {
        scheduleContinuation();
        return false;
      }
      boolean starting = lifecycle.state() == ClientLifecycle.State.STARTING;
      ByteBuf message = starting ? decoder.nextStartupMessage() : decoder.nextMessage();
      if (message == null) {
        return true;
      }
      messageArrivedAt = arrivals.consumeMessage(message.readableBytes());
      host.onMessageRead();
      if (starting) {
        handleStartupMessage(message);
      } else {
        handleMessage(message);
      }
    }
    return true;
  }

  private void onIdleAfterMessage() {
    if (decoder.bufferedBytes() > 0) {
      // What has been read of a statement must not be lost with an idle connection.
      host.descriptors().markBusy(this);
    } else if (host.isClosingIdle()) {
      // Not from within a read: what has come behind it is taken, also by a router that ends.
      host.runAfterReads(() -> endIfIdle(CloseReason.SHUTDOWN));
    } else {
      host.descriptors().addIdleClient(this);
    }
  }

  /**
   * A task would run before the loop reads again: one client that sends much at once kept all
   * others, and every timer's answer, waiting. Once at a time, or each read of such a client would
   * add a share of its own.
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
   * A client that says nothing, or half of something, or takes no note of its end, holds a
   * descriptor for no use.
   */
  void endIfTimedOut(Moment now) {
    if (lifecycle.isOpen()) {
      endIfSilent(now);
    } else if (now.since(endBegunAt)
        .isLongerThan(
            lifecycle.state() == ClientLifecycle.State.FLUSHING
                ? CLIENT_TIMEOUT
                : HALF_CLOSED_TIMEOUT)) {
      // Bytes that lie there unread would make the close a reset.
      socket.readAvailable();
      socket.close();
    }
  }

  private void endIfSilent(Moment now) {
    if (!isSilent(now)) {
      return;
    }
    // Its patience may have passed while this process was held up, and the rest have come
    // meanwhile.
    socket.readAvailable();
    if (!isSilent(now)) {
      return;
    }
    if (lifecycle.state() == ClientLifecycle.State.IDLE && decoder.bufferedBytes() == 0) {
      endIfIdle(CloseReason.SILENT);
    } else {
      endWithError(
          new ProtocolException(
              ProtocolCodes.PROTOCOL_VIOLATION, "a message did not come whole in time"),
          CloseReason.SILENT);
    }
  }

  private boolean isSilent(Moment now) {
    return lifecycle.canTakeMessage()
        && now.since(messageReceived ? partialMessageSince : silenceStart)
            .isLongerThan(CLIENT_TIMEOUT);
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
      // Nobody was given a key to cancel with, and no answer is owed.
      close(CloseReason.PEER_CLOSED);
    } else if (version >>> 16 != ProtocolCodes.PROTOCOL_VERSION >>> 16) {
      throw new ProtocolException(
          ProtocolCodes.FEATURE_NOT_SUPPORTED,
          "protocol version " + (version >>> 16) + " is not spoken here");
    } else {
      ByteBuf out = socket.alloc().buffer();
      if (version != ProtocolCodes.PROTOCOL_VERSION) {
        MessageEncoder.writeNegotiateProtocolVersion(out);
      }
      MessageEncoder.writeStartupResponse(out);
      socket.write(out);
      decoder.setMaxMessageBytes(MAX_MESSAGE_BYTES);
      lifecycle.onStarted();
      markIdle();
    }
  }

  private void handleMessage(ByteBuf message) throws ProtocolException {
    byte type = message.readByte();
    message.skipBytes(4);
    if (!messageReceived) {
      messageReceived = true;
      host.descriptors().onFirstMessage(this);
    }
    partialMessageSince = Moment.NEVER;
    if (type == ProtocolCodes.TERMINATE) {
      close(CloseReason.PEER_CLOSED);
    } else if (type == ProtocolCodes.SYNC) {
      skippingToSync = false;
      writeReply(out -> {});
    } else if (type == ProtocolCodes.QUERY) {
      skippingToSync = false;
      handleQuery(message);
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
    String commandTag = Query.findSessionCommand(text);
    if (Query.isBlank(text)) {
      writeReply(MessageEncoder::writeEmptyQueryResponse);
    } else if (commandTag != null) {
      writeReply(out -> MessageEncoder.writeCommandComplete(out, commandTag));
    } else {
      submitStatement(text);
    }
  }

  private void submitStatement(ByteBuf text) {
    try {
      Query query = Query.parse(text);
      int workload = host.workloadIndex(query);
      if (host.isRefusingAll()) {
        host.counters().add(Counter.REFUSED_SHUTDOWN);
        throw new ProtocolException(
            ProtocolCodes.TOO_MANY_CONNECTIONS, "this router ends, and nothing was done");
      }
      // It outlives the buffer that it was read into: later executions send it again.
      ByteBuf statementText = socket.alloc().buffer(text.readableBytes()).writeBytes(text);
      pendingStatement = host.submit(this, statementText, query, workload, messageArrivedAt);
      lifecycle.onStatementSubmitted();
      host.descriptors().markBusy(this);
    } catch (ProtocolException exception) {
      host.onInvalidInput(socket.remoteAddress(), exception.getMessage());
      writeReply(
          out ->
              MessageEncoder.writeErrorResponse(
                  out, "ERROR", exception.sqlState, exception.getMessage(), null));
    }
  }

  /** Goes out with the others of its turn in pump. */
  private void writeReply(Consumer<ByteBuf> bodyWriter) {
    ByteBuf out = socket.alloc().buffer();
    bodyWriter.accept(out);
    MessageEncoder.writeReadyForQuery(out);
    socket.write(out);
  }

  /** The final answer as a node gave it; the slices are taken over. */
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
    StatementTrace.Life life = pendingStatement.trace;
    socket.writeAndFlush(
        end,
        written -> {
          budget.release(size);
          host.trace().ends(life, written ? "row_out" : "row_lost");
        });
    onAnswered();
  }

  void sendError(String code, String message, String detail) {
    if (lifecycle.isBusy()) {
      StatementTrace.Life life = pendingStatement.trace;
      ByteBuf out = socket.alloc().buffer();
      MessageEncoder.writeErrorResponse(out, "ERROR", code, message, detail);
      MessageEncoder.writeReadyForQuery(out);
      socket.writeAndFlush(out, written -> host.trace().ends(life, written ? "out" : "lost"));
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
    partialMessageSince = decoder.bufferedBytes() == 0 ? Moment.NEVER : idleSince;
  }

  /**
   * Where its client may have gone since its socket was read last, that is read again and its end
   * heard.
   */
  void readIfStale() {
    if (lifecycle.isBusy() && host.now().since(lastReadAt).isLongerThan(MAX_READ_AGE)) {
      lastReadAt = host.now();
      socket.readAvailable();
    }
  }

  /**
   * Its statement has waited unread: its client may have gone meanwhile, which lies unread behind
   * it.
   */
  void readIfStatementWaited(Moment arrivedAt) {
    if (lifecycle.isBusy() && host.now().since(arrivedAt).isLongerThan(MAX_READ_AGE)) {
      lastReadAt = host.now();
      socket.readAvailable();
    }
  }

  // ---- Ends.

  @Override
  public void readAvailable() {
    socket.readAvailable();
  }

  @Override
  public boolean hasPartialMessage() {
    return decoder.bufferedBytes() > 0;
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
   * Between statements a client's connection may be ended; what crosses that, the client sends
   * again.
   */
  @Override
  public boolean endIfIdle(CloseReason closeReason) {
    if (!messageReceived && closeReason != CloseReason.SILENT) {
      // Its first statement may cross this, and no client sends that again as one on an idle
      // connection.
      return closeReason == CloseReason.SHUTDOWN
          ? endWithError(shutdownError(), closeReason)
          : rejectForCapacity();
    }
    if (!lifecycle.endIfIdle(closeReason)) {
      host.counters().add(Counter.CLIENT_END_DECLINED);
      return false;
    }
    onEndBegun();
    return true;
  }

  /** Its statement, if one is on its way, is refused before it is read. */
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

  /** The router ends now: whatever was answered is on its way, and nothing more is taken. */
  void endImmediately() {
    if (!endIfIdle(CloseReason.SHUTDOWN)) {
      endWithError(shutdownError(), CloseReason.SHUTDOWN);
    }
  }

  private static ProtocolException shutdownError() {
    return new ProtocolException(
        ProtocolCodes.CANNOT_CONNECT_NOW, "this router ends, and nothing was done");
  }

  /**
   * A lingering close: closed over bytes that it has not read, a connection is reset, and with it
   * goes the last answer, where its client has not read that yet. So the sending ends, and what
   * still comes is read and thrown away until the client has closed its side, or for a while. Who
   * does not read what is left for it keeps its descriptor for no longer than anybody silent.
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
    int partialBytes = decoder.bufferedBytes();
    releaseStatement();
    host.onEndBegun(number, socket.remoteAddress(), lifecycle.reason(), partialBytes);
    host.descriptors().addLingeringClient(this);
    socket.setAutoRead(true);
  }

  /**
   * Its socket is read once more, since bytes that lie there unread would make the close a reset.
   */
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
    socket.readAvailable();
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

  /** Whether its client is there and has had no answer to the statement. */
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

  /** Its client has closed it, which was read; the system closes it in a moment. */
  void onPeerClosed() {
    markClosed(CloseReason.PEER_CLOSED);
  }

  /** The system has closed it. */
  void onClosed() {
    markClosed(CloseReason.PEER_CLOSED);
    host.onClosed(this);
  }

  /** Its client has reset it, or the network has. */
  void onConnectionLost() {
    close(CloseReason.PEER_CLOSED);
  }

  /** This program failed at what it read: what is owed is answered, then the connection ends. */
  void onFailure(Throwable cause) {
    Event.FAULT.fault(LOG, "", cause, "talking to client " + socket.remoteAddress());
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
      host.counters().add(closeReason.counter);
      host.trace().connectionEnds(socket.remoteAddress(), closeReason, decoder.bufferedBytes());
      releaseStatement();
    }
  }

  /** Nothing more is taken from it. */
  private void releaseStatement() {
    decoder.release();
    if (messageReceived) {
      host.descriptors().onActiveClientEnded();
    }
    host.onClientLeft(this, pendingStatement);
    pendingStatement = null;
  }
}
