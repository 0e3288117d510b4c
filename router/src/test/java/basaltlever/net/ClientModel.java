package basaltlever.net;

import basaltlever.config.WorkloadSlots;
import basaltlever.log.Counters;
import basaltlever.log.StatementTrace;
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
 * One connection of a client, its socket with a receive queue and its router, in steps that a test
 * puts in any order. The connection is the program's own; the socket keeps what the machine has
 * received until it is read.
 */
final class ClientModel implements ClientHost, ClientSocket {
  /** What may happen next, and how often at most. */
  enum Step {
    SEND(4),
    READ(3),
    RUN_LATER(2),
    ANSWER(2),
    END_IDLE(2),
    SHUT_DOWN(1),
    END_AT_ONCE(1),
    CLIENT_CLOSES(1),
    CLIENT_RESETS(1),
    STOP_TAKING(1),
    TAKE_AGAIN(1),
    WRITES_FAIL(1),
    READ_FAULT(1),
    SILENCE(1),
    OTHERS_WAIT(1);

    final int most;

    Step(int most) {
      this.most = most;
    }
  }

  /** Faults of the kinds that were found, planted at the socket. */
  enum Planted {
    NONE,
    NO_LOOK_BEFORE_THE_END,
    CLOSED_UNREAD,
    WORDS_LOST,
    CUT_OFF_AFTER_THE_END,
    CLOSED_ON_A_FAULT
  }

  private static final Span SILENCE = Span.ofMillis(2_500);
  private static final Span NOTED = Span.ofMillis(200);
  private static final int SETTLES = 12;

  private final Planted planted;
  private final Map<Step, Integer> used = new EnumMap<>(Step.class);
  private final Counters counters = new Counters();
  private final Descriptors descriptors = new Descriptors(64);
  private final WorkloadSlots slots = WorkloadSlots.of(List.of("view"));
  private final StatementTrace trace = new StatementTrace(null, this::now);
  private final ArrayDeque<Runnable> later = new ArrayDeque<>();
  private final ClientConnection connection;
  private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();
  private Moment now = new Moment(1_000_000_000);
  private boolean closesIdle;
  private boolean refusesAll;
  private PendingStatement pendingStatement;

  private ByteBuf received = Unpooled.buffer();
  private boolean clientGone;
  private boolean reset;
  private boolean takes = true;
  private boolean writesFail;
  private boolean active = true;
  private boolean closed;
  private boolean sendingEnded;
  private final List<Consumer<Boolean>> pending = new ArrayList<>();
  private final ByteBuf unwritten = Unpooled.buffer();
  private final ByteBuf atClient = Unpooled.buffer();
  private int statementsOwed;
  private int sent;
  private String broken = "";

  ClientModel(Planted planted) {
    this.planted = planted;
    ByteBuf out = Unpooled.buffer();
    MessageEncoder.startupMessage(out, "app", "shop");
    unsent.add(bytes(out));
    MessageEncoder.query(out, "/* id=s1,c=view,d=900,cluster=1 */ SELECT 1");
    byte[] first = bytes(out);
    unsent.add(java.util.Arrays.copyOf(first, 9));
    unsent.add(java.util.Arrays.copyOfRange(first, 9, first.length));
    MessageEncoder.query(out, "/* id=s2,c=view,d=900,cluster=1 */ SELECT 1");
    unsent.add(bytes(out));
    descriptors.admitsClient();
    connection = new ClientConnection(this, new MemoryBudget(1 << 20), true, 1, now, now);
    connection.on(this);
    connection.accepted();
    if (planted == Planted.CLOSED_UNREAD) {
      unsent.stream().limit(3).forEach(this::arrives);
      close();
    }
  }

  private static byte[] bytes(ByteBuf out) {
    byte[] bytes = new byte[out.readableBytes()];
    out.readBytes(bytes);
    out.clear();
    return bytes;
  }

  private void arrives(byte[] unit) {
    sent++;
    received.writeBytes(unit);
    if (sent >= 3 && !sendingEnded && !closed) {
      statementsOwed++;
    }
  }

  // ---- Steps.

