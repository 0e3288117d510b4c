package basaltlever.lab.endtoend;

import basaltlever.lab.endtoend.StatementLedger.Entry;
import basaltlever.lab.endtoend.StatementLedger.Outcome;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolCodes;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.QueryResponse;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The clients of one router: statements arrive by chance at a steady rate, a third of them on new
 * connections, some in pairs without waiting, and some clients leave before their answer.
 */
final class ClientLoad {
  private static final double ON_NEW_CONNECTION = 1 / 3.0;
  private static final double IN_PAIRS = 0.05;
  private static final int LARGEST_ANSWER = 1 << 20;

  /**
   * A client waits this much longer than it said before it counts its statement as never answered.
   */
  private static final long GIVES_UP_BEHIND_MILLIS = 700;

  private final EventLoop loop;
  private final DayOptions day;
  private final int router;
  private final InetSocketAddress address;
  private final DaySettings settings;
  private final DayClock clock;
  private final StatementLedger ledger;
  private final SplittableRandom random;
  private final LoopLateness lateness;
  private final ArrayDeque<Connection> resting = new ArrayDeque<>();
  private boolean over;
  private boolean onlyOpen;
  private int closesSideAfterMillis;
  private int open;
  private long sequence;

  ClientLoad(
      EventLoop loop,
      DayOptions day,
      DaySettings settings,
      int router,
      InetSocketAddress address,
      DayClock clock,
      StatementLedger ledger,
      SplittableRandom random) {
    this.loop = loop;
    lateness = new LoopLateness(loop);
    this.day = day;
    this.router = router;
    this.address = address;
    this.settings = settings;
    this.clock = clock;
    this.ledger = ledger;
    this.random = random;
  }

  void begin() {
    next();
  }

  void stop() {
    over = true;
  }

  /**
   * Its router has been told to end: clients go on where they are connected, and open no more
   * connections.
   */
  void onlyOpenConnections(boolean only) {
    onlyOpen = only;
  }

  /**
   * How long a client keeps its side of a connection open once the router has ended the other one.
   */
  void closesSideAfter(int millis) {
    closesSideAfterMillis = millis;
  }

  /**
   * Statements on new connections within so many milliseconds; half of them are written apart from
   * the start.
   */
  void burst(int statements, int withinMillis) {
    for (int i = 0; i < statements; i++) {
      loop.schedule(
          () -> new Connection(false, random.nextBoolean()).ask(statement()),
          random.nextLong(Math.max(1, 1_000L * withinMillis)),
          TimeUnit.MICROSECONDS);
    }
  }

  /** Takes over the numbering of a load whose router was replaced. */
  void continues(ClientLoad former) {
    sequence = former.sequence;
    open += former.open;
    former.open = 0;
  }

  int open() {
    return open;
  }

  /** How late this load itself was at most: what it measured is no better than that. */
  long lateMillisMost() {
    return lateness.mostMillis();
  }

  private void next() {
    if (over) {
      return;
    }
    double pause = -Math.log(1 - random.nextDouble()) / day.rate() * 1_000;
    loop.schedule(
        () -> {
          if (!over) {
            send();
            next();
          }
        },
        (long) (pause * 1_000),
        TimeUnit.MICROSECONDS);
  }

  private void send() {
    Connection connection = random.nextDouble() < ON_NEW_CONNECTION ? null : resting.pollLast();
    int count = random.nextDouble() < IN_PAIRS ? 2 : 1;
    if (onlyOpen) {
      connection = connection == null ? resting.pollLast() : connection;
      if (connection == null) {
        return;
      }
    }
    if (connection == null) {
      connection = new Connection(random.nextDouble() < ON_NEW_CONNECTION, true);
    }
    for (int i = 0; i < count; i++) {
      connection.ask(statement());
    }
  }

  private Entry statement() {
    StatementClass workload = settings.draw(random);
    String id = "r" + router + "x" + ++sequence;
    open++;
    return ledger.begins(id, workload, router, clock.nowMillis());
  }

  private String text(Entry entry) {
    int group = random.nextInt(day.groups());
    return "/* id="
        + entry.id
        + ",c="
        + entry.workload.key()
        + ",d="
        + entry.workload.deadlineMillis()
        + ",cluster="
        + group
        + (entry.workload.read().equals("session") ? ",after=" + (clock.nowMillis() - 5_000) : "")
        + " */ SELECT doc FROM items WHERE id = 'k'";
  }

  private void ended(Entry entry, Outcome outcome) {
    if (entry.outcome == null) {
      open--;
      ledger.ends(entry, outcome, clock.nowMillis());
    }
  }

  /** One connection of a client; answers come in the order of what was asked on it. */
  private final class Connection extends ChannelInboundHandlerAdapter {
    private final boolean closesAfterAnswer;
    private final boolean startsWhole;
    private final ArrayDeque<Entry> asked = new ArrayDeque<>();
    private final ArrayDeque<String> unsent = new ArrayDeque<>();
    private final MessageDecoder decoder =
        new MessageDecoder(LARGEST_ANSWER, new MemoryBudget(Long.MAX_VALUE));
    private Channel channel;
    private boolean connected;
    private boolean welcomed;
    private boolean answeredOnce;
    private boolean gone;
    private Outcome told;

