package basaltlever.net;

import basaltlever.pg.ArrivalTimes;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.SkippedMessages;
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;

/**
 * The unprocessed input of one client connection: buffered messages, and behind them those that did
 * not fit, of which only the type is kept so that each can be rejected in its turn.
 */
final class ClientInput implements InputMemory.Holder {
  /** Fits a value of 64 KiB in hexadecimal, with its statement. */
  static final int MAX_MESSAGE_BYTES = 1 << 18;

  private static final int MAX_STARTUP_MESSAGE_BYTES = 1 << 13;

  /**
   * Maximum number of bytes buffered behind a statement in progress. Messages beyond this are
   * skipped and rejected rather than left unread, since unread input would hide that the client has
   * disconnected.
   */
  private static final int MAX_PIPELINED_BYTES = 1 << 20;

  private static final String OUT_OF_MEMORY = "too many messages are under way";

  private final MessageDecoder decoder;
  private final ArrivalTimes arrivals = new ArrivalTimes();

  /** When the message that is being processed arrived. */
  private Moment messageArrivedAt = Moment.LONG_AGO;

  /** The messages behind those in the decoder; null if there are none. */
  private SkippedMessages skippedMessages;

  private final InputMemory memory;
  private boolean started;

  /** Whether a message that was returned, and is part of the buffer, is being processed. */
  private boolean messageInUse;

  /** When the first byte of the incomplete message arrived. */
  private Moment messageBegunAt = Moment.LONG_AGO;

  /** The messages could not be split when memory was released; reported with the next input. */
  private ProtocolException splitFault;

  ClientInput(MemoryBudget budget, InputMemory memory) {
    this.memory = memory;
    decoder = new MessageDecoder(MAX_STARTUP_MESSAGE_BYTES, budget);
  }

  /** Adds received bytes of the startup phase and takes ownership of their buffer. */
  void addStartupBytes(ByteBuf bytes, Moment arrivedAt, Moment now) throws ProtocolException {
    arrivals.recordRead(bytes.readableBytes(), arrivedAt);
    messageBegunAt = decoder.bufferedBytes() == 0 ? now : messageBegunAt;
    decoder.add(bytes);
    memory.onReceived(this, now);
  }

  /**
   * Adds received bytes and takes ownership of their buffer.
   *
   * @param arrivedAt the earliest time at which the bytes may have arrived
   * @param busy whether a statement of the client is in progress
   * @return why the messages that follow are skipped from now on; null if they are not, or have
   *     been before
   */
  String add(ByteBuf bytes, Moment arrivedAt, Moment now, boolean busy) throws ProtocolException {
    if (splitFault != null) {
      bytes.release();
      throw splitFault;
    }
    if (skippedMessages != null) {
      skippedMessages.add(bytes);
      return null;
    }
    arrivals.recordRead(bytes.readableBytes(), arrivedAt);
    messageBegunAt = decoder.bufferedBytes() == 0 ? now : messageBegunAt;
    boolean fitsBudget = decoder.addEvenIfOverBudget(bytes);
    boolean fitsMemory = memory.onReceived(this, now);
    if (!fitsMemory) {
      giveWay();
      memory.onReleased(this);
      return OUT_OF_MEMORY;
    }
    if (fitsBudget && !(busy && decoder.bufferedBytes() > memory.allowance(MAX_PIPELINED_BYTES))) {
      return null;
    }
    skipFurtherMessages();
    memory.onReleased(this);
    return fitsBudget ? "too much was sent ahead" : OUT_OF_MEMORY;
  }

  @Override
  public Moment messageBegunAt() {
    return messageBegunAt;
  }

  @Override
  public int capacityBytes() {
    return decoder.capacityBytes();
  }

  @Override
  public void giveWay() {
    if (!started || messageInUse || skippedMessages != null) {
      return;
    }
    ByteBuf all = decoder.removeAll();
    if (all != null) {
      try {
        skippedMessages = new SkippedMessages(MAX_MESSAGE_BYTES);
        skippedMessages.add(all);
      } catch (ProtocolException fault) {
        splitFault = fault;
      }
    }
  }

  /**
   * Buffers no more messages until those that are buffered are processed. The client has sent the
   * skipped ones in full or is about to, so each of them is owed an answer.
   */
  private void skipFurtherMessages() throws ProtocolException {
    skippedMessages = new SkippedMessages(MAX_MESSAGE_BYTES);
    ByteBuf incompleteMessage = decoder.removeIncompleteMessage();
    if (incompleteMessage != null) {
      skippedMessages.add(incompleteMessage);
    }
  }

  /** The startup phase is over: messages have a type and may be longer. */
  void onStarted() {
    decoder.setMaxMessageBytes(MAX_MESSAGE_BYTES);
    started = true;
  }

  /** Returns the next buffered message of the startup phase, or null. */
  ByteBuf nextStartupMessage() throws ProtocolException {
    return recordArrival(decoder.nextStartupMessage());
  }

  /** Returns the next buffered message, or null. */
  ByteBuf nextMessage() throws ProtocolException {
    return recordArrival(decoder.nextMessage());
  }

  private ByteBuf recordArrival(ByteBuf message) {
    messageInUse = message != null;
    memory.onReleased(this);
    if (message != null) {
      messageArrivedAt = arrivals.consumeMessage(message.readableBytes());
    }
    return message;
  }

  /** The last message that was returned is processed; its buffer may be released. */
  void onMessageProcessed() {
    messageInUse = false;
  }

  /** Returns when the last byte of the last buffered message that was taken arrived. */
  Moment messageArrivedAt() {
    return messageArrivedAt;
  }

  /** Returns whether a complete message was skipped. Only valid if no message is buffered. */
  boolean hasSkippedMessage() {
    return skippedMessages != null && !skippedMessages.isEmpty();
  }

  /** Removes the first skipped message and returns its type. */
  byte takeSkippedMessage() {
    byte type = skippedMessages.takeType();
    if (skippedMessages.isEmpty() && !skippedMessages.hasPartialMessage()) {
      skippedMessages = null;
      arrivals.consumeAll();
    }
    return type;
  }

  /** Returns whether all input is processed. */
  boolean isEmpty() {
    return decoder.bufferedBytes() == 0 && skippedMessages == null;
  }

  int bufferedBytes() {
    return decoder.bufferedBytes();
  }

  /** Discards all input. */
  void release() {
    decoder.release();
    skippedMessages = null;
    memory.onReleased(this);
  }
}