  boolean may(Step step) {
    return used.getOrDefault(step, 0) < step.most
        && switch (step) {
          case SEND -> !unsent.isEmpty() && !clientGone && !closed;
          case READ -> received.isReadable() || clientGone;
          case RUN_LATER -> !later.isEmpty();
          case ANSWER -> pendingStatement != null;
          case CLIENT_CLOSES, CLIENT_RESETS -> !clientGone;
          case TAKE_AGAIN -> !takes;
          case STOP_TAKING, WRITES_FAIL -> takes;
          case END_AT_ONCE -> closesIdle;
          default -> true;
        };
  }

  void take(Step step) {
    used.merge(step, 1, Integer::sum);
    switch (step) {
      case SEND -> arrives(unsent.poll());
      case READ -> read();
      case RUN_LATER -> runLater();
      case ANSWER -> answer();
      case END_IDLE -> connection.endIdle(CloseReason.IDLE);
      case SHUT_DOWN -> {
        closesIdle = true;
        if (connection.hasAsked()) {
          connection.endIdle(CloseReason.SHUTDOWN);
        }
      }
      case END_AT_ONCE -> {
        refusesAll = true;
        answer();
        connection.endAtOnce();
      }
      case CLIENT_CLOSES -> clientGone = true;
      case CLIENT_RESETS -> {
        clientGone = true;
        reset = true;
      }
      case STOP_TAKING -> takes = false;
      case TAKE_AGAIN -> takeAgain();
      case WRITES_FAIL -> writesFail = true;
      case READ_FAULT -> {
        if (planted == Planted.CLOSED_ON_A_FAULT) {
          close();
        } else {
          connection.failed(new IllegalStateException("planted"));
        }
      }
      case SILENCE -> {
        now = now.plus(SILENCE);
        connection.endOverdue(now);
      }
      case OTHERS_WAIT -> {
        now = now.plus(NOTED);
        connection.closeIfNoted();
      }
      default -> throw new AssertionError(step);
    }
  }

  private void read() {
    if (!active) {
      return;
    }
    if (reset) {
      active = false;
      connection.broken();
      return;
    }
    if (received.isReadable()) {
      ByteBuf all = received;
      received = Unpooled.buffer();
      connection.received(all);
    }
    if (clientGone && active) {
      active = false;
      connection.left();
      later.add(connection::closed);
    }
  }

  private void runLater() {
    for (int left = later.size(); left > 0; left--) {
      later.poll().run();
    }
  }

  private void answer() {
    if (pendingStatement != null) {
      pendingStatement = null;
      connection.answerError(ProtocolCodes.SYSTEM_ERROR, "as planned", null);
    }
  }

  private void takeAgain() {
    takes = true;
    atClient.writeBytes(unwritten);
    unwritten.clear();
    List<Consumer<Boolean>> done = new ArrayList<>(pending);
    pending.clear();
    done.forEach(each -> each.accept(true));
    connection.writabilityChanged();
  }

  // ---- The verdict.

  /** What is owed and was not paid once all has settled; empty where nothing is. */
  String settle() {
    boolean failed = writesFail;
    if (!takes) {
      takeAgain();
    }
    for (int i = 0; i < SETTLES; i++) {
      read();
      runLater();
      answer();
    }
    for (int i = 0; i < 3; i++) {
      now = now.plus(SILENCE);
      connection.endOverdue(now);
      read();
      runLater();
      answer();
    }
    if (broken.isEmpty() && !clientGone && !failed) {
      int answers = answersAtClient();
      if (answers < statementsOwed) {
        broken = statementsOwed + " owed, " + answers + " answered";
      } else if (answers != Integer.MAX_VALUE && answers > sent - 2 && answers > 0) {
        broken = answers + " answers to " + (sent - 2) + " statements";
      }
    }
    return broken;
  }

  /**
   * All that were asked where the last word is fatal: it answers what is in hand and refuses the
   * rest.
   */
  private int answersAtClient() {
    ByteBuf in = atClient.duplicate();
    int ready = 0;
    while (in.readableBytes() > 5) {
      byte type = in.readByte();
      int length = in.readInt() - 4;
      String body = in.toString(in.readerIndex(), length, java.nio.charset.StandardCharsets.UTF_8);
      in.skipBytes(length);
      ready += type == ProtocolCodes.READY_FOR_QUERY ? 1 : 0;
      if (type == ProtocolCodes.ERROR_RESPONSE && body.contains("FATAL")) {
        return Integer.MAX_VALUE;
      }
    }
    return Math.max(0, ready - 1);
  }

