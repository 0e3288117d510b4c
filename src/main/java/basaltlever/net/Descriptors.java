package basaltlever.net;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.LinkedHashSet;

/**
 * Shares the file descriptors between clients and nodes. Where they run out, the connection that has been
 * idle longest makes room, first one to a node, since it is the router's own; else the newcomer gets none.
 */
final class Descriptors {
    /** Idle and open connections, longest idle first. */
    interface Idle {
        void closeIdle();

        Moment idleSince();
    }

    /** Below this share of the descriptors idle clients are left alone, however long. */
    private static final int FEW = 8;
    private int most;
    private int open;
    private int clients;
    private final LinkedHashSet<Idle> idleNodes = new LinkedHashSet<>();
    private final LinkedHashSet<Idle> idleClients = new LinkedHashSet<>();

    Descriptors(int most) {
        this.most = most;
    }

    /** Where fewer are allowed than are open, newcomers take the place of the idle until it fits. */
    void most(int now) {
        most = now;
    }

    /** Each statement needs one connection to its client and one to a node, so neither gets beyond half. */
    boolean admitsClient() {
        if (clients >= most / 2 && !evict(idleClients) || open >= most && !evictAny()) {
            return false;
        }
        clients++;
        open++;
        return true;
    }

    boolean admitsNode() {
        if (open >= most && !evictAny()) {
            return false;
        }
        open++;
        return true;
    }

    void clientClosed() {
        clients--;
        open--;
    }

    void nodeClosed() {
        open--;
    }

    void idle(Idle connection, boolean client) {
        (client ? idleClients : idleNodes).add(connection);
    }

    void busy(Idle connection) {
        if (!idleNodes.remove(connection)) {
            idleClients.remove(connection);
        }
    }

    /**
     * Clients that asked once and stay would keep others out. They are sent away before descriptors run out:
     * clients may well be held to fewer connections than this router could admit.
     */
    void shed(Moment now, Span idleFor) {
        while (clients > most / FEW && !idleClients.isEmpty()
            && now.since(idleClients.iterator().next().idleSince()).isLongerThan(idleFor)) {
            evict(idleClients);
        }
    }

    private boolean evictAny() {
        return evict(idleNodes) || evict(idleClients);
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
