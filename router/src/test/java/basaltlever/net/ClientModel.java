package basaltlever.net;

import basaltlever.config.WorkloadSlots;
import basaltlever.log.Counters;
import basaltlever.log.StatementTracer;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolCodes;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.Query;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Models one client connection with the receive queue of its socket and its router, for tests that
 * perform steps in any order. The {@link ClientConnection} is the real one; the simulated socket
 * holds what the system has received until it is read.
 */
final class ClientModel implements ClientHost, ClientSocket {
  /** The steps that a test performs, with the number of times each may occur. */
  enum Step {
    SEND(4),
    READ(3),
    RUN_LATER(2),
    ANSWER(2),
    END_IDLE(2),
    SHUT_DOWN(1),
    END_IMMEDIATELY(1),
    CLIENT_CLOSES(1),
    CLIENT_RESETS(1),
    CLIENT_STOPS_READING(1),
    CLIENT_READS_AGAIN(1),
    WRITES_FAIL(1),
    READ_FAULT(1),
    CLIENT_TIMEOUT(1),
    DESCRIPTOR_NEEDED(1);

    final int maxUses;

    Step(int maxUses) {
      this.maxUses = maxUses;
    }
  }

  /** Faults like those found earlier, injected at the socket. */
  enum InjectedFault {
    NONE,
    NO_READ_BEFORE_THE_END,
    CLOSED_OVER_UNREAD_BYTES,
    FATAL_ERROR_LOST,
    CLOSED_AFTER_OUTPUT_SHUTDOWN,
    CLOSED_ON_READ_FAILURE
  }

  private static final Span LONGER_THAN_CLIENT_TIMEOUT = Span.ofMillis(2_500);
  private static final Span LONGER_THAN_MIN_HALF_CLOSED_TIME = Span.ofMillis(200);
  private static final int SETTLE_ROUNDS = 12;

  private final InjectedFault injectedFault;
  private final Map<Step, Integer> stepUses = new EnumMap<>(Step.class);
  private final Counters counters = new Counters();
  private final InputMemory inputMemory = new InputMemory(1 << 19);
  private final Descriptors descriptors = new Descriptors(64);
  private final WorkloadSlots slots = WorkloadSlots.of(List.of("view"));
  private final StatementTracer trace = new StatementTracer(null, this::now);
  private final ArrayDeque<Runnable> laterTasks = new ArrayDeque<>();
  private final ClientConnection connection;
  private final ArrayDeque<byte[]> unsentUnits = new ArrayDeque<>();
  private Moment now = new Moment(1_000_000_000);
  private boolean closingIdle;
  private boolean refusingAll;
  private PendingStatement pendingStatement;
  private final List<String> submittedIds = new ArrayList<>();

  private ByteBuf receiveQueue = Unpooled.buffer();
  private boolean clientClosed;
  private boolean resetByClient;
  private boolean clientReads = true;
  private boolean writesFail;
  private boolean active = true;
  private boolean closed;
  private boolean outputShutdown;
  private final List<Consumer<Boolean>> pendingWriteCallbacks = new ArrayList<>();
  private final ByteBuf unwritten = Unpooled.buffer();
  private final ByteBuf receivedByClient = Unpooled.buffer();
  private int expectedAnswers;
  private int unitsSent;
  private long iteration;
  private String violation = "";

  ClientModel(InjectedFault injectedFault) {
    this.injectedFault = injectedFault;
    ByteBuf out = Unpooled.buffer();
    MessageEncoder.writeStartupMessage(out, "app", "shop");
    unsentUnits.add(bytes(out));
    MessageEncoder.writeQuery(out, "/* id=s1,c=view,d=900,cluster=1 */ SELECT 1");
    byte[] first = bytes(out);
    unsentUnits.add(java.util.Arrays.copyOf(first, 9));
    unsentUnits.add(java.util.Arrays.copyOfRange(first, 9, first.length));
    MessageEncoder.writeQuery(out, "/* id=s2,c=view,d=900,cluster=1 */ SELECT 1");
    unsentUnits.add(bytes(out));
    descriptors.admitClient();
    connection = new ClientConnection(this, new MemoryBudget(1 << 20), true, 1, now, now);
    connection.attachSocket(this);
    connection.onAccepted();
    if (injectedFault == InjectedFault.CLOSED_OVER_UNREAD_BYTES) {
      unsentUnits.stream().limit(3).forEach(this::receiveUnit);
      close();
    }
  }