  /** Equal where nothing that comes can tell two models apart. */
  String fingerprint() {
    return connection.state()
        + "/"
        + connection.hasAsked()
        + connection.hasPartOfMessage()
        + "/"
        + unsent.size()
        + "/"
        + received.readableBytes()
        + "/"
        + later.size()
        + "/"
        + (pendingStatement != null)
        + closesIdle
        + refusesAll
        + clientGone
        + reset
        + takes
        + writesFail
        + active
        + closed
        + sendingEnded
        + "/"
        + pending.size()
        + "/"
        + unwritten.readableBytes()
        + "/"
        + atClient.readableBytes()
        + "/"
        + statementsOwed
        + broken
        + "/"
        + used;
  }

  // ---- The socket.

  @Override
  public ByteBufAllocator alloc() {
    return UnpooledByteBufAllocator.DEFAULT;
  }

  @Override
  public void write(ByteBuf out) {
    ByteBuf to = takes ? atClient : unwritten;
    boolean lost = writesFail || closed || sendingEnded;
    if (!lost) {
      to.writeBytes(out);
    }
    out.release();
  }

  @Override
  public void writeAndFlush(ByteBuf out, Consumer<Boolean> written) {
    boolean fatal =
        out.readableBytes() > 0
            && out.getByte(out.readerIndex()) == ProtocolCodes.ERROR_RESPONSE
            && out.toString(java.nio.charset.StandardCharsets.UTF_8).contains("FATAL");
    if (planted == Planted.WORDS_LOST && fatal) {
      out.release();
      written.accept(true);
      return;
    }
    write(out);
    if (writesFail) {
      written.accept(false);
    } else if (takes) {
      written.accept(true);
    } else {
      pending.add(written);
    }
  }

  @Override
  public void flush() {
    // Taken as it is written.
  }

  @Override
  public boolean isWritable() {
    return takes;
  }

  @Override
  public boolean isAllWritten() {
    return unwritten.readableBytes() == 0 && pending.isEmpty();
  }

  @Override
  public void readReceived() {
    if (planted != Planted.NO_LOOK_BEFORE_THE_END && !closed) {
      read();
    }
  }

  @Override
  public void setReading(boolean reads) {
    // Every order of reads is played anyway.
  }

  @Override
  public void endSending() {
    sendingEnded = true;
    if (planted == Planted.CUT_OFF_AFTER_THE_END) {
      received.writeByte(0);
      close();
    }
  }

  @Override
  public void close() {
    if (!closed) {
      closed = true;
      if (received.isReadable() && !clientGone && !writesFail) {
        broken = "closed over " + received.readableBytes() + " unread bytes";
      }
      active = false;
      later.add(connection == null ? () -> {} : connection::closed);
    }
  }

  @Override
  public void schedule(Span after, Runnable task) {
    later.add(task);
  }

  @Override
  public Object peer() {
    return "client";
  }

  // ---- The router.

  @Override
  public Moment now() {
    return now;
  }

  @Override
  public Moment arrival() {
    return now;
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
  public StatementTrace lives() {
    return trace;
  }

  @Override
  public int workload(Query query) throws ProtocolException {
    return slots.of(query.workload);
  }

  @Override
  public PendingStatement take(
      ClientConnection client, ByteBuf text, Query query, int workload, Moment arrived) {
    if (sendingEnded || closed) {
      broken = "a statement was taken behind the end";
    }
    pendingStatement = new PendingStatement(1, client, text, query, arrived, null);
    return pendingStatement;
  }

  @Override
  public void left(ClientConnection left, PendingStatement statement) {
    pendingStatement = null;
  }

  @Override
  public void closed(ClientConnection gone) {
    // Its descriptor is nobody's concern here.
  }

  @Override
  public void ends(long number, Object client, CloseReason closeReason, int bytes) {
    counters.add(closeReason.counter);
  }

  @Override
  public void spoilt(Object client, String what) {
    // For the log.
  }

  @Override
  public void messageRead() {
    // For the log.
  }

  @Override
  public void later(Runnable step) {
    later.add(step);
  }

  @Override
  public boolean closesIdle() {
    return closesIdle;
  }

  @Override
  public boolean refusesAll() {
    return refusesAll;
  }

  @Override
  public long comeBackMillis() {
    return 250;
  }
}
