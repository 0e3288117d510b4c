package basaltlever;

import basaltlever.change.Change;
import basaltlever.config.StartFault;
import basaltlever.config.StartFile;
import basaltlever.config.StartValues;
import basaltlever.gateway.*;
import basaltlever.gateway.Workload.Needs;
import basaltlever.gateway.Workload.Repeat;
import basaltlever.gateway.Workload.Within;
import basaltlever.hold.HoldBudget;
import basaltlever.time.Moment;
import basaltlever.net.Router;
import basaltlever.pg.Answer;
import basaltlever.pg.Write;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Stands in for the world of one router: records what it does, checks the rules at each act, and can play
 * nodes.
 */
public final class StandIn implements Outbound {
    static final int ANY = 0;
    static final int BOUNDED = 1;
    static final int SESSION = 2;
    static final int FRESH = 3;
    static final int WRITE = 4;
    static final int KEYED = 5;
    static final int LATE = 6;
    static final int LONG = 7;
    static final Span SLACK = ms(20);

    record Sent(int statement, int execution, int node, Span timeout, Moment at, Moment sendBy) {
    }

    private record Due(Moment at, int order, Runnable act) {
    }

    /** The truth about one node, which the router sees only through polls, answers and the list. */
    static final class Member {
        boolean alive = true;
        boolean hangs;
        boolean primary;
        boolean listedReady = true;
        boolean wasPrimary;
        boolean toldReplica;
        Moment position;
        Moment startedAt = Moment.LONG_AGO;
        Moment toldStart = Moment.LONG_AGO;
        double failing;
        final List<Moment> sends = new ArrayList<>();
    }

    static final class Fate {
        Moment leaves;
        /** As they were when it was taken. */
        Workload terms;
        long session;
        Moment needed = Moment.LONG_AGO;
        boolean answered;
        boolean mayHaveRun;
        Moment firstMaybe = Moment.NEVER;
        int executions;
        int out;
    }

    Moment now = new Moment(1_000_000_000L);
    final Balance balance;
    final HoldBudget holds = new HoldBudget(10_000, 1 << 20);
    final List<Change.Phase> phases = new ArrayList<>();
    int prepared;
    final Agreed agreed;
    private final Span slo;
    Workload[] workloads;
    final Replication replication;
    final Allowance allowance;
    final WarmUp warmUp = new WarmUp(0.2, ms(10_000), 2, ms(1_000));
    final List<Sent> sent = new ArrayList<>();
    final List<Integer> polled = new ArrayList<>();
    final List<Integer> letGo = new ArrayList<>();
    final List<Integer> forgotten = new ArrayList<>();
    final List<Integer> rejected = new ArrayList<>();
    final List<Integer> aborted = new ArrayList<>();
    final List<Sent> cancelled = new ArrayList<>();
    int watches;
    Span advice;
    final Set<Sent> ended = new HashSet<>();
    final List<Member> members = new ArrayList<>();
    final List<Fate> fates = new ArrayList<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>(
        (a, b) -> a.at.equals(b.at) ? Integer.compare(a.order, b.order) : a.at.isBefore(b.at) ? -1 : 1);
    private final Map<Long, Moment> commits = new HashMap<>();
    private int order;
    /** With a source of chance the nodes answer by themselves. */
    private SplittableRandom plays;

    static Span ms(double millis) {
        return Span.ofMillis(millis);
    }

    private Workload workload(Needs needs, Repeat repeat, double importance, double late) {
        return new Workload(needs, ms(300), repeat, Within.GROUP, ms(600), slo, ms(2_000), importance, late);
    }

    StandIn(boolean check, boolean positions, boolean tokens, boolean asked, boolean copies) {
        this(check, positions, tokens, asked, copies, 2, 7);
    }

    StandIn(boolean check, boolean positions, boolean tokens, boolean asked, boolean copies, int routers,
            long seed) {
        this(check, positions, tokens, asked, copies, routers, seed, 300);
    }

    StandIn(boolean check, boolean positions, boolean tokens, boolean asked, boolean copies, int routers,
            long seed, int sloMillis) {
        this(check, positions, tokens, asked, copies, routers, seed, sloMillis, 0);
    }

