package basaltlever.net;

import basaltlever.log.Counter;
import basaltlever.log.RateLimitedLog;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.util.UncheckedBooleanSupplier;
import java.util.concurrent.TimeUnit;

/**
 * Accepts clients' connections, no more in one look than there is room for: the others stay in the
 * listen queue, where nothing of theirs is lost. Where there is none, idle connections make room;
 * where none is idle, new ones are told so, as many at a time as can be kept until they have taken
 * note. A fault of the system pauses accepting for some milliseconds (Netty's own acceptor, behind
 * this, would stop for a second).
 */
final class AcceptHandler extends ChannelInboundHandlerAdapter {
  /** Without a pause a listener for which there is no descriptor would take the whole loop. */
  private static final Span PAUSE = Span.ofMillis(10);

  /** More clients than this that have connected and not asked are the sign of a crowd. */
  private static final int MANY_UNASKED = 32;

  /**
   * Room is made for so many at a time, and in the mean for so many a second: a crowd must not take
   * the loop.
   */
  private static final int ROOM_AT_ONCE = 8;

  private static final int MOST_ROOM_AT_ONCE = 64;
  private static final double ROOM_A_SECOND = 6_400;

  /** Until room is looked for again, where none could be made. */
  private static final Span LOOKS_FOR_ROOM = Span.ofMillis(3);

  private static final Span SECOND = Span.ofMillis(1_000);

  private final LoopIteration iteration;
  private final Descriptors descriptors;
  private final ListenQueue queue;
  private final AcceptBatch batch = new AcceptBatch();
  private final RateLimitedLog pauses;
  private final DeferredAccept deferral;
  private Channel listener;
  private int accepted;
  private int acceptedBefore;
  private Moment lookedAt = Moment.LONG_AGO;

  /** How many may be accepted and told that there is no room, where none can be made. */
  private int turnsAway;

  private boolean paused;
  private boolean resumes;
  private boolean retries;
  private boolean stoppedByLimit;
  private Moment roomMadeAt = Moment.LONG_AGO;

  /** For how many more room may be made by now. */
  private double allowance = MOST_ROOM_AT_ONCE;

  AcceptHandler(
      LoopIteration iteration, Descriptors descriptors, int queueLength, RateLimitedLog pauses) {
    this.iteration = iteration;
    this.descriptors = descriptors;
    this.pauses = pauses;
    queue = new ListenQueue(queueLength);
    deferral = new DeferredAccept(iteration);
    descriptors.onFreed(this::resumeSoon);
  }

  /** Since when the connection that is being accepted may have waited. */
  Moment queuedSince() {
    return queue.accepts(iteration.earliestArrival(), iteration.clock().now());
  }

  /** For the listener, so that no more are accepted at once than there is room for. */
  RecvByteBufAllocator limitedReads() {
    return new DefaultMaxMessagesRecvByteBufAllocator(AcceptBatch.MAX_CONNECTIONS) {
      @Override
      public RecvByteBufAllocator.ExtendedHandle newHandle() {
        return new LimitedReads();
      }
    };
  }

  /** Counts connections where Netty's handles count bytes. */
  private final class LimitedReads implements RecvByteBufAllocator.ExtendedHandle {
    private int read;

    @Override
    public void reset(ChannelConfig config) {
      read = 0;
      acceptedBefore = accepted;
      lookedAt = iteration.clock().now();
      stoppedByLimit = false;
    }

    @Override
    public boolean continueReading() {
      stoppedByLimit = read >= Math.min(batch.size(), limit());
      return !stoppedByLimit;
    }

    @Override
    public boolean continueReading(UncheckedBooleanSupplier maybeMoreDataSupplier) {
      return continueReading();
    }

    @Override
    public void incMessagesRead(int connections) {
      read += connections;
    }

    @Override
    public ByteBuf allocate(ByteBufAllocator allocator) {
      throw new UnsupportedOperationException("a listener reads no bytes");
    }

    @Override
    public int guess() {
      return 1;
    }

    @Override
    public void lastBytesRead(int bytes) {
      // A listener reads connections.
    }

    @Override
    public int lastBytesRead() {
      return 0;
    }

    @Override
    public void attemptedBytesRead(int bytes) {
      // A listener reads connections.
    }

    @Override
    public int attemptedBytesRead() {
      return 0;
    }

    @Override
    public void readComplete() {
      // What is to be done is done where the pipeline hears of it.
    }
  }

