package basaltlever.log;

import java.util.Locale;

/** What a router counts: why connections are closed, why statements are refused, and what is sent. */
public enum Counter {
    /** A client closed its connection, or reset it. */
    CLIENT_CLOSED_BY_PEER,
    /** A client broke the protocol or sent more than may wait. */
    CLIENT_CLOSED_PROTOCOL_ERROR,
    /** No start, no first statement or half a message for too long. */
    CLIENT_CLOSED_SILENT,
    /** It rested between statements, and idle clients were many. */
    CLIENT_CLOSED_IDLE,
    /** It rested, or had said nothing yet, and its descriptor was needed. */
    CLIENT_CLOSED_FOR_DESCRIPTOR,
    /** This router ends. */
    CLIENT_CLOSED_SHUTDOWN,
    /** A new connection was turned away with an error, since there was no descriptor for it. */
    CLIENT_TURNED_AWAY,
    /** A new connection was closed unread: even turning away takes a descriptor. */
    CLIENT_CLOSED_UNREAD,
    NODE_CONNECTION_OPENED,
    /** The node, or the network, ended it. */
    NODE_CONNECTION_LOST,
    /** It did not come up in time. */
    NODE_CONNECT_TIMED_OUT,
    /** It rested for as long as a node may keep it. */
    NODE_CONNECTION_EXPIRED,
    /** It rested, and its descriptor was needed or more rested than the traffic needs. */
    NODE_CONNECTION_EVICTED,
    /** Its answer is not waited for any more, or can't be trusted. */
    NODE_CONNECTION_ABANDONED,
    /** An execution was not begun since no descriptor was free. */
    EXECUTION_WITHOUT_DESCRIPTOR,
    /** A poll or a warm-up was not begun since no descriptor was free. */
    POLL_WITHOUT_DESCRIPTOR,
    POLL_SENT,
    EXECUTION_SENT,
    /** An execution beyond a statement's first. */
    EXECUTION_RETRIED,
    /** Statements refused: no room before its patience or its time was over. */
    REFUSED_OVERDUE,
    /** The group's servers answer late: less important statements are not begun. */
    REFUSED_SHED,
    /** The hold has no room for it. */
    REFUSED_HOLD_FULL,
    /** Attempts are used up, or another one is not allowed. */
    REFUSED_NO_ATTEMPT_LEFT,
    /** More statements are open than the settings allow, or their texts take up too much memory. */
    REFUSED_TOO_MANY_OPEN,
    /** This router ends. */
    REFUSED_SHUTDOWN,
    /** Answered as failed: it may have had an effect. */
    FAILED_EFFECT_UNKNOWN,
    /** A turn of the loop that took longer than {@code net.Turn} allows for. */
    TURN_SLOW,
    LIST_ENTRIES_READ,
    LIST_CALL_FAILED;

    /** As it stands in the log. */
    public final String key = name().toLowerCase(Locale.ROOT);
}