  private static byte[] bytes(ByteBuf out) {
    byte[] bytes = new byte[out.readableBytes()];
    out.readBytes(bytes);
    out.clear();
    return bytes;
  }

  private void receiveUnit(byte[] unit) {
    unitsSent++;
    receiveQueue.writeBytes(unit);
    if (unitsSent >= 3 && !outputShutdown && !closed) {
      expectedAnswers++;
    }
  }

  /** Adds bytes of the test's own to the receive queue. */
  void receive(byte[] bytes) {
    receiveQueue.writeBytes(bytes);
  }

  /** Returns the ids of the statements that were submitted to the router. */
  List<String> submittedIds() {
    return submittedIds;
  }

  boolean isEnabled(Step step) {
    return stepUses.getOrDefault(step, 0) < step.maxUses
        && switch (step) {
          case SEND -> !unsentUnits.isEmpty() && !clientClosed && !closed;
          case READ -> receiveQueue.isReadable() || clientClosed;
          case RUN_LATER -> !laterTasks.isEmpty();
          case ANSWER -> pendingStatement != null;
          case CLIENT_CLOSES, CLIENT_RESETS -> !clientClosed;
          case CLIENT_READS_AGAIN -> !clientReads;
          case CLIENT_STOPS_READING, WRITES_FAIL -> clientReads;
          case END_IMMEDIATELY -> closingIdle;
          default -> true;
        };
  }

  void perform(Step step) {
    stepUses.merge(step, 1, Integer::sum);
    iteration++;
    switch (step) {
      case SEND -> receiveUnit(unsentUnits.poll());
      case READ -> read();
      case RUN_LATER -> runLater();
      case ANSWER -> answer();
      case END_IDLE -> connection.endIfIdle(CloseReason.IDLE);
      case SHUT_DOWN -> {
        closingIdle = true;
        if (connection.hasReceivedMessage()) {
          connection.endIfIdle(CloseReason.SHUTDOWN);
        }
      }
      case END_IMMEDIATELY -> {
        refusingAll = true;
        answer();
        connection.endImmediately();
      }
      case CLIENT_CLOSES -> clientClosed = true;
      case CLIENT_RESETS -> {
        clientClosed = true;
        resetByClient = true;
      }
      case CLIENT_STOPS_READING -> clientReads = false;
      case CLIENT_READS_AGAIN -> resumeClientReads();
      case WRITES_FAIL -> writesFail = true;
      case READ_FAULT -> {
        if (injectedFault == InjectedFault.CLOSED_ON_READ_FAILURE) {
          close();
        } else {
          connection.onFailure(new IllegalStateException("injected"));
        }
      }
      case CLIENT_TIMEOUT -> {
        now = now.plus(LONGER_THAN_CLIENT_TIMEOUT);
        connection.endIfTimedOut(now);
      }
      case DESCRIPTOR_NEEDED -> {
        now = now.plus(LONGER_THAN_MIN_HALF_CLOSED_TIME);
        connection.closeIfLingered();
      }
      default -> throw new AssertionError(step);
    }
  }

  private void read() {
    if (!active) {
      return;
    }
    if (resetByClient) {
      active = false;
      connection.onConnectionLost();
      return;
    }
    if (receiveQueue.isReadable()) {
      ByteBuf all = receiveQueue;
      receiveQueue = Unpooled.buffer();
      connection.onBytesReceived(all);
    }
    if (clientClosed && active) {
      active = false;
      connection.onPeerClosed();
      laterTasks.add(connection::onClosed);
    }
  }

