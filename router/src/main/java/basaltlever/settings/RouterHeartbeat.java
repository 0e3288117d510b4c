package basaltlever.settings;

/**
 * One heartbeat of a router to the leader.
 *
 * @param router name of the router
 * @param incarnation of the router's process; a restart changes it
 * @param number of the heartbeat within that process
 * @param inForce number of the version that the router has in force
 * @param acknowledged number of the prepared version that the router complies with already, or 0
 * @param rejected number of the prepared version that the router can't comply with, or 0
 * @param rejectionReason why it can't; empty where it rejects nothing
 * @param holdsLease whether the router held a lease when it sent the heartbeat
 */
public record RouterHeartbeat(
    String router,
    long incarnation,
    long number,
    long inForce,
    long acknowledged,
    long rejected,
    String rejectionReason,
    boolean holdsLease) {}
