package basaltlever.net;

import basaltlever.log.Counter;
import basaltlever.log.Event;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Shares the file descriptors between clients and nodes. What is counted is what is open: a socket that was closed stays
 * open up to the loop's next look at its sockets, and counts up to then. Where descriptors run out, room is made
 * by these, in this order: connections that linger, idle connections to nodes, clients that rest between statements. A
 * client that has connected and not been answered yet is never closed for a connection to a node.
 */
final class Descriptors {
    /** A connection that can be closed between two uses of it. */
    interface Idle {
        void closeIdle(Counter why);

        Moment idleSince();
    }

    /** What a connection to a node is opened for, the most important first. */
    enum Use { EXECUTION, POLL, WARM_UP }

    /** Whether a connection may be opened now, once a descriptor that is being closed is free, or not at all. */
    enum Admission { OPEN, WAIT, REFUSE }

    /** Below this share of the descriptors idle clients are left alone, however long. */
    private static final int FEW = 8;
    /** This share of the descriptors is kept for connections to nodes. */
    private static final int FOR_NODES = 4;
    /** And so much of them may clients that have asked hold, busy or idle, before the idle are closed. */
    private static final int FOR_CLIENTS = 4;
    /** A share that connections opened ahead of need leave free. */
    private static final int FREE_FOR_NEED = 8;
    /** So many are kept for connections that linger, or a small share; of more, the one that has lingered longest goes. */
    private static final int LINGERING = 8;
    private static final Span SECOND = Span.ofMillis(1_000);
    /** Idle connections to nodes that are kept however little traffic there is. */
    private static final int IDLE_NODES = 64;
    /** Of more traffic, as many as are used in this time. */
    private static final double IDLE_SECONDS = 8;
    /** How fast the measure of the traffic follows it, from one sweep to the next. */
    private static final double FOLLOWS = 0.02;

    private static final Logger LOG = LoggerFactory.getLogger(Descriptors.class);
    /** Runs a task behind the loop's next look at its sockets, in which the system's sockets are closed. */
    private final Consumer<Runnable> afterNextLook;
    private String reported = "";
    private int most;
    private int open;
    private int closing;
    private int clients;
    private int asking;
    /** Uses of connections to nodes: in the sweep under way, and for each second lately. */
    private int uses;
    private double usesPerSecond;
    private Moment sweptAt;
    private final LinkedHashSet<Idle> idleNodes = new LinkedHashSet<>();
    private final LinkedHashSet<Idle> idleClients = new LinkedHashSet<>();
    /** Of clients that have not sent a whole message yet, the oldest first. */
    private final LinkedHashSet<Idle> unasked = new LinkedHashSet<>();
    private final LinkedHashSet<Idle> lingering = new LinkedHashSet<>();
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

    /** What is closed is free at once. */
    Descriptors(int most) {
        this(most, Runnable::run);
    }

    Descriptors(int most, Consumer<Runnable> afterNextLook) {
        this.most = most;
        this.afterNextLook = afterNextLook;
    }

    /** Logs how many are open by use, where that has changed since the last time. */
    void report() {
        String by = most + " " + open + " " + clients + " " + idleClients.size() + " " + lingering.size() + " "
            + idleNodes.size();
        if (!by.equals(reported)) {
            reported = by;
            Event.DESCRIPTORS.log(LOG, Level.INFO, "", most, open + closing, clients, idleClients.size(),
                lingering.size(), nodes(), idleNodes.size());
        }
    }

    /** Where fewer are allowed than are open, newcomers take the place of the idle until it fits. */
    void most(int now) {
        most = now;
    }

    private int nodes() {
        return open - clients - lingering.size();
    }

    /** All but those that are kept for connections that linger. */
    private boolean isFull() {
        return open - Math.min(keptForLingering(), lingering.size()) >= most - keptForLingering();
    }

    private int keptForLingering() {
        return Math.min(LINGERING, most / LINGERING);
    }

    /**
     * Clients may hold all but a share kept for nodes. At a half of all, connections that say nothing pushed
     * out those in use, each of which then came back on a new one.
     */
    boolean admitsClient() {
        if (clients >= most - most / FOR_NODES && !evictClient() || isFull() && !makeRoom()) {
            return false;
        }
        clients++;
        open++;
        return true;
    }

    /** A place for a client that is told at once that there is none for it; false where even that is too much. */
    boolean admitsToTurnAway() {
        if (lingering.size() >= keptForLingering()) {
            return false;
        }
        clients++;
        open++;
        return true;
    }