  private int limit() {
    int room = descriptors.roomForClients();
    return room > 0 ? room : turnsAway;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    listener = context.channel();
  }

  /** Connections that have sent nothing can be kept out of the listen queue by this socket. */
  void beginDeferral(ListenerSocket socket) {
    deferral.begin(socket);
  }

  /** Since when a connection that is accepted now, and has sent nothing, has been silent. */
  Moment silentSince() {
    Moment now = iteration.clock().now();
    return deferral.isOn() ? now.minus(DeferredAccept.DEFERRAL) : now;
  }

  /** Called every so often. */
  void sweep(Moment now) {
    deferral.sweep(now);
  }

  /**
   * The router ends: what has connected by now is accepted while the listener is open. Returns how
   * long that may take.
   */
  Span endDeferral() {
    return deferral.end();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object connection) {
    accepted++;
    iteration.load().countAccepted();
    turnsAway = Math.max(0, turnsAway - 1);
    context.fireChannelRead(connection);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    batch.accepted(accepted - acceptedBefore, iteration.clock().now().since(lookedAt));
    queue.looked(!stoppedByLimit, iteration.earliestArrival());
    if (limit() == 0 || descriptors.unaskedClients() > MANY_UNASKED) {
      deferral.request();
    }
    if (limit() == 0) {
      pause("no descriptor is free");
      resumeSoon();
    }
    context.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    queue.lookFailed(iteration.earliestArrival());
    pause(cause.toString());
    resumeLater(PAUSE);
  }

  private void pause(String why) {
    if (!paused) {
      paused = true;
      iteration.counters().add(Counter.ACCEPT_PAUSED);
      pauses.note("listener", why);
    }
    // From here on nobody looks.
    queue.looked(false, iteration.earliestArrival());
    listener.config().setAutoRead(false);
  }

  /** Behind all that this turn has read: who makes room may turn out to be in use. */
  private void resumeSoon() {
    if (paused && !resumes) {
      resumes = true;
      iteration.enqueue(
          now ->
              iteration.addEffect(
                  () -> {
                    resumes = false;
                    resume();
                  }));
    }
  }

  private void resume() {
    if (!paused || listener == null || !listener.isOpen()) {
      return;
    }
    if (descriptors.roomForClients() == 0) {
      makeRoom();
    }
    if (limit() > 0) {
      paused = false;
      listener.config().setAutoRead(true);
    } else {
      resumeLater(LOOKS_FOR_ROOM);
    }
  }

  private void resumeLater(Span after) {
    if (!retries) {
      retries = true;
      listener
          .eventLoop()
          .schedule(
              () -> {
                retries = false;
                resume();
              },
              after.micros(),
              TimeUnit.MICROSECONDS);
    }
  }

  private void makeRoom() {
    Moment now = iteration.clock().now();
    allowance =
        Math.min(MOST_ROOM_AT_ONCE, allowance + ROOM_A_SECOND * now.since(roomMadeAt).over(SECOND));
    roomMadeAt = now;
    boolean made = true;
    int before = -1;
    while (made
        && allowance >= 1
        && descriptors.roomForClients() < ROOM_AT_ONCE
        && descriptors.roomForClients() > before) {
      before = descriptors.roomForClients();
      made = descriptors.makeRoomForClient(now);
      allowance -= made ? 1 : 0;
    }
    turnsAway = made || descriptors.roomForClients() > 0 ? 0 : descriptors.roomToTurnAway();
  }

  /**
   * Closed over a connection that the machine has accepted and this loop has not, a listener resets
   * it. So it is closed behind a look at all sockets that has found none, however many came at
   * once.
   */
  void closeOnceQuiet(Runnable then) {
    SingleThreadEventLoop loop = (SingleThreadEventLoop) listener.eventLoop();
    int before = accepted;
    // By way of a task: what is put behind an iteration from behind it would run in it.
    loop.executeAfterEventLoopIteration(
        () ->
            loop.execute(
                () ->
                    loop.executeAfterEventLoopIteration(
                        () -> {
                          if (paused) {
                            loop.schedule(
                                () -> closeOnceQuiet(then), PAUSE.micros(), TimeUnit.MICROSECONDS);
                          } else if (accepted != before) {
                            closeOnceQuiet(then);
                          } else {
                            listener.close();
                            // Its socket is closed in the loop's next look: whoever is told to go
                            // before comes back to be reset.
                            loop.execute(then);
                          }
                        })));
  }
}