    /** With one workload more, that any member may answer and that takes long, where the last is not 0. */
    StandIn(boolean check, boolean positions, boolean tokens, boolean asked, boolean copies, int routers,
            long seed, int sloMillis, int longMillis) {
        slo = ms(sloMillis);
        Workload[] usual = {workload(Needs.ANY, Repeat.IDEMPOTENT, 1, 0),
            workload(Needs.BOUNDED, Repeat.IDEMPOTENT, 2, 0.2),
            workload(Needs.SESSION, Repeat.IDEMPOTENT, 2, 0),
            workload(Needs.FRESH, Repeat.IDEMPOTENT, 1, 0.2),
            workload(Needs.WRITE, Repeat.NON_IDEMPOTENT, 4, 0.5),
            workload(Needs.WRITE, Repeat.DEDUPLICATED, 3, 0.5),
            workload(Needs.WRITE, Repeat.NON_IDEMPOTENT, 3, 0.8)};
        workloads = longMillis == 0 ? usual : Arrays.copyOf(usual, LONG + 1);
        if (longMillis > 0) {
            workloads[LONG] = new Workload(Needs.ANY, ms(0), Repeat.IDEMPOTENT, Within.GROUP, ms(0),
                ms(longMillis), ms(2 * longMillis), 4, 0);
        }
        replication = new Replication(check, positions, tokens);
        allowance = new Allowance(6, copies, true, true, ms(1_000), SLACK);
        agreed = new Agreed(new Standing(routers, 0, 0.01, 0.02), workloads, replication,
            new Drains(asked, ms(10_000), true), warmUp, allowance, new Connections(1, ms(15_000)));
        balance = new Balance(this, new SplittableRandom(seed), agreed, holds, now);
    }

    /** As after the move: answers tell positions, replicas check, one execution out, removals do not bind. */
    static StandIn moved() {
        StandIn world = new StandIn(true, true, true, false, false, 2, 7, 300, 6_000);
        world.balance.agree(world.now, world.with(world.allowance, false));
        return world;
    }

    Agreed with(Allowance allows, boolean removalBinds) {
        return new Agreed(agreed.standing(), workloads, replication,
            new Drains(false, ms(10_000), removalBinds), warmUp, allows, agreed.connections());
    }

    /** Settings with other workloads at their places: all that was taken before ends by its own. */
    void agree(Workload[] next) {
        workloads = next;
        balance.agree(now, new Agreed(agreed.standing(), next, replication, agreed.drains(), warmUp, allowance,
            agreed.connections()));
    }

    static StandIn plain() {
        return new StandIn(false, false, false, false, true);
    }

    // ---- Driving by hand.

    StandIn list(int nodes) {
        balance.listBegins();
        for (int i = 0; i < nodes; i++) {
            balance.listed(now, i, Listing.READY, 1, 0, 1, Moment.LONG_AGO);
        }
        balance.listEnds(now, true, true);
        return this;
    }

    void relist(int node, Listing state, Moment startedAt) {
        balance.listBegins();
        balance.listed(now, node, state, 1, 0, 1, startedAt);
        balance.listEnds(now, false, true);
    }

    StandIn later(double millis) {
        for (Moment end = now.plus(ms(millis)); now.isBefore(end);) {
            now = now.plus(ms(5)).earlier(end);
            balance.woken(now);
        }
        return this;
    }

    void poll(int node, Role role, Moment position) {
        balance.polled(now, node, Ending.COMPLETED, role, position, 0.5, Double.NaN);
    }

    /** Three members, node 0 primary, the replicas shown at the given age. */
    StandIn steady(double lagMillis) {
        list(3);
        poll(0, Role.PRIMARY, now);
        poll(1, Role.REPLICA, now.minus(ms(lagMillis)));
        poll(2, Role.REPLICA, now.minus(ms(lagMillis)));
        return this;
    }

    int take(int workload) {
        return take(workload, 9, Moment.LONG_AGO, 1_000);
    }

    int take(int workload, long session, Moment committed, double leavesMillis) {
        Fate fate = new Fate();
        fate.terms = workloads[workload];
        fate.session = session;
        fate.leaves = now.plus(ms(leavesMillis));
        Needs needs = workloads[workload].needs();
        fate.needed = needs == Needs.FRESH ? now : needs != Needs.SESSION ? Moment.LONG_AGO
            : replication.sessionsCarryTokens() ? committed : commits.getOrDefault(session, Moment.LONG_AGO);
        fates.add(fate);
        int id = fates.size() - 1;
        balance.taken(now, id, workload, 1, session, fate.leaves, committed, 100);
        return id;
    }

