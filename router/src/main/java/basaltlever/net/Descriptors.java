package basaltlever.net;

import basaltlever.log.Event;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.LinkedHashSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Shares the file descriptors between clients and nodes. Where they run out, the connection that has been
 * idle longest makes room: first one whose client never asked, then one to a node; else the newcomer goes.
 * A client's connection that lingers, its sending ended, is nobody's any more, yet a descriptor.
 */
final class Descriptors {
    /** Idle and open connections, longest idle first. */
    interface Idle {
        void closeIdle();

        Moment idleSince();
    }

    /** Below this share of the descriptors idle clients are left alone, however long. */
    private static final int FEW = 8;
    /** This share of the descriptors is kept for connections to nodes. */
    private static final int FOR_NODES = 4;
    /** And so much of them may clients that have asked hold, busy or idle, before the idle are closed. */
    private static final int FOR_CLIENTS = 4;
    /** So many may linger beyond what is shared out; of more, the one that has lingered longest goes. */
    private static final int LINGERING = 8;
    private static final Logger LOG = LoggerFactory.getLogger(Descriptors.class);
    private String reported = "";
    private int most;
    private int open;
    private int clients;
    private int asking;
    private final LinkedHashSet<Idle> idleNodes = new LinkedHashSet<>();
    private final LinkedHashSet<Idle> idleClients = new LinkedHashSet<>();
    /** Of clients that have not sent a whole message yet: the oldest are most likely to say nothing ever. */
    private final LinkedHashSet<Idle> unasked = new LinkedHashSet<>();
    private final LinkedHashSet<Idle> lingering = new LinkedHashSet<>();

    Descriptors(int most) {
        this.most = most;
    }

    /** Logs how many are open by use, where that has changed since the last time. */
    void report() {
        String by = most + " " + open + " " + clients + " " + idleClients.size() + " " + lingering.size() + " "
            + idleNodes.size();
        if (!by.equals(reported)) {
            reported = by;
            Event.DESCRIPTORS.log(LOG, Level.INFO, "", most, open, clients, idleClients.size(), lingering.size(),
                open - clients - lingering.size(), idleNodes.size());
        }
    }

    /** Where fewer are allowed than are open, newcomers take the place of the idle until it fits. */
    void most(int now) {
        most = now;
    }

    /**
     * Clients may hold all but a share kept for nodes. At a half of all, connections that say nothing pushed
     * out those in use, each of which then came back on a new one.
     */
    boolean admitsClient() {
        if (clients >= most - most / FOR_NODES && !evictClient() || inUse() >= most && !evictAny()) {
            return false;
        }
        clients++;
        open++;
        return true;
    }

    boolean admitsNode() {
        if (inUse() >= most && !evictAny()) {
            return false;
        }
        open++;
        return true;
    }

    private int inUse() {
        return open - Math.min(LINGERING, lingering.size());
    }

    /** It ends its sending and reads on for a while; of those that do, some are always left time to. */
    void lingers(Idle connection) {
        clients--;
        lingering.add(connection);
        while (open > most && lingering.size() > LINGERING) {
            evict(lingering);
        }
    }

    void clientClosed(Idle connection, boolean lingered) {
        lingering.remove(connection);
        clients -= lingered ? 0 : 1;
        open--;
    }

    void nodeClosed() {
        open--;
    }

    void idleNode(Idle connection) {
        idleNodes.add(connection);
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
            evict(idleClients);
        }
    }

    void busy(Idle connection) {
        if (!idleNodes.remove(connection) && !idleClients.remove(connection)) {
            unasked.remove(connection);
        }
    }

    /**
     * Clients that asked once and stay would keep others out. They are sent away before descriptors run out:
     * clients may well be held to fewer connections than this router could admit.
     */
    void shed(Moment now, Span idleFor) {
        for (int over = clients - most / FEW; over > 0 && !idleClients.isEmpty()
            && now.since(idleClients.iterator().next().idleSince()).isLongerThan(idleFor); over--) {
            evict(idleClients);
        }
    }

    private boolean evictAny() {
        return evict(unasked) || evict(idleNodes) || evict(idleClients);
    }

    private boolean evictClient() {
        return evict(unasked) || evict(idleClients);
    }

    private static boolean evict(LinkedHashSet<Idle> from) {
        if (from.isEmpty()) {
            return false;
        }
        Idle longest = from.iterator().next();
        from.remove(longest);
        longest.closeIdle();
        return true;
    }
}