  private void runLater() {
    iteration++;
    for (int left = laterTasks.size(); left > 0; left--) {
      laterTasks.poll().run();
    }
  }

  private void answer() {
    if (pendingStatement != null) {
      pendingStatement = null;
      connection.sendError(ProtocolCodes.SYSTEM_ERROR, "answer of the model", null);
    }
  }

  private void resumeClientReads() {
    clientReads = true;
    receivedByClient.writeBytes(unwritten);
    unwritten.clear();
    List<Consumer<Boolean>> done = new ArrayList<>(pendingWriteCallbacks);
    pendingWriteCallbacks.clear();
    done.forEach(each -> each.accept(true));
    connection.onWritabilityChanged();
  }

  /**
   * Lets all pending work finish and returns how an expected answer was missed or duplicated; empty
   * if none was.
   */
  String settle() {
    boolean writesFailed = writesFail;
    if (!clientReads) {
      resumeClientReads();
    }
    for (int i = 0; i < SETTLE_ROUNDS; i++) {
      read();
      runLater();
      answer();
    }
    for (int i = 0; i < 3; i++) {
      now = now.plus(LONGER_THAN_CLIENT_TIMEOUT);
      connection.endIfTimedOut(now);
      read();
      runLater();
      answer();
    }
    if (violation.isEmpty() && !clientClosed && !writesFailed) {
      int answers = countAnswersAtClient();
      if (answers < expectedAnswers) {
        violation = expectedAnswers + " answers expected, " + answers + " received";
      } else if (answers != Integer.MAX_VALUE && answers > unitsSent - 2 && answers > 0) {
        violation = answers + " answers to " + (unitsSent - 2) + " statements";
      }
    }
    return violation;
  }

  /**
   * Counts the answers, or returns the maximum if the last one is a fatal error: that answers the
   * statement in progress and refuses the rest.
   */
  int countAnswersAtClient() {
    ByteBuf in = receivedByClient.duplicate();
    int readyMessages = 0;
    while (in.readableBytes() > 5) {
      byte type = in.readByte();
      int length = in.readInt() - 4;
      String body = in.toString(in.readerIndex(), length, java.nio.charset.StandardCharsets.UTF_8);
      in.skipBytes(length);
      readyMessages += type == ProtocolCodes.READY_FOR_QUERY ? 1 : 0;
      if (type == ProtocolCodes.ERROR_RESPONSE && body.contains("FATAL")) {
        return Integer.MAX_VALUE;
      }
    }
    return Math.max(0, readyMessages - 1);
  }

  /**
   * Returns a description of the state; models with equal fingerprints behave the same from here
   * on.
   */
  String fingerprint() {
    return connection.state()
        + "/"
        + connection.hasReceivedMessage()
        + connection.hasPartialMessage()
        + "/"
        + unsentUnits.size()
        + "/"
        + receiveQueue.readableBytes()
        + "/"
        + laterTasks.size()
        + "/"
        + (pendingStatement != null)
        + closingIdle
        + refusingAll
        + clientClosed
        + resetByClient
        + clientReads
        + writesFail
        + active
        + closed
        + outputShutdown
        + "/"
        + pendingWriteCallbacks.size()
        + "/"
        + unwritten.readableBytes()
        + "/"
        + receivedByClient.readableBytes()
        + "/"
        + expectedAnswers
        + violation
        + "/"
        + stepUses;
  }

  @Override
  public ByteBufAllocator alloc() {
    return UnpooledByteBufAllocator.DEFAULT;
  }

  @Override
  public void write(ByteBuf out) {
    ByteBuf to = clientReads ? receivedByClient : unwritten;
    boolean lost = writesFail || closed || outputShutdown;
    if (!lost) {
      to.writeBytes(out);
    }
    out.release();
  }