    /** One that starts whole writes its start and its first statement in one piece. */
    Connection(boolean closesAfterAnswer, boolean startsWhole) {
      this.closesAfterAnswer = closesAfterAnswer;
      this.startsWhole = startsWhole;
      ChannelFuture connecting =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.ALLOW_HALF_CLOSURE, closesSideAfterMillis > 0)
              .handler(this)
              .connect(address);
      channel = connecting.channel();
      connecting.addListener(
          done -> {
            if (!done.isSuccess()) {
              // Nobody took anything: the front goes to another router.
              notTaken();
            }
          });
    }

    private void notTaken() {
      gone = true;
      while (!asked.isEmpty()) {
        ended(asked.poll(), Outcome.REFUSED);
      }
    }

    void ask(Entry entry) {
      asked.add(entry);
      String text = text(entry);
      if (channel.isActive()) {
        ByteBuf out = channel.alloc().buffer();
        MessageEncoder.writeQuery(out, text);
        channel.writeAndFlush(out);
      } else {
        unsent.add(text);
      }
      if (random.nextDouble() < day.leaveShare()) {
        loop.schedule(this::leave, random.nextInt(60), TimeUnit.MILLISECONDS);
      }
      if (asked.peek() == entry && connected) {
        counts(entry);
      } else if (asked.peek() == entry) {
        // No router owes anything to a client that it has not accepted; it gives up all the same.
        loop.schedule(
            this::giveUpConnecting, entry.workload.deadlineMillis(), TimeUnit.MILLISECONDS);
      }
    }

    private void giveUpConnecting() {
      if (!connected && !gone) {
        notTaken();
        channel.close();
      }
    }

    /** It is the first on this connection that is not answered: its time begins. */
    private void counts(Entry entry) {
      entry.countsFromMillis = clock.nowMillis();
      entry.clientPort = ((InetSocketAddress) channel.localAddress()).getPort();
      loop.schedule(
          () -> giveUp(entry),
          entry.workload.deadlineMillis() + GIVES_UP_BEHIND_MILLIS,
          TimeUnit.MILLISECONDS);
    }

    private void leave() {
      if (gone || asked.isEmpty()) {
        return;
      }
      gone = true;
      for (Entry entry : asked) {
        if (entry.outcome == null) {
          open--;
          ledger.leaves(entry, clock.nowMillis());
        }
      }
      asked.clear();
      channel.close();
    }

    private void giveUp(Entry entry) {
      if (entry.outcome == null) {
        ended(entry, Outcome.NEVER);
        gone = true;
        channel.close();
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connected = true;
      ByteBuf out = context.alloc().buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      if (!startsWhole) {
        context.writeAndFlush(out);
        out = context.alloc().buffer();
      }
      while (!unsent.isEmpty()) {
        MessageEncoder.writeQuery(out, unsent.poll());
      }
      context.writeAndFlush(out);
      if (!asked.isEmpty()) {
        counts(asked.peek());
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object in) throws ProtocolException {
      decoder.add((ByteBuf) in);
      for (ByteBuf message = decoder.nextMessage();
          message != null && !gone;
          message = decoder.nextMessage()) {
        message(message);
      }
    }

    private void message(ByteBuf message) {
      byte type = message.getByte(message.readerIndex());
      if (type == ProtocolCodes.DATA_ROW) {
        told = Outcome.SERVED;
      } else if (type == ProtocolCodes.ERROR_RESPONSE) {
        String code = QueryResponse.errorField(message, 'C');
        told = code.equals("53300") || code.equals("57P03") ? Outcome.REFUSED : Outcome.FAILED;
        if (QueryResponse.errorField(message, 'S').equals("FATAL")) {
          answered();
        }
      } else if (type == ProtocolCodes.READY_FOR_QUERY && !welcomed) {
        welcomed = true;
      } else if (type == ProtocolCodes.READY_FOR_QUERY) {
        answered();
      }
    }

    private void answered() {
      Entry entry = asked.poll();
      if (entry == null) {
        return;
      }
      ended(entry, told == null ? Outcome.FAILED : told);
      told = null;
      answeredOnce = true;
      if (!asked.isEmpty()) {
        counts(asked.peek());
      }
      if (asked.isEmpty() && closesAfterAnswer) {
        gone = true;
        channel.close();
      } else if (asked.isEmpty()) {
        resting.add(this);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event == ChannelInputShutdownEvent.INSTANCE) {
        disconnected();
        loop.schedule((Runnable) context::close, closesSideAfterMillis, TimeUnit.MILLISECONDS);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      decoder.release();
      disconnected();
    }

    /** The router has ended it: what was asked and not answered goes elsewhere, or is lost. */
    private void disconnected() {
      resting.remove(this);
      boolean rested = answeredOnce;
      while (!asked.isEmpty()) {
        Entry entry = asked.poll();
        if (entry.outcome != null) {
          continue;
        }
        if (rested && entry.attempts == 0) {
          ledger.crosses(entry, clock.nowMillis() - lateness.recentMillis());
          // Sent once more on a new connection, as it was.
          new Connection(true, true).askAgain(entry);
        } else {
          ended(entry, rested ? Outcome.CLOSED_RESTING : Outcome.CLOSED_NEW);
        }
      }
      gone = true;
    }

    private void askAgain(Entry entry) {
      asked.add(entry);
      unsent.add(text(entry));
      loop.schedule(this::giveUpConnecting, entry.workload.deadlineMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
