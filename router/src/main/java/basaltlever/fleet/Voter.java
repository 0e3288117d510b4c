package basaltlever.fleet;

import basaltlever.config.Terms;
import basaltlever.agree.Census;
import basaltlever.agree.Census.Fork;
import basaltlever.agree.Doubt;
import basaltlever.agree.Grant;
import basaltlever.agree.Leases;
import basaltlever.agree.Leases.Peer;
import basaltlever.agree.Leases.Step;
import basaltlever.agree.Report;
import basaltlever.agree.Sight;
import basaltlever.agree.Version;
import basaltlever.log.Event;
import basaltlever.log.Tally;
import basaltlever.time.Moment;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * One voter's side of the talk: takes beats and commands, and while it leads grants leases and takes the
 * steps that follow. All of it runs on one loop of its own, so that no statement waits for it.
 */
final class Voter implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Voter.class);
    /** Clocks of machines in one fleet run apart by this share at most; at twice that leases still hold. */
    private static final double DRIFT = 0.01;
    private static final int PULSES_A_LEASE = 4;
    private static final int MOST_CONNECTIONS = 2_100;
    private static final int KEPT_TEXTS = 3;
    private static final int SEATS_TOLD = 5;

    private final Terms terms;
    private final EventLoop loop;
    private final Leases leases;
    private final Census census;
    private final Engine engine;
    private final Channel listener;
    private int connections;
    private boolean leads;
    private boolean stepping;
    private boolean pulsing;
    private List<Fork> forks = List.of();
    private final Tally forksTold = new Tally(LOG, Event.FLEET_FORK, Voter::now);

    Voter(Terms terms, String name, EventLoop loop) throws Exception {
        this.terms = terms;
        this.loop = loop;
        leases = new Leases(terms.lease(), 2 * DRIFT);
        census = new Census(leases, terms.peers().keySet(), terms.assigned());
        engine = new Engine(terms.name(), name, terms.voters(), terms.folder(),
            Math.max(300, terms.lease().micros() / 1_000), leads -> loop.execute(() -> leads(leads)));
        listener = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    if (connections >= MOST_CONNECTIONS) {
                        channel.close();
                        return;
                    }
                    connections++;
                    channel.closeFuture().addListener(done -> connections--);
                    channel.pipeline().addLast(new Spoken());
                }
            }).bind(terms.peers().get(name)).sync().channel();
        long period = terms.lease().micros() / PULSES_A_LEASE;
        loop.scheduleWithFixedDelay(this::pulse, period, period, TimeUnit.MICROSECONDS);
    }

    /** Steady, and moves on while this process is stopped. */
    static Moment now() {
        return new Moment(System.nanoTime() / 1_000);
    }

    private void leads(boolean now) {
        leads = now;
        if (now) {
            leases.elected(now());
            census.elected(now(), System.nanoTime() | 1);
        } else {
            leases.resigned();
        }
        Event.FLEET_LEADER.log(LOG, Level.INFO, "", now ? "leads" : "follows");
    }

    /** That a majority takes it proves that no other led when it was sent. */
    private void pulse() {
        if (leads && !pulsing) {
            pulsing = true;
            Moment sent = now();
            engine.submit(Map.of("do", "pulse")).orTimeout(terms.lease().micros() * 2, TimeUnit.MICROSECONDS)
                .whenComplete((answer, fault) -> loop.execute(() -> {
                    pulsing = false;
                    if (fault == null && leads) {
                        leases.confirmed(sent);
                        step();
                    }
                }));
        }
    }

    private void step() {
        Step step;
        Census.Step lists;
        Map<String, Object> command = new LinkedHashMap<>();
        synchronized (engine.register) {
            step = leases.next(now(), engine.register);
            lists = census.next(now(), engine.register);
            command.put("number", step.number());
            switch (step.kind()) {
                case BRING_INTO_FORCE -> command.put("do", "force");
                case WITHDRAW -> {
                    command.put("do", "withdraw");
                    command.put("why", step.reason());
                }
                case COUNT_ROUTERS -> {
                    Version version = engine.register.inForce();
                    command.put("do", "propose");
                    command.put("text", version.text());
                    command.put("routers", step.routers());
                    command.put("who", "fleet");
                    command.put("why", step.routers() + " routers are here");
                    command.put("at", System.currentTimeMillis());
                }
                default -> { }
            }
        }
        if (stepping) {
            return;
        }
        if (command.containsKey("do")) {
            submit(command);
            Event.FLEET_STEP.log(LOG, Level.INFO, "", step.kind(), step.number(), step.reason());
        } else if (lists.kind() != Census.Step.Kind.NOTHING) {
            submit(command(lists));
            Event.FLEET_LISTS.log(LOG, Level.INFO, "", lists.kind(), lists.seats().size(), lists.seats().stream()
                .limit(SEATS_TOLD).map(seat -> seat.member() + " in " + seat.group()).toList());
        }
        List<Fork> found = census.forks(now());
        if (!found.equals(forks)) {
            forks = found;
            found.forEach(fork -> forksTold.note(fork.at().generation(), "" + fork.holders().values()));
        }
    }

    private Map<String, Object> command(Census.Step step) {
        Map<String, Object> command = new LinkedHashMap<>();
        switch (step.kind()) {
            case SEAT -> command.put("do", "seat");
            case CLEAR -> command.put("do", "clear");
            default -> {
                command.put("do", "count_anew");
                synchronized (engine.register) {
                    command.put("number", engine.register.era());
                }
            }
        }
        command.put("seats", step.seats().stream().map(Lists::of).toList());
        return command;
    }

    private void submit(Map<String, Object> command) {
        stepping = true;
        engine.submit(command).orTimeout(5, TimeUnit.SECONDS).whenComplete((answer, fault) ->
            loop.execute(() -> stepping = false));
    }

    /** One connection of a router or of an operator's command. */
    private final class Spoken extends Wire {
        @Override
        void heard(ChannelHandlerContext from, Map<String, Object> message) {
            String name = Message.text(message, "from");
            if (!Message.text(message, "fleet").equals(terms.name())) {
                refuse(from, "this is fleet " + terms.name());
                return;
            }
            switch (Message.text(message, "do")) {
                case "beat" -> {
                    if (!terms.peers().containsKey(name)) {
                        refuse(from, name + " is no peer of fleet " + terms.name());
                    } else if (leads) {
                        send(from, beat(name, message));
                    } else {
                        send(from, Map.of("do", "follows"));
                    }
                }
                case "propose" -> propose(from, message);
                case "status" -> send(from, status());
                default -> refuse(from, "that is not spoken here");
            }
        }

        private void refuse(ChannelHandlerContext from, String why) {
            send(from, Map.of("do", "refused", "why", why));
            from.close();
        }

        private void propose(ChannelHandlerContext from, Map<String, Object> message) {
            Map<String, Object> command = new LinkedHashMap<>(message);
            command.keySet().retainAll(List.of("do", "number", "text", "who", "why"));
            command.put("at", System.currentTimeMillis());
            synchronized (engine.register) {
                command.put("routers", engine.register.inForce().routers());
            }
            engine.submit(command).orTimeout(3, TimeUnit.SECONDS).whenComplete((answer, fault) ->
                loop.execute(() -> send(from, fault != null
                    ? Map.of("do", "unknown", "why", "no majority answered: " + fault.getMessage())
                    : Map.of("do", answer.isEmpty() ? "taken" : "refused", "why", answer))));
        }
    }

    private Map<String, Object> beat(String name, Map<String, Object> beat) {
        Grant grant;
        Sight sight;
        Report report = Lists.report(beat.get("lists"));
        synchronized (engine.register) {
            grant = leases.beat(now(), name, Message.number(beat, "incarnation"),
                Message.number(beat, "beat"), Message.number(beat, "force"), Message.number(beat, "keeps"), Message.number(beat, "refused"),
                Message.text(beat, "refusal"), Message.flag(beat, "holds"), engine.register);
            sight = census.beat(now(), name, report, engine.register);
        }
        Map<String, Object> told = new HashMap<>();
        told.put("do", "grant");
        told.put("beat", grant.beat());
        told.put("lasts", grant.lasts().micros());
        told.put("changes", grant.changes());
        told.put("force", without(grant.inForce(), Message.number(beat, "force")));
        told.put("prepared", without(grant.prepared(), Message.number(beat, "keeps")));
        told.put("lists", Lists.of(sight));
        return told;
    }

    /** A text that the router has is not sent again with every beat. */
    private static Map<String, Object> without(Version version, long known) {
        Map<String, Object> told = Message.of(version);
        if (told != null && version.number() == known) {
            told.remove("text");
        }
        return told;
    }

    private Map<String, Object> status() {
        Map<String, Object> told = new LinkedHashMap<>();
        told.put("do", "status");
        told.put("leads", leads);
        told.put("standing", engine.standing());
        synchronized (engine.register) {
            told.put("force", Message.of(engine.register.inForce()));
            told.put("prepared", Message.of(engine.register.prepared()));
            told.put("history", engine.register.history().stream().map(chapter -> {
                // Of the whole history only the latest contents: an answer is bounded.
                Map<String, Object> line = Message.of(chapter);
                if (chapter.version().number() < engine.register.last() - KEPT_TEXTS) {
                    line.remove("text");
                }
                return line;
            }).toList());
        }
        List<Map<String, Object>> peers = new ArrayList<>();
        for (Peer peer : leases.peers()) {
            Map<String, Object> line = new LinkedHashMap<>();
            line.put("name", peer.name);
            line.put("incarnation", peer.incarnation);
            line.put("lease_ms", Math.max(0, peer.leaseEnds.since(now()).micros() / 1_000));
            line.put("heard_ms_ago", now().since(peer.heard).micros() / 1_000);
            line.put("force", peer.inForce);
            line.put("keeps", peer.keepsTo);
            line.put("refusal", peer.refusal);
            Report report = census.said(peer.name);
            line.put("generation", report.at().generation());
            line.put("digest", Long.toHexString(report.digest()));
            line.put("list", report.doubt() == Doubt.NONE ? census.verdictOn(peer.name, now(), engine.register).name()
                : report.doubt().name());
            peers.add(line);
        }
        told.put("peers", peers);
        List<Map<String, Object>> parted = new ArrayList<>();
        for (Fork fork : census.forks(now())) {
            Map<String, Object> line = new LinkedHashMap<>();
            line.put("generation", fork.at().generation());
            line.put("holders", List.copyOf(fork.holders().values()));
            parted.add(line);
        }
        told.put("forks", parted);
        synchronized (engine.register) {
            told.put("era", engine.register.era());
            told.put("seats", engine.register.seatsNumber());
            told.put("moving", engine.register.seats(-1).stream().filter(seat -> !seat.cleared()).map(Lists::of)
                .toList());
        }
        return told;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        engine.close();
    }
}
