package basaltlever.net;

import basaltlever.core.StatementRouter;
import basaltlever.discovery.EndpointEntry;
import basaltlever.discovery.EndpointList;
import basaltlever.discovery.EndpointListReader;
import basaltlever.discovery.EndpointUpdate;
import basaltlever.discovery.InvalidEndpointListException;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.log.Counter;
import basaltlever.log.Event;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Follows the endpoint list over one discovery call for as long as its connection lasts; when to
 * call again is decided by the core. A silent call stays in use until another one is answered: it
 * may only be late, and the new call may fail.
 */
final class DiscoveryWatch {
  private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);

  /**
   * Discovery sends an empty line every 2 s. At this timeout, half of the 6 s within which a silent
   * watch has to be replaced is left.
   */
  private static final Span SILENCE_TIMEOUT = Span.ofMillis(3_000);

  /** Bytes that do not complete a line count as a sign of life for no longer than this. */
  private static final Span LINE_TIMEOUT = Span.ofMillis(4_000);

  /** Timeout of a call that has received no bytes. */
  private static final Span RESPONSE_TIMEOUT = Span.ofMillis(2_500);

  /**
   * Longest time for the first response. Within it, a call continues for as long as entries arrive.
   */
  private static final Span FULL_RESPONSE_TIMEOUT = Span.ofMillis(20_000);

  /** Size of a read, some tens of list entries. The time limits the reads of one loop iteration. */
  private static final int READ_BYTES = 8_192;

  private static final Span MAX_READ_TIME = Span.ofMillis(15);

  private final Bootstrap bootstrap;
  private final LoopIteration iteration;
  private final EndpointList list;
  private final StatementRouter<String> core;
  private InetSocketAddress discovery;

  /** The call whose updates are applied; null until one is answered. */
  private DiscoveryCall establishedCall;

  /** The latest call, until it is answered. */
  private DiscoveryCall pendingCall;

  private int calls;

  DiscoveryWatch(
      Bootstrap bootstrap,
      InetSocketAddress discovery,
      LoopIteration iteration,
      EndpointList list,
      StatementRouter<String> core) {
    this.bootstrap = bootstrap;
    this.discovery = discovery;
    this.iteration = iteration;
    this.list = list;
    this.core = core;
  }

  /**
   * Calls another discovery service. Its versions are unrelated, so the full list is requested; the
   * current list is used until then.
   */
  void setDiscoveryAddress(InetSocketAddress newAddress) {
    if (!newAddress.equals(discovery)) {
      discovery = newAddress;
      list.requestFullList();
      if (establishedCall != null) {
        establishedCall.discard();
      }
      if (pendingCall != null) {
        pendingCall.discard();
      }
      start();
    }
  }

  /**
   * Returns whether the first call is still in progress. Once it has failed, no list can be
   * expected for now.
   */
  boolean isFirstCallPending() {
    return calls == 1 && pendingCall != null;
  }

  /**
   * Starts a call. It replaces an earlier unanswered call now, and the established one once it is
   * answered.
   */
  void start() {
    if (pendingCall != null) {
      pendingCall.close();
    }
    DiscoveryCall call = new DiscoveryCall();
    pendingCall = call;
    calls++;
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(call)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new TimeLimitedReadAllocator(READ_BYTES, MAX_READ_TIME))
            .connect(discovery);
    if (connecting.isDone() && !connecting.isSuccess()) {
      // No socket was available or there is no route. Such a channel may not be registered with a
      // loop.
      call.fail("cannot connect to discovery: " + connecting.cause().getMessage());
      return;
    }
    call.channel = connecting.channel();
    call.checkTimeouts();
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            call.fail("cannot connect to discovery");
          }
        });
  }

  private final class DiscoveryCall extends ChannelInboundHandlerAdapter
      implements EndpointListReader.Listener {
    private final EndpointListReader reader = new EndpointListReader(this);

    /** Entries of an incomplete message that take effect before it is complete. */
    private List<EndpointEntry> earlyEntries = new ArrayList<>();

    private Channel channel;
    private Future<?> timer;
    private final long startedAt = System.nanoTime();

    /** Time of the last byte. */
    private long lastByteAt;

    /** Time of the last complete line or object. */
    private long lastCompleteAt = startedAt;

    private boolean responseStarted;

    /**
     * Whether the updates of this call no longer apply to the list held here. Updates that arrived
     * before the connection broke off still apply.
     */
    private boolean outdated;

    /**
     * Checks the timeouts. The timer is rescheduled at most once per timeout, not for each byte.
     */
    private void checkTimeouts() {
      if (this != pendingCall && this != establishedCall) {
        return;
      }
      long remaining =
          this == pendingCall && !responseStarted
              ? remainingMicros(RESPONSE_TIMEOUT, startedAt)
              : this == pendingCall
                  ? Math.min(
                      remainingMicros(FULL_RESPONSE_TIMEOUT, startedAt),
                      remainingMicros(LINE_TIMEOUT, lastCompleteAt))
                  : Math.min(
                      remainingMicros(SILENCE_TIMEOUT, lastByteAt),
                      remainingMicros(LINE_TIMEOUT, lastCompleteAt));
      if (remaining > 0) {
        timer = channel.eventLoop().schedule(this::checkTimeouts, remaining, TimeUnit.MICROSECONDS);
      } else if (this == pendingCall) {
        fail("discovery did not answer the call in time");
      } else {
        reportFailure("discovery sent no complete line in time; a new call follows");
      }
    }

    private long remainingMicros(Span limit, long from) {
      return limit.micros() - (System.nanoTime() - from) / 1_000;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      ByteBuf out = context.alloc().buffer();
      ByteBufUtil.writeAscii(
          out,
          "GET /discovery/hosts?follow=1&since="
              + list.generation()
              + " HTTP/1.1\r\nHost: "
              + discovery.getHostString()
              + ":"
              + discovery.getPort()
              + "\r\n\r\n");
      context.writeAndFlush(out);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object in)
        throws InvalidEndpointListException {
      lastByteAt = System.nanoTime();
      // The response head counts as a sign of life too.
      lastCompleteAt = responseStarted ? lastCompleteAt : lastByteAt;
      responseStarted = true;
      ByteBuf bytes = (ByteBuf) in;
      try {
        reader.read(bytes);
        if (reader.isComplete()) {
          fail("discovery ended its response");
        }
      } finally {
        bytes.release();
      }
    }

    @Override
    public void onKeepAlive() {
      lastCompleteAt = lastByteAt;
    }

    /**
     * Applies the entry of a draining endpoint as soon as it arrives, whatever becomes of the rest
     * of the message: nothing may be sent to that endpoint from then on.
     */
    @Override
    public void onEntry(EndpointEntry entry) {
      lastCompleteAt = lastByteAt;
      iteration.counters().increment(Counter.LIST_ENTRIES_READ);
      if (entry.lifecycle() != EndpointLifecycle.READY && !outdated) {
        if (earlyEntries.isEmpty()) {
          iteration.enqueueDiscovery(this::applyEarlyEntries);
        }
        earlyEntries.add(entry);
      }
    }

    private void applyEarlyEntries(Moment now) {
      List<EndpointEntry> entries = earlyEntries;
      earlyEntries = new ArrayList<>();
      if (!outdated) {
        list.applyIncompleteList(now, entries);
      }
    }

    @Override
    public void onUpdate(EndpointUpdate update) {
      lastCompleteAt = lastByteAt;
      if (outdated) {
        return;
      }
      if (this == pendingCall) {
        if (establishedCall != null) {
          establishedCall.discard();
        }
        establishedCall = this;
        pendingCall = null;
      }
      iteration.enqueueDiscovery(now -> applyUpdate(now, update));
    }

    private void applyUpdate(Moment now, EndpointUpdate update) {
      try {
        if (!outdated) {
          list.applyUpdate(now, update, true);
        }
      } catch (InvalidEndpointListException broken) {
        list.requestFullList();
        outdated = true;
        fail(broken.getMessage());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      fail("the connection to discovery was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      fail(cause instanceof InvalidEndpointListException ? cause.getMessage() : cause.toString());
    }

    private void fail(String reason) {
      if (this == pendingCall || this == establishedCall) {
        // Where another call is pending, the outcome of that one is reported.
        boolean isReplacementPending = this == establishedCall && pendingCall != null;
        close();
        if (!isReplacementPending) {
          reportFailure(reason);
        }
      }
    }

    private void reportFailure(String reason) {
      iteration.counters().increment(Counter.LIST_CALL_FAILED);
      Event.WATCH_FAILED.log(LOG, Level.INFO, "", reason);
      iteration.enqueue(core::onListCallFailed);
    }

    private void discard() {
      outdated = true;
      close();
    }

    private void close() {
      pendingCall = pendingCall == this ? null : pendingCall;
      establishedCall = establishedCall == this ? null : establishedCall;
      if (timer != null) {
        timer.cancel(false);
      }
      if (channel != null) {
        channel.close();
      }
    }
  }
}
