package basaltlever.net;

import basaltlever.log.Counter;
import basaltlever.log.Event;
import basaltlever.log.Lives;
import basaltlever.pg.Arrivals;
import basaltlever.pg.Budget;
import basaltlever.pg.Frames;
import basaltlever.pg.Pg;
import basaltlever.pg.PgFault;
import basaltlever.pg.Query;
import basaltlever.pg.Write;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One client: its statements are taken one after the other, in the order in which they came. */
final class ClientConnection extends ChannelInboundHandlerAdapter implements Descriptors.Idle {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);
    /** A value of 64 KiB in hexadecimal, with its statement. */
    private static final int LARGEST = 1 << 18;
    private static final int LARGEST_START = 1 << 13;
    /** More than this sent ahead is thrown away: left unread, it would hide that its client has gone. */
    private static final int AHEAD = 1 << 20;

    /** For a start, a first query, or the rest of a message: what takes longer is owed an end within 3 s. */
    private static final Span PATIENCE = Span.ofMillis(2_300);
    /** Once its sending has ended, a client that takes note of it is gone much sooner. */
    private static final Span LINGERS = Span.ofMillis(1_000);
    /** So many messages of one client, then the others have their turn. */
    private static final int AT_ONCE = 16;

    /** A small row in one piece costs less than four pieces gathered (docs/performance.md). */
    private static final int COPIED = 512;

    private enum State { STARTING, READY, BUSY, CLOSED }

    private final Clients clients;
    private final Budget budget;
    private final Frames frames;
    private ChannelHandlerContext context;
    private final Arrivals arrivals = new Arrivals();
    /** Of the message in hand. */
    private Moment arrived = Moment.LONG_AGO;
    /** What ends this connection once all that came whole before it is answered; what comes now is no use. */
    private PgFault after;
    private State state = State.STARTING;
    private Taken taken;
    /** After an error in the extended protocol all is skipped up to the next Sync. */
    private boolean skipping;
    private boolean asked;
    private final boolean admitted;
    private boolean lingers;
    /** Whether the rest of what was read has its turn yet to come. */
    private boolean goesOn;
    private final Moment since;
    private Moment idleSince;
    /** Since when a message has been under way; never where none is. */
    private Moment partSince = Moment.NEVER;

    /** One that is not admitted is told so at once. */
    ClientConnection(Clients clients, Budget budget, boolean admitted) {
        this.admitted = admitted;
        this.clients = clients;
        this.budget = budget;
        frames = new Frames(LARGEST_START, budget);
        since = clients.now();
        idleSince = since;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        if (admitted) {
            clients.descriptors().unasked(this);
        } else {
            added.channel().eventLoop().execute(this::turnAway);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext in, Object read) {
        if (state == State.CLOSED || after != null) {
            // Read to hear when its client goes, and so that no unread byte resets the connection at its end.
            ((ByteBuf) read).release();
            return;
        }
        arrivals.read(((ByteBuf) read).readableBytes(), clients.arrival());
        try {
            frames.add((ByteBuf) read);
            if (state == State.BUSY && frames.size() > AHEAD) {
                throw new PgFault(Pg.TOO_MANY, "more than " + AHEAD + " bytes were sent ahead");
            }
        } catch (PgFault fault) {
            // What came whole is owed its own answers first: this one would say nothing was done.
            after = fault;
        }
        pump();
    }

    /** Goes on while no statement is under way and the client takes its answers. */
    private void pump() {
        try {
            int left = goesOn ? 0 : AT_ONCE;
            while ((state == State.STARTING || state == State.READY) && context.channel().isWritable()) {
                if (left-- == 0) {
                    goesOn();
                    break;
                }
                ByteBuf message = state == State.STARTING ? frames.nextUntyped() : frames.next();
                if (message == null) {
                    break;
                }
                arrived = arrivals.cut(message.readableBytes());
                if (state == State.STARTING) {
                    start(message);
                } else {
                    message(message);
                }
            }
            // Once for all of them: each is a few bytes, and a write of its own costs more than all else about it.
            context.flush();
            partSince = frames.size() == 0 ? Moment.NEVER : partSince.earlier(clients.now());
            if (state == State.READY && asked && frames.size() == 0 && clients.closesIdle()) {
                // Only now: what was read behind an answer is taken, also by a router that ends.
                endSending();
            } else if (state == State.READY && asked && frames.size() == 0) {
                clients.descriptors().idleClient(this);
            } else if (state == State.READY && asked) {
                // What has been read of a statement must not be lost with an idle connection.
                clients.descriptors().busy(this);
            }
            if ((state == State.STARTING || state == State.READY) && after != null
                && context.channel().isWritable() && left >= 0) {
                refuse(after);
            } else if (state != State.CLOSED) {
                // A client may send more ahead, but not without end; one that waits for an answer may leave.
                context.channel().config().setAutoRead(state == State.BUSY || after != null
                    || frames.size() <= LARGEST);
            }
        } catch (PgFault fault) {
            refuse(fault);
        }
    }

    /**
     * A task would run before the loop reads again: one client that sends much at once kept all others, and
     * every timer's answer, waiting. Once at a time, or each read of such a client would add a share of its own.
     */
    private void goesOn() {
        if (!goesOn) {
            goesOn = true;
            context.channel().eventLoop().schedule(() -> {
                goesOn = false;
                pump();
            }, 0, TimeUnit.NANOSECONDS);
        }
    }

    /** A client that says nothing, or half of something, holds a descriptor for no use. */
    void endOverdue(Moment now) {
        boolean overdue = now.since(asked ? partSince : since).isLongerThan(PATIENCE);
        if (overdue && state == State.READY && frames.size() == 0) {
            clients.counters().add(Counter.CLIENT_CLOSED_SILENT);
            endSending();
        } else if (overdue && (state == State.STARTING || state == State.READY)) {
            clients.counters().add(Counter.CLIENT_CLOSED_SILENT);
            refuse(new PgFault(Pg.VIOLATION, "a message did not come whole in time"));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext in) {
        pump();
    }

    private void refuse(PgFault fault) {
        if (state != State.CLOSED) {
            clients.spoilt(context.channel().remoteAddress(), fault.getMessage());
            clients.counters().add(Counter.CLIENT_CLOSED_PROTOCOL_ERROR);
            ByteBuf out = context.alloc().buffer();
            Write.error(out, "FATAL", fault.code, fault.getMessage(), null);
            linger(context.writeAndFlush(out));
        }
    }

    private void start(ByteBuf message) throws PgFault {
        if (message.readableBytes() < 8) {
            throw new PgFault(Pg.VIOLATION, "a startup message is too short");
        }
        int version = message.getInt(message.readerIndex() + 4);
        if (version == Pg.SSL || version == Pg.GSS) {
            context.writeAndFlush(context.alloc().buffer(1).writeByte('N'));
        } else if (version == Pg.CANCEL) {
            // Nobody was given a key to cancel with.
            close();
        } else if (version >>> 16 != Pg.VERSION >>> 16) {
            throw new PgFault(Pg.UNSUPPORTED, "protocol version " + (version >>> 16) + " is not spoken here");
        } else {
            ByteBuf out = context.alloc().buffer();
            if (version != Pg.VERSION) {
                Write.negotiate(out);
            }
            Write.welcome(out);
            context.writeAndFlush(out);
            frames.admit(LARGEST);
            ready();
        }
    }

    private void message(ByteBuf message) throws PgFault {
        byte type = message.readByte();
        message.skipBytes(4);
        if (!asked) {
            asked = true;
            clients.descriptors().asks(this);
        }
        partSince = Moment.NEVER;
        if (type == Pg.TERMINATE) {
            close();
        } else if (type == Pg.SYNC) {
            skipping = false;
            reply(out -> { });
        } else if (type == Pg.QUERY) {
            skipping = false;
            query(message);
        } else if ("PBEDCHF".indexOf(type) >= 0) {
            if (!skipping) {
                skipping = type != 'F';
                ByteBuf out = context.alloc().buffer();
                Write.error(out, "ERROR", Pg.UNSUPPORTED, "only simple queries are taken here", null);
                if (type == 'F') {
                    Write.ready(out);
                }
                context.writeAndFlush(out);
            }
        } else if ("dcf".indexOf(type) < 0) {
            throw new PgFault(Pg.VIOLATION, "a message of unknown type " + type);
        }
    }

    private void query(ByteBuf message) throws PgFault {
        int last = message.writerIndex() - 1;
        if (!message.isReadable() || message.getByte(last) != 0) {
            throw new PgFault(Pg.VIOLATION, "a query does not end in a zero byte");
        }
        ByteBuf text = message.slice(message.readerIndex(), message.readableBytes() - 1);
        String idle = Query.idleCommand(text);
        if (Query.isBlank(text)) {
            reply(Write::empty);
        } else if (idle != null) {
            reply(out -> Write.complete(out, idle));
        } else {
            take(text);
        }
    }

    private void take(ByteBuf text) {
        try {
            Query query = Query.read(text);
            int workload = clients.workload(query);
            if (clients.refusesAll()) {
                clients.counters().add(Counter.REFUSED_SHUTDOWN);
                throw new PgFault(Pg.TOO_MANY, "this router ends, and nothing was done");
            }
            state = State.BUSY;
            clients.descriptors().busy(this);
            // It outlives the buffer that it was read into: later executions send it again.
            ByteBuf kept = context.alloc().buffer(text.readableBytes()).writeBytes(text);
            taken = clients.take(this, kept, query, workload, arrived);
        } catch (PgFault fault) {
            clients.spoilt(context.channel().remoteAddress(), fault.getMessage());
            reply(out -> Write.error(out, "ERROR", fault.code, fault.getMessage(), null));
        }
    }

    /** Goes out with the others of its turn in pump. */
    private void reply(java.util.function.Consumer<ByteBuf> what) {
        ByteBuf out = context.alloc().buffer();
        what.accept(out);
        Write.ready(out);
        context.write(out);
    }

    /** The final answer as a node gave it; the slices are taken over. */
    void answer(List<ByteBuf> row) {
        if (state != State.BUSY) {
            row.forEach(ByteBuf::release);
            return;
        }
        long size = row.stream().mapToLong(ByteBuf::readableBytes).sum();
        if (!budget.hold(size)) {
            budget.release(size);
            row.forEach(ByteBuf::release);
            answerError(Pg.UNKNOWN_EFFECT, "there is no memory for the answer", null);
            return;
        }
        ByteBuf end = context.alloc().buffer();
        for (ByteBuf slice : row) {
            if (size <= COPIED) {
                end.writeBytes(slice);
                slice.release();
            } else {
                context.write(slice);
            }
        }
        Write.ready(end);
        Lives.Life life = taken.life;
        context.writeAndFlush(end).addListener(done -> {
            budget.release(size);
            clients.lives().ends(life, done.isSuccess() ? "row_out" : "row_lost");
        });
        next();
    }

    void answerError(String code, String message, String detail) {
        if (state == State.BUSY) {
            Lives.Life life = taken.life;
            ByteBuf out = context.alloc().buffer();
            Write.error(out, "ERROR", code, message, detail);
            Write.ready(out);
            ChannelFuture sent = context.writeAndFlush(out);
            if (life != null) {
                sent.addListener(done -> clients.lives().ends(life, done.isSuccess() ? "out" : "lost"));
            }
            next();
        }
    }

    private void next() {
        taken = null;
        ready();
        pump();
    }

    private void ready() {
        state = State.READY;
        idleSince = clients.now();
        partSince = frames.size() == 0 ? Moment.NEVER : idleSince;
    }

    /** Between statements a client's connection may be closed; what crosses that, the client sends again. */
    @Override
    public void closeIdle(Counter why) {
        if (state == State.CLOSED) {
            clients.counters().add(why);
            context.close();
        } else if (!asked) {
            turnAway();
        } else if (frames.size() == 0) {
            // Part of a statement is its client's, who waits here.
            clients.counters().add(why);
            endSending();
        }
    }

    /** Its statement, if one is on its way, is refused before it is read. */
    private void turnAway() {
        if (state != State.CLOSED) {
            clients.counters().add(Counter.CLIENT_TURNED_AWAY);
            ByteBuf out = context.alloc().buffer();
            Write.error(out, "FATAL", Pg.TOO_MANY, "too many connections are open", null);
            linger(context.writeAndFlush(out));
        }
    }

    /** Whatever was answered is on its way; nothing more is taken. */
    void endSending() {
        if (state != State.CLOSED) {
            linger(context.writeAndFlush(context.alloc().buffer(0)));
        }
    }

    /**
     * A lingering close: closed over bytes that it has not read, a connection is reset, and with it goes the
     * last answer, where its client has not read that yet. So the sending ends, and what still comes is read
     * and thrown away until the client has closed its side, or for a while. Who does not read what is left for
     * it keeps its descriptor for no longer than anybody silent.
     */
    private void linger(ChannelFuture written) {
        gone();
        lingers = true;
        clients.descriptors().lingers(this);
        context.channel().config().setAutoRead(true);
        written.addListener(done -> {
            if (done.isSuccess()) {
                ((SocketChannel) context.channel()).shutdownOutput();
                closeIn(LINGERS);
            } else {
                context.close();
            }
        });
        if (!written.isDone()) {
            closeIn(PATIENCE);
        }
    }

    private void closeIn(Span span) {
        context.channel().eventLoop().schedule(() -> context.close(), span.micros(), TimeUnit.MICROSECONDS);
    }

    @Override
    public Moment idleSince() {
        return idleSince;
    }

    boolean isBusy() {
        return state == State.BUSY;
    }

    boolean hasAsked() {
        return asked;
    }

    private void close() {
        gone();
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext in) {
        if (state != State.CLOSED) {
            clients.counters().add(Counter.CLIENT_CLOSED_BY_PEER);
        }
        gone();
        clients.closed(this, lingers);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext in, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Event.FAULT.fault(LOG, "", cause, "talking to client " + in.channel().remoteAddress());
        }
        close();
    }

    private void gone() {
        if (state != State.CLOSED) {
            clients.lives().connectionEnds(context.channel().remoteAddress(), state, frames.size());
            state = State.CLOSED;
            frames.release();
            if (asked) {
                clients.descriptors().asksNoMore();
            }
            clients.left(this, taken);
            taken = null;
        }
    }
}