    /** A client leaves early; the statement is an unanswered one where there is any. */
    int leave(SplittableRandom chance) {
        int id = fates.isEmpty() ? take(ANY) : chance.nextInt(fates.size());
        fates.get(id).answered = true;
        return id;
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    void end(Sent execution, Ending ending, Role role) {
        end(execution, ending, role, Moment.LONG_AGO);
    }

    void end(Sent execution, Ending ending, Role role, Moment position) {
        Fate fate = fates.get(execution.statement);
        fate.out--;
        if (!ending.provesNotRun) {
            fate.mayHaveRun = true;
            fate.firstMaybe = fate.firstMaybe.earlier(execution.at);
        }
        boolean first = ending == Ending.COMPLETED && !fate.answered;
        if (first) {
            check(!now.isAfter(fate.leaves.plus(SLACK)), "answered late");
            fate.answered = true;
        }
        if (role == Role.REPLICA && execution.node < members.size()) {
            members.get(execution.node).toldReplica = true;
        }
        balance.ended(now, execution.statement, execution.execution, ending, role, position, fate.answered);
    }

    /** Ends, once each, those executions that the test picks. */
    void endThose(Predicate<Sent> which, Ending ending, Role role) {
        sent.stream().filter(which).filter(ended::add).toList().forEach(s -> end(s, ending, role));
    }

    /** What is still out when its client leaves times out then. */
    void timeOutWhoseClientLeft() {
        endThose(s -> !now.isBefore(fates.get(s.statement).leaves), Ending.TIMED_OUT, Role.UNTOLD);
    }

    boolean isOlder(Sent execution, double millis) {
        return now.since(execution.at).isLongerThan(ms(millis));
    }

    // ---- What the router does, with the rules checked.

    public static void check(boolean holds, String rule) {
        if (!holds) {
            throw new AssertionError(rule);
        }
    }

    @Override
    public void execute(int statement, int node, Span timeout, Moment sendBy) {
        Fate fate = fates.get(statement);
        Workload terms = fate.terms;
        check(!fate.answered, "rule 1: sent after the final answer");
        check(fate.executions < allowance.executions(), "too many executions");
        check(allowance.secondCopies() || fate.out == 0, "two at once");
        if (terms.repeat() == Repeat.NON_IDEMPOTENT) {
            check(!fate.mayHaveRun && fate.out == 0, "rule 2: non-idempotent sent again");
        } else if (terms.repeat() == Repeat.DEDUPLICATED && (fate.mayHaveRun || fate.out > 0)) {
            check(now.isBefore(fate.firstMaybe.plus(terms.window()))
                && !sendBy.isAfter(fate.firstMaybe.plus(terms.window())),
                "rule 2: sent again outside its window, now or once a connection stands");
        }
        if (node < members.size()) {
            checkNode(members.get(node), fate, terms);
        }
        Sent execution = new Sent(statement, fate.executions++, node, timeout, now, sendBy);
        fate.out++;
        sent.add(execution);
        if (plays != null) {
            play(execution, members.get(node), fate);
        }
    }

    private void checkNode(Member member, Fate fate, Workload terms) {
        check(member.listedReady, "rule 3: sent to a node known to drain or be gone");
        if (!replication.replicasCheck() && !(member.wasPrimary && !member.toldReplica)) {
            Moment needed = terms.needs() == Needs.BOUNDED ? now.minus(terms.bound()) : fate.needed;
            check(!truth(member).isBefore(needed), "rule 5: stale read");
        }
        Span age = now.since(member.startedAt);
        if (age.isShorterThan(warmUp.warmAfter()) && member.toldStart.equals(member.startedAt)) {
            member.sends.add(now);
            long recent = member.sends.stream()
                .filter(at -> now.since(at).isShorterThan(warmUp.topplesIn())).count();
            double able = NODE_RATE * (warmUp.coldFrom() + (1 - warmUp.coldFrom())
                * age.over(warmUp.warmAfter()));
            check(recent <= Math.max(2, warmUp.topplesAt() * able), "rule 4: cold node pushed over");
        }
    }

    @Override
    public void cancel(int statement, int execution) {
        check(execution < fates.get(statement).executions, "cancelled what was never sent");
        cancelled.add(new Sent(statement, execution, -1, Span.NONE, now, now));
    }

    @Override
    public void reject(int statement, Span comeBackAfter, Refusal why) {
        Fate fate = fates.get(statement);
        check(!comeBackAfter.isLongerThan(allowance.longestComeBack()), "advice too long");
        check(fate.terms.repeat() == Repeat.IDEMPOTENT || !fate.mayHaveRun && fate.out == 0,
            "rule 2: rejected what may have run");
        answer(fate);
        advice = comeBackAfter;
        rejected.add(statement);
    }

    @Override
    public void abort(int statement) {
        answer(fates.get(statement));
        aborted.add(statement);
    }

    private void answer(Fate fate) {
        check(!fate.answered, "rule 1: answered twice");
        check(!now.isAfter(fate.leaves.plus(SLACK)), "rule 1: answered late");
        fate.answered = true;
    }

    @Override
    public void poll(int node) {
        polled.add(node);
        if (plays == null) {
            return;
        }
        Member member = members.get(node);
        Moment reported = now.minus(ms(plays.nextInt(150)));
        boolean primary = member.primary;
        Moment position = truth(member).earlier(reported);
        after(plays.nextInt(1, 10), () -> {
            if (member.alive) {
                balance.polled(now, node, Ending.COMPLETED, primary ? Role.PRIMARY : Role.REPLICA, position,
                    plays.nextInt(20) == 0 ? Double.NaN : plays.nextDouble(), Double.NaN);
            } else {
                balance.polled(now, node, plays.nextBoolean() ? Ending.TIMED_OUT : Ending.NO_CONNECTION,
                    Role.UNTOLD, Moment.LONG_AGO, Double.NaN, Double.NaN);
            }
        });
    }

    @Override
    public void forget(int node) {
        forgotten.add(node);
    }

    @Override
    public void letGo(int node) {
        letGo.add(node);
    }

    @Override
    public void watch() {
        watches++;
        if (plays != null) {
            after(plays.nextInt(5, 200), () -> {
                if (plays.nextInt(3) == 0) {
                    balance.listFailed(now);
                } else {
                    listAll();
                }
            });
        }
    }

    @Override
    public void wake(Span fromNow) {
        check(fromNow.micros() > 0, "woken in the past");
        after(Math.max(1, fromNow.micros() / 1_000.0), () -> balance.woken(now));
    }

    @Override
    public void primary(int group, int node, boolean found) {
    }

    @Override
    public void prepare(int node, int connections) {
        prepared = connections;
    }

    @Override
    public void change(int group, Change.Phase phase, int target) {
        phases.add(phase);
    }

    // ---- Nodes that answer by themselves.

    static final double NODE_RATE = 100;

    void playWith(SplittableRandom chance, int nodes) {
        plays = chance;
        for (int i = 0; i < nodes; i++) {
            Member member = new Member();
            member.primary = member.wasPrimary = i == 0;
            member.position = now;
            members.add(member);
        }
        listAll();
    }

    void listAll() {
        balance.listBegins();
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get(i);
            member.toldStart = member.startedAt;
            balance.listed(now, i, member.listedReady ? Listing.READY : Listing.DRAINING, 1, i % 2, 1,
                member.startedAt);
        }
        balance.listEnds(now, true, true);
    }

