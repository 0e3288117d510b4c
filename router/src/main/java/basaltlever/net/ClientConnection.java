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
  private static final int LARGEST = 1 << 18;

  private static final int LARGEST_START = 1 << 13;

  /**
   * More than this sent ahead is thrown away: left unread, it would hide that its client has gone.
   */
  private static final int AHEAD = 1 << 20;

  /**
   * For a start, a first query, or the rest of a message: what takes longer is owed an end within 3
   * s.
   */
  private static final Span PATIENCE = Span.ofMillis(2_300);

  /** Once its sending has ended, a client that takes note of it is gone much sooner. */
  private static final Span TAKES_NOTE = Span.ofMillis(1_000);

  /**
   * Where others wait for its descriptor it has less: this long, or longer where its first
   * statement may yet come.
   */
  private static final Span LEAST_NOTE = Span.ofMillis(10);

  private static final Span LEAST_NOTE_UNSENT = Span.ofMillis(150);

  /** A socket that was read longer ago may hold its client's end by now. */
  private static final Span READ_LATELY = Span.ofMillis(10);

  /** So many messages of one client, then the others have their turn. */
  private static final int AT_ONCE = 16;

  /** A small row in one piece costs less than four pieces gathered (docs/performance.md). */
  private static final int COPIED = 512;

  private final ClientHost clients;
  private final MemoryBudget budget;
  private final MessageDecoder decoder;
  private final ClientLifecycle lifecycle = new ClientLifecycle(this);
  private ClientSocket socket;
  private final ArrivalTimes arrivals = new ArrivalTimes();

  /** Of the message in hand. */
  private Moment arrived = Moment.LONG_AGO;

  /**
   * What ends this connection once all that came whole before it is answered; what comes now is no
   * use.
   */
  private ProtocolException after;

  private PendingStatement pendingStatement;

  /** After an error in the extended protocol all is skipped up to the next Sync. */
  private boolean skipping;

  private boolean asked;
  private final boolean admitted;

  /** Whether the rest of what was read has its turn yet to come. */
  private boolean goesOn;

  private final long number;

  /** Since when it has been owed an end if it says nothing. */
  private Moment since;

  private final Moment silentSince;

  /** When it may have come to the listen queue; until its socket has been read once. */
  private Moment queuedSince;

  private Moment idleSince;
  private Moment readAt;

  /** Bytes that it has sent, and those of its startup message; 0 where that is not known yet. */
  private long sentBytes;

  private int startBytes;

  /** When it was told to go. */
  private Moment toldAt = Moment.NEVER;

  /** Since when a message has been under way; never where none is. */
  private Moment partSince = Moment.NEVER;

  /** The number tells connections apart in the log. One that is not admitted is told so at once. */
  ClientConnection(
      ClientHost clients,
      MemoryBudget budget,
      boolean admitted,
      long number,
      Moment queuedSince,
      Moment silentSince) {
    this.admitted = admitted;
    this.clients = clients;
    this.budget = budget;
    this.number = number;
    this.queuedSince = queuedSince;
    decoder = new MessageDecoder(LARGEST_START, budget);
    readAt = clients.now();
    since = readAt;
    this.silentSince = silentSince;
    idleSince = readAt;
  }

  void on(ClientSocket with) {
    socket = with;
    if (admitted) {
      clients.descriptors().unasked(this);
    }
  }

  /**
   * The machine may hold its first statement by now, which has waited in the listen queue with it.
   */
  void accepted() {
    if (!admitted) {
      turnAway();
      return;
    }
    socket.readReceived();
    queuedSince = null;
    if (sentBytes == 0) {
      since = silentSince;
      idleSince = silentSince;
    }
  }

  /** The buffer is taken over. */
  void received(ByteBuf read) {
    readAt = clients.now();
    if (startBytes == 0 && read.readableBytes() >= Integer.BYTES) {
      startBytes = read.getInt(read.readerIndex());
    }
    sentBytes += read.readableBytes();
    if (!lifecycle.isOpen() || after != null) {
      // Read to hear when its client goes, and so that no unread byte resets the connection at its
      // end.
      read.release();
      return;
    }
    arrivals.recordRead(
        read.readableBytes(), queuedSince == null ? clients.arrival() : queuedSince);
    try {
      decoder.add(read);
      if (lifecycle.isBusy() && decoder.bufferedBytes() > AHEAD) {
        throw new ProtocolException(
            ProtocolCodes.TOO_MANY_CONNECTIONS, "more than " + AHEAD + " bytes were sent ahead");
      }
    } catch (ProtocolException fault) {
      // What came whole is owed its own answers first: this one would say nothing was done.
      after = fault;
    }
    pump();
  }

  /** Goes on while no statement is under way and the client takes its answers. */
  private void pump() {
    if (!lifecycle.isOpen()) {
      return;
    }
    try {
      boolean all = cutMessages(goesOn ? 0 : AT_ONCE);
      // Once for all of them: each is a few bytes, and a write of its own costs more than all else
      // about it.
      socket.flush();
      partSince = decoder.bufferedBytes() == 0 ? Moment.NEVER : partSince.earlier(clients.now());
      if (lifecycle.state() == ClientLifecycle.State.IDLE && asked) {
        rests();
      }
      if (lifecycle.takesMessages() && after != null && socket.isWritable() && all) {
        refuse(after, CloseReason.PROTOCOL_ERROR);
      } else if (lifecycle.isOpen()) {
        // A client may send more ahead, but not without end; one that waits for an answer may
        // leave.
        socket.setReading(
            lifecycle.isBusy() || after != null || decoder.bufferedBytes() <= LARGEST);
      }
    } catch (ProtocolException fault) {
      refuse(fault, CloseReason.PROTOCOL_ERROR);
    }
  }

  /** False where more messages have come whole, whose turn comes later. */
  private boolean cutMessages(int most) throws ProtocolException {
    for (int left = most; lifecycle.takesMessages() && socket.isWritable(); left--) {
      if (left == 0) {
        goesOn();
        return false;
      }
      boolean starting = lifecycle.state() == ClientLifecycle.State.STARTING;
      ByteBuf message = starting ? decoder.nextStartupMessage() : decoder.nextMessage();
      if (message == null) {
        return true;
      }
      arrived = arrivals.consumeMessage(message.readableBytes());
      clients.messageRead();
      if (starting) {
        start(message);
      } else {
        message(message);
      }
    }
    return true;
  }

  private void rests() {
    if (decoder.bufferedBytes() > 0) {
      // What has been read of a statement must not be lost with an idle connection.
      clients.descriptors().busy(this);
    } else if (clients.closesIdle()) {
      // Not from within a read: what has come behind it is taken, also by a router that ends.
      clients.later(() -> endIdle(CloseReason.SHUTDOWN));
    } else {
      clients.descriptors().idleClient(this);
    }
  }

  /**
   * A task would run before the loop reads again: one client that sends much at once kept all
   * others, and every timer's answer, waiting. Once at a time, or each read of such a client would
   * add a share of its own.
   */
  private void goesOn() {
    if (!goesOn) {
      goesOn = true;
      socket.schedule(
          Span.NONE,
          () -> {
            goesOn = false;
            pump();
          });
    }
  }

  /**
   * A client that says nothing, or half of something, or takes no note of its end, holds a
   * descriptor for no use.
   */
  void endOverdue(Moment now) {
    if (lifecycle.isOpen()) {
      endSilent(now);
    } else if (now.since(toldAt)
        .isLongerThan(
            lifecycle.state() == ClientLifecycle.State.FLUSHING ? PATIENCE : TAKES_NOTE)) {
      // Bytes that lie there unread would make the close a reset.
      socket.readReceived();
      socket.close();
    }
  }

  private void endSilent(Moment now) {
    if (!isSilent(now)) {
      return;
    }
    // Its patience may have passed while this process was held up, and the rest have come
    // meanwhile.
    socket.readReceived();
    if (!isSilent(now)) {
      return;
    }
    if (lifecycle.state() == ClientLifecycle.State.IDLE && decoder.bufferedBytes() == 0) {
      endIdle(CloseReason.SILENT);
    } else {
      refuse(
          new ProtocolException(
              ProtocolCodes.PROTOCOL_VIOLATION, "a message did not come whole in time"),
          CloseReason.SILENT);
    }
  }

  private boolean isSilent(Moment now) {
    return lifecycle.takesMessages() && now.since(asked ? partSince : since).isLongerThan(PATIENCE);
  }

  void writabilityChanged() {
    pump();
  }

  private boolean refuse(ProtocolException fault, CloseReason closeReason) {
    if (lifecycle.beginsToEndWithError(closeReason)) {
      if (closeReason != CloseReason.SHUTDOWN) {
        clients.spoilt(socket.peer(), fault.getMessage());
      }
      ByteBuf out = socket.alloc().buffer();
      MessageEncoder.errorResponse(out, "FATAL", fault.sqlState, fault.getMessage(), null);
      ends(out);
      return true;
    }
    return false;
  }

  private void start(ByteBuf message) throws ProtocolException {
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
        MessageEncoder.negotiateProtocolVersion(out);
      }
      MessageEncoder.startupResponse(out);
      socket.write(out);
      decoder.setMaxMessageBytes(LARGEST);
      lifecycle.started();
      idles();
    }
  }

  private void message(ByteBuf message) throws ProtocolException {
    byte type = message.readByte();
    message.skipBytes(4);
    if (!asked) {
      asked = true;
      clients.descriptors().asks(this);
    }
    partSince = Moment.NEVER;
    if (type == ProtocolCodes.TERMINATE) {
      close(CloseReason.PEER_CLOSED);
    } else if (type == ProtocolCodes.SYNC) {
      skipping = false;
      reply(out -> {});
    } else if (type == ProtocolCodes.QUERY) {
      skipping = false;
      query(message);
    } else if ("PBEDCHF".indexOf(type) >= 0) {
      if (!skipping) {
        skipping = type != 'F';
        ByteBuf out = socket.alloc().buffer();
        MessageEncoder.errorResponse(
            out,
            "ERROR",
            ProtocolCodes.FEATURE_NOT_SUPPORTED,
            "only simple queries are taken here",
            null);
        if (type == 'F') {
          MessageEncoder.readyForQuery(out);
        }
        socket.write(out);
      }
    } else if ("dcf".indexOf(type) < 0) {
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "a message of unknown type " + type);
    }
  }

  private void query(ByteBuf message) throws ProtocolException {
    int last = message.writerIndex() - 1;
    if (!message.isReadable() || message.getByte(last) != 0) {
      throw new ProtocolException(
          ProtocolCodes.PROTOCOL_VIOLATION, "a query does not end in a zero byte");
    }
    ByteBuf text = message.slice(message.readerIndex(), message.readableBytes() - 1);
    String idle = Query.sessionCommand(text);
    if (Query.isBlank(text)) {
      reply(MessageEncoder::emptyQueryResponse);
    } else if (idle != null) {
      reply(out -> MessageEncoder.commandComplete(out, idle));
    } else {
      take(text);
    }
  }

  private void take(ByteBuf text) {
    try {
      Query query = Query.parse(text);
      int workload = clients.workload(query);
      if (clients.refusesAll()) {
        clients.counters().add(Counter.REFUSED_SHUTDOWN);
        throw new ProtocolException(
            ProtocolCodes.TOO_MANY_CONNECTIONS, "this router ends, and nothing was done");
      }
      // It outlives the buffer that it was read into: later executions send it again.
      ByteBuf kept = socket.alloc().buffer(text.readableBytes()).writeBytes(text);
      pendingStatement = clients.take(this, kept, query, workload, arrived);
      lifecycle.takes();
      clients.descriptors().busy(this);
    } catch (ProtocolException fault) {
      clients.spoilt(socket.peer(), fault.getMessage());
      reply(
          out ->
              MessageEncoder.errorResponse(out, "ERROR", fault.sqlState, fault.getMessage(), null));
    }
  }

  /** Goes out with the others of its turn in pump. */
  private void reply(Consumer<ByteBuf> what) {
    ByteBuf out = socket.alloc().buffer();
    what.accept(out);
    MessageEncoder.readyForQuery(out);
    socket.write(out);
  }

  /** The final answer as a node gave it; the slices are taken over. */
  void answer(List<ByteBuf> row) {
    if (!lifecycle.isBusy()) {
      row.forEach(ByteBuf::release);
      return;
    }
    long size = row.stream().mapToLong(ByteBuf::readableBytes).sum();
    if (!budget.reserve(size)) {
      budget.release(size);
      row.forEach(ByteBuf::release);
      answerError(ProtocolCodes.SYSTEM_ERROR, "there is no memory for the answer", null);
      return;
    }
    ByteBuf end = socket.alloc().buffer();
    for (ByteBuf slice : row) {
      if (size <= COPIED) {
        end.writeBytes(slice);
        slice.release();
      } else {
        socket.write(slice);
      }
    }
    MessageEncoder.readyForQuery(end);
    StatementTrace.Life life = pendingStatement.trace;
    socket.writeAndFlush(
        end,
        written -> {
          budget.release(size);
          clients.lives().ends(life, written ? "row_out" : "row_lost");
        });
    answered();
  }

  void answerError(String code, String message, String detail) {
    if (lifecycle.isBusy()) {
      StatementTrace.Life life = pendingStatement.trace;
      ByteBuf out = socket.alloc().buffer();
      MessageEncoder.errorResponse(out, "ERROR", code, message, detail);
      MessageEncoder.readyForQuery(out);
      socket.writeAndFlush(out, written -> clients.lives().ends(life, written ? "out" : "lost"));
      answered();
    }
  }

  private void answered() {
    pendingStatement = null;
    lifecycle.answered();
    idles();
    pump();
  }

  private void idles() {
    idleSince = clients.now();
    partSince = decoder.bufferedBytes() == 0 ? Moment.NEVER : idleSince;
  }

  /**
   * Where its client may have gone since its socket was read last, that is read again and its end
   * heard.
   */
  void readAgain() {
    if (lifecycle.isBusy() && clients.now().since(readAt).isLongerThan(READ_LATELY)) {
      readAt = clients.now();
      socket.readReceived();
    }
  }

  /**
   * Its statement has waited unread: its client may have gone meanwhile, which lies unread behind
   * it.
   */
  void readBehind(Moment came) {
    if (lifecycle.isBusy() && clients.now().since(came).isLongerThan(READ_LATELY)) {
      readAt = clients.now();
      socket.readReceived();
    }
  }

  // ---- Ends.

  @Override
  public void takeInReceived() {
    socket.readReceived();
  }

  @Override
  public boolean hasPartOfMessage() {
    return decoder.bufferedBytes() > 0;
  }

  @Override
  public boolean isAllWritten() {
    return socket.isAllWritten();
  }

  @Override
  public void endSending() {
    socket.endSending();
  }

  /**
   * Between statements a client's connection may be ended; what crosses that, the client sends
   * again.
   */
  @Override
  public boolean endIdle(CloseReason closeReason) {
    if (!asked && closeReason != CloseReason.SILENT) {
      // Its first statement may cross this, and no client sends that again as one on an idle
      // connection.
      return closeReason == CloseReason.SHUTDOWN ? refuse(routerEnds(), closeReason) : turnAway();
    }
    if (!lifecycle.endsIdle(closeReason)) {
      clients.counters().add(Counter.CLIENT_END_DECLINED);
      return false;
    }
    ended();
    return true;
  }

  /** Its statement, if one is on its way, is refused before it is read. */
  private boolean turnAway() {
    if (!lifecycle.beginsToEndWithError(CloseReason.TURNED_AWAY)) {
      return false;
    }
    ByteBuf out = socket.alloc().buffer();
    long millis = clients.comeBackMillis();
    MessageEncoder.errorResponse(
        out,
        "FATAL",
        ProtocolCodes.TOO_MANY_CONNECTIONS,
        "too many connections are open",
        millis > 0 ? "" + millis : null);
    ends(out);
    return true;
  }

  /** The router ends now: whatever was answered is on its way, and nothing more is taken. */
  void endAtOnce() {
    if (!endIdle(CloseReason.SHUTDOWN)) {
      refuse(routerEnds(), CloseReason.SHUTDOWN);
    }
  }

  private static ProtocolException routerEnds() {
    return new ProtocolException(
        ProtocolCodes.CANNOT_CONNECT_NOW, "this router ends, and nothing was done");
  }

  /**
   * A lingering close: closed over bytes that it has not read, a connection is reset, and with it
   * goes the last answer, where its client has not read that yet. So the sending ends, and what
   * still comes is read and thrown away until the client has closed its side, or for a while. Who
   * does not read what is left for it keeps its descriptor for no longer than anybody silent.
   */
  private void ends(ByteBuf error) {
    ended();
    socket.writeAndFlush(
        error,
        written -> {
          if (written && lifecycle.state() == ClientLifecycle.State.FLUSHING) {
            socket.endSending();
            lifecycle.sendingEnded();
          } else {
            socket.close();
          }
        });
  }

  private void ended() {
    toldAt = clients.now();
    int bytes = decoder.bufferedBytes();
    released();
    clients.ends(number, socket.peer(), lifecycle.reason(), bytes);
    clients.descriptors().lingers(this);
    socket.setReading(true);
  }

  /**
   * Its socket is read once more, since bytes that lie there unread would make the close a reset.
   */
  @Override
  public boolean closeIfNoted() {
    Span least = startBytes > 0 && sentBytes > startBytes ? LEAST_NOTE : LEAST_NOTE_UNSENT;
    if (lifecycle.state() != ClientLifecycle.State.HALF_CLOSED
        || clients.now().since(toldAt).isShorterThan(least)) {
      return false;
    }
    socket.readReceived();
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
  boolean waitsFor(PendingStatement statement) {
    return lifecycle.isBusy() && pendingStatement == statement;
  }

  boolean hasAsked() {
    return asked;
  }

  private void close(CloseReason closeReason) {
    gone(closeReason);
    socket.close();
  }

  /** Its client has closed it, which was read; the system closes it in a moment. */
  void left() {
    gone(CloseReason.PEER_CLOSED);
  }

  /** The system has closed it. */
  void closed() {
    gone(CloseReason.PEER_CLOSED);
    clients.closed(this);
  }

  /** Its client has reset it, or the network has. */
  void broken() {
    close(CloseReason.PEER_CLOSED);
  }

  /** This program failed at what it read: what is owed is answered, then the connection ends. */
  void failed(Throwable cause) {
    Event.FAULT.fault(LOG, "", cause, "talking to client " + socket.peer());
    if (lifecycle.isOpen()) {
      after =
          new ProtocolException(
              ProtocolCodes.TOO_MANY_CONNECTIONS, "the router could not read what was sent");
      if (lifecycle.takesMessages()) {
        refuse(after, CloseReason.FAULT);
      }
    }
  }

  private void gone(CloseReason closeReason) {
    boolean wasOpen = lifecycle.isOpen();
    if (lifecycle.closed(closeReason) && wasOpen) {
      clients.counters().add(closeReason.counter);
      clients.lives().connectionEnds(socket.peer(), closeReason, decoder.bufferedBytes());
      released();
    }
  }

  /** Nothing more is taken from it. */
  private void released() {
    decoder.release();
    if (asked) {
      clients.descriptors().asksNoMore();
    }
    clients.left(this, pendingStatement);
    pendingStatement = null;
  }
}
