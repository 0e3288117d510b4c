package basaltlever.net;

import basaltlever.core.Core;
import basaltlever.discovery.ChunkReader;
import basaltlever.discovery.ListFault;
import basaltlever.discovery.MemberList;
import basaltlever.log.Event;
import basaltlever.time.Span;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Follows the list of members for as long as a connection lasts; when to ask again is not its matter. */
final class Watch {
    private static final Logger LOG = LoggerFactory.getLogger(Watch.class);
    /** A watch brings an empty line every 2 s: after two that are missing, it is dead. */
    private static final Span SILENCE = Span.ofMillis(5_000);

    private final Bootstrap bootstrap;
    private final Turn turn;
    private final MemberList list;
    private final Core<String> core;
    private InetSocketAddress discovery;
    private Call current;

    Watch(Bootstrap bootstrap, InetSocketAddress discovery, Turn turn, MemberList list, Core<String> core) {
        this.bootstrap = bootstrap;
        this.discovery = discovery;
        this.turn = turn;
        this.list = list;
        this.core = core;
    }

    /** Versions mean nothing to another service: it is asked for the whole list, and ours holds till then. */
    void moveTo(InetSocketAddress other) {
        if (!other.equals(discovery)) {
            discovery = other;
            list.forget();
            start();
        }
    }

    /** A watch that still stands is dropped for the new one. */
    void start() {
        if (current != null) {
            current.drop();
        }
        Call call = new Call();
        current = call;
        ChannelFuture opening = bootstrap.clone().handler(call).connect(discovery);
        call.channel = opening.channel();
        call.check();
        opening.addListener(done -> {
            if (!done.isSuccess()) {
                call.fail("no connection to discovery");
            }
        });
    }

    private final class Call extends ChannelInboundHandlerAdapter {
        private final ChunkReader reader = new ChunkReader(this::line);
        private Channel channel;
        private Future<?> silence;
        private long lastHeard = System.nanoTime();

        /** The timer is set anew at most once a silence, not at each byte. */
        private void check() {
            long left = SILENCE.micros() - (System.nanoTime() - lastHeard) / 1_000;
            if (left <= 0) {
                fail("discovery has been silent");
            } else {
                silence = channel.eventLoop().schedule(this::check, left, TimeUnit.MICROSECONDS);
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ByteBuf out = context.alloc().buffer();
            ByteBufUtil.writeAscii(out, "GET /discovery/hosts?follow=1&since=" + list.generation()
                + " HTTP/1.1\r\nHost: " + discovery.getHostString() + ":" + discovery.getPort() + "\r\n\r\n");
            context.writeAndFlush(out);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object in) throws ListFault {
            lastHeard = System.nanoTime();
            ByteBuf bytes = (ByteBuf) in;
            try {
                reader.read(bytes);
                if (reader.isOver()) {
                    fail("the watch ended");
                }
            } finally {
                bytes.release();
            }
        }

        private void line(String line) {
            if (line.isBlank() || current != this) {
                return;
            }
            try {
                Map<?, ?> entries = MemberList.parse(line);
                turn.hearNews(now -> {
                    try {
                        if (current == this) {
                            list.take(now, entries, true);
                        }
                    } catch (ListFault broken) {
                        list.forget();
                        fail(broken.getMessage());
                    }
                });
            } catch (ListFault broken) {
                fail(broken.getMessage());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("the watch broke off");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause instanceof ListFault ? cause.getMessage() : cause.toString());
        }

        private void fail(String why) {
            if (current == this) {
                Event.WATCH_FAILED.log(LOG, Level.INFO, "", why);
                drop();
                turn.hear(core::listFailed);
            }
        }

        private void drop() {
            current = null;
            if (silence != null) {
                silence.cancel(false);
            }
            channel.close();
        }
    }
}