    private Moment truth(Member member) {
        return member.primary && member.alive ? now : member.position;
    }

    private void after(double millis, Runnable act) {
        due.add(new Due(now.plus(ms(millis)), order++, act));
    }

    private void play(Sent execution, Member member, Fate fate) {
        boolean write = fate.terms.needs() == Needs.WRITE;
        double last = execution.timeout.micros() > 0 ? execution.timeout.micros() / 1e3 : 1e9;
        double left = Math.max(1, Math.min(last, fate.leaves.since(now).micros() / 1e3));
        double takes = member.alive ? 1 + plays.nextInt(40) : 3;
        Ending ending = !member.alive ? plays.nextBoolean() ? Ending.NO_CONNECTION : Ending.RESET
            : member.hangs ? Ending.TIMED_OUT : plays.nextDouble() < member.failing ? Ending.ERROR
            : plays.nextInt(50) == 0 ? Ending.FULL : write && !member.primary ? Ending.MISS
                : Ending.COMPLETED;
        if (ending == Ending.TIMED_OUT || takes > left) {
            takes = left;
            ending = Ending.TIMED_OUT;
        }
        Ending planned = ending;
        after(takes, () -> {
            // A write that its node still holds when it loses the role ends in an error.
            boolean lost = write && planned == Ending.COMPLETED && !(member.primary && member.alive);
            Ending how = lost ? Ending.ERROR : planned;
            boolean told = how == Ending.COMPLETED || how == Ending.MISS || how == Ending.ERROR;
            boolean wrote = write && how == Ending.COMPLETED;
            if (wrote && !fate.answered) {
                commits.merge(fate.session, now, Moment::later);
            }
            end(execution, how, !told ? Role.UNTOLD : member.primary ? Role.PRIMARY : Role.REPLICA,
                wrote ? now : told && replication.positionsInAnswers() ? member.position : Moment.LONG_AGO);
        });
    }

