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
  private static final Span SILENCE = Span.ofMillis(3_000);

  /** Bytes that never make a line are a sign of life for no longer than this. */
  private static final Span LINE = Span.ofMillis(4_000);

  /** A call to which nothing is said is given up by then. */
  private static final Span ANSWER = Span.ofMillis(2_500);

  /** One whose answer has begun goes on for as long as entries come, at most for this long. */
  private static final Span WHOLE = Span.ofMillis(20_000);

  /** So much of an answer is read at once, some tens of entries, and for so long in one turn. */
  private static final int READ_BYTES = 8_192;

  private static final Span READS_FOR = Span.ofMillis(15);

  private final Bootstrap bootstrap;
  private final LoopIteration iteration;
  private final EndpointList list;
  private final StatementRouter<String> core;
  private InetSocketAddress discovery;

  /** The one whose news is taken; null while none has answered. */
  private DiscoveryCall standing;

  /** The latest call while it has not answered. */
  private DiscoveryCall opening;

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
  void moveTo(InetSocketAddress other) {
    if (!other.equals(discovery)) {
      discovery = other;
      list.requestFullList();
      if (standing != null) {
        standing.isOutdated();
      }
      if (opening != null) {
        opening.isOutdated();
      }
      start();
    }
  }

  /**
   * Whether the first call is still under way; once it has failed, nothing is to be had for now.
   */
  boolean isFirst() {
    return calls == 1 && opening != null;
  }

  /**
   * Takes the place of an earlier call that is not answered yet, and of the watch once it is
   * answered.
   */
  void start() {
    if (opening != null) {
      opening.drop();
    }
    DiscoveryCall call = new DiscoveryCall();
    opening = call;
    calls++;
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(call)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new TimedReads(READ_BYTES, READS_FOR))
            .connect(discovery);
    if (connecting.isDone() && !connecting.isSuccess()) {
      // No socket was to be had, or no way leads there: such a channel may belong to no loop.
      call.fail("no connection to discovery: " + connecting.cause().getMessage());
      return;
    }
    call.channel = connecting.channel();
    call.check();
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
    private List<EndpointEntry> early = new ArrayList<>();

    private Channel channel;
    private Future<?> timer;
    private final long since = System.nanoTime();

    /** Any byte, and any line or object that was whole. */
    private long lastByte;

    private long lastWhole = since;
    private boolean spoke;

    /**
     * Its news is no longer that of the list held here. What it said before it broke off still is.
     */
    private boolean outdated;

    /** The timer is set anew at most once a silence, not at each byte. */
    private void check() {
      if (this != opening && this != standing) {
        return;
      }
      long left =
          this == opening && !spoke
              ? left(ANSWER, since)
              : this == opening
                  ? Math.min(left(WHOLE, since), left(LINE, lastWhole))
                  : Math.min(left(SILENCE, lastByte), left(LINE, lastWhole));
      if (left > 0) {
        timer = channel.eventLoop().schedule(this::check, left, TimeUnit.MICROSECONDS);
      } else if (this == opening) {
        fail("a call was not answered");
      } else {
        failed("discovery has been silent");
      }
    }

    private long left(Span limit, long from) {
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
      lastByte = System.nanoTime();
      // The head of an answer is a sign of life too.
      lastWhole = spoke ? lastWhole : lastByte;
      spoke = true;
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
    public void keepAlive() {
      lastWhole = lastByte;
    }

    /**
     * Nothing goes to a member that drains from the moment its entry has come, whatever becomes of
     * the rest.
     */
    @Override
    public void entry(EndpointEntry entry) {
      lastWhole = lastByte;
      iteration.counters().add(Counter.LIST_ENTRIES_READ);
      if (entry.lifecycle() != EndpointLifecycle.READY && !outdated) {
        if (early.isEmpty()) {
          iteration.hearNews(this::takeEarly);
        }
        early.add(entry);
      }
    }

    private void takeEarly(Moment now) {
      List<EndpointEntry> come = early;
      early = new ArrayList<>();
      if (!outdated) {
        list.takeEarly(now, come);
      }
    }

    @Override
    public void update(EndpointUpdate update) {
      lastWhole = lastByte;
      if (outdated) {
        return;
      }
      if (this == opening) {
        if (standing != null) {
          standing.isOutdated();
        }
        standing = this;
        opening = null;
      }
      iteration.hearNews(now -> take(now, update));
    }

    private void take(Moment now, EndpointUpdate update) {
      try {
        if (!outdated) {
          list.takeUpdate(now, update, true);
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

    private void fail(String why) {
      if (this == opening || this == standing) {
        // Where another call is under way, that one's end is told.
        boolean covered = this == standing && opening != null;
        drop();
        if (!covered) {
          failed(why);
        }
      }
    }

    private void failed(String why) {
      iteration.counters().add(Counter.LIST_CALL_FAILED);
      Event.WATCH_FAILED.log(LOG, Level.INFO, "", why);
      iteration.hear(core::onListCallFailed);
    }

    private void isOutdated() {
      outdated = true;
      drop();
    }

    private void drop() {
      opening = opening == this ? null : opening;
      standing = standing == this ? null : standing;
      if (timer != null) {
        timer.cancel(false);
      }
      if (channel != null) {
        channel.close();
      }
    }
  }
}
