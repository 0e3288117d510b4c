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
  private static final Span ACCEPT_PAUSE = Span.ofMillis(10);

  /** More clients than this that have connected and not asked are the sign of a crowd. */
  private static final int MAX_NEW_CLIENTS_WITHOUT_DEFERRAL = 32;

  /**
   * Room is made for so many at a time, and in the mean for so many a second: a crowd must not take
   * the loop.
   */
  private static final int TARGET_ROOM = 8;

  private static final int MAX_EVICTION_BURST = 64;
  private static final double EVICTIONS_PER_SECOND = 6_400;

  /** Until room is looked for again, where none could be made. */
  private static final Span EVICTION_RETRY_DELAY = Span.ofMillis(3);

  private static final Span ONE_SECOND = Span.ofMillis(1_000);

  private final LoopIteration iteration;
  private final Descriptors descriptors;
  private final ListenQueue queue;
  private final AcceptBatch batch = new AcceptBatch();
  private final RateLimitedLog pauseLog;
  private final DeferredAccept deferral;
  private Channel listener;
  private int accepted;
  private int acceptedBeforeRead;
  private Moment readStartedAt = Moment.LONG_AGO;

  /** How many may be accepted and told that there is no room, where none can be made. */
  private int rejectionsAllowed;

  private boolean paused;
  private boolean resumeQueued;
  private boolean retryScheduled;
  private boolean stoppedByLimit;
  private Moment tokensRefilledAt = Moment.LONG_AGO;

  /** For how many more room may be made by now. */
  private double evictionTokens = MAX_EVICTION_BURST;

  AcceptHandler(
      LoopIteration iteration, Descriptors descriptors, int queueLength, RateLimitedLog pauseLog) {
    this.iteration = iteration;
    this.descriptors = descriptors;
    this.pauseLog = pauseLog;
    queue = new ListenQueue(queueLength);
    deferral = new DeferredAccept(iteration);
    descriptors.setOnFreed(this::resumeAfterReads);
  }

  /** Since when the connection that is being accepted may have waited. */
  Moment queuedSince() {
    return queue.onAccept(iteration.earliestArrival(), iteration.clock().now());
  }

  /** For the listener, so that no more are accepted at once than there is room for. */
  RecvByteBufAllocator newAcceptAllocator() {
    return new DefaultMaxMessagesRecvByteBufAllocator(AcceptBatch.MAX_CONNECTIONS) {
      @Override
      public RecvByteBufAllocator.ExtendedHandle newHandle() {
        return new AcceptLimitHandle();
      }
    };
  }

  /** Counts connections where Netty's handles count bytes. */
  private final class AcceptLimitHandle implements RecvByteBufAllocator.ExtendedHandle {
    private int connectionsRead;

    @Override
    public void reset(ChannelConfig config) {
      connectionsRead = 0;
      acceptedBeforeRead = accepted;
      readStartedAt = iteration.clock().now();
      stoppedByLimit = false;
    }

    @Override
    public boolean continueReading() {
      stoppedByLimit = connectionsRead >= Math.min(batch.size(), acceptLimit());
      return !stoppedByLimit;
    }

    @Override
    public boolean continueReading(UncheckedBooleanSupplier maybeMoreDataSupplier) {
      return continueReading();
    }

    @Override
    public void incMessagesRead(int connections) {
      connectionsRead += connections;
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

  private int acceptLimit() {
    int room = descriptors.roomForClients();
    return room > 0 ? room : rejectionsAllowed;
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
    rejectionsAllowed = Math.max(0, rejectionsAllowed - 1);
    context.fireChannelRead(connection);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    batch.recordAccepted(
        accepted - acceptedBeforeRead, iteration.clock().now().since(readStartedAt));
    queue.onReadComplete(!stoppedByLimit, iteration.earliestArrival());
    if (acceptLimit() == 0 || descriptors.newClientCount() > MAX_NEW_CLIENTS_WITHOUT_DEFERRAL) {
      deferral.request();
    }
    if (acceptLimit() == 0) {
      pause("no descriptor is free");
      resumeAfterReads();
    }
    context.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    queue.onReadFailed(iteration.earliestArrival());
    pause(cause.toString());
    resumeAfter(ACCEPT_PAUSE);
  }

  private void pause(String cause) {
    if (!paused) {
      paused = true;
      iteration.counters().increment(Counter.ACCEPT_PAUSED);
      pauseLog.log("listener", cause);
    }
    // From here on nobody looks.
    queue.onReadComplete(false, iteration.earliestArrival());
    listener.config().setAutoRead(false);
  }

  /** Behind all that this turn has read: who makes room may turn out to be in use. */
  private void resumeAfterReads() {
    if (paused && !resumeQueued) {
      resumeQueued = true;
      iteration.enqueue(
          now ->
              iteration.addEffect(
                  () -> {
                    resumeQueued = false;
                    resume();
                  }));
    }
  }

  private void resume() {
    if (!paused || listener == null || !listener.isOpen()) {
      return;
    }
    if (descriptors.roomForClients() == 0) {
      makeRoomForClients();
    }
    if (acceptLimit() > 0) {
      paused = false;
      listener.config().setAutoRead(true);
    } else {
      resumeAfter(EVICTION_RETRY_DELAY);
    }
  }

  private void resumeAfter(Span delay) {
    if (!retryScheduled) {
      retryScheduled = true;
      listener
          .eventLoop()
          .schedule(
              () -> {
                retryScheduled = false;
                resume();
              },
              delay.micros(),
              TimeUnit.MICROSECONDS);
    }
  }

  private void makeRoomForClients() {
    Moment now = iteration.clock().now();
    evictionTokens =
        Math.min(
            MAX_EVICTION_BURST,
            evictionTokens
                + EVICTIONS_PER_SECOND * now.since(tokensRefilledAt).ratioTo(ONE_SECOND));
    tokensRefilledAt = now;
    boolean evicted = true;
    int roomBefore = -1;
    while (evicted
        && evictionTokens >= 1
        && descriptors.roomForClients() < TARGET_ROOM
        && descriptors.roomForClients() > roomBefore) {
      roomBefore = descriptors.roomForClients();
      evicted = descriptors.makeRoomForClient(now);
      evictionTokens -= evicted ? 1 : 0;
    }
    rejectionsAllowed =
        evicted || descriptors.roomForClients() > 0 ? 0 : descriptors.roomForRejections();
  }

  /**
   * Closed over a connection that the machine has accepted and this loop has not, a listener resets
   * it. So it is closed behind a look at all sockets that has found none, however many came at
   * once.
   */
  void closeWhenQueueIsEmpty(Runnable onClosed) {
    SingleThreadEventLoop loop = (SingleThreadEventLoop) listener.eventLoop();
    int acceptedBeforeSelect = accepted;
    // By way of a task: what is put behind an iteration from behind it would run in it.
    loop.executeAfterEventLoopIteration(
        () ->
            loop.execute(
                () ->
                    loop.executeAfterEventLoopIteration(
                        () -> {
                          if (paused) {
                            loop.schedule(
                                () -> closeWhenQueueIsEmpty(onClosed),
                                ACCEPT_PAUSE.micros(),
                                TimeUnit.MICROSECONDS);
                          } else if (accepted != acceptedBeforeSelect) {
                            closeWhenQueueIsEmpty(onClosed);
                          } else {
                            listener.close();
                            // Its socket is closed in the loop's next look: whoever is told to go
                            // before comes back to be reset.
                            loop.execute(onClosed);
                          }
                        })));
  }
}
