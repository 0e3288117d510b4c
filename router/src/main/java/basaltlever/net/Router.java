package basaltlever.net;

import basaltlever.config.StartFault;
import basaltlever.config.StartFile;
import basaltlever.config.StartValues;
import basaltlever.core.Core;
import basaltlever.discovery.ListFault;
import basaltlever.discovery.MemberList;
import basaltlever.pg.Budget;
import basaltlever.time.Span;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Promise;
import io.netty.util.internal.PlatformDependent;
import java.io.File;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One router from its start file to its exit; its phase says how far it is. */
public final class Router {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    /** After the signal to end, new connections keep coming for up to 0.4 s. */
    private static final Span STILL_LISTENS = Span.ofMillis(500);
    /** What is still unanswered this long after the last statement's time was up never will be. */
    private static final Span LINGERS = Span.ofMillis(200);
    private static final Span SWEEPS = Span.ofMillis(200);
    private static final Span LONGEST_LOOK = Span.ofMillis(1_000);
    private static final int LOOKS = 2;
    private static final Span LOOK_AGAIN = Span.ofMillis(10);
    /** Sockets of the loop, the listener and discovery, and files that the runtime opens late. */
    private static final int RESERVED = 24;
    private static final int PAGE = 8_192;
    private static final int CHUNK_ORDER = 6;
    private static final int BACKLOG = 512;

    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Map<String, NodeLink> links = new HashMap<>();
    private Phase phase = Phase.READING;
    private Path file;
    private StartFile start;
    private Watch watch;
    private Descriptors descriptors;
    private int reserved;
    private MultiThreadIoEventLoopGroup group;
    /** Read by the thread that hears the signal to end. */
    private volatile SingleThreadEventLoop loop;
    private Channel listener;
    private Clients clients;
    private Carrier carrier;
    private Span longestTimeout;
    private PooledByteBufAllocator buffers;