    /** Lets the clock run, in the order in which things fall due, and moves the replicas along. */
    void run(double millis) {
        Moment end = now.plus(ms(millis));
        while (!due.isEmpty() && !due.peek().at.isAfter(end)) {
            Due next = due.poll();
            now = now.later(next.at);
            next.act.run();
        }
        now = end;
        boolean led = members.stream().anyMatch(m -> m.primary && m.alive && !m.hangs);
        for (Member member : members) {
            if (member.primary && member.alive) {
                member.position = now;
            } else if (member.alive && led) {
                member.position = member.position.later(now.minus(ms(plays.nextInt(20) == 0 ? 500 : 20)));
            }
        }
        for (int i = 0; i < fates.size(); i++) {
            check(fates.get(i).answered || !now.isAfter(fates.get(i).leaves.plus(SLACK)),
                "rule 1: no answer in time");
        }
    }

    /** Nodes and discovery on loopback sockets, blocking and one thread a connection, for a whole router. */
    public static final class SocketWorld implements AutoCloseable {
        /** What a node does with a statement. */
        enum Mode {
            ROW, SLOWLY, LARGE, NOT_PRIMARY, BEHIND, ERROR, FULL, OTHER, SILENT, BREAKS, GARBAGE, TWO_ROWS,
            TWO_COLUMNS, ERROR_AFTER_ROW, FATAL, CUT, TWICE, NOISE_BEHIND, WRONG_LENGTH, HUGE, ENDLESS,
            ENDLESS_ROWS;

            /** True where a good answer comes, whatever comes behind it. */
            boolean completes() {
                return List.of(ROW, SLOWLY, LARGE, HUGE, TWICE, NOISE_BEHIND).contains(this);
            }

            /** True where it proves that nothing ran. */
            boolean provesNotRun() {
                return this == NOT_PRIMARY || this == BEHIND || this == FULL;
            }
        }

        /** Carries nothing out. */
        static final class Silent implements basaltlever.core.Outside<String> {
            final List<String> told = new ArrayList<>();

            @Override
            public void execute(long ticket, int execution, String node, Span timeout, Moment sendBy) {
                told.add("execute");
            }

            @Override
            public void cancel(long ticket, int execution) {
                told.add("cancel");
            }

            @Override
            public void reject(long ticket, Span comeBackAfter, Refusal why) {
                told.add("reject");
            }

            @Override
            public void abort(long ticket) {
                told.add("abort");
            }

            @Override
            public void poll(String node) { }

            @Override
            public void letGo(String node) { }

            @Override
            public void forget(String node) {
                told.add("forget " + node);
            }

            @Override
            public void watch() {
                told.add("watch");
            }

            @Override
            public void wake(Span fromNow) { }

            @Override
            public void prepare(String node, int connections) { }

            @Override
            public void change(int group, Change.Phase phase, String target) { }

            @Override
            public void primary(int group, String node, boolean found) { }
        }

        /** One node: a primary or a replica that is never behind. */
        final class Node {
            final ServerSocket server = listen(0);
            final String id;
            final boolean primary;
            volatile Mode mode = Mode.ROW;
            volatile String listed = "in_service";
            volatile boolean ignoresPolls;
            /** Where set, who connects is welcomed only once it is open. */
            volatile java.util.concurrent.CountDownLatch welcomes;
            final java.util.concurrent.atomic.AtomicInteger connects =
                new java.util.concurrent.atomic.AtomicInteger();
            final List<Socket> open = Collections.synchronizedList(new ArrayList<>());
            /** When it got each of its statements. */
            final Queue<Long> gotAt = new java.util.concurrent.ConcurrentLinkedQueue<>();

            Node(String id, boolean primary) {
                this.id = id;
                this.primary = primary;
                accept(server, this::serve);
            }