  @Override
  public void writeAndFlush(ByteBuf out, Consumer<Boolean> onWritten) {
    boolean fatal =
        out.readableBytes() > 0
            && out.getByte(out.readerIndex()) == ProtocolCodes.ERROR_RESPONSE
            && out.toString(java.nio.charset.StandardCharsets.UTF_8).contains("FATAL");
    if (injectedFault == InjectedFault.FATAL_ERROR_LOST && fatal) {
      out.release();
      onWritten.accept(true);
      return;
    }
    write(out);
    if (writesFail) {
      onWritten.accept(false);
    } else if (clientReads) {
      onWritten.accept(true);
    } else {
      pendingWriteCallbacks.add(onWritten);
    }
  }

  @Override
  public void flush() {
    // write delivers immediately.
  }

  @Override
  public boolean isWritable() {
    return clientReads;
  }

  @Override
  public boolean isAllWritten() {
    return unwritten.readableBytes() == 0 && pendingWriteCallbacks.isEmpty();
  }

  @Override
  public void readAvailable() {
    if (injectedFault != InjectedFault.NO_READ_BEFORE_THE_END && !closed) {
      read();
    }
  }

  @Override
  public boolean isDrained() {
    return !receiveQueue.isReadable();
  }

  @Override
  public void setAutoRead(boolean autoRead) {
    // The exploration covers every order of reads anyway.
  }

  @Override
  public void shutdownOutput() {
    outputShutdown = true;
    if (injectedFault == InjectedFault.CLOSED_AFTER_OUTPUT_SHUTDOWN) {
      receiveQueue.writeByte(0);
      close();
    }
  }

  @Override
  public void close() {
    if (!closed) {
      closed = true;
      if (receiveQueue.isReadable() && !clientClosed && !writesFail) {
        violation = "closed over " + receiveQueue.readableBytes() + " unread bytes";
      }
      active = false;
      laterTasks.add(connection == null ? () -> {} : connection::onClosed);
    }
  }

  @Override
  public void schedule(Span delay, Runnable task) {
    laterTasks.add(task);
  }

  @Override
  public Object remoteAddress() {
    return "client";
  }

  @Override
  public Moment now() {
    return now;
  }

  @Override
  public Moment earliestArrival() {
    return now;
  }

  @Override
  public long iteration() {
    return iteration;
  }

  @Override
  public InputMemory inputMemory() {
    return inputMemory;
  }

  @Override
  public Counters counters() {
    return counters;
  }

  @Override
  public Descriptors descriptors() {
    return descriptors;
  }

  @Override
  public StatementTracer trace() {
    return trace;
  }

  @Override
  public int workloadIndex(Query query) throws ProtocolException {
    int workload = slots.of(query.workload);
    if (workload < 0) {
      throw new ProtocolException(ProtocolCodes.PROTOCOL_VIOLATION, "unknown workload");
    }
    return workload;
  }

  @Override
  public PendingStatement submit(
      ClientConnection client, ByteBuf text, Query query, int workload, Moment arrivedAt) {
    if (outputShutdown || closed) {
      violation = "a statement was submitted after the end of the connection";
    }
    submittedIds.add(query.id);
    pendingStatement = new PendingStatement(1, client, text, query, arrivedAt, null);
    return pendingStatement;
  }

  @Override
  public void onClientLeft(ClientConnection client, PendingStatement statement) {
    pendingStatement = null;
  }

  @Override
  public void onClosed(ClientConnection client) {
    // This model does not track descriptors after the close.
  }

  @Override
  public void onEndBegun(long number, Object client, CloseReason closeReason, int partialBytes) {
    counters.increment(closeReason.counter);
  }

  @Override
  public void onInvalidInput(Object client, String problem) {
    // Affects only the log.
  }

  @Override
  public void onMessageRead() {
    // Affects only the load report.
  }

  @Override
  public int messagesReadInIteration() {
    return 0;
  }

  @Override
  public void runAfterReads(Runnable step) {
    laterTasks.add(step);
  }

  @Override
  public boolean isClosingIdle() {
    return closingIdle;
  }

  @Override
  public boolean isRefusingAll() {
    return refusingAll;
  }

  @Override
  public long retryAfterMillis() {
    return 250;
  }
}