    /** Reads, listens, and returns once it serves. */
    public void start(Path from) throws StartFault, InterruptedException {
        file = from;
        start = StartFile.read(from);
        enter(Phase.LOOKING);
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = (SingleThreadEventLoop) group.next();
        loop.submit(this::build).sync();
        Promise<Void> looked = loop.newPromise();
        loop.execute(() -> lookAround(looked, System.nanoTime()));
        looked.sync();
        ChannelFuture bound = loop.submit(this::listen).sync().getNow();
        if (!bound.await().isSuccess()) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw new StartFault(List.of("listen: " + start.listen() + " can't be bound: "
                + bound.cause().getMessage()));
        }
        listener = bound.channel();
        loop.submit(() -> enter(Phase.SERVING)).sync();
        LOG.info("{} serves at {}", start.name(), address());
    }

    /** Reads the start file again, off the loop, so that a slow disk holds nobody; a faulty one is left. */
    public void reload() {
        StartFile next;
        try {
            next = StartFile.read(file);
        } catch (StartFault fault) {
            LOG.error("the start file is not taken over, all stays as it was: {}", fault.getMessage());
            return;
        }
        loop.execute(() -> {
            LOG.info("the start file was read again; discovery is at {}", next.discovery());
            for (String key : next.restartsFor(start)) {
                LOG.warn("{} has changed in the start file and takes effect at the next start", key);
            }
            descriptors.most(next.sockets() - reserved);
            watch.moveTo(next.discovery());
        });
    }

    /**
     * Clients come once it listens: without a first look at the members their first statements would wait for
     * connections and for a primary, and hold against nodes what was this router's own start.
     */
    private void lookAround(Promise<Void> looked, long since) {
        if (!links.isEmpty() && carrier.pollsEnded() >= LOOKS * links.size()
            || System.nanoTime() - since > LONGEST_LOOK.micros() * 1_000) {
            looked.setSuccess(null);
        } else {
            loop.schedule(() -> lookAround(looked, since), LOOK_AGAIN.micros(), TimeUnit.MICROSECONDS);
        }
    }

    private void build() {
        StartValues values = start.values();
        Clock clock = new Clock();
        Turn turn = new Turn(loop, clock);
        buffers = new PooledByteBufAllocator(true, 0, 1, PAGE, CHUNK_ORDER,
            PooledByteBufAllocator.defaultSmallCacheSize(),
            PooledByteBufAllocator.defaultNormalCacheSize(), true);
        // Half of what buffers may take: the other half is for what is being read and written right now.
        Budget budget = new Budget(PlatformDependent.maxDirectMemory() / 2);
        reserved = inUse() + RESERVED;
        descriptors = new Descriptors(start.sockets() - reserved);
        Bootstrap outwards = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.ALLOCATOR, buffers)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (values.connectTimeout().micros() / 1_000));
        Tally badNodes = new Tally(LoggerFactory.getLogger(NodeLink.class), clock);
        Function<String, NodeLink> linkTo = node -> links.computeIfAbsent(node, name -> new NodeLink(name,
            outwards, loop, clock, descriptors, budget, values.connectTimeout(), values.idleClose(),
            badNodes));
        carrier = new Carrier(turn, loop, linkTo, this::forget, values.gauges(0),
            values.connectTimeout(), budget);
        clients = new Clients(turn, descriptors, values.workloadNames(), values.mostOpen(), budget,
            new Tally(LoggerFactory.getLogger(Clients.class), clock));
        longestTimeout = values.longestTimeout();
        Core<String> core = new Core<>(carrier, values.balance(start.seed(), turn.now()));
        MemberList list = new MemberList(core, values.zones(),
            (node, address) -> linkTo.apply(node).at(address));
        watch = new Watch(outwards, start.discovery(), turn, list, core);
        clients.serve(core, carrier);
        carrier.serve(core, watch::start);
        loop.scheduleWithFixedDelay(clients::sweep, SWEEPS.micros(), SWEEPS.micros(), TimeUnit.MICROSECONDS);
        turn.hear(now -> {
            try {
                if (start.known().containsKey("instances")) {
                    list.take(now, start.known(), false);
                    return;
                }
            } catch (ListFault fault) {
                LOG.warn("the known list is left out: {}", fault.getMessage());
            }
            core.woken(now);
        });
    }

    private ChannelFuture listen() {
        enter(Phase.LISTENING);
        return new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.ALLOCATOR, buffers)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    ClientConnection connection = clients.admit();
                    if (connection == null) {
                        channel.close();
                    } else {
                        channel.pipeline().addLast(connection);
                    }
                }
            }).bind(start.listen());
    }

    private void forget(String node) {
        NodeLink link = links.remove(node);
        if (link != null) {
            link.letGo();
        }
    }

    /** Open descriptors now; where that can't be seen, as many as a runtime commonly holds. */
    private static int inUse() {
        String[] open = new File("/proc/self/fd").list();
        return open == null ? RESERVED : open.length;
    }

    private void enter(Phase next) {
        if (next.ordinal() > phase.ordinal()) {
            LOG.info("phase {} after {}", next, phase);
            phase = next;
        }
    }

    /** Goes on serving while clients may still come, then answers what it took and stops. */
    public void drain() {
        if (loop == null) {
            stopped.countDown();
        }
        if (stopped.getCount() == 0) {
            return;
        }
        loop.execute(() -> {
            if (phase == Phase.SERVING) {
                enter(Phase.DRAINING);
                loop.schedule(() -> {
                    listener.close();
                    clients.closeIdle();
                    stopOnceAnswered();
                }, STILL_LISTENS.micros(), TimeUnit.MICROSECONDS);
                loop.schedule(this::stop, STILL_LISTENS.plus(longestTimeout).plus(LINGERS).micros(),
                    TimeUnit.MICROSECONDS);
            } else if (phase != Phase.DRAINING) {
                stop();
            }
        });
    }

    private void stopOnceAnswered() {
        if (clients.areGone() && carrier.open() == 0) {
            stop();
        } else if (phase == Phase.DRAINING) {
            loop.schedule(this::stopOnceAnswered, LOOK_AGAIN.micros(), TimeUnit.MICROSECONDS);
        }
    }

    private void stop() {
        enter(Phase.STOPPED);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        stopped.countDown();
    }

    /** Where it listens; the port is its own choice where the start file gives 0. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Buffers that a stopped router has not released; none where every owner did its part. */
    public long buffersHeld() throws InterruptedException {
        group.terminationFuture().await();
        return buffers.metric().directArenas().stream().mapToLong(arena -> arena.numActiveAllocations())
            .sum();
    }

    public void awaitStop() throws InterruptedException {
        stopped.await();
    }
}