            private void serve(Socket socket) throws IOException {
                open.add(socket);
                if (server.isClosed()) {
                    // Accepted in the moment of death: dies() may have gone through the open ones before.
                    socket.close();
                    return;
                }
                DataInputStream in = new DataInputStream(socket.getInputStream());
                in.readFully(new byte[in.readInt() - 4]);
                connects.incrementAndGet();
                if (welcomes != null) {
                    try {
                        welcomes.await();
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                ByteBuf out = Unpooled.buffer();
                Write.welcome(out);
                send(socket, out);
                while (in.readByte() == 'Q') {
                    byte[] text = new byte[in.readInt() - 4];
                    in.readFully(text);
                    answer(socket, new String(text, 0, text.length - 1, StandardCharsets.UTF_8));
                }
            }

            private void answer(Socket socket, String query) throws IOException {
                long now = System.currentTimeMillis();
                ByteBuf out = Unpooled.buffer();
                if (query.equals("SHOW gauges")) {
                    if (ignoresPolls) {
                        return;
                    }
                    row(out, "x0=" + now / 1_000 + "." + String.format("%03d", now % 1_000) + ",x1="
                        + (primary ? 1 : 0) + ",utilization=0.2");
                    Write.ready(out);
                    send(socket, out);
                    return;
                }
                Mode as = mode;
                String id = query.replaceAll("(?s).*id=(\\w+),.*", "$1");
                seen.add(query);
                gotAt.add(System.nanoTime());
                seenAt.put(id, System.nanoTime());
                ran.computeIfAbsent(id, i -> Collections.synchronizedList(new ArrayList<>())).add(as);
                String code = switch (as) {
                    case NOT_PRIMARY -> "25006";
                    case BEHIND -> "72000";
                    case ERROR -> "XX000";
                    case FULL -> "53300";
                    case OTHER -> "42P01";
                    default -> null;
                };
                if (code != null) {
                    Write.error(out, "ERROR", code, "as asked", null);
                }
                switch (as) {
                    case SILENT -> {
                        return;
                    }
                    case BREAKS -> {
                        socket.close();
                        return;
                    }
                    case FATAL -> {
                        Write.error(out, "FATAL", "XX000", "as asked", null);
                        send(socket, out);
                        socket.close();
                        return;
                    }
                    case ENDLESS, ENDLESS_ROWS -> {
                        // Until the other side has had enough.
                        if (as == Mode.ENDLESS_ROWS) {
                            send(socket, out.writeBytes(description(1)).writeBytes(data(1, id)));
                            out.clear().writeBytes(data(1, id));
                        } else {
                            Write.status(out, "more", "and more");
                        }
                        while (true) {
                            send(socket, out.duplicate());
                        }
                    }
                    case GARBAGE -> out.writeBytes("this is no message".getBytes(StandardCharsets.UTF_8));
                    case TWO_COLUMNS -> out.writeBytes(description(2)).writeBytes(data(2, id));
                    case ROW, SLOWLY, ERROR_AFTER_ROW, CUT, TWICE, NOISE_BEHIND -> row(out, id);
                    case WRONG_LENGTH -> {
                        row(out, id);
                        out.setInt(out.indexOf(0, out.writerIndex(), (byte) 'D') + 7, id.length() + 1);
                    }
                    case HUGE -> row(out, id + "-" + "v".repeat(400_000));
                    case LARGE -> row(out, id + "-" + "v".repeat(1 << 16));
                    case TWO_ROWS -> {
                        out.writeBytes(description(1)).writeBytes(data(1, id)).writeBytes(data(1, id));
                        Write.complete(out, "SELECT 2");
                    }
                    default -> { }
                }
                if (as == Mode.ERROR_AFTER_ROW) {
                    Write.error(out, "ERROR", "25006", "as asked", null);
                }
                if (as == Mode.CUT) {
                    out.writerIndex(out.writerIndex() - 3);
                    send(socket, out);
                    socket.close();
                    return;
                }
                Write.status(out, "part", primary ? "master" : "replica");
                Write.status(out, "caught_up_to", "" + now);
                Write.ready(out);
                if (as == Mode.TWICE) {
                    row(out, "another");
                    Write.ready(out);
                } else if (as == Mode.NOISE_BEHIND) {
                    out.writeBytes(new byte[] {'D', 0, 0});
                }
                while (as == Mode.SLOWLY && out.isReadable()) {
                    socket.getOutputStream().write(out.readByte());
                }
                send(socket, out);
            }

            void dies() throws IOException {
                server.close();
                synchronized (open) {
                    for (Socket socket : open) {
                        if (!socket.isClosed()) {
                            socket.setSoLinger(true, 0);
                        }
                        socket.close();
                    }
                }
            }
        }

        /** A client on one connection, blocking. */
        public static final class Client implements AutoCloseable {
            final Socket socket;
            final DataInputStream in;

            public Client(int port) throws IOException {
                socket = new Socket("127.0.0.1", port);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(8_000);
                in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            }

            public Client start() throws IOException {
                ByteBuf out = Unpooled.buffer();
                Write.startup(out, "app", "shop");
                send(socket, out);
                return this;
            }

            public void sendBytes(byte[] bytes) throws IOException {
                socket.getOutputStream().write(bytes);
            }

            public Client ask(String query) throws IOException {
                ByteBuf out = Unpooled.buffer();
                Write.query(out, query);
                send(socket, out);
                return this;
            }

            /** All up to ReadyForQuery in short: row:VALUE, error:CODE:DETAIL, other letters as they are. */
            public String answer() throws IOException {
                StringBuilder told = new StringBuilder();
                while (true) {
                    int type = in.read();
                    if (type < 0) {
                        return told + "closed";
                    }
                    byte[] body = new byte[in.readInt() - 4];
                    in.readFully(body);
                    ByteBuf whole = Unpooled.buffer().writeByte(type).writeInt(body.length + 4)
                        .writeBytes(body);
                    switch (type) {
                        case 'Z' -> {
                            return told.toString();
                        }
                        case 'D' -> told.append("row:").append(new String(body, 6, body.length - 6,
                            StandardCharsets.UTF_8));
                        case 'E' -> told.append("error:").append(Answer.field(whole, 'C')).append(':')
                            .append(Answer.field(whole, 'D'));
                        case 'T', 'C', 'R', 'S', 'K' -> { }
                        default -> told.append((char) type);
                    }
                }
            }

            @Override
            public void close() throws IOException {
                socket.close();
            }
        }

        interface Serving {
            void serve(Socket socket) throws IOException;
        }

        final List<Node> nodes = new ArrayList<>();
        final List<String> seen = Collections.synchronizedList(new ArrayList<>());
        final Map<String, List<Mode>> ran = new ConcurrentHashMap<>();
        /** When each was last seen by a node. */
        final Map<String, Long> seenAt = new ConcurrentHashMap<>();
        ServerSocket discovery = listen(0);
        volatile String asked = "";
        final int port;
        final Router router = new Router();
        volatile int calls;
        volatile boolean refusesCalls;
        private final boolean serves;
        private volatile Socket watch;
        /**
         * Routers here count the descriptors of the whole process: what is left open narrows the next one's.
         */
        private final List<Socket> watches = Collections.synchronizedList(new ArrayList<>());

        final Path file = Files.createTempFile("start", ".json");

        /** A router with its primary and two replicas, serving. */
        SocketWorld() throws Exception {
            this(true);
        }

        /** Else the router is the caller's to start, with the file. */
        SocketWorld(boolean serves) throws Exception {
            this.serves = serves;
            for (int i = 0; i < 3; i++) {
                nodes.add(new Node("s-" + i, i == 0));
            }
            accept(discovery, this::follow);
            try (ServerSocket free = listen(0)) {
                port = free.getLocalPort();
            }
            writeStart();
            if (serves) {
                router.start(file, null);
            }
        }

        static String startFile(int listen, int discovery, String known) {
            return """
        {"name":"n3","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":200},
         "known":{"generation":1,"reset":true,"instances":%s},
         "settings":{"Balancers":2,"Zone":0,"Zones":["a","b"],"Discovery":"on_request",
          "Bounds":{"Cancel":true,"ConnectTimeout":250000,"IdleClose":2000000,"MaxAttempts":4,"MaxOpen":500,
           "MaxRetryAfter":1000000,"MayDuplicate":true,"MayProbe":true,"RetryAfter":true,"StreamsPerConn":1},
          "Classes":[{"Name":"view","Repeat":"idempotent","Slo":400000,"HardLimit":2000000,"Worth":1.0},
           {"Name":"post","Repeat":"at_most_once","Slo":400000,"HardLimit":2000000,"Worth":4.0,
             "LateWorth":0.5}],
          "Costs":{"Probe":0.0},"Reporting":{"How":"probe","Fields":["x0","x1","utilization"]},
          "FamilyInfo":{"Checks":"wait","ClassRead":["bounded","write"],"LagAllowed":[500000,0],
           "ProgressTold":true,"SessionMarks":"carried"},
          "Rules":{"AnswerSlack":20000,"Cold":9000000,"ColdFrom":0.2,"FallMultiple":4.0,"Fall":1000000,
           "MustAskIn":10000000}}}""".formatted(listen, discovery, known);
        }

        /** One that carries nothing out. */
        static basaltlever.core.Core<String> core() {
            try {
                return new basaltlever.core.Core<>(new Silent(), values().balance(1, new Moment(0),
                    values().holds()));
            } catch (StartFault fault) {
                throw new AssertionError(fault);
            }
        }

        static StartValues values() throws StartFault {
            return StartFile.of(startFile(1, 2, "[]")).values();
        }

        String entries() {
            return nodes.stream().map(n -> "{\"instanceId\":\"" + n.id + "\",\"hostPort\":\"127.0.0.1:"
                + n.server.getLocalPort() + "\",\"zone\":\"a\",\"cell\":1,\"lifecycle\":\"" + n.listed
                + "\",\"weight\":1,\"startedAtMs\":0}").toList().toString();
        }

        private void follow(Socket socket) throws IOException {
            calls++;
            watches.add(socket);
            byte[] head = new byte[4_096];
            asked = new String(head, 0, Math.max(0, socket.getInputStream().read(head)),
                StandardCharsets.US_ASCII);
            if (refusesCalls) {
                send(socket, Unpooled.copiedBuffer("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                    StandardCharsets.UTF_8));
                socket.close();
                return;
            }
            watch = socket;
            send(socket, Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                StandardCharsets.UTF_8));
            tell();
        }

        /** Writes the list as it is now to the open watch. */
        void tell() throws IOException {
            String line = "{\"generation\":" + (2 + calls) + ",\"reset\":true,\"instances\":" + entries()
                + "}\n";
            send(watch, Unpooled.copiedBuffer(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n",
                StandardCharsets.UTF_8));
        }

        /** To another address, in the start file as well; the open watch stays open. */
        void moveDiscovery() throws IOException {
            discovery.close();
            discovery = listen(0);
            accept(discovery, this::follow);
            writeStart();
        }

        /**
         * As many descriptors for each router, whatever the routers and stand-ins before it left open here.
         */
        private void writeStart() throws IOException {
            writeStart(text -> text);
        }

        void writeStart(java.util.function.UnaryOperator<String> changed) throws IOException {
            Files.writeString(file, changed.apply(startFile(port, discovery.getLocalPort(), entries())
                .replace("\"sockets\":200", "\"sockets\":" + (steadyDescriptors() + 140))));
        }

        /** Counted while earlier stand-ins still close theirs, a router would be left far more than was meant. */
        private static int steadyDescriptors() {
            int before = -1;
            for (int i = 0; i < 50; i++) {
                String[] open = new java.io.File("/proc/self/fd").list();
                int count = open == null ? 60 : open.length;
                if (count == before) {
                    break;
                }
                before = count;
                java.util.concurrent.locks.LockSupport.parkNanos(10_000_000);
            }
            return before;
        }

        void breakWatch() throws IOException {
            watch.close();
        }

        public static String statement(String id, String workload, int millis) {
            return "/* id=" + id + ",c=" + workload + ",d=" + millis + ",cluster=1 */ SELECT doc FROM items"
                + " WHERE id = 'k'";
        }

        static byte[] description(int columns) {
            ByteBuf out = Unpooled.buffer().writeByte('T').writeInt(6 + columns * 22).writeShort(columns);
            for (int i = 0; i < columns; i++) {
                out.writeBytes("doc\0".getBytes(StandardCharsets.UTF_8)).writeInt(0).writeShort(0)
                    .writeInt(17).writeShort(-1).writeInt(-1).writeShort(1);
            }
            return ByteBufUtil.getBytes(out);
        }

        static byte[] data(int columns, String value) {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            ByteBuf out = Unpooled.buffer().writeByte('D').writeInt(6 + columns * (4 + bytes.length))
                .writeShort(columns);
            for (int i = 0; i < columns; i++) {
                out.writeInt(bytes.length).writeBytes(bytes);
            }
            return ByteBufUtil.getBytes(out);
        }

        static void row(ByteBuf out, String value) {
            out.writeBytes(description(1)).writeBytes(data(1, value));
            Write.complete(out, "SELECT 1");
        }

        static ServerSocket listen(int port) {
            try {
                return new ServerSocket(port, 50, java.net.InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        private static void accept(ServerSocket server, Serving with) {
            thread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    thread(() -> with.serve(socket));
                }
            });
        }

        private interface Step {
            void run() throws IOException;
        }

        private static void thread(Step step) {
            Thread thread = new Thread(() -> {
                try {
                    step.run();
                } catch (IOException e) {
                    // The other side has gone, or this one was told to end.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        static void send(Socket socket, ByteBuf out) throws IOException {
            socket.getOutputStream().write(ByteBufUtil.getBytes(out));
        }

        @Override
        public void close() throws IOException {
            router.drain();
            try {
                router.awaitStop();
                check(!serves || router.buffersHeld() == 0, "a buffer was not released");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            discovery.close();
            for (Socket open : List.copyOf(watches)) {
                open.close();
            }
            Files.delete(file);
            for (Node node : nodes) {
                node.dies();
            }
        }
    }
}
