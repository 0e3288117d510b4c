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
 * Follows the list of members for as long as a connection lasts; when to ask again is not its
 * matter. A watch that has fallen silent stands until another one has answered: it may only be
 * late, and calls may fail.
 */
final class DiscoveryWatch {
  private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);

  /**
   * An empty line comes every 2 s; half of the 6 s in which silence must be made up for are left
   * then.
   */
  private static final Span SILENCE_TIMEOUT = Span.ofMillis(3_000);

  /** Bytes that never make a line are a sign of life for no longer than this. */
  private static final Span LINE_TIMEOUT = Span.ofMillis(4_000);

  /** A call to which nothing is said is given up by then. */
  private static final Span RESPONSE_TIMEOUT = Span.ofMillis(2_500);

  /** One whose answer has begun goes on for as long as entries come, at most for this long. */
  private static final Span FULL_RESPONSE_TIMEOUT = Span.ofMillis(20_000);

  /** So much of an answer is read at once, some tens of entries, and for so long in one turn. */
  private static final int READ_BYTES = 8_192;

  private static final Span MAX_READ_TIME = Span.ofMillis(15);

  private final Bootstrap bootstrap;
  private final LoopIteration iteration;
  private final EndpointList list;
  private final StatementRouter<String> core;
  private InetSocketAddress discovery;

  /** The one whose news is taken; null while none has answered. */
  private DiscoveryCall establishedCall;

  /** The latest call while it has not answered. */
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
   * Versions mean nothing to another service: it is asked for the whole list, and ours holds till
   * then.
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
   * Whether the first call is still under way; once it has failed, nothing is to be had for now.
   */
  boolean isFirstCallPending() {
    return calls == 1 && pendingCall != null;
  }

  /**
   * Takes the place of an earlier call that is not answered yet, and of the watch once it is
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
      // No socket was to be had, or no way leads there: such a channel may belong to no loop.
      call.fail("no connection to discovery: " + connecting.cause().getMessage());
      return;
    }
    call.channel = connecting.channel();
    call.checkTimeouts();
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            call.fail("no connection to discovery");
          }
        });
  }

  private final class DiscoveryCall extends ChannelInboundHandlerAdapter
      implements EndpointListReader.Listener {
    private final EndpointListReader reader = new EndpointListReader(this);

    /** Entries of a message under way that bind before it has come whole. */
    private List<EndpointEntry> earlyEntries = new ArrayList<>();

    private Channel channel;
    private Future<?> timer;
    private final long startedAt = System.nanoTime();

    /** Any byte, and any line or object that was whole. */
    private long lastByteAt;

    private long lastCompleteAt = startedAt;
    private boolean responseStarted;

    /**
     * Its news is no longer that of the list held here. What it said before it broke off still is.
     */
    private boolean outdated;

    /** The timer is set anew at most once a silence, not at each byte. */
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
        fail("a call was not answered");
      } else {
        reportFailure("discovery has been silent");
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
      // The head of an answer is a sign of life too.
      lastCompleteAt = responseStarted ? lastCompleteAt : lastByteAt;
      responseStarted = true;
      ByteBuf bytes = (ByteBuf) in;
      try {
        reader.read(bytes);
        if (reader.isComplete()) {
          fail("the watch ended");
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
     * Nothing goes to a member that drains from the moment its entry has come, whatever becomes of
     * the rest.
     */
    @Override
    public void onEntry(EndpointEntry entry) {
      lastCompleteAt = lastByteAt;
      iteration.counters().add(Counter.LIST_ENTRIES_READ);
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
      fail("the watch broke off");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      fail(cause instanceof InvalidEndpointListException ? cause.getMessage() : cause.toString());
    }

    private void fail(String reason) {
      if (this == pendingCall || this == establishedCall) {
        // Where another call is under way, that one's end is told.
        boolean isReplacementPending = this == establishedCall && pendingCall != null;
        close();
        if (!isReplacementPending) {
          reportFailure(reason);
        }
      }
    }

    private void reportFailure(String reason) {
      iteration.counters().add(Counter.LIST_CALL_FAILED);
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