    /** A connection to a node; where the answer is to wait, {@link #await} tells when to ask again. */
    Admission admitsNode(Use use) {
        if (use == Use.WARM_UP && open + closing >= most - keptForLingering() - most / FREE_FOR_NEED) {
            return Admission.REFUSE;
        }
        boolean full = isFull();
        if (!full && open + closing < most) {
            open++;
            uses++;
            return Admission.OPEN;
        }
        // Each that is being closed has one waiting for it; one more has to be closed for one more.
        boolean isComing = !full && closing > waiting.size();
        boolean made = isComing || evictLingering() || evict(idleNodes, Counter.NODE_CONNECTION_EVICTED)
            || use == Use.EXECUTION && evict(idleClients, Counter.CLIENT_CLOSED_FOR_DESCRIPTOR) && evictLingering();
        return made ? Admission.WAIT : Admission.REFUSE;
    }

    /** The task is run once a descriptor has become free, or at once where one is. */
    void await(Runnable task) {
        waiting.add(task);
        afterNextLook.accept(this::runWaiting);
    }

    private void runWaiting() {
        for (int left = waiting.size(); left > 0 && !isFull() && open + closing < most; left--) {
            waiting.poll().run();
        }
    }

    private void closed() {
        open--;
        closing++;
        afterNextLook.accept(() -> {
            closing--;
            runWaiting();
        });
    }

    /** It ends its sending and reads on for a while; of those that do, some are always left time to. */
    void lingers(Idle connection) {
        clients--;
        lingering.add(connection);
        while (open > most - keptForLingering() && evictLingering()) {
            // Until it fits, or only those are left that are kept a place for.
        }
    }

    private boolean evictLingering() {
        return lingering.size() > keptForLingering() && evict(lingering, Counter.CLIENT_CLOSED_FOR_DESCRIPTOR);
    }

    void clientClosed(Idle connection, boolean lingered) {
        lingering.remove(connection);
        clients -= lingered ? 0 : 1;
        closed();
    }

    void nodeClosed() {
        closed();
    }

    void idleNode(Idle connection) {
        idleNodes.add(connection);
        if (idleNodes.size() > Math.max(IDLE_NODES, IDLE_SECONDS * usesPerSecond)) {
            evict(idleNodes, Counter.NODE_CONNECTION_EVICTED);
        }
    }

    /** One that has asked nothing yet. */
    void unasked(Idle connection) {
        unasked.add(connection);
    }

    void asks(Idle connection) {
        unasked.remove(connection);
        asking++;
    }

    void asksNoMore() {
        asking--;
    }

    /**
     * Clients are held to a third of the descriptors. Where they open a connection for each statement and
     * keep it, those keep the next ones out, so the longest idle goes at once.
     */
    void idleClient(Idle connection) {
        idleClients.add(connection);
        if (asking > most / FOR_CLIENTS) {
            evict(idleClients, Counter.CLIENT_CLOSED_IDLE);
        }
    }

    void busy(Idle connection) {
        if (idleNodes.remove(connection)) {
            uses++;
        } else if (!idleClients.remove(connection)) {
            unasked.remove(connection);
        }
    }

    /**
     * Clients that asked once and stay would keep others out. They are sent away before descriptors run out:
     * clients may well be held to fewer connections than this router could admit.
     */
    void shed(Moment now, Span idleFor) {
        measure(now);
        for (int over = clients - most / FEW; over > 0 && !idleClients.isEmpty()
            && now.since(idleClients.iterator().next().idleSince()).isLongerThan(idleFor); over--) {
            evict(idleClients, Counter.CLIENT_CLOSED_IDLE);
        }
    }

    private void measure(Moment now) {
        if (sweptAt != null && now.isAfter(sweptAt)) {
            double latest = uses / now.since(sweptAt).over(SECOND);
            usesPerSecond += FOLLOWS * (latest - usesPerSecond);
        }
        sweptAt = now;
        uses = 0;
    }

    /** For a new client; a client that rests lingers first, so that another one that has lingered goes for it. */
    private boolean makeRoom() {
        return evictLingering() || evict(idleNodes, Counter.NODE_CONNECTION_EVICTED) || evictClient();
    }

    /** Only where clients alone fill their share: of those, one that has said nothing for the longest is told to go. */
    private boolean evictClient() {
        return evict(unasked, Counter.CLIENT_CLOSED_FOR_DESCRIPTOR)
            || evict(idleClients, Counter.CLIENT_CLOSED_FOR_DESCRIPTOR);
    }

    private static boolean evict(LinkedHashSet<Idle> from, Counter why) {
        if (from.isEmpty()) {
            return false;
        }
        Idle longest = from.iterator().next();
        from.remove(longest);
        longest.closeIdle(why);
        return true;
    }
}
